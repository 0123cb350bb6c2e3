//! Single rules of grantors, holders and coordinators that the model check does not cover.

use membership::lease::{
    Grant, GrantedLoan, LeaseCoordinator, LeaseGrantor, LeaseHolder, LeaseTerms, Member, MembershipView,
    Message, Output, KEPT_UNITS, LENT_UNITS, MAX_PENDING_REQUESTS, SLOT_UNITS,
};

const TERMS: LeaseTerms =
    LeaseTerms { members: 3, lease_ms: 1_000, max_drift_per_mille: 10, trust_refusals: true };
const OWNER: Member = Member { number: 0, incarnation: 5 };
const OTHER: Member = Member { number: 1, incarnation: 9 };
/// A time long after the grantor's start.
const NOW: u64 = 100_000;

fn grantor() -> LeaseGrantor {
    LeaseGrantor::new(TERMS, 0)
}

#[test]
fn renewal_of_earlier_incarnation_changes_nothing() {
    let mut grantor = grantor();
    grantor.renew(NOW, OWNER);
    grantor.owner_unreachable(NOW + 500, OWNER);
    let earlier = Member { incarnation: 4, ..OWNER };
    // The response gives it no part of the slot, and the current incarnation still counts as unreachable.
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
fn whole_slot_is_not_granted_without_a_renewal() {
    let mut grantor = grantor();
    grantor.owner_unreachable(NOW, OWNER);
    assert_eq!(grantor.claim(NOW + 5_000, OTHER, 0), Grant::Lent);
    // An owner cannot claim its own slot.
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

/// Returns an owner that started long ago, and whose renewal all three grantors acknowledged.
fn owner() -> LeaseHolder {
    let mut holder = LeaseHolder::new(TERMS, OWNER, 0);
    let request_id = holder.request_renewal(NOW);
    (0..3).for_each(|grantor| holder.renewal_answered(grantor, request_id, Grant::Nothing));
    holder
}

#[test]
fn allocation_states_its_expiry_and_the_units_after_it() {
    let allocation = owner().allocation(NOW + 10);
    assert_eq!(
        (allocation.units, allocation.valid_until_ms, allocation.units_after),
        (SLOT_UNITS, NOW + 990, KEPT_UNITS)
    );
    assert_eq!(
        owner().allocation(NOW + 990).units,
        KEPT_UNITS,
        "the lease expires by the clock, without a message"
    );
}

#[test]
fn majority_counts_each_grantor_of_the_slot_once() {
    let mut holder = LeaseHolder::new(TERMS, OWNER, 0);
    let request_id = holder.request_renewal(NOW);
    (0..3).for_each(|_| holder.renewal_answered(1, request_id, Grant::Nothing));
    assert_eq!(holder.allocation(NOW).units, 0);
    holder.renewal_answered(7, request_id, Grant::Nothing);
    assert_eq!(holder.allocation(NOW).units, 0, "7 is not a grantor of the slot");
    holder.renewal_answered(2, request_id, Grant::Nothing);
    assert_eq!(holder.allocation(NOW).units, SLOT_UNITS);
}

#[test]
fn leases_start_at_request_and_ignore_replaced_requests() {
    let mut holder = LeaseHolder::new(TERMS, OTHER, 0);
    let first = holder.request_claim(NOW, 0).expect("the request is allowed");
    for later in 1..=MAX_PENDING_REQUESTS as u64 {
        holder.request_claim(NOW + later, 0).expect("the request is allowed");
    }
    (0..3).for_each(|grantor| holder.claim_answered(grantor, first, 0, Grant::Lent));
    assert_eq!(holder.allocation(NOW).units, 0, "the request was replaced by later ones");
    (0..3).for_each(|grantor| holder.claim_answered(grantor, first + 1, 0, Grant::Lent));
    assert_eq!(holder.allocation(NOW).units, LENT_UNITS);
    assert_eq!(holder.allocation(NOW + 991).units, 0, "the lease starts at the request");
}

#[test]
fn repeated_loans_are_counted_once() {
    let mut holder = owner();
    let lent = holder.lend(NOW, OTHER, 400_000, u64::MAX);
    assert_eq!(lent, GrantedLoan { units: 400_000, duration_ms: 1_000 });
    // A new loan to the same member replaces its first one. Another member gets only what is left.
    assert_eq!(holder.lend(NOW + 10, OTHER, 500_000, u64::MAX).units, 500_000);
    let third = Member { number: 2, incarnation: 1 };
    // Lent units must be leased for the length of the loan, which the lent part of the slot is not.
    assert_eq!(holder.lend(NOW + 20, third, SLOT_UNITS, u64::MAX).units, KEPT_UNITS - 500_000);
    assert_eq!(holder.lend(NOW + 20, Member { number: 2, incarnation: 2 }, 1, u64::MAX).units, 0);
    assert_eq!(holder.allocation(NOW + 20).units, LENT_UNITS);
    assert_eq!(holder.lend(NOW + 20, OWNER, 1, u64::MAX).units, 0, "no loan to itself");
    // Lent units may be used again once the loans have expired by the lender's clock.
    assert_eq!(holder.allocation(NOW + 1_029).units, KEPT_UNITS - 200_000);
    assert_eq!(holder.allocation(NOW + 1_030).units, KEPT_UNITS);
}

#[test]
fn claims_and_lenders_are_bounded() {
    let terms = LeaseTerms { members: 10_000, ..TERMS };
    let mut holder = LeaseHolder::new(terms, OWNER, 0);
    assert_eq!((1..1_000).filter(|slot| holder.request_claim(NOW, *slot).is_some()).count(), 64);
    assert_eq!((1..1_000).filter(|from| holder.request_loan(NOW, *from).is_some()).count(), 64);
    // Claims and requests for loans without a result are replaced after a lease.
    assert!(
        holder.request_claim(NOW + 5_000, 2_000).is_some()
            && holder.request_loan(NOW + 5_000, 2_000).is_some()
    );
    assert_eq!(holder.request_claim(NOW, 0), None, "its own slot");
}

/// Request ids restart with each incarnation, so a response to an earlier incarnation could match a request
/// of the current one.
#[test]
fn responses_carry_the_requesting_incarnation() {
    let mut coordinator = LeaseCoordinator::new(TERMS, Member { number: 2, incarnation: 3 }, 0, 1);
    let outputs = coordinator.handle_message(NOW, OWNER, Message::Renew { request_id: 1 });
    let response = Message::Renewed { request_id: 1, granted: Grant::Nothing };
    assert_eq!(outputs, [Output::Send { to: 0, incarnation: Some(5), message: response }]);
}

#[test]
fn grantors_are_deterministic_and_exclude_owner_in_large_fleets() {
    for members in [1, 2, 7, 8, 300] {
        let terms = LeaseTerms { members, ..TERMS };
        let mut slots_per_grantor = vec![0; members as usize];
        for slot in 0..members {
            let grantors = terms.grantors(slot);
            assert_eq!(grantors, terms.grantors(slot));
            assert_eq!(grantors.len(), members.min(7) as usize);
            assert!(members <= 7 || !grantors.contains(&slot));
            assert!(
                grantors.windows(2).all(|two| two[0] < two[1])
                    && grantors.iter().all(|grantor| *grantor < members)
            );
            for grantor in grantors.into_iter() {
                slots_per_grantor[grantor as usize] += 1;
            }
        }
        // No member is a grantor of too many slots.
        assert!(slots_per_grantor.iter().all(|slots| *slots <= 24), "{slots_per_grantor:?}");
    }
}

#[test]
fn whole_slot_is_granted_a_lease_after_refusal() {
    let mut grantor = grantor();
    grantor.renew(NOW, OWNER);
    grantor.owner_unreachable(NOW + 1_010, OWNER);
    // Units that the owner lent may still be in use.
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
fn owner_has_no_units_that_are_granted_to_another() {
    let mut holder = LeaseHolder::new(TERMS, OWNER, 0);
    let request_id = holder.request_renewal(NOW);
    (0..3).for_each(|grantor| holder.renewal_answered(grantor, request_id, Grant::Whole));
    assert_eq!(holder.allocation(NOW).units, 0);
    // If another member has the lent part, the owner has the kept part.
    let request_id = holder.request_renewal(NOW);
    (0..3).for_each(|grantor| holder.renewal_answered(grantor, request_id, Grant::Lent));
    assert_eq!(holder.allocation(NOW).units, KEPT_UNITS);
}

#[test]
fn loans_start_at_the_request() {
    let mut holder = LeaseHolder::new(TERMS, OTHER, 0);
    let request_id = holder.request_loan(NOW, 0).expect("the request is allowed");
    holder.loan_received(0, request_id, 5, 1_000);
    assert_eq!((holder.allocation(NOW + 989).units, holder.allocation(NOW + 990).units), (5, 0));
    // A loan is limited to the length of a lease, and a response to an unknown request is ignored.
    let request_id = holder.request_loan(NOW, 2).expect("the request is allowed");
    holder.loan_received(2, request_id, 7, 50_000);
    holder.loan_received(2, request_id + 1, 900, 1_000);
    assert_eq!((holder.allocation(NOW + 989).units, holder.allocation(NOW + 990).units), (12, 0));
}

/// Returns a member of a fleet of ten that has its slot, with the given need and view, and its first outputs.
fn coordinator(number: u32, need: u64, view: &MembershipView) -> (LeaseCoordinator, Vec<Output>) {
    let (terms, member) = (LeaseTerms { members: 10, ..TERMS }, Member { number, incarnation: 1 });
    let mut coordinator = LeaseCoordinator::new(terms, member, 0, 7);
    let outputs = coordinator.tick(NOW, need, view);
    for grantor in terms.grantors(number) {
        let from = Member { number: grantor, incarnation: 1 };
        coordinator.handle_message(NOW, from, Message::Renewed { request_id: 1, granted: Grant::Nothing });
    }
    assert_eq!(coordinator.allocation(NOW).units, SLOT_UNITS);
    (coordinator, outputs)
}

fn claims(outputs: &[Output]) -> usize {
    outputs
        .iter()
        .filter(|output| matches!(output, Output::Send { message: Message::Claim { .. }, .. }))
        .count()
}

/// If all members claimed a slot at once, none would get a majority.
#[test]
fn one_member_claims_a_slot_first_and_others_later() {
    let alive = |member: u32| (0..9).filter(|other| *other != member).collect();
    let claims_early_and_late = |member: u32| {
        let view = MembershipView { alive: alive(member), gone: vec![9] };
        let (mut coordinator, _) = coordinator(member, 3 * SLOT_UNITS, &view);
        let claims_at = |coordinator: &mut LeaseCoordinator, after: u64| {
            claims(&coordinator.tick(NOW + after, 3 * SLOT_UNITS, &view)) > 0
        };
        (
            claims_at(&mut coordinator, 500),
            (1..10).any(|leases| claims_at(&mut coordinator, 500 + leases * 1_000)),
        )
    };
    let all: Vec<(bool, bool)> = (0..9).map(claims_early_and_late).collect();
    assert_eq!(all.iter().filter(|(first, _)| *first).count(), 1, "{all:?}");
    assert!(all.iter().all(|(first, later)| *first || *later), "{all:?}");
}

#[test]
fn slot_is_released_when_no_longer_needed() {
    let view = MembershipView { alive: vec![], gone: vec![9] };
    let (mut coordinator, _) = coordinator(1, 3 * SLOT_UNITS, &view);
    let outputs = coordinator.tick(NOW + 500, 3 * SLOT_UNITS, &view);
    let claim_id = outputs.iter().find_map(|output| match output {
        Output::Send { message: Message::Claim { request_id, slot: 9 }, .. } => Some(*request_id),
        _ => None,
    });
    let request_id = claim_id.expect("the member claims the slot");
    for grantor in (LeaseTerms { members: 10, ..TERMS }).grantors(9) {
        let (from, grant) = (Member { number: grantor, incarnation: 1 }, Grant::Whole);
        coordinator.handle_message(NOW + 500, from, Message::Claimed { request_id, slot: 9, grant });
    }
    assert_eq!(coordinator.slots_taken_over(NOW + 500), 1);
    assert!(
        claims(&coordinator.tick(NOW + 900, 3 * SLOT_UNITS, &view)) > 0,
        "the claim is repeated while the units are needed"
    );
    assert_eq!(claims(&coordinator.tick(NOW + 1_300, SLOT_UNITS / 2, &view)), 0);
}

#[test]
fn member_lends_only_what_it_does_not_need() {
    let lent_with_need = |need: u64| {
        let (mut coordinator, _) = coordinator(1, need, &MembershipView::default());
        let from = Member { number: 2, incarnation: 1 };
        let outputs =
            coordinator.handle_message(NOW, from, Message::Borrow { request_id: 1, units: SLOT_UNITS });
        outputs.iter().find_map(|output| match output {
            Output::Send { message: Message::Loan { units, .. }, .. } => Some(*units),
            _ => None,
        })
    };
    assert_eq!(lent_with_need(SLOT_UNITS), None);
    // It lends half of its slot, less a reserve of a twentieth of its need.
    assert_eq!(lent_with_need(SLOT_UNITS / 2), Some(SLOT_UNITS * 475 / 1_000));
    // Only the kept part is certain for the length of the loan.
    assert_eq!(lent_with_need(0), Some(KEPT_UNITS));
}
