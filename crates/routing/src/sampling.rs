//! Random sampling of candidates from a group.

use crate::group::Group;

/// Maximum number of draws for each candidate from a large group. Repeated draws of a backend are skipped.
const DRAWS_PER_CHOICE: usize = 4;

/// Number of backends that are drawn from a group.
#[derive(Clone, Copy, Debug)]
pub struct Sampling {
    /// Groups of up to this size are taken whole.
    pub scan_all_up_to: usize,
    /// Number of backends that are drawn from larger groups.
    pub choices: usize,
}

impl Sampling {
    /// Adds candidates from a group to `candidates`, without duplicates.
    pub(crate) fn draw(
        &self,
        group: &Group,
        with_ejected: bool,
        random: &mut impl FnMut() -> f64,
        candidates: &mut Vec<usize>,
    ) {
        if group.len(with_ejected) <= self.scan_all_up_to {
            take_all(group, with_ejected, candidates);
        } else {
            self.draw_random(group, with_ejected, random, candidates);
        }
    }

    /// Draws at random. May add fewer candidates than wanted if most of the group was drawn before.
    fn draw_random(
        &self,
        group: &Group,
        with_ejected: bool,
        random: &mut impl FnMut() -> f64,
        candidates: &mut Vec<usize>,
    ) {
        let (all, wanted) = (group.len(with_ejected), candidates.len() + self.choices);
        for _ in 0..DRAWS_PER_CHOICE * self.choices {
            let position = (random() * all as f64) as usize;
            let slot = group.at(position.min(all - 1)) as usize;
            if !candidates.contains(&slot) {
                candidates.push(slot);
                if candidates.len() == wanted {
                    return;
                }
            }
        }
    }
}

fn take_all(group: &Group, with_ejected: bool, candidates: &mut Vec<usize>) {
    let old_len = candidates.len();
    for position in 0..group.len(with_ejected) {
        let slot = group.at(position) as usize;
        if !candidates[..old_len].contains(&slot) {
            candidates.push(slot);
        }
    }
}
