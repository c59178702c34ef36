//! Owns when the list is asked for, and how long a node may stand for the one that it has. It must never look at
//! a job or a worker: it knows calls, answers and times only.
//!
//! What it reckons with is told in `docs/design/announced-drains.md`.

use crate::interface::{Micros, Settings};

/// Next call after a failed one: first wait, how often it is doubled, and so up to which span between the
/// beginnings of two calls, where discovery has time for all nodes within that.
const ASK_FIRST: Micros = 400_000;
const ASK_DOUBLINGS: u32 = 3;
const ASK_PERIOD: Micros = 3_000_000;
/// What one call is taken to take of discovery's time as long as none has been answered, and the bounds of
/// what answered ones teach.
const CALL_TIME: Micros = 70_000;
const CALL_TIME_LEAST: Micros = 5_000;
const CALL_TIME_MOST: Micros = 250_000;
/// An answer that took longer than was thought moves that by one part in so many: it may have waited.
const CALL_TIME_PART: Micros = 8;
/// Discovery lets a call wait so long, less a margin: so much of what all ask for at once may stand in line.
const LINE: Micros = 1_800_000;
/// Where it can be, calls are spread so far that none need wait at all, up to this.
const EVEN: Micros = 5_000_000;
/// After a failed call the span to the next grows by half, up to what discovery needs for all nodes and this
/// part of that more.
const SPARE_PART: Micros = 10;
/// It grows no more often than this.
const GROWN_MOST: u32 = 16;
/// Jitter of a span, to both sides.
const JITTER_PART: Micros = 25;
/// An open watch says something every 2 s. One that ended later than this after its last word was silent.
const BEAT: Micros = 2_100_000;
/// What a node that has just started missed before its first call is no more than what came within this.
const AT_ONCE: Micros = 500_000;
/// Work stops so long after what is not known would count as told: what was sent is under way by then.
const STOP: Micros = 200_000;
/// And nothing leaves later than this after that moment: 0.75 s is the rule.
const LEAVE: Micros = 650_000;
/// After a move of discovery what the new one has counts as told so much sooner.
const MOVED_SOONER: Micros = 2_000_000;

/// The one owner of "when was the list last sure", and of the next call for it.
pub(crate) struct DiscoveryClient {
    nodes: Micros,
    /// Lists come only when asked for.
    on_request: bool,
    /// See [`Settings::ask_within`] and [`Settings::told_within`].
    ask_within: Micros,
    told_within: Micros,
    /// What a call takes of discovery's time; none as long as none was answered.
    call_time: Option<Micros>,
    /// The next call is due.
    ask_at: Option<Micros>,
    /// When the last one was made, and whether it is still out.
    asked: Micros,
    out: bool,
    failures: u32,
    /// The calls of all nodes are spread over this, as far as this node knows.
    span: Micros,
    /// The watch ended while it still spoke: what was unknown then began to be so in that moment.
    in_touch: bool,
    /// The watch ended by something that could not be read.
    spoilt: bool,
    /// The process did.
    began: Micros,
    /// Up to then nothing that this node does not know can have counted as told `told_within` ago.
    sure_at: Option<Micros>,
}

impl DiscoveryClient {
    pub(crate) fn new(settings: &Settings) -> Self {
        DiscoveryClient {
            nodes: Micros::from(settings.nodes),
            on_request: settings.endpoints_on_request,
            ask_within: settings.max_poll_interval,
            told_within: settings.assumed_notified_after,
            call_time: None,
            ask_at: settings.endpoints_on_request.then_some(0),
            asked: 0,
            out: false,
            failures: 0,
            span: 0,
            in_touch: true,
            spoilt: false,
            began: 0,
            sure_at: None,
        }
    }

    /// When it wants to be woken.
    pub(crate) fn next(&self) -> Option<Micros> {
        self.ask_at
    }

    /// Whether the list is to be asked for now.
    pub(crate) fn woken(&mut self, now: Micros, rng: &mut fastrand::Rng) -> bool {
        self.sure_at.get_or_insert(now);
        if self.ask_at == Some(0) {
            // Just started, perhaps together with all others: it begins with the saved list.
            (self.began, self.asked) = (now, now);
            self.span = self.all().min(self.ask_within / 2);
            self.ask_at = Some(now + rng.u64(0..=self.span));
            return false;
        }
        let due = self.ask_at.is_some_and(|at| at <= now);
        if due {
            // Should no answer come at all, ask again.
            if self.asked == self.began {
                self.in_touch = now < self.began + AT_ONCE;
            }
            (self.asked, self.out) = (now, true);
            self.ask_at = Some(now + self.ask_within / 2);
        }
        due
    }

    /// A list has come. One that comes in the moment of asking is the saved one, no answer.
    pub(crate) fn listed(&mut self, now: Micros) {
        if now > self.asked {
            (self.ask_at, self.out, self.failures) = (None, false, 0);
        }
    }

    /// What is known stands: a watch that is open says so.
    pub(crate) fn stands(&mut self, now: Micros) {
        self.sure_at = Some(now);
    }

    /// A call was answered after this long.
    pub(crate) fn answered(&mut self, took: Micros) {
        let took = took.clamp(CALL_TIME_LEAST, CALL_TIME_MOST);
        let known = self.call_time.unwrap_or(took).min(took);
        self.call_time = Some(known + (took - known) / CALL_TIME_PART);
    }

    /// Something came that could not be read: whatever it was, this node has been told.
    pub(crate) fn spoilt(&mut self, now: Micros) {
        let latest = now.saturating_sub(self.told_within);
        (self.sure_at, self.spoilt) = (self.sure_at.map(|at| at.min(latest)), true);
    }

    /// Discovery is elsewhere now.
    pub(crate) fn moved(&mut self, now: Micros) {
        let latest = now.saturating_sub(MOVED_SOONER);
        self.sure_at = self.sure_at.map(|at| at.min(latest));
    }

    /// A call failed, or the watch has ended. Sets the next call: in a random turn of this node at first, since
    /// others may have lost theirs in the same moment, then in even spans from that.
    pub(crate) fn failed(&mut self, now: Micros, rng: &mut fastrand::Rng) {
        if !self.on_request {
            return;
        }
        let least = ASK_FIRST / 2 + rng.u64(0..=ASK_FIRST / 2);
        let line = self.line();
        if std::mem::take(&mut self.out) {
            if self.in_touch && self.fits() {
                // It could not be reached when that call began, or it would have answered it.
                self.sure_at = self.sure_at.map(|at| at.max(self.asked));
            }
            let short = (ASK_FIRST << self.failures.min(ASK_DOUBLINGS)).min(ASK_PERIOD);
            let grown = (0..self.failures.min(GROWN_MOST))
                .fold(line, |span, _| (span + span / 2).min(2 * self.all()));
            let most = (self.all() + self.all() / SPARE_PART).max(ASK_PERIOD);
            let span = short.max(grown).min(most);
            self.span = span;
            let jittered = span - span / JITTER_PART + rng.u64(0..=2 * span / JITTER_PART);
            self.ask_at = Some((now + least).max(self.asked + jittered));
            self.failures = self.failures.saturating_add(1);
        } else {
            self.span = line;
            self.in_touch = self.sure_at.is_some_and(|at| now < at + BEAT);
            if self.in_touch {
                self.sure_at = Some(now);
            }
            // What was spoilt was spoilt for this node alone.
            let turn = if std::mem::take(&mut self.spoilt) { 0 } else { rng.u64(0..=line) };
            self.ask_at = Some(now + least + turn);
        }
    }

    /// Whether this node can no longer stand for its list: something may have counted as told for so long that
    /// nothing may go by the list any more.
    pub(crate) fn stale(&self, now: Micros) -> bool {
        let bound = |at| at + self.told_within + STOP;
        self.on_request && self.told_within > 0 && self.sure_at.is_some_and(|at| now >= bound(at))
    }

    /// Until when what goes by the list may leave; a new list may move that.
    pub(crate) fn leave_by(&self) -> Option<Micros> {
        let at = self.sure_at.filter(|_| self.on_request && self.told_within > 0)?;
        Some(at + self.told_within + LEAVE)
    }

    /// What discovery needs to serve a call of each node.
    fn all(&self) -> Micros {
        self.nodes * self.call_time.unwrap_or(CALL_TIME)
    }

    /// Whether discovery had time for the calls of all nodes, as they were spread, even where seven in ten of them
    /// had just started, in half of `ask_within`: one that fails tells of its being away then, and else perhaps of
    /// its being overbooked.
    fn fits(&self) -> bool {
        let all = self.all();
        all <= LINE || self.span >= all && all <= self.ask_within / 2 + LINE * 10 / 7
    }

    /// Within this all nodes may call, and each is answered before discovery gives it up. While nothing is known
    /// of what a call takes, no longer than half of what the settings give.
    fn line(&self) -> Micros {
        let all = self.all();
        let line = (all + all * 3 / 10).min(all.max(EVEN));
        if self.call_time.is_none() { line.min(self.ask_within) } else { line }
    }
}
