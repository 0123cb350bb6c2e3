//! The catalogue that a gateway uses: the newest it was given, in whatever order they came.

use crate::catalogue::Catalogue;

/// What became of a catalogue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FenceOutcome {
    /// It is in force now.
    New,
    /// It was in force already: a repeated order.
    Same,
    /// A newer one is in force: a late order, which changes nothing.
    Stale {
        /// The revision in force.
        holds: u64,
    },
    /// Another one with the same revision is in force: from two agents that do not know of each other, or a
    /// file that was changed without a new revision. Nothing changes.
    Conflict,
}

/// Holds the newest catalogue.
#[derive(Clone, Debug, Default)]
pub struct CatalogueFence {
    held: Option<Catalogue>,
}

impl CatalogueFence {
    /// Takes a catalogue if it is newer.
    pub fn take(&mut self, catalogue: Catalogue) -> FenceOutcome {
        match &self.held {
            Some(held) if held.revision() > catalogue.revision() => {
                FenceOutcome::Stale { holds: held.revision() }
            }
            Some(held) if *held == catalogue => FenceOutcome::Same,
            Some(held) if held.revision() == catalogue.revision() => FenceOutcome::Conflict,
            _ => {
                self.held = Some(catalogue);
                FenceOutcome::New
            }
        }
    }

    /// The catalogue in force; none before the first.
    #[must_use]
    pub fn held(&self) -> Option<&Catalogue> {
        self.held.as_ref()
    }
}
