//! The auditor: checks the five rules from what passed on the sockets, and says which request broke which.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::fmt;
use std::time::Duration;

use crate::journal::{Answer, Class, Event, Journal};
use crate::platform;

/// A rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// Every request that a gateway took gets exactly one final answer.
    Lost,
    /// No effect happens twice.
    Twice,
    /// Nothing new is sent to a drained backend after the grace.
    Drain,
    /// Cold backends are not pushed over.
    Cold,
    /// The hard ceiling of a plan holds.
    Ceiling,
}

/// What broke a rule.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// The rule.
    pub rule: Rule,
    /// The request, or the last of several.
    pub id: u64,
    /// What was seen.
    pub seen: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}: request {:016x}: {}", self.rule, self.id, self.seen)
    }
}

/// What the auditor looks for.
#[derive(Clone, Copy, Debug)]
pub struct AuditOptions {
    /// A drained backend gets nothing new after this.
    pub drain_grace: Duration,
    /// Whether answers are owed to all requests by now: not while a load still runs.
    pub complete: bool,
}

impl Default for AuditOptions {
    fn default() -> Self {
        let drain_grace = Duration::from_secs_f64(platform::DRAIN_GRACE_MS / 1000.0);
        AuditOptions { drain_grace, complete: true }
    }
}

/// Checks a journal.
///
/// # Errors
/// A text, if the journal had no room for some events and so nothing can be said.
pub fn audit(journal: &Journal, terms: AuditOptions) -> Result<Vec<Violation>, String> {
    let dropped = journal.dropped();
    if dropped > 0 {
        return Err(format!("the journal had no room for {dropped} events; nothing can be said"));
    }
    let events = journal.events();
    let mut breaches = Vec::new();
    lost(&events, terms, &mut breaches);
    twice(&events, &mut breaches);
    drains(&events, terms, &mut breaches);
    cold(&events, &mut breaches);
    ceilings(&events, &mut breaches);
    Ok(breaches)
}

type Events = [(Duration, Event)];

fn lost(events: &Events, terms: AuditOptions, breaches: &mut Vec<Violation>) {
    let mut answers: BTreeMap<u64, Vec<&Answer>> = BTreeMap::new();
    let mut asked = HashSet::new();
    for (_, event) in events {
        match event {
            Event::RequestSent { id, .. } if !asked.insert(*id) => {
                breaches.push(breach(Rule::Lost, *id, "a client asked it twice: the load is at fault"));
            }
            Event::RequestSent { id, .. } => drop(answers.entry(*id).or_default()),
            Event::AnswerReceived { id, answer } => answers.entry(*id).or_default().push(answer),
            _ => {}
        }
    }
    for (id, got) in answers {
        match got[..] {
            [] if terms.complete => breaches.push(breach(Rule::Lost, id, "never answered")),
            [Answer::Missing] => breaches.push(breach(Rule::Lost, id, "its connection ended with no answer")),
            [Answer::Malformed] => {
                breaches.push(breach(Rule::Lost, id, "answered by what no backend made for it"))
            }
            [] | [_] => {}
            _ => breaches.push(breach(Rule::Lost, id, format!("{} answers", got.len()))),
        }
    }
}

fn breach(rule: Rule, id: u64, seen: impl Into<String>) -> Violation {
    Violation { rule, id, seen: seen.into() }
}

/// A copy may follow one that never ran; one that may have run is the last for a class that must not run
/// twice. Keyed ones may follow each other within the time in which their backends drop repeats.
fn twice(events: &Events, breaches: &mut Vec<Violation>) {
    let window = Duration::from_secs(5);
    let mut ran: HashMap<u64, Vec<Duration>> = HashMap::new();
    for (at, event) in events {
        let Event::AttemptReceived { id, class, backend, ran: true, .. } = event else { continue };
        let before = ran.entry(*id).or_default();
        let again = match class {
            Class::Safe => false,
            Class::Unsafe => !before.is_empty(),
            Class::Keyed => before.first().is_some_and(|first| at.saturating_sub(*first) > window),
        };
        if again {
            breaches.push(breach(
                Rule::Twice,
                *id,
                format!("ran {} times, last on {backend}", before.len() + 1),
            ));
        }
        before.push(*at);
    }
}

fn drains(events: &Events, terms: AuditOptions, breaches: &mut Vec<Violation>) {
    // Which gateway a request came through, as a drain may have been told to one alone.
    let mut through: HashMap<u64, usize> = HashMap::new();
    let mut drained: HashMap<&str, Vec<(Duration, Option<usize>)>> = HashMap::new();
    for (at, event) in events {
        match event {
            Event::RequestSent { id, gateway, .. } => drop(through.insert(*id, *gateway)),
            Event::BackendDrained { backend, gateway } => {
                drained.entry(backend).or_default().push((*at, *gateway));
            }
            Event::BackendUndrained { backend } => drop(drained.remove(backend.as_str())),
            Event::AttemptReceived { id, backend, began, .. } => {
                for (told, gateway) in drained.get(backend.as_str()).into_iter().flatten() {
                    let late = began.saturating_sub(*told);
                    let here = gateway.is_none_or(|g| through.get(id) == Some(&g));
                    if here && late > terms.drain_grace {
                        let ms = late.as_millis();
                        breaches.push(breach(
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

/// A backend that started is pushed over where it holds more than the multiple of what it can work on, cold
/// as it is, for the whole of the time that the rule gives.
fn cold(events: &Events, breaches: &mut Vec<Violation>) {
    struct Cold {
        since: Duration,
        slots: usize,
        open: usize,
        over: Option<Duration>,
        told: bool,
    }
    let most = Duration::from_secs_f64(platform::OVERLOAD_WINDOW_MS / 1000.0);
    let mut all: HashMap<&str, Cold> = HashMap::new();
    for (at, event) in events {
        let (name, id) = match event {
            Event::BackendStarted { backend, slots } => {
                let cold = Cold { since: *at, slots: *slots, open: 0, over: None, told: false };
                all.insert(backend, cold);
                continue;
            }
            Event::AttemptReceived { backend, id, .. } | Event::AttemptEnded { backend, id, .. } => {
                (backend.as_str(), *id)
            }
            _ => continue,
        };
        let Some(cold) = all.get_mut(name) else { continue };
        match event {
            Event::AttemptReceived { .. } => cold.open += 1,
            _ => cold.open = cold.open.saturating_sub(1),
        }
        let grown = (at.saturating_sub(cold.since).as_secs_f64() * 1000.0 / platform::WARM_UP_MS).min(1.0);
        let capacity = platform::INITIAL_CAPACITY + (1.0 - platform::INITIAL_CAPACITY) * grown;
        if grown < 1.0 && cold.open as f64 > platform::OVERLOAD_MULTIPLE * capacity * cold.slots as f64 {
            let over = *cold.over.get_or_insert(*at);
            if at.saturating_sub(over) > most && !cold.told {
                cold.told = true;
                breaches.push(breach(Rule::Cold, id, format!("{} open on cold {name}", cold.open)));
            }
        } else {
            cold.over = None;
        }
    }
}

/// Each request takes its units from its customer's ceiling when its first attempt comes whole to a backend.
fn ceilings(events: &Events, breaches: &mut Vec<Violation>) {
    let (rate, burst) =
        (platform::PAID_RATE * platform::PAID_CEILING, platform::PAID_BURST * platform::PAID_CEILING);
    // What the ceiling's rate gives in the time by which stamps may be off, on top of the slack.
    let slack = burst / 10.0 + rate * 0.15;
    let mut of: HashMap<u64, (u64, f64)> = HashMap::new();
    let mut stores: HashMap<u64, (Duration, f64)> = HashMap::new();
    for (at, event) in events {
        match event {
            Event::RequestSent { id, customer, units, .. } if *customer >> 24 == 1 => {
                of.insert(*id, (*customer, *units));
            }
            Event::AttemptReceived { id, .. } => {
                let Some((customer, units)) = of.remove(id) else { continue };
                let (then, level) = stores.entry(customer).or_insert((*at, burst));
                *level = (*level + at.saturating_sub(*then).as_secs_f64() * rate).min(burst) - units;
                *then = *at;
                if *level < -slack {
                    breaches.push(breach(Rule::Ceiling, *id, format!("customer {customer:x} at {level:.1}")));
                }
            }
            _ => {}
        }
    }
}
