//! Rules of keepers and holders one by one, where the model has no room for them.

use membership::lease::{
    Believed, Desk, Given, Holder, Keeper, Member, Message, Out, Terms, KEPT_UNITS, LENT_UNITS,
    MAX_PENDING_REQUESTS, SLOT_UNITS,
};

const TERMS: Terms = Terms { members: 3, lease_ms: 1_000, drift: 10, trust_refusals: true };
const OWNER: Member = Member { number: 0, life: 5 };
const OTHER: Member = Member { number: 1, life: 9 };
/// Long after the keeper's start.
const NOW: u64 = 100_000;

fn keeper() -> Keeper {
    Keeper::new(TERMS, 0)
}

#[test]
fn a_message_of_an_earlier_life_undoes_nothing_that_is_known_of_the_present_one() {
    let mut keeper = keeper();
    keeper.renew(NOW, OWNER);
    keeper.gone(NOW + 500, OWNER);
    let earlier = Member { life: 4, ..OWNER };
    // It gets no word that it could take for its own, and the present life is as gone as before.
    assert_eq!(keeper.renew(NOW + 600, earlier), Given::Whole);
    assert_eq!(keeper.claim(NOW + 1_600, OTHER, 0), Given::Whole);
}

#[test]
fn what_was_found_of_an_earlier_life_is_not_held_against_the_present_one() {
    let mut keeper = keeper();
    keeper.renew(NOW, OWNER);
    keeper.gone(NOW + 100, Member { life: 4, ..OWNER });
    assert_eq!(keeper.claim(NOW + 5_000, OTHER, 0), Given::Lent);
}

#[test]
fn a_refusal_that_is_not_trusted_gives_nothing_but_the_lent_part() {
    let mut keeper = Keeper::new(Terms { trust_refusals: false, ..TERMS }, 0);
    keeper.renew(NOW, OWNER);
    keeper.gone(NOW + 100, OWNER);
    assert_eq!(keeper.claim(NOW + 5_000, OTHER, 0), Given::Lent);
}

#[test]
fn the_whole_of_a_slot_whose_owner_was_never_heard_is_not_given() {
    let mut keeper = keeper();
    keeper.gone(NOW, OWNER);
    assert_eq!(keeper.claim(NOW + 5_000, OTHER, 0), Given::Lent);
    // And nobody claims its own slot by this way.
    assert_eq!(keeper.claim(NOW + 5_000, OWNER, 0), Given::Nothing);
}

#[test]
fn silent_owners_are_named_once_they_are_and_until_they_are_found_gone() {
    let mut keeper = keeper();
    keeper.renew(NOW, OWNER);
    assert_eq!(keeper.silent(NOW + 1_009).count(), 0);
    assert_eq!(keeper.silent(NOW + 1_010).collect::<Vec<_>>(), [OWNER]);
    keeper.gone(NOW + 1_010, OWNER);
    assert_eq!(keeper.silent(NOW + 9_000).count(), 0);
}

/// An owner long after its start whose slot all three keepers gave it.
fn owner() -> Holder {
    let mut holder = Holder::new(TERMS, OWNER, 0);
    let n = holder.renew(NOW);
    (0..3).for_each(|keeper| holder.renewed(keeper, n, Given::Nothing));
    holder
}

#[test]
fn a_part_tells_when_it_may_be_less_and_what_is_left_then() {
    let part = owner().part(NOW + 10);
    assert_eq!((part.units, part.until_ms, part.then_units), (SLOT_UNITS, NOW + 990, KEPT_UNITS));
    assert_eq!(owner().part(NOW + 990).units, KEPT_UNITS, "it is looked at by the clock, not by who tells");
}

#[test]
fn answers_of_two_of_three_are_a_majority_and_one_twice_is_not() {
    let mut holder = Holder::new(TERMS, OWNER, 0);
    let n = holder.renew(NOW);
    (0..3).for_each(|_| holder.renewed(1, n, Given::Nothing));
    assert_eq!(holder.part(NOW).units, 0);
    holder.renewed(7, n, Given::Nothing);
    assert_eq!(holder.part(NOW).units, 0, "7 keeps nothing of it");
    holder.renewed(2, n, Given::Nothing);
    assert_eq!(holder.part(NOW).units, SLOT_UNITS);
}

#[test]
fn answers_count_from_their_question_and_questions_long_past_count_no_more() {
    let mut holder = Holder::new(TERMS, OTHER, 0);
    let first = holder.claim(NOW, 0).expect("there is room");
    for later in 1..=MAX_PENDING_REQUESTS as u64 {
        holder.claim(NOW + later, 0).expect("there is room");
    }
    (0..3).for_each(|keeper| holder.claimed(keeper, first, 0, Given::Lent));
    assert_eq!(holder.part(NOW).units, 0, "it has given way to later ones");
    (0..3).for_each(|keeper| holder.claimed(keeper, first + 1, 0, Given::Lent));
    assert_eq!(holder.part(NOW).units, LENT_UNITS);
    assert_eq!(holder.part(NOW + 991).units, 0, "from the question on");
}

#[test]
fn what_is_lent_is_counted_once_however_often_it_is_asked_for() {
    let mut holder = owner();
    let lent = holder.lend(NOW, OTHER, 400_000, u64::MAX);
    assert_eq!(lent, (400_000, 1_000));
    // The same again in place of it, and another beside it gets what is left; of that nothing twice.
    assert_eq!(holder.lend(NOW + 10, OTHER, 500_000, u64::MAX).0, 500_000);
    let third = Member { number: 2, life: 1 };
    // What is lent has to be sure for as long, and the lent part is not.
    assert_eq!(holder.lend(NOW + 20, third, SLOT_UNITS, u64::MAX).0, KEPT_UNITS - 500_000);
    assert_eq!(holder.lend(NOW + 20, Member { number: 2, life: 2 }, 1, u64::MAX).0, 0);
    assert_eq!(holder.part(NOW + 20).units, LENT_UNITS);
    assert_eq!(holder.lend(NOW + 20, OWNER, 1, u64::MAX).0, 0, "not to itself");
    // It is used again when all of it is over by the lender's clock.
    assert_eq!(holder.part(NOW + 1_029).units, KEPT_UNITS - 200_000);
    assert_eq!(holder.part(NOW + 1_030).units, KEPT_UNITS);
}

#[test]
fn borrowers_and_claims_are_bounded() {
    let terms = Terms { members: 10_000, ..TERMS };
    let mut holder = Holder::new(terms, OWNER, 0);
    assert_eq!((1..1_000).filter(|slot| holder.claim(NOW, *slot).is_some()).count(), 64);
    assert_eq!((1..1_000).filter(|from| holder.borrow(NOW, *from).is_some()).count(), 64);
    // Those that came to nothing make room.
    assert!(holder.claim(NOW + 5_000, 2_000).is_some() && holder.borrow(NOW + 5_000, 2_000).is_some());
    assert_eq!(holder.claim(NOW, 0), None, "its own");
}

/// Danger: an answer to the life before, whose questions had the same numbers.
#[test]
fn answers_bear_the_life_that_asked() {
    let mut desk = Desk::new(TERMS, Member { number: 2, life: 3 }, 0, 1);
    let out = desk.heard(NOW, OWNER, Message::Renew { n: 1 });
    let answer = Message::Renewed { n: 1, out: Given::Nothing };
    assert_eq!(out, [Out::Send { to: 0, life: Some(5), message: answer }]);
}

#[test]
fn keepers_of_a_slot_are_the_same_everywhere_and_its_owner_is_none_where_there_are_many() {
    for members in [1, 2, 7, 8, 300] {
        let terms = Terms { members, ..TERMS };
        let mut kept = vec![0; members as usize];
        for slot in 0..members {
            let keepers = terms.keepers(slot);
            assert_eq!(keepers, terms.keepers(slot));
            assert_eq!(keepers.len(), members.min(7) as usize);
            assert!(members <= 7 || !keepers.contains(&slot));
            assert!(keepers.windows(2).all(|two| two[0] < two[1]) && keepers.iter().all(|k| *k < members));
            keepers.into_iter().for_each(|keeper| kept[keeper as usize] += 1);
        }
        // Nobody keeps for a crowd.
        assert!(kept.iter().all(|slots| *slots <= 24), "{kept:?}");
    }
}

#[test]
fn the_whole_is_given_once_the_owner_was_gone_for_a_lease_and_no_sooner() {
    let mut keeper = keeper();
    keeper.renew(NOW, OWNER);
    keeper.gone(NOW + 1_010, OWNER);
    // What it lent on may still be in use.
    assert_eq!(keeper.claim(NOW + 2_019, OTHER, 0), Given::Lent);
    assert_eq!(keeper.claim(NOW + 2_020, OTHER, 0), Given::Whole);
}

#[test]
fn who_starts_waits_for_a_lease_as_a_keeper_and_as_an_owner() {
    let mut keeper = Keeper::new(TERMS, NOW);
    assert_eq!(keeper.claim(NOW + 1_009, OTHER, 0), Given::Nothing);
    assert_eq!(keeper.claim(NOW + 1_010, OTHER, 0), Given::Lent);
    let mut holder = Holder::new(TERMS, OWNER, NOW);
    let n = holder.renew(NOW + 500);
    (0..3).for_each(|keeper| holder.renewed(keeper, n, Given::Nothing));
    assert_eq!(holder.part(NOW + 1_009).units, LENT_UNITS);
    assert_eq!(holder.part(NOW + 1_010).units, SLOT_UNITS);
}

#[test]
fn an_owner_whose_slot_another_has_has_nothing_of_it() {
    let mut holder = Holder::new(TERMS, OWNER, 0);
    let n = holder.renew(NOW);
    (0..3).for_each(|keeper| holder.renewed(keeper, n, Given::Whole));
    assert_eq!(holder.part(NOW).units, 0);
    // Where another has the lent part, the kept one is its own.
    let n = holder.renew(NOW);
    (0..3).for_each(|keeper| holder.renewed(keeper, n, Given::Lent));
    assert_eq!(holder.part(NOW).units, KEPT_UNITS);
}

#[test]
fn what_is_borrowed_counts_from_the_question_whenever_the_answer_comes() {
    let mut holder = Holder::new(TERMS, OTHER, 0);
    let n = holder.borrow(NOW, 0).expect("there is room");
    holder.loan(0, n, 5, 1_000);
    assert_eq!((holder.part(NOW + 989).units, holder.part(NOW + 990).units), (5, 0));
    // Not longer than a lease, whatever the lender says, and not what was never asked for.
    let n = holder.borrow(NOW, 2).expect("there is room");
    holder.loan(2, n, 7, 50_000);
    holder.loan(2, n + 1, 900, 1_000);
    assert_eq!((holder.part(NOW + 989).units, holder.part(NOW + 990).units), (12, 0));
}

/// A member of ten that has its slot, asked at a moment, with a need and what it believes; and what it asks.
fn desk(number: u32, need: u64, believed: &Believed) -> (Desk, Vec<Out>) {
    let (terms, me) = (Terms { members: 10, ..TERMS }, Member { number, life: 1 });
    let mut desk = Desk::new(terms, me, 0, 7);
    let out = desk.tick(NOW, need, believed);
    for keeper in terms.keepers(number) {
        let from = Member { number: keeper, life: 1 };
        desk.heard(NOW, from, Message::Renewed { n: 1, out: Given::Nothing });
    }
    assert_eq!(desk.part(NOW).units, SLOT_UNITS);
    (desk, out)
}

fn claims(out: &[Out]) -> usize {
    out.iter().filter(|out| matches!(out, Out::Send { message: Message::Claim { .. }, .. })).count()
}

/// Danger: claims of all at once, of which none gets a majority.
#[test]
fn one_of_those_that_need_more_claims_a_slot_at_first_and_others_later() {
    let alive = |me: u32| (0..9).filter(|other| *other != me).collect();
    let claim = |me: u32| {
        let believed = Believed { alive: alive(me), gone: vec![9] };
        let (mut desk, _) = desk(me, 3 * SLOT_UNITS, &believed);
        let at = |desk: &mut Desk, after: u64| claims(&desk.tick(NOW + after, 3 * SLOT_UNITS, &believed)) > 0;
        (at(&mut desk, 500), (1..10).any(|leases| at(&mut desk, 500 + leases * 1_000)))
    };
    let all: Vec<(bool, bool)> = (0..9).map(claim).collect();
    assert_eq!(all.iter().filter(|(first, _)| *first).count(), 1, "{all:?}");
    assert!(all.iter().all(|(first, later)| *first || *later), "{all:?}");
}

#[test]
fn a_slot_that_is_needed_no_more_is_let_go() {
    let believed = Believed { alive: vec![], gone: vec![9] };
    let (mut desk, _) = desk(1, 3 * SLOT_UNITS, &believed);
    let out = desk.tick(NOW + 500, 3 * SLOT_UNITS, &believed);
    let asked = out.iter().find_map(|out| match out {
        Out::Send { message: Message::Claim { n, slot: 9 }, .. } => Some(*n),
        _ => None,
    });
    let n = asked.expect("it claims");
    for keeper in (Terms { members: 10, ..TERMS }).keepers(9) {
        let (from, given) = (Member { number: keeper, life: 1 }, Given::Whole);
        desk.heard(NOW + 500, from, Message::Claimed { n, slot: 9, given });
    }
    assert_eq!(desk.taken_over(NOW + 500), 1);
    assert!(claims(&desk.tick(NOW + 900, 3 * SLOT_UNITS, &believed)) > 0, "it asks again while it needs it");
    assert_eq!(claims(&desk.tick(NOW + 1_300, SLOT_UNITS / 2, &believed)), 0);
}

#[test]
fn one_lends_what_it_does_not_need_and_no_more() {
    let ask = |need: u64| {
        let (mut desk, _) = desk(1, need, &Believed::default());
        let from = Member { number: 2, life: 1 };
        let out = desk.heard(NOW, from, Message::Borrow { n: 1, units: SLOT_UNITS });
        out.iter().find_map(|out| match out {
            Out::Send { message: Message::Loan { units, .. }, .. } => Some(*units),
            _ => None,
        })
    };
    assert_eq!(ask(SLOT_UNITS), None);
    // Half of what it has, and a twentieth of its need stays.
    assert_eq!(ask(SLOT_UNITS / 2), Some(SLOT_UNITS * 475 / 1_000));
    // What is sure for so long is the kept part.
    assert_eq!(ask(0), Some(KEPT_UNITS));
}
