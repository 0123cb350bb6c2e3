//! The auditor finds each breach in a journal that holds it, and none in one that does not.

use std::thread::sleep;
use std::time::Duration;

use testbed::audit::{audit, AuditOptions, Rule, Violation};
use testbed::journal::{Answer, AttemptResult, Class, Event, Journal};
use testbed::platform;

fn asked(id: u64, class: Class, customer: u64) -> Event {
    Event::RequestSent { id, customer, class, units: 1.0, gateway: 0 }
}

fn arrived(journal: &Journal, id: u64, class: Class, backend: &str, ran: bool) -> Event {
    let (key, backend) = ((class == Class::Keyed).then(|| "k".to_string()), backend.to_string());
    Event::AttemptReceived { id, key, class, backend, group: 0, first_byte_at: journal.now(), ran }
}

fn answered(id: u64, answer: Answer) -> Event {
    Event::AnswerReceived { id, answer }
}

fn judge(journal: &Journal, terms: AuditOptions) -> Vec<Violation> {
    audit(journal, terms).expect("all events are there")
}

fn rules(journal: &Journal) -> Vec<(Rule, u64)> {
    judge(journal, AuditOptions::default()).into_iter().map(|b| (b.rule, b.id)).collect()
}

#[test]
fn a_request_without_one_whole_answer_is_lost() {
    let journal = Journal::new(100);
    for id in 1..=5 {
        journal.note(asked(id, Class::Safe, 1));
    }
    journal.note(answered(1, Answer::Served));
    journal.note(answered(2, Answer::Missing));
    journal.note(answered(3, Answer::Malformed));
    journal.note(answered(4, Answer::Rejected(None)));
    journal.note(answered(4, Answer::Served));
    assert_eq!(rules(&journal), [2, 3, 4, 5].map(|id| (Rule::Lost, id)));
    // While the load runs, the one that is still open is not.
    let open = judge(&journal, AuditOptions { complete: false, ..AuditOptions::default() });
    assert!(open.iter().all(|b| b.id != 5), "{open:?}");
}

#[test]
fn a_second_run_is_told_from_a_copy_that_never_ran_and_from_a_safe_one() {
    let journal = Journal::new(100);
    for (id, class) in [(1, Class::Safe), (2, Class::Unsafe), (3, Class::Unsafe), (4, Class::Keyed)] {
        journal.note(asked(id, class, 1));
        journal.note(arrived(&journal, id, class, "a", id != 3));
        journal.note(arrived(&journal, id, class, "b", true));
        journal.note(answered(id, Answer::Served));
    }
    assert_eq!(rules(&journal), [(Rule::Twice, 2)]);
}

#[test]
fn work_after_the_grace_of_a_drain_is_found_for_the_gateway_that_was_told() {
    let journal = Journal::new(100);
    let terms = AuditOptions { drain_grace: Duration::from_millis(20), ..AuditOptions::default() };
    let drain = |backend: &str, gateway| Event::BackendDrained { backend: backend.to_string(), gateway };
    journal.note(drain("a", None));
    journal.note(drain("b", Some(1)));
    journal.note(asked(1, Class::Safe, 1));
    journal.note(arrived(&journal, 1, Class::Safe, "a", true));
    sleep(Duration::from_millis(60));
    // Its gateway, number 0, was not told of b's drain.
    journal.note(arrived(&journal, 1, Class::Safe, "b", true));
    journal.note(asked(2, Class::Safe, 1));
    journal.note(arrived(&journal, 2, Class::Safe, "a", true));
    journal.note(Event::BackendUndrained { backend: "a".to_string() });
    journal.note(asked(3, Class::Safe, 1));
    journal.note(arrived(&journal, 3, Class::Safe, "a", true));
    (1..=3).for_each(|id| journal.note(answered(id, Answer::Served)));
    let found = judge(&journal, terms);
    assert_eq!(found.iter().map(|b| (b.rule, b.id)).collect::<Vec<_>>(), [(Rule::Drain, 2)]);
    assert!(found[0].to_string().contains("to a "), "{}", found[0]);
}

#[test]
fn a_cold_backend_that_is_held_under_too_much_is_found_and_one_that_is_let_go_is_not() {
    for held in [true, false] {
        let journal = Journal::new(100);
        journal.note(Event::BackendStarted { backend: "a".to_string(), slots: 1 });
        for id in 1..=6 {
            journal.note(asked(id, Class::Safe, 1));
            journal.note(arrived(&journal, id, Class::Safe, "a", true));
            journal.note(answered(id, Answer::Served));
        }
        if !held {
            for id in 1..=6 {
                journal.note(Event::AttemptEnded {
                    id,
                    backend: "a".to_string(),
                    result: AttemptResult::Served,
                });
            }
        }
        sleep(Duration::from_secs_f64(platform::OVERLOAD_WINDOW_MS / 1000.0 + 0.1));
        journal.note(asked(7, Class::Safe, 1));
        journal.note(arrived(&journal, 7, Class::Safe, "a", true));
        journal.note(answered(7, Answer::Served));
        let expected: &[(Rule, u64)] = if held { &[(Rule::Cold, 7)] } else { &[] };
        assert_eq!(rules(&journal), expected);
    }
}

#[test]
fn a_customer_that_passes_its_ceiling_is_found() {
    let journal = Journal::new(10_000);
    let burst = (platform::PAID_BURST * platform::PAID_CEILING) as u64;
    let (paid, free) = ((1 << 24) + 1, 1);
    for (id, customer) in
        (1..=2 * burst).map(|id| (id, paid)).chain((9_000..9_000 + burst).map(|id| (id, free)))
    {
        journal.note(asked(id, Class::Safe, customer));
        journal.note(arrived(&journal, id, Class::Safe, "a", true));
        journal.note(answered(id, Answer::Served));
    }
    let found = judge(&journal, AuditOptions::default());
    let first = found.first().expect("found");
    assert_eq!(first.rule, Rule::Ceiling);
    assert!((burst..burst + burst / 2).contains(&first.id), "{first}");
    assert!(found.iter().all(|b| b.id < 9_000), "one without a ceiling");
}

#[test]
fn a_journal_that_ran_over_is_no_proof() {
    let journal = Journal::new(2);
    (1..=2).for_each(|id| journal.note(answered(id, Answer::Served)));
    assert!(audit(&journal, AuditOptions::default()).is_ok());
    journal.note(answered(3, Answer::Served));
    assert!(audit(&journal, AuditOptions::default()).expect_err("one is missing").contains("1 events"));
}
