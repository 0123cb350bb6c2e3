//! Attributes that determine the groups of a backend.

/// State of a backend on the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListState {
    /// Accepts new work.
    Ready,
    /// Finishes its work and accepts no more.
    Draining,
    /// No longer listed; its record stays until the caller removes it.
    Removed,
}

/// The attributes by which a backend is indexed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Attributes {
    /// Number of the backend at this gateway; never changes.
    pub id: u32,
    /// Key of the backend, the same at all gateways; never changes.
    pub key: u64,
    /// Zone; `None` if it is unknown.
    pub zone: Option<u32>,
    /// Cell; `None` if it is unknown.
    pub cell: Option<u32>,
    /// Instance type.
    pub instance_type: u32,
    /// State on the endpoint list.
    pub state: ListState,
    /// Ejected by this gateway, because it failed or stopped answering.
    pub ejected: bool,
    /// Time at which its warm-up ends, ms.
    pub warm_from: f64,
    /// Share of new work, relative to backends of share 1: above 0, at most 1.
    pub share: f64,
}

/// A record that can be indexed.
pub trait Indexed {
    /// Returns the current attributes of the backend.
    fn attributes(&self) -> Attributes;
}
