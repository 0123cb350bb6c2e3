//! The catalogue that a gateway goes by: the newest it was told of, whatever the order in which it was told.

use crate::catalogue::Catalogue;

/// What came of a catalogue that was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FenceOutcome {
    /// It is in force.
    New,
    /// It was in force already: an order's repeat.
    Same,
    /// A newer one is in force: an order that came late, which changes nothing.
    Stale {
        /// The revision in force.
        holds: u64,
    },
    /// Another one of the same revision is in force: two agents that don't know of each other, or a file that
    /// was changed without a new revision. Nothing changes.
    Conflict,
}

/// Holds a catalogue.
#[derive(Clone, Debug, Default)]
pub struct CatalogueFence {
    held: Option<Catalogue>,
}

impl CatalogueFence {
    /// Takes a catalogue in, if it is newer.
    pub fn take(&mut self, told: Catalogue) -> FenceOutcome {
        match &self.held {
            Some(held) if held.revision() > told.revision() => FenceOutcome::Stale { holds: held.revision() },
            Some(held) if held.revision() == told.revision() && *held == told => FenceOutcome::Same,
            Some(held) if held.revision() == told.revision() => FenceOutcome::Conflict,
            _ => {
                self.held = Some(told);
                FenceOutcome::New
            }
        }
    }

    /// What is in force; none before the first.
    #[must_use]
    pub fn held(&self) -> Option<&Catalogue> {
        self.held.as_ref()
    }
}
