//! The auditor reports each violation in a journal that contains it, and none in one that does not.

use std::thread::sleep;
use std::time::Duration;

use testbed::audit::{audit, AuditOptions, Rule, Violation};
use testbed::journal::{Answer, AttemptResult, Class, Event, Journal};
use testbed::platform;

fn sent(id: u64, class: Class, customer: u64) -> Event {
    Event::RequestSent { id, customer, class, units: 1.0, gateway: 0 }
}

fn received(journal: &Journal, id: u64, class: Class, backend: &str, ran: bool) -> Event {
    let (key, backend) = ((class == Class::Keyed).then(|| "k".to_string()), backend.to_string());
    Event::AttemptReceived { id, key, class, backend, group: 0, first_byte_at: journal.now(), ran }
}

fn answered(id: u64, answer: Answer) -> Event {
    Event::AnswerReceived { id, answer }
}

fn violations(journal: &Journal, options: AuditOptions) -> Vec<Violation> {
    audit(journal, options).expect("no events were dropped")
}

fn violated_rules(journal: &Journal) -> Vec<(Rule, u64)> {
    violations(journal, AuditOptions::default()).into_iter().map(|v| (v.rule, v.id)).collect()
}

#[test]
fn requests_without_exactly_one_complete_answer_are_reported() {
    let journal = Journal::new(100);
    for id in 1..=5 {
        journal.note(sent(id, Class::Safe, 1));
    }
    journal.note(answered(1, Answer::Served));
    journal.note(answered(2, Answer::Missing));
    journal.note(answered(3, Answer::Malformed));
    journal.note(answered(4, Answer::Rejected(None)));
    journal.note(answered(4, Answer::Served));
    assert_eq!(violated_rules(&journal), [2, 3, 4, 5].map(|id| (Rule::Lost, id)));
    // While the load runs, a request without an answer yet is no violation.
    let running = violations(&journal, AuditOptions { complete: false, ..AuditOptions::default() });
    assert!(running.iter().all(|v| v.id != 5), "{running:?}");
}

#[test]
fn second_run_of_an_unsafe_request_is_reported() {
    let journal = Journal::new(100);
    for (id, class) in [(1, Class::Safe), (2, Class::Unsafe), (3, Class::Unsafe), (4, Class::Keyed)] {
        journal.note(sent(id, class, 1));
        journal.note(received(&journal, id, class, "a", id != 3));
        journal.note(received(&journal, id, class, "b", true));
        journal.note(answered(id, Answer::Served));
    }
    assert_eq!(violated_rules(&journal), [(Rule::Twice, 2)]);
}

#[test]
fn attempt_after_the_drain_grace_is_reported_for_ordered_gateways() {
    let journal = Journal::new(100);
    let options = AuditOptions { drain_grace: Duration::from_millis(20), ..AuditOptions::default() };
    let drain = |backend: &str, gateway| Event::BackendDrained { backend: backend.to_string(), gateway };
    journal.note(drain("a", None));
    journal.note(drain("b", Some(1)));
    journal.note(sent(1, Class::Safe, 1));
    journal.note(received(&journal, 1, Class::Safe, "a", true));
    sleep(Duration::from_millis(60));
    // Gateway 0, which sent it, was not ordered to drain b.
    journal.note(received(&journal, 1, Class::Safe, "b", true));
    journal.note(sent(2, Class::Safe, 1));
    journal.note(received(&journal, 2, Class::Safe, "a", true));
    journal.note(Event::BackendUndrained { backend: "a".to_string() });
    journal.note(sent(3, Class::Safe, 1));
    journal.note(received(&journal, 3, Class::Safe, "a", true));
    (1..=3).for_each(|id| journal.note(answered(id, Answer::Served)));
    let found = violations(&journal, options);
    assert_eq!(found.iter().map(|v| (v.rule, v.id)).collect::<Vec<_>>(), [(Rule::Drain, 2)]);
    assert!(found[0].to_string().contains("to a "), "{}", found[0]);
}

#[test]
fn overloaded_cold_backend_is_reported_unless_relieved() {
    for stays_overloaded in [true, false] {
        let journal = Journal::new(100);
        journal.note(Event::BackendStarted { backend: "a".to_string(), slots: 1 });
        for id in 1..=6 {
            journal.note(sent(id, Class::Safe, 1));
            journal.note(received(&journal, id, Class::Safe, "a", true));
            journal.note(answered(id, Answer::Served));
        }
        if !stays_overloaded {
            for id in 1..=6 {
                journal.note(Event::AttemptEnded {
                    id,
                    backend: "a".to_string(),
                    result: AttemptResult::Served,
                });
            }
        }
        sleep(Duration::from_secs_f64(platform::OVERLOAD_WINDOW_MS / 1000.0 + 0.1));
        journal.note(sent(7, Class::Safe, 1));
        journal.note(received(&journal, 7, Class::Safe, "a", true));
        journal.note(answered(7, Answer::Served));
        let expected: &[(Rule, u64)] = if stays_overloaded { &[(Rule::Cold, 7)] } else { &[] };
        assert_eq!(violated_rules(&journal), expected);
    }
}

#[test]
fn customer_over_its_ceiling_is_reported() {
    let journal = Journal::new(10_000);
    let burst = (platform::PAID_BURST * platform::PAID_CEILING) as u64;
    let (paid, free) = ((1 << 24) + 1, 1);
    for (id, customer) in
        (1..=2 * burst).map(|id| (id, paid)).chain((9_000..9_000 + burst).map(|id| (id, free)))
    {
        journal.note(sent(id, Class::Safe, customer));
        journal.note(received(&journal, id, Class::Safe, "a", true));
        journal.note(answered(id, Answer::Served));
    }
    let found = violations(&journal, AuditOptions::default());
    let first = found.first().expect("a violation");
    assert_eq!(first.rule, Rule::Ceiling);
    assert!((burst..burst + burst / 2).contains(&first.id), "{first}");
    assert!(found.iter().all(|v| v.id < 9_000), "a customer without a ceiling was reported");
}

#[test]
fn audit_fails_if_the_journal_dropped_events() {
    let journal = Journal::new(2);
    (1..=2).for_each(|id| journal.note(answered(id, Answer::Served)));
    assert!(audit(&journal, AuditOptions::default()).is_ok());
    journal.note(answered(3, Answer::Served));
    assert!(audit(&journal, AuditOptions::default()).expect_err("an event was dropped").contains("1 events"));
}
