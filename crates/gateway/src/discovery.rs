//! Follows the list of backends: from the version that is known, else the whole list; then watches.

mod line;
mod ordered;
mod paced;

use std::net::SocketAddr;
use std::time::Duration;

use backoff::Backoff;
use cold_start::SlotSchedule;
use gateway_policy::interface::UpdateScope;
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout, Instant};

use crate::clock::Clock;
use crate::listing::{Endpoint, List};
use line::{reach, Got, Line};
pub use ordered::Ordering;

/// How long a watch may wait. Short, as a silent agent shows only after it.
const WATCH: Duration = Duration::from_millis(4_000);
/// How long any answer may take beyond that.
const ANSWER: Duration = Duration::from_millis(1_000);
/// Pause after a call that failed: the first, and the longest, of a gateway with few beside it.
const PAUSE: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(1_000));
/// Time that discovery is taken to need for a call. Danger: all gateways of a large fleet call at once when
/// they start, and all that are turned away again together. Harm: the more there are, the later each calls.
const EACH: Duration = Duration::from_millis(20);
/// Part of the time that a gateway may go on after it was told to stop in which its first call is made: the
/// answer needs the rest.
const START_PART: f64 = 0.5;
/// The longest pause. What discovery has to tell counts as told 6 s later, whether or not it was asked; a
/// call that hangs, and the answer, need the other half.
const PAUSE_LIMIT: Duration = Duration::from_millis(3_000);
/// Least time between watches that tell nothing; a watch goes on if the next comes within 200 ms.
const SPACING: Duration = Duration::from_millis(100);
/// So many lines that are left out are named at most, of one answer.
const MAX_NAMED_ENDPOINTS: usize = 10;

/// News of the list.
#[derive(Debug)]
pub struct News {
    pub scope: UpdateScope,
    pub endpoints: Vec<Endpoint>,
    /// Backends whose lines could not be read: what is known of them stays.
    pub unsaid: Vec<String>,
}

impl News {
    /// The text of an answer that is this whole list, with its version.
    fn text(&self, index: u64) -> Option<(u64, String)> {
        (self.scope == UpdateScope::Full).then(|| (index, List::text(index, &self.endpoints)))
    }
}

/// What is known of the list by now.
#[derive(Clone, Copy, Debug)]
pub struct Known {
    /// The version held; none where the next call is to ask for the whole list.
    pub index: Option<u64>,
    /// Gateways that share discovery, this one among them.
    pub gateways: u32,
    /// For so long a gateway may go on sending to a backend after it was told to stop.
    pub stop_within: Duration,
    /// This gateway's own, for its pauses.
    pub seed: u64,
    /// Its slots, where the fleet's operators share out the calls; none: it goes by pauses alone.
    pub slots: Option<(SlotSchedule, Clock)>,
}

/// Follows the list for good and tells the driver of it. `ordering`: whom it asks for a turn when it starts,
/// where it has slots.
pub async fn follow<T: From<News>>(
    agent: SocketAddr,
    known: Known,
    ordering: Option<Ordering>,
    inbox: mpsc::Sender<T>,
) {
    if let Some((calendar, clock)) = known.slots {
        return paced::follow(agent, known.index, calendar, clock, ordering, inbox).await;
    }
    let Known { mut index, gateways, stop_within, seed, .. } = known;
    let mut pauses = Backoff::new(PAUSE.0, PAUSE.1, EACH, PAUSE_LIMIT, gateways, seed);
    sleep(pauses.initial_delay(EACH, stop_within.mul_f64(START_PART), gateways)).await;
    let (mut unreadable, mut silent) = (false, false);
    let soon = stop_within.mul_f64(START_PART);
    loop {
        let line = if silent {
            reach(agent, soon, ANSWER).await.map(|(line, got)| (line, Some(got)))
        } else {
            Line::open(agent, ANSWER).await.map(|line| (line, None))
        };
        let end = match line {
            Some((line, got)) => session(line, got, &mut index, &inbox, &mut unreadable).await,
            None => End::Unheard,
        };
        // Danger: a discovery that fell silent and is back, and a gateway that waits for seconds without a
        // call by which it could be told: what is told meanwhile counts as told to it. A call that was given
        // up has been its pause, so the next follows within the time that the start has for its first, and
        // others so long after each. Harm: a fleet calls a silent discovery that much more often.
        silent = matches!(end, End::Silent { .. });
        match end {
            End::Unheard => {}
            // Danger: another discovery at the address, with versions of its own. The list is asked for anew.
            End::Lost { heard } | End::Silent { heard } => {
                index = None;
                if heard {
                    pauses.reset();
                }
            }
            // Danger: a discovery that is too busy for this call, asked for the whole list in its place.
            End::TurnedAway { heard } => {
                if heard {
                    pauses.reset();
                }
            }
        }
        sleep(if silent { pauses.initial_delay(EACH, soon, gateways) } else { pauses.next_delay() }).await;
    }
}

/// How a connection to discovery ended, and whether a call on it was answered before.
enum End {
    /// It never came up.
    Unheard,
    /// It broke, or brought what can't be read.
    Lost { heard: bool },
    /// A call on it was not answered in time.
    Silent { heard: bool },
    /// Discovery answered that it won't.
    TurnedAway { heard: bool },
}

/// Calls on one connection until one fails; `first` is what a call for the whole list on it has come to
/// already. `index` is the version held, `unreadable` whether the last answer could not be read.
async fn session<T: From<News>>(
    mut line: Line,
    mut first: Option<Got>,
    index: &mut Option<u64>,
    inbox: &mpsc::Sender<T>,
    unreadable: &mut bool,
) -> End {
    let mut heard = false;
    loop {
        let changed = index.map(|i| (i, WATCH));
        let wait = if changed.is_some() { WATCH } else { Duration::ZERO };
        let asked = Instant::now();
        let got = match first.take() {
            Some(got) => Ok(got),
            None => timeout(wait + ANSWER, line.get(changed)).await,
        };
        let list = match got {
            Ok(Got::List(list)) => list,
            Ok(Got::TurnedAway(_)) => return End::TurnedAway { heard },
            Ok(Got::Unreadable(why)) => {
                // Said once, as it is asked for again until it can be read.
                if !std::mem::replace(unreadable, true) {
                    tracing::warn!("discovery: {why}; the list held stays in force");
                }
                return End::Lost { heard };
            }
            Ok(Got::Lost) => return End::Lost { heard },
            Err(_) => return End::Silent { heard },
        };
        (heard, *unreadable) = (true, false);
        name_wrong("discovery", &list);
        // Danger: a discovery that began anew, whose changes would be read as those of the list held.
        if !list.snapshot && index.is_some_and(|held| list.index < held) {
            *index = None;
            // Danger: versions that go back again and again, each asked about at once.
            sleep(SPACING).await;
            continue;
        }
        let news = *index != Some(list.index);
        *index = Some(list.index);
        let scope = if list.snapshot { UpdateScope::Full } else { UpdateScope::Delta };
        let unsaid = list.unsaid();
        if inbox.send(News { scope, endpoints: list.endpoints, unsaid }.into()).await.is_err() {
            return End::Lost { heard };
        }
        // Danger: an agent that answers watches at once, asked again and again without a pause.
        if !news && asked.elapsed() < SPACING {
            sleep(SPACING).await;
        }
    }
}

/// Names the lines of a list that are left out; of many the first.
pub fn name_wrong(whose: &str, list: &List) {
    for wrong in list.wrong.iter().take(MAX_NAMED_ENDPOINTS) {
        tracing::warn!("{whose}: {wrong}; this line is left out");
    }
    let more = list.wrong.len().saturating_sub(MAX_NAMED_ENDPOINTS);
    if more > 0 {
        tracing::warn!("{whose}: {more} more lines are left out");
    }
}
