//! How candidates are drawn from a group.

use crate::group::Group;

/// Draws from a large group for each candidate that is wanted: one that was drawn before is passed over.
const DRAWS_PER_CHOICE: usize = 4;

/// How many backends of a group are drawn.
#[derive(Clone, Copy, Debug)]
pub struct Sampling {
    /// Groups of up to so many are drawn whole.
    pub scan_all_up_to: usize,
    /// So many are drawn from larger ones.
    pub choices: usize,
}

impl Sampling {
    /// Adds candidates from a group that are not there yet.
    pub(crate) fn draw(
        &self,
        group: &Group,
        with_ejected: bool,
        random: &mut impl FnMut() -> f64,
        into: &mut Vec<usize>,
    ) {
        if group.len(with_ejected) <= self.scan_all_up_to {
            take_whole(group, with_ejected, into);
        } else {
            self.draw_some(group, with_ejected, random, into);
        }
    }

    /// Draws by chance. Where most were drawn before, it ends with fewer than are wanted.
    fn draw_some(
        &self,
        group: &Group,
        with_ejected: bool,
        random: &mut impl FnMut() -> f64,
        into: &mut Vec<usize>,
    ) {
        let (all, wanted) = (group.len(with_ejected), into.len() + self.choices);
        for _ in 0..DRAWS_PER_CHOICE * self.choices {
            let position = (random() * all as f64) as usize;
            let slot = group.at(position.min(all - 1)) as usize;
            if !into.contains(&slot) {
                into.push(slot);
                if into.len() == wanted {
                    return;
                }
            }
        }
    }
}

fn take_whole(group: &Group, with_ejected: bool, into: &mut Vec<usize>) {
    let begin = into.len();
    for position in 0..group.len(with_ejected) {
        let slot = group.at(position) as usize;
        if !into[..begin].contains(&slot) {
            into.push(slot);
        }
    }
}
