//! The auditor: checks five rules against the event journal and reports which request violates which.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::fmt;
use std::time::Duration;

use crate::journal::{Answer, Class, Event, Journal};
use crate::platform;

/// A rule that the auditor checks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// Every request accepted by a gateway gets exactly one final answer.
    Lost,
    /// No request takes effect twice.
    Twice,
    /// No new attempt reaches a drained backend after the drain's grace period.
    Drain,
    /// No cold backend is overloaded.
    Cold,
    /// No customer exceeds the hard ceiling of its plan.
    Ceiling,
}

/// A violation of a rule.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// The violated rule.
    pub rule: Rule,
    /// Id of the request; the last one where several are involved.
    pub id: u64,
    /// Description of the violation.
    pub details: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}: request {:016x}: {}", self.rule, self.id, self.details)
    }
}

/// Parameters of an audit.
#[derive(Clone, Copy, Debug)]
pub struct AuditOptions {
    /// Time after a backend's drain from which it must not receive new attempts.
    pub drain_grace: Duration,
    /// Whether every request must have been answered by now; false while a load is still running.
    pub complete: bool,
}

impl Default for AuditOptions {
    fn default() -> Self {
        let drain_grace = Duration::from_secs_f64(platform::DRAIN_GRACE_MS / 1000.0);
        AuditOptions { drain_grace, complete: true }
    }
}

/// Checks a journal and returns the violations.
///
/// # Errors
/// Returns a message if the journal dropped events, as a result would then prove nothing.
pub fn audit(journal: &Journal, options: AuditOptions) -> Result<Vec<Violation>, String> {
    let dropped = journal.dropped();
    if dropped > 0 {
        return Err(format!("the journal dropped {dropped} events, so the audit proves nothing"));
    }
    let events = journal.events();
    let mut violations = Vec::new();
    check_answers(&events, options, &mut violations);
    check_repeats(&events, &mut violations);
    check_drains(&events, options, &mut violations);
    check_cold_backends(&events, &mut violations);
    check_ceilings(&events, &mut violations);
    Ok(violations)
}

type Events = [(Duration, Event)];

/// Checks that every request got exactly one complete answer.
fn check_answers(events: &Events, options: AuditOptions, violations: &mut Vec<Violation>) {
    let mut answers: BTreeMap<u64, Vec<&Answer>> = BTreeMap::new();
    let mut sent = HashSet::new();
    for (_, event) in events {
        match event {
            Event::RequestSent { id, .. } if !sent.insert(*id) => {
                violations.push(violation(Rule::Lost, *id, "sent twice by a client: an error of the load"));
            }
            Event::RequestSent { id, .. } => drop(answers.entry(*id).or_default()),
            Event::AnswerReceived { id, answer } => answers.entry(*id).or_default().push(answer),
            _ => {}
        }
    }
    for (id, received) in answers {
        match received[..] {
            [] if options.complete => violations.push(violation(Rule::Lost, id, "never answered")),
            [Answer::Missing] => {
                violations.push(violation(Rule::Lost, id, "its connection ended without an answer"));
            }
            [Answer::Malformed] => {
                violations.push(violation(Rule::Lost, id, "answered with bytes that no backend sent for it"));
            }
            [] | [_] => {}
            _ => violations.push(violation(Rule::Lost, id, format!("{} answers", received.len()))),
        }
    }
}

fn violation(rule: Rule, id: u64, details: impl Into<String>) -> Violation {
    Violation { rule, id, details: details.into() }
}

/// Checks that no request runs twice. An attempt may follow one that never ran. After an attempt that ran
/// there may be no other in the class `unsafe`, and one in the class `keyed` only within the deduplication
/// window of 5 s.
fn check_repeats(events: &Events, violations: &mut Vec<Violation>) {
    let window = Duration::from_secs(5);
    let mut ran: HashMap<u64, Vec<Duration>> = HashMap::new();
    for (at, event) in events {
        let Event::AttemptReceived { id, class, backend, ran: true, .. } = event else { continue };
        let earlier_runs = ran.entry(*id).or_default();
        let is_violation = match class {
            Class::Safe => false,
            Class::Unsafe => !earlier_runs.is_empty(),
            Class::Keyed => earlier_runs.first().is_some_and(|first| at.saturating_sub(*first) > window),
        };
        if is_violation {
            violations.push(violation(
                Rule::Twice,
                *id,
                format!("ran {} times, last on {backend}", earlier_runs.len() + 1),
            ));
        }
        earlier_runs.push(*at);
    }
}

/// Checks that drained backends receive no new attempts after the grace period.
fn check_drains(events: &Events, options: AuditOptions, violations: &mut Vec<Violation>) {
    // The gateway of each request, as only one gateway may have been ordered to drain a backend.
    let mut gateway_of: HashMap<u64, usize> = HashMap::new();
    let mut drained: HashMap<&str, Vec<(Duration, Option<usize>)>> = HashMap::new();
    for (at, event) in events {
        match event {
            Event::RequestSent { id, gateway, .. } => drop(gateway_of.insert(*id, *gateway)),
            Event::BackendDrained { backend, gateway } => {
                drained.entry(backend).or_default().push((*at, *gateway));
            }
            Event::BackendUndrained { backend } => drop(drained.remove(backend.as_str())),
            Event::AttemptReceived { id, backend, first_byte_at, .. } => {
                for (drained_at, gateway) in drained.get(backend.as_str()).into_iter().flatten() {
                    let delay = first_byte_at.saturating_sub(*drained_at);
                    let ordered = gateway.is_none_or(|g| gateway_of.get(id) == Some(&g));
                    if ordered && delay > options.drain_grace {
                        let ms = delay.as_millis();
                        violations.push(violation(
                            Rule::Drain,
                            *id,
                            format!("to {backend} {ms} ms after its drain"),
                        ));
                    }
                }
            }
            _ => {}
        }
    }
}

/// Checks that no warming backend is overloaded: its requests in flight must not exceed the overload multiple
/// of its current capacity for longer than the overload window.
fn check_cold_backends(events: &Events, violations: &mut Vec<Violation>) {
    struct WarmingBackend {
        started: Duration,
        slots: usize,
        in_flight: usize,
        overloaded_since: Option<Duration>,
        reported: bool,
    }
    let window = Duration::from_secs_f64(platform::OVERLOAD_WINDOW_MS / 1000.0);
    let mut warming: HashMap<&str, WarmingBackend> = HashMap::new();
    for (at, event) in events {
        let (name, id) = match event {
            Event::BackendStarted { backend, slots } => {
                let backend_state = WarmingBackend {
                    started: *at,
                    slots: *slots,
                    in_flight: 0,
                    overloaded_since: None,
                    reported: false,
                };
                warming.insert(backend, backend_state);
                continue;
            }
            Event::AttemptReceived { backend, id, .. } | Event::AttemptEnded { backend, id, .. } => {
                (backend.as_str(), *id)
            }
            _ => continue,
        };
        let Some(state) = warming.get_mut(name) else { continue };
        match event {
            Event::AttemptReceived { .. } => state.in_flight += 1,
            _ => state.in_flight = state.in_flight.saturating_sub(1),
        }
        let warmth =
            (at.saturating_sub(state.started).as_secs_f64() * 1000.0 / platform::WARM_UP_MS).min(1.0);
        let capacity = platform::INITIAL_CAPACITY + (1.0 - platform::INITIAL_CAPACITY) * warmth;
        if warmth < 1.0
            && state.in_flight as f64 > platform::OVERLOAD_MULTIPLE * capacity * state.slots as f64
        {
            let since = *state.overloaded_since.get_or_insert(*at);
            if at.saturating_sub(since) > window && !state.reported {
                state.reported = true;
                violations.push(violation(
                    Rule::Cold,
                    id,
                    format!("{} in flight on cold {name}", state.in_flight),
                ));
            }
        } else {
            state.overloaded_since = None;
        }
    }
}

/// Checks the ceiling of the plan `paid`. A request takes its units from its customer's token bucket when its
/// first attempt reaches a backend.
fn check_ceilings(events: &Events, violations: &mut Vec<Violation>) {
    let (rate, burst) =
        (platform::PAID_RATE * platform::PAID_CEILING, platform::PAID_BURST * platform::PAID_CEILING);
    // A tenth of the burst plus the units that the ceiling's rate refills in 0.15 s, because times in the
    // journal may be off by that much.
    let slack = burst / 10.0 + rate * 0.15;
    let mut pending: HashMap<u64, (u64, f64)> = HashMap::new();
    let mut buckets: HashMap<u64, (Duration, f64)> = HashMap::new();
    for (at, event) in events {
        match event {
            Event::RequestSent { id, customer, units, .. } if *customer >> 24 == 1 => {
                pending.insert(*id, (*customer, *units));
            }
            Event::AttemptReceived { id, .. } => {
                let Some((customer, units)) = pending.remove(id) else { continue };
                let (updated_at, level) = buckets.entry(customer).or_insert((*at, burst));
                *level = (*level + at.saturating_sub(*updated_at).as_secs_f64() * rate).min(burst) - units;
                *updated_at = *at;
                if *level < -slack {
                    violations.push(violation(
                        Rule::Ceiling,
                        *id,
                        format!("customer {customer:x} at {level:.1}"),
                    ));
                }
            }
            _ => {}
        }
    }
}
