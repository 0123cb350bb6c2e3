//! A customer's store that all gateways share through the counter's totals. No I/O, no clock; what is done
//! with it is decided in `src/policy`.
//!
//! A total holds, since its window began, what all gateways charged and the refill that was lost as the store
//! was full. So every gateway reads the same level off it, whatever it saw of the customer before:
//!
//! ```text
//! level = burst + rate x time in the window - total
//! ```
//!
//! A level above the burst is refill that was lost and that no total holds yet. Who sees it adds it, with a
//! call of its own; until then its own estimate bounds what it reads.

use bounded_cache::Evictable;

use crate::interface::{Outcome, Plan};
use crate::state::{mix, part, Call, Ratio};

/// Part of an even share of burst and rate that a gateway spends before it calls (the design's tenth).
pub(crate) const LOCAL_PART: f64 = 0.1;
/// Fill times of the store in which what was seen of a customer's demand fades.
pub(crate) const MEMORY_FILLS: f64 = 4.0;
/// Length of a window, ms; its name is kept for two, and 60 s is the longest a counter keeps one. Danger:
/// what others spend between a window's last total and its end is seen by nobody. The longer, the less.
pub(crate) const WINDOW_MS: f64 = 30_000.0;
/// A total below this part of the last one is that of a counter that began anew.
const RESTARTED: f64 = 0.5;
/// Lost refill that is worth a call, units. Harm: up to so much may pass beyond the quota in a spike.
const MIN_LOST_REFILL_UNITS: f64 = 1.0;
/// Times the quota that a ceiling leaves to requests that a total let pass, for guesses that are off.
const COUNTED_MARGIN: f64 = 1.25;
/// Part of an even share of the ceiling that is used by chance, where the share is under a request.
const CHANCE_PART: f64 = 0.5;
/// Part of the lost refill that a call added, of which so much was there already, as others added it.
const TWICE: f64 = 0.8;

/// A customer's store as this gateway knows it.
#[derive(Debug, Default)]
pub(crate) struct Customer {
    pub(crate) key: u64,
    pub(crate) plan: Plan,
    pub(crate) width: f64,
    pub(crate) at: f64,
    pub(crate) level: f64,
    /// Refill lost at the brim since the last total: others may have spent it, or told it.
    pub(crate) spilled: f64,
    pub(crate) local: f64,
    pub(crate) unreported: f64,
    /// Charges told in this window whose requests were not sent on; taken back within the window alone.
    pub(crate) withdrawn: f64,
    pub(crate) window: u64,
    pub(crate) total: f64,
    /// When the last total came.
    pub(crate) heard: f64,
    /// What all gateways charged, over what the rate gave in that time.
    pub(crate) demand: Ratio,
    /// Amounts of calls that may or may not have been added.
    pub(crate) unsure: f64,
    /// Of these, amounts of calls whose connection broke or fell silent.
    pub(crate) doubted: f64,
    /// Charged for others without a total.
    pub(crate) assumed: f64,
    /// Charges of calls that are out.
    pub(crate) telling: f64,
    /// A call that tells of lost refill is out; until it is answered totals may lack it.
    pub(crate) filling: bool,
    /// The totals lack lost refill that is known here: they tell of no more than the own estimate has.
    pub(crate) lacking: bool,
    pub(crate) own: f64,
    pub(crate) others: f64,
    /// What this gateway may send on of the ceiling without a total, and what fills it: units a second, and
    /// the most.
    pub(crate) ceiling: f64,
    ceiling_fill: (f64, f64),
    /// Processes that serve as this gateway by now, which share what is this gateway's.
    pub(crate) processes: f64,
    /// What a total lets pass keeps the ceiling by itself.
    pub(crate) totals_keep: bool,
    pub(crate) open: u32,
    pub(crate) calls: u32,
}

impl Customer {
    /// A store at a gateway born at `born`, one of `width` that the customer comes through; `counter` says
    /// whether there is one.
    pub(crate) fn new(key: u64, plan: Plan, width: f64, now: f64, born: f64, counter: bool) -> Self {
        let (level, window) = (plan.burst, u64::MAX);
        // Danger: a ceiling in even shares, of which each is under one request where gateways are many.
        // What totals let pass is within the quota over all of them; the rest of the ceiling is shared.
        // Harm: guesses that are too high by more than the margin, while others go without totals, pass
        // more than it.
        let within = |quota: f64, ceiling: f64| quota > 0.0 && ceiling >= quota * COUNTED_MARGIN;
        let totals_keep = counter
            && width > 1.0
            && within(plan.rate, plan.ceiling_rate)
            && within(plan.burst, plan.ceiling_burst);
        let less = if totals_keep { COUNTED_MARGIN } else { 0.0 };
        let ceiling_fill = (
            (plan.ceiling_rate - plan.rate * less) / width,
            (plan.ceiling_burst - plan.burst * less) / width,
        );
        // Danger: an earlier life of this gateway may have spent the ceiling; only what has filled
        // since this life began is surely there.
        let ceiling = (ceiling_fill.0 * (now - born) / 1000.0).min(ceiling_fill.1);
        let (local, heard, spilled) = (level * LOCAL_PART / width, f64::MIN, level);
        let (at, demand) = (now, Ratio::default());
        Customer {
            key,
            plan,
            width,
            at,
            level,
            spilled,
            local,
            window,
            heard,
            demand,
            ceiling,
            ceiling_fill,
            processes: 1.0,
            totals_keep,
            ..Self::default()
        }
    }

    /// So many processes serve as this gateway from now on. Danger: two that each pass the whole of its
    /// share. What is there beyond the new share is forgone; a share that grows fills as it always does.
    pub(crate) fn shared_by(&mut self, processes: f64) {
        let part = (self.processes / processes).min(1.0);
        (self.ceiling, self.local) = (self.ceiling * part, self.local * part);
        self.processes = processes;
    }

    /// Windows since the clock began, those of a customer with a phase of its own.
    fn windows(&self, now: f64) -> f64 {
        now / WINDOW_MS + part(mix(self.key))
    }

    /// Whether the window of the last call still is the present one.
    pub(crate) fn in_window(&self, now: f64) -> bool {
        self.window == self.windows(now) as u64
    }

    /// Goes over to the present window, whose total starts from nothing.
    pub(crate) fn roll(&mut self, now: f64) {
        if !self.in_window(now) {
            (self.window, self.total) = (self.windows(now) as u64, 0.0);
            (self.unsure, self.doubted, self.assumed, self.withdrawn) = (0.0, 0.0, 0.0, 0.0);
        }
    }

    pub(crate) fn refill(&mut self, now: f64) {
        let seconds = (now - self.at).max(0.0) / 1000.0;
        self.at = now;
        let (plan, given) = (&self.plan, self.plan.rate * seconds);
        let even = 1.0 / (self.width * self.processes);
        let filled = self.level + given;
        self.spilled += (filled - plan.burst).max(0.0);
        self.level = filled.min(plan.burst);
        self.local = (self.local + given * LOCAL_PART * even).min(plan.burst * LOCAL_PART * even);
        let fill = (self.ceiling_fill.0 / self.processes, self.ceiling_fill.1 / self.processes);
        self.ceiling = (self.ceiling + fill.0 * seconds).min(fill.1);
        // Danger: charges told long after, as when the counter is back, that refill has made good since.
        self.unreported = self.unreported.min((plan.burst - self.level).max(0.0));
        let keep = self.faded(given);
        (self.own, self.others) = (self.own * keep, self.others * keep);
    }

    /// Whether some of the ceiling is spent. Danger: a part that rounding never fills, and a record for good.
    pub(crate) fn spent(&self) -> bool {
        self.ceiling < self.ceiling_fill.1 / self.processes * 0.999_999
    }

    /// Draws a request from the ceiling, if that is allowed. `total`: a total let it pass. Danger: shares
    /// of the ceiling that are under one request, of which none would ever pass. Such pass by chance, all
    /// of them together half of the shares on the mean, and leave a debt.
    pub(crate) fn draw_ceiling(&mut self, units: f64, total: bool, chance: f64) -> bool {
        if self.plan.ceiling_rate <= 0.0 || (total && self.totals_keep) {
            return true;
        }
        let by_chance = self.totals_keep && self.ceiling_fill.1 < units;
        let least = if by_chance { units * chance / CHANCE_PART } else { units };
        let under = self.ceiling > 0.0 && self.ceiling >= least;
        self.ceiling -= if under { units } else { 0.0 };
        under
    }

    /// The least that a request is charged when its true units are told. Danger: guesses far above what they
    /// stand for, which the ceiling counts and the quota does not.
    pub(crate) fn charged_least(&self, guess: f64) -> f64 {
        let part = |quota: f64, ceiling: f64| quota / ceiling.max(f64::MIN_POSITIVE);
        let plan = &self.plan;
        let least = part(plan.rate, plan.ceiling_rate).max(part(plan.burst, plan.ceiling_burst));
        if self.totals_keep {
            guess * least
        } else {
            0.0
        }
    }

    /// What is left of a memory after the rate gave so many units.
    fn faded(&self, given: f64) -> f64 {
        (-given / (self.plan.burst * MEMORY_FILLS).max(f64::MIN_POSITIVE)).exp()
    }

    /// This gateway's learned share of the customer's use; even until known.
    pub(crate) fn share(&self, prior: f64) -> f64 {
        (self.own + prior / self.width) / (self.own + self.others + prior)
    }

    pub(crate) fn spend(&mut self, units: f64) {
        self.level -= units;
        self.unreported += units;
        self.own = (self.own + units).max(0.0);
    }

    /// The part of a charge that a gateway keeps to tell with its next call for the customer: how likely
    /// the customer comes here again in the time in which a store fills, where each of its gateways has an
    /// even part of the requests. Danger: charges kept by a hundred gateways, each of which meets the
    /// customer once in a minute: no total holds them. The rest is told by those that call, in inverse
    /// proportion to their chance (Horvitz and Thompson, 1952). Harm: totals scatter round the truth.
    pub(crate) fn kept_part(&self, mean_units: f64) -> f64 {
        1.0 - (-self.plan.burst / (self.width * mean_units.max(1.0))).exp()
    }

    /// What a call tells of charges, beside this much lost refill.
    pub(crate) fn tell(&mut self, lost: f64) -> f64 {
        let charge = std::mem::take(&mut self.unreported) - std::mem::take(&mut self.withdrawn);
        self.telling += charge;
        self.calls += 1;
        (self.filling, self.lacking) = (self.filling || lost != 0.0, self.lacking && lost == 0.0);
        charge
    }

    /// A call has ended, one way or another.
    pub(crate) fn answered(&mut self, call: &Call) {
        self.calls = self.calls.saturating_sub(1);
        self.telling = if self.calls == 0 { 0.0 } else { self.telling - call.charge };
        self.filling &= call.lost == 0.0;
    }

    /// A call ended without a total.
    pub(crate) fn untold(&mut self, call: &Call, outcome: Outcome) {
        match outcome {
            Outcome::Ok | Outcome::Timeout => self.unsure += call.charge + call.beside,
            Outcome::Reset => {
                self.unsure += call.charge + call.beside;
                self.doubted += call.charge.max(0.0);
            }
            _ => self.unreported += call.charge,
        }
        self.lacking |= call.lost != 0.0;
    }

    /// What others are expected to have charged in so many ms, by what they did of late.
    fn expected_of_others(&self, ms: f64) -> f64 {
        let fades_in_ms = self.plan.burst * MEMORY_FILLS / self.plan.rate.max(f64::MIN_POSITIVE) * 1000.0;
        self.others * (ms / fades_in_ms.max(f64::MIN_POSITIVE)).min(1.0)
    }

    /// Of the doubted charges, those that a total shows to be there when it grew by so much beside what is
    /// known. Danger: charges that no total holds, lost for good with a connection that fell silent; and
    /// such that are there, told twice. What others are expected to have charged comes first, so that
    /// neither is the rule. Those that are not there are told with the next call.
    fn settle_doubts(&mut self, now: f64, grown: f64) -> f64 {
        let doubted = std::mem::take(&mut self.doubted);
        let others = self.expected_of_others(now - self.heard);
        let there = (grown - others).clamp(0.0, doubted);
        self.unreported += doubted - there;
        there
    }

    /// Takes in a total of the last call's window, as it stood after a call. Gives the lost refill that is to
    /// be added to it: 0 for none, below 0 where it was added twice. Where no call is to `spare`, none is.
    pub(crate) fn learn(&mut self, now: f64, total: f64, call: &Call, spare: bool) -> f64 {
        let burst = self.plan.burst;
        // Danger: an answer that comes when its window is over, read by the time in the next.
        let into = (self.windows(now) - self.window as f64) * WINDOW_MS;
        // Danger: a counter back empty, and a window that began, know of no debts. The estimate here does.
        let amount = call.charge + call.lost + call.beside;
        let empty = total < self.total.min(self.total + amount) * RESTARTED - 0.01;
        let anew = self.total == 0.0 || empty;
        let (first, new) = ((total - amount).abs() < 0.01, self.heard == f64::MIN);
        if !anew {
            // Others spent at least what refill that was lost here does not explain.
            let sure = self.unsure - self.doubted;
            let grown = total - self.total - amount - sure - self.spilled;
            let others = (grown - self.settle_doubts(now, grown)).max(0.0);
            let given = self.plan.rate * (now - self.heard).max(0.0) / 1000.0;
            self.demand.add(others + call.charge.max(0.0) + call.beside.max(0.0), given, self.faded(given));
            self.others += others;
        }
        // What was assumed of others meanwhile is given back but where the counter can't tell of it any more.
        let back = if empty { 0.0 } else { self.assumed };
        // Danger: charges that the total does not hold yet, taken off twice.
        let untold = self.telling + self.unreported - self.withdrawn;
        let before = (self.level + call.charge + untold + back).min(burst);
        let bound = if anew || self.lacking || self.filling { before } else { burst };
        let read = burst + self.plan.rate * into / 1000.0 - (total - call.charge - call.beside);
        let over = read - bound;
        // Danger: two gateways that see the same loss at the same time and both add it, which empties the
        // store. Who finds that others had added most of it takes its own back.
        let twice = call.lost - (call.lost + over).max(0.0);
        let again = call.lost > burst && twice > call.lost * TWICE;
        let known = if again { read + twice } else { read }.min(bound);
        self.level = known - call.charge - untold;
        (self.total, self.heard) = (total, now);
        (self.unsure, self.doubted, self.assumed, self.spilled) = (0.0, 0.0, 0.0, 0.0);
        // Of a window that begins only the first to call may know all of the loss: others would meet it
        // halfway. Danger: crowds of customers seen once. A call that nobody made one before is worth no
        // second one. Danger: a fleet in which each gateway meets a customer for the first time, and none
        // tells. Who finds that others called before it does.
        let seen = if new { !first } else { first || !anew };
        // Danger: a counter that is crowded, and a store that reads as full until its gateways have passed
        // all of the loss once more. Up to a burst is borne; a greater loss is worth a call however few there
        // are.
        let due = (spare || over > burst) && seen && !self.filling && over >= MIN_LOST_REFILL_UNITS;
        self.lacking = over >= MIN_LOST_REFILL_UNITS && !due;
        match () {
            () if again => -twice,
            () if due => over,
            () => 0.0,
        }
    }
}

impl Evictable for Customer {
    /// A new store is full: what this one lacks may pass again. Danger: a charge that no total holds, and a
    /// ceiling that is spent; they stay.
    fn eviction_cost(&mut self, now: f64) -> Option<f64> {
        self.refill(now);
        let lacks = self.plan.burst - self.level;
        let untold = self.unreported != 0.0 && lacks > 0.0;
        (self.open == 0 && self.calls == 0 && !untold && !self.spent()).then_some(lacks.max(0.0))
    }
}
