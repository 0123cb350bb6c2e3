//! What a backend is filed by.

/// What the endpoint list says of a backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListState {
    /// It takes work.
    Ready,
    /// It finishes its work and takes no more.
    Draining,
    /// It is not on the list any more; the record is kept as long as the caller wants.
    Removed,
}

/// What a backend is filed by.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Attributes {
    /// Its number here; never changes.
    pub id: u32,
    /// What it is known by at all gateways; never changes.
    pub key: u64,
    /// Its zone.
    pub zone: u32,
    /// Its cell.
    pub cell: u32,
    /// Its instance type.
    pub instance_type: u32,
    /// What the list says of it.
    pub state: ListState,
    /// It failed or fell silent here.
    pub ejected: bool,
    /// From when it is warm, ms.
    pub warm_from: f64,
    /// Its share of new work against those of share 1: above 0, at most 1.
    pub share: f64,
}

/// A record that can be filed.
pub trait Indexed {
    /// What it is to be filed by now.
    fn attributes(&self) -> Attributes;
}
