//! Rules of grantors and holders one by one, where the model has no room for them.

use membership::lease::{
    Grant, GrantedLoan, LeaseCoordinator, LeaseGrantor, LeaseHolder, LeaseTerms, Member, MembershipView,
    Message, Output, KEPT_UNITS, LENT_UNITS, MAX_PENDING_REQUESTS, SLOT_UNITS,
};

const TERMS: LeaseTerms =
    LeaseTerms { members: 3, lease_ms: 1_000, max_drift_per_mille: 10, trust_refusals: true };
const OWNER: Member = Member { number: 0, incarnation: 5 };
const OTHER: Member = Member { number: 1, incarnation: 9 };
/// Long after the grantor's start.
const NOW: u64 = 100_000;

fn grantor() -> LeaseGrantor {
    LeaseGrantor::new(TERMS, 0)
}

#[test]
fn message_of_earlier_incarnation_changes_nothing() {
    let mut grantor = grantor();
    grantor.renew(NOW, OWNER);
    grantor.owner_unreachable(NOW + 500, OWNER);
    let earlier = Member { incarnation: 4, ..OWNER };
    // It gets no word that it could take for its own, and the present incarnation is as gone as before.
    assert_eq!(grantor.renew(NOW + 600, earlier), Grant::Whole);
    assert_eq!(grantor.claim(NOW + 1_600, OTHER, 0), Grant::Whole);
}

#[test]
fn refusal_of_earlier_incarnation_is_ignored() {
    let mut grantor = grantor();
    grantor.renew(NOW, OWNER);
    grantor.owner_unreachable(NOW + 100, Member { incarnation: 4, ..OWNER });
    assert_eq!(grantor.claim(NOW + 5_000, OTHER, 0), Grant::Lent);
}

#[test]
fn untrusted_refusal_grants_only_the_lent_part() {
    let mut grantor = LeaseGrantor::new(LeaseTerms { trust_refusals: false, ..TERMS }, 0);
    grantor.renew(NOW, OWNER);
    grantor.owner_unreachable(NOW + 100, OWNER);
    assert_eq!(grantor.claim(NOW + 5_000, OTHER, 0), Grant::Lent);
}

#[test]
fn whole_slot_is_not_granted_if_owner_was_never_heard() {
    let mut grantor = grantor();
    grantor.owner_unreachable(NOW, OWNER);
    assert_eq!(grantor.claim(NOW + 5_000, OTHER, 0), Grant::Lent);
    // And nobody claims its own slot by this way.
    assert_eq!(grantor.claim(NOW + 5_000, OWNER, 0), Grant::Nothing);
}

#[test]
fn lists_silent_owners_until_found_unreachable() {
    let mut grantor = grantor();
    grantor.renew(NOW, OWNER);
    assert_eq!(grantor.silent_owners(NOW + 1_009).count(), 0);
    assert_eq!(grantor.silent_owners(NOW + 1_010).collect::<Vec<_>>(), [OWNER]);
    grantor.owner_unreachable(NOW + 1_010, OWNER);
    assert_eq!(grantor.silent_owners(NOW + 9_000).count(), 0);
}

/// An owner long after its start whose slot all three grantors gave it.
fn owner() -> LeaseHolder {
    let mut holder = LeaseHolder::new(TERMS, OWNER, 0);
    let request_id = holder.request_renewal(NOW);
    (0..3).for_each(|grantor| holder.renewal_answered(grantor, request_id, Grant::Nothing));
    holder
}

#[test]
fn allocation_states_its_end_and_what_is_left_after() {
    let part = owner().allocation(NOW + 10);
    assert_eq!((part.units, part.valid_until_ms, part.units_after), (SLOT_UNITS, NOW + 990, KEPT_UNITS));
    assert_eq!(
        owner().allocation(NOW + 990).units,
        KEPT_UNITS,
        "it is looked at by the clock, not by who tells"
    );
}

#[test]
fn two_of_three_grantors_are_a_majority_and_repeats_do_not_count() {
    let mut holder = LeaseHolder::new(TERMS, OWNER, 0);
    let request_id = holder.request_renewal(NOW);
    (0..3).for_each(|_| holder.renewal_answered(1, request_id, Grant::Nothing));
    assert_eq!(holder.allocation(NOW).units, 0);
    holder.renewal_answered(7, request_id, Grant::Nothing);
    assert_eq!(holder.allocation(NOW).units, 0, "7 keeps nothing of it");
    holder.renewal_answered(2, request_id, Grant::Nothing);
    assert_eq!(holder.allocation(NOW).units, SLOT_UNITS);
}

#[test]
fn leases_run_from_the_request_and_displaced_requests_do_not_count() {
    let mut holder = LeaseHolder::new(TERMS, OTHER, 0);
    let first = holder.request_claim(NOW, 0).expect("there is room");
    for later in 1..=MAX_PENDING_REQUESTS as u64 {
        holder.request_claim(NOW + later, 0).expect("there is room");
    }
    (0..3).for_each(|grantor| holder.claim_answered(grantor, first, 0, Grant::Lent));
    assert_eq!(holder.allocation(NOW).units, 0, "it has given way to later ones");
    (0..3).for_each(|grantor| holder.claim_answered(grantor, first + 1, 0, Grant::Lent));
    assert_eq!(holder.allocation(NOW).units, LENT_UNITS);
    assert_eq!(holder.allocation(NOW + 991).units, 0, "from the question on");
}

#[test]
fn repeated_loans_are_counted_once() {
    let mut holder = owner();
    let lent = holder.lend(NOW, OTHER, 400_000, u64::MAX);
    assert_eq!(lent, GrantedLoan { units: 400_000, duration_ms: 1_000 });
    // The same again in place of it, and another beside it gets what is left; of that nothing twice.
    assert_eq!(holder.lend(NOW + 10, OTHER, 500_000, u64::MAX).units, 500_000);
    let third = Member { number: 2, incarnation: 1 };
    // What is lent has to be sure for as long, and the lent part is not.
    assert_eq!(holder.lend(NOW + 20, third, SLOT_UNITS, u64::MAX).units, KEPT_UNITS - 500_000);
    assert_eq!(holder.lend(NOW + 20, Member { number: 2, incarnation: 2 }, 1, u64::MAX).units, 0);
    assert_eq!(holder.allocation(NOW + 20).units, LENT_UNITS);
    assert_eq!(holder.lend(NOW + 20, OWNER, 1, u64::MAX).units, 0, "not to itself");
    // It is used again when all of it is over by the lender's clock.
    assert_eq!(holder.allocation(NOW + 1_029).units, KEPT_UNITS - 200_000);
    assert_eq!(holder.allocation(NOW + 1_030).units, KEPT_UNITS);
}

#[test]
fn claims_and_lenders_are_bounded() {
    let terms = LeaseTerms { members: 10_000, ..TERMS };
    let mut holder = LeaseHolder::new(terms, OWNER, 0);
    assert_eq!((1..1_000).filter(|slot| holder.request_claim(NOW, *slot).is_some()).count(), 64);
    assert_eq!((1..1_000).filter(|from| holder.request_loan(NOW, *from).is_some()).count(), 64);
    // Those that came to nothing make room.
    assert!(
        holder.request_claim(NOW + 5_000, 2_000).is_some()
            && holder.request_loan(NOW + 5_000, 2_000).is_some()
    );
    assert_eq!(holder.request_claim(NOW, 0), None, "its own");
}

/// An answer to the incarnation before, whose questions had the same numbers.
#[test]
fn responses_carry_the_requesting_incarnation() {
    let mut coordinator = LeaseCoordinator::new(TERMS, Member { number: 2, incarnation: 3 }, 0, 1);
    let out = coordinator.handle_message(NOW, OWNER, Message::Renew { request_id: 1 });
    let answer = Message::Renewed { request_id: 1, granted: Grant::Nothing };
    assert_eq!(out, [Output::Send { to: 0, incarnation: Some(5), message: answer }]);
}

#[test]
fn grantors_are_the_same_everywhere_and_exclude_the_owner_in_large_fleets() {
    for members in [1, 2, 7, 8, 300] {
        let terms = LeaseTerms { members, ..TERMS };
        let mut kept = vec![0; members as usize];
        for slot in 0..members {
            let grantors = terms.grantors(slot);
            assert_eq!(grantors, terms.grantors(slot));
            assert_eq!(grantors.len(), members.min(7) as usize);
            assert!(members <= 7 || !grantors.contains(&slot));
            assert!(grantors.windows(2).all(|two| two[0] < two[1]) && grantors.iter().all(|k| *k < members));
            for grantor in grantors.into_iter() {
                kept[grantor as usize] += 1;
            }
        }
        // Nobody keeps for a crowd.
        assert!(kept.iter().all(|slots| *slots <= 24), "{kept:?}");
    }
}

#[test]
fn whole_slot_is_granted_a_lease_after_owner_was_unreachable() {
    let mut grantor = grantor();
    grantor.renew(NOW, OWNER);
    grantor.owner_unreachable(NOW + 1_010, OWNER);
    // What it lent on may still be in use.
    assert_eq!(grantor.claim(NOW + 2_019, OTHER, 0), Grant::Lent);
    assert_eq!(grantor.claim(NOW + 2_020, OTHER, 0), Grant::Whole);
}

#[test]
fn grantor_and_owner_wait_for_a_lease_after_start() {
    let mut grantor = LeaseGrantor::new(TERMS, NOW);
    assert_eq!(grantor.claim(NOW + 1_009, OTHER, 0), Grant::Nothing);
    assert_eq!(grantor.claim(NOW + 1_010, OTHER, 0), Grant::Lent);
    let mut holder = LeaseHolder::new(TERMS, OWNER, NOW);
    let request_id = holder.request_renewal(NOW + 500);
    (0..3).for_each(|grantor| holder.renewal_answered(grantor, request_id, Grant::Nothing));
    assert_eq!(holder.allocation(NOW + 1_009).units, LENT_UNITS);
    assert_eq!(holder.allocation(NOW + 1_010).units, SLOT_UNITS);
}

#[test]
fn owner_has_nothing_of_a_slot_granted_to_another() {
    let mut holder = LeaseHolder::new(TERMS, OWNER, 0);
    let request_id = holder.request_renewal(NOW);
    (0..3).for_each(|grantor| holder.renewal_answered(grantor, request_id, Grant::Whole));
    assert_eq!(holder.allocation(NOW).units, 0);
    // Where another has the lent part, the kept one is its own.
    let request_id = holder.request_renewal(NOW);
    (0..3).for_each(|grantor| holder.renewal_answered(grantor, request_id, Grant::Lent));
    assert_eq!(holder.allocation(NOW).units, KEPT_UNITS);
}

#[test]
fn loans_run_from_the_request() {
    let mut holder = LeaseHolder::new(TERMS, OTHER, 0);
    let request_id = holder.request_loan(NOW, 0).expect("there is room");
    holder.loan_received(0, request_id, 5, 1_000);
    assert_eq!((holder.allocation(NOW + 989).units, holder.allocation(NOW + 990).units), (5, 0));
    // Not longer than a lease, whatever the lender says, and not what was never asked for.
    let request_id = holder.request_loan(NOW, 2).expect("there is room");
    holder.loan_received(2, request_id, 7, 50_000);
    holder.loan_received(2, request_id + 1, 900, 1_000);
    assert_eq!((holder.allocation(NOW + 989).units, holder.allocation(NOW + 990).units), (12, 0));
}

/// A member of ten that has its slot, asked at a moment, with a need and what it believes; and what it asks.
fn coordinator(number: u32, need: u64, view: &MembershipView) -> (LeaseCoordinator, Vec<Output>) {
    let (terms, me) = (LeaseTerms { members: 10, ..TERMS }, Member { number, incarnation: 1 });
    let mut coordinator = LeaseCoordinator::new(terms, me, 0, 7);
    let out = coordinator.tick(NOW, need, view);
    for grantor in terms.grantors(number) {
        let from = Member { number: grantor, incarnation: 1 };
        coordinator.handle_message(NOW, from, Message::Renewed { request_id: 1, granted: Grant::Nothing });
    }
    assert_eq!(coordinator.allocation(NOW).units, SLOT_UNITS);
    (coordinator, out)
}

fn claims(out: &[Output]) -> usize {
    out.iter().filter(|out| matches!(out, Output::Send { message: Message::Claim { .. }, .. })).count()
}

/// Claims of all at once, of which none gets a majority.
#[test]
fn one_member_claims_a_slot_first_and_others_later() {
    let alive = |me: u32| (0..9).filter(|other| *other != me).collect();
    let claim = |me: u32| {
        let view = MembershipView { alive: alive(me), gone: vec![9] };
        let (mut coordinator, _) = coordinator(me, 3 * SLOT_UNITS, &view);
        let at = |coordinator: &mut LeaseCoordinator, after: u64| {
            claims(&coordinator.tick(NOW + after, 3 * SLOT_UNITS, &view)) > 0
        };
        (at(&mut coordinator, 500), (1..10).any(|leases| at(&mut coordinator, 500 + leases * 1_000)))
    };
    let all: Vec<(bool, bool)> = (0..9).map(claim).collect();
    assert_eq!(all.iter().filter(|(first, _)| *first).count(), 1, "{all:?}");
    assert!(all.iter().all(|(first, later)| *first || *later), "{all:?}");
}

#[test]
fn releases_a_slot_it_no_longer_needs() {
    let view = MembershipView { alive: vec![], gone: vec![9] };
    let (mut coordinator, _) = coordinator(1, 3 * SLOT_UNITS, &view);
    let out = coordinator.tick(NOW + 500, 3 * SLOT_UNITS, &view);
    let asked = out.iter().find_map(|out| match out {
        Output::Send { message: Message::Claim { request_id, slot: 9 }, .. } => Some(*request_id),
        _ => None,
    });
    let request_id = asked.expect("it claims");
    for grantor in (LeaseTerms { members: 10, ..TERMS }).grantors(9) {
        let (from, given) = (Member { number: grantor, incarnation: 1 }, Grant::Whole);
        coordinator.handle_message(NOW + 500, from, Message::Claimed { request_id, slot: 9, grant: given });
    }
    assert_eq!(coordinator.slots_taken_over(NOW + 500), 1);
    assert!(
        claims(&coordinator.tick(NOW + 900, 3 * SLOT_UNITS, &view)) > 0,
        "it asks again while it needs it"
    );
    assert_eq!(claims(&coordinator.tick(NOW + 1_300, SLOT_UNITS / 2, &view)), 0);
}

#[test]
fn lends_only_what_it_does_not_need() {
    let ask = |need: u64| {
        let (mut coordinator, _) = coordinator(1, need, &MembershipView::default());
        let from = Member { number: 2, incarnation: 1 };
        let out = coordinator.handle_message(NOW, from, Message::Borrow { request_id: 1, units: SLOT_UNITS });
        out.iter().find_map(|out| match out {
            Output::Send { message: Message::Loan { units, .. }, .. } => Some(*units),
            _ => None,
        })
    };
    assert_eq!(ask(SLOT_UNITS), None);
    // Half of what it has, and a twentieth of its need stays.
    assert_eq!(ask(SLOT_UNITS / 2), Some(SLOT_UNITS * 475 / 1_000));
    // What is sure for so long is the kept part.
    assert_eq!(ask(0), Some(KEPT_UNITS));
}
