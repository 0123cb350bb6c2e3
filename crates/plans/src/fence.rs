//! The catalogue that a gateway uses: the newest one it received, whatever the order of arrival.

use crate::catalogue::Catalogue;

/// Outcome of [`CatalogueFence::take`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FenceOutcome {
    /// The catalogue is in force now.
    New,
    /// The same catalogue was in force already: a repeated order.
    Same,
    /// A newer catalogue is in force: a late order, which changes nothing.
    Stale {
        /// Revision of the catalogue in force.
        current_revision: u64,
    },
    /// A different catalogue with the same revision is in force, because two agents work independently or the
    /// file was changed without a new revision. Nothing changes.
    Conflict,
}

/// Retains the newest catalogue and rejects older ones.
#[derive(Clone, Debug, Default)]
pub struct CatalogueFence {
    current: Option<Catalogue>,
}

impl CatalogueFence {
    /// Puts a catalogue in force if it is newer than the current one.
    pub fn take(&mut self, catalogue: Catalogue) -> FenceOutcome {
        match &self.current {
            Some(current) if current.revision() > catalogue.revision() => {
                FenceOutcome::Stale { current_revision: current.revision() }
            }
            Some(current) if *current == catalogue => FenceOutcome::Same,
            Some(current) if current.revision() == catalogue.revision() => FenceOutcome::Conflict,
            _ => {
                self.current = Some(catalogue);
                FenceOutcome::New
            }
        }
    }

    /// Returns the catalogue in force; `None` before the first.
    #[must_use]
    pub fn current(&self) -> Option<&Catalogue> {
        self.current.as_ref()
    }
}
