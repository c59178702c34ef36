//! State machine of the endpoint watch, which decides when to poll discovery, and which polls and watches are
//! current.
//!
//! Discovery serves polls one after another. To keep a fleet from polling all at once, a node polls when its
//! dispatch task requests it, which spreads the requests of the nodes. Unrequested polls are limited by
//! [`WatchTiming`].
//!
//! # States
//!
//! The address of discovery can change while watches and polls of the old address continue. Each of them
//! stores the [`AddressGeneration`] in which it was started. The watch of the current generation is in one of
//! these states:
//!
//! | state | stored in | left when |
//! | --- | --- | --- |
//! | idle | none of the fields below | the dispatch task requests a poll or the address changes: a poll is started |
//! | scheduled | `next_poll_at` | that time is reached: a poll is started |
//! | polling | `pending_polls` | a poll opens a watch, or the last pending poll fails |
//! | watching | `open_watch` | the watch fails |
//!
//! Several polls may be pending, and a poll may be scheduled while another is pending or a watch is open. The
//! first poll of the current generation that opens a watch cancels all others, and the new watch replaces the
//! open one.
//!
//! While a watch of the current generation is open, the dispatch task requests a poll if the messages of that
//! watch no longer confirm the list. The open watch may deliver changes until the new one replaces it.
//!
//! After a failure the next state is *scheduled* if discovery pushes lists or unrequested polls are left.
//! Otherwise it is *idle*, and the caller notifies the dispatch task once. A watch of an earlier generation
//! may still deliver changes, so it stays open until a watch of the current generation replaces it. While it
//! is open, it keeps the dispatch task from requesting polls. Therefore the state never stays *idle* beside
//! it.

use std::future::{Future, pending, poll_fn};
use std::net::SocketAddr;
use std::ops::Range;
use std::pin::Pin;
use std::task::Poll;
use std::time::Duration;

use tokio::time::{Instant, sleep_until};
use tracing::debug;

use crate::discovery::endpoint_list::{EndpointListMessage, NO_LIST_INDEX};
use crate::discovery::endpoint_watch::{
    EndpointWatch, OpenedWatch, PollRequest, ReceivedEvent, WatchError, WatchEvent,
};
use crate::discovery::watch_timing::WatchTiming;
use crate::discovery::watch_update::{ListUpdate, NextPoll, RequestedPoll, WatchFailure, WatchUpdate};
use crate::dispatch::AnsweredPoll;
use crate::telemetry::logging::DISCOVERY;

/// Number of changes of the address of discovery since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
struct AddressGeneration(u32);

impl AddressGeneration {
    fn next(self) -> Self {
        AddressGeneration(self.0 + 1)
    }
}

/// A poll that has not finished.
struct PendingPoll {
    generation: AddressGeneration,
    result: Pin<Box<dyn Future<Output = Result<OpenedWatch, WatchError>>>>,
}

/// The open watch, and the generation of the poll that opened it.
struct OpenWatch {
    generation: AddressGeneration,
    watch: EndpointWatch,
    /// Versions before the last one that a replaced watch has delivered since this watch was requested. Lists
    /// of these versions are repetitions.
    repeated_versions: Range<u64>,
}

/// Event that the watcher awaits and passes to [`WatchState::apply_event`].
pub enum StateEvent {
    /// The time of the scheduled poll has been reached.
    PollTimerExpired,
    /// A poll has opened a watch or failed.
    PollFinished(PollOutcome),
    /// The open watch has delivered an event or failed.
    WatchAdvanced(WatchOutcome),
}

/// Outcome of a poll.
pub struct PollOutcome {
    generation: AddressGeneration,
    result: Result<OpenedWatch, WatchError>,
}

/// Event or failure of the open watch.
pub struct WatchOutcome {
    generation: AddressGeneration,
    result: Result<ReceivedEvent, WatchError>,
}

/// State of the endpoint watch: open watch, pending polls, and time of the next poll. See the module
/// documentation for the states.
pub struct WatchState {
    timing: WatchTiming,
    address: SocketAddr,
    generation: AddressGeneration,
    /// Version of the list of this node, or [`NO_LIST_INDEX`].
    known_index: u64,
    open_watch: Option<OpenWatch>,
    pending_polls: Vec<PendingPoll>,
    next_poll_at: Option<Instant>,
    /// Number of unrequested polls left since a response timeout or a change of the address; `None` if
    /// neither has occurred since a watch of the current address was opened.
    unrequested_polls_left: Option<u32>,
    /// Number of failures since an open watch last delivered an event after its first one.
    consecutive_failures: u32,
}

impl WatchState {
    /// Creates a state with an immediate poll if discovery pushes lists, otherwise an idle state.
    pub fn new(timing: WatchTiming, address: SocketAddr, known_index: u64) -> Self {
        WatchState {
            timing,
            address,
            generation: AddressGeneration::default(),
            known_index,
            open_watch: None,
            pending_polls: Vec::new(),
            next_poll_at: timing.is_push_mode().then(Instant::now),
            unrequested_polls_left: None,
            consecutive_failures: 0,
        }
    }

    /// Starts a poll on request of the dispatch task, also beside an open watch, unless a poll is pending or
    /// scheduled, which serves the request as well.
    pub fn request_poll(&mut self) -> RequestedPoll {
        let requested = if self.is_polling() {
            RequestedPoll::AlreadyPending
        } else if self.is_watching() {
            RequestedPoll::BesideOpenWatch
        } else {
            RequestedPoll::WithoutWatch
        };
        if requested != RequestedPoll::AlreadyPending {
            self.start_poll();
        }
        requested
    }

    /// Changes the address of discovery and polls it. The watch and the polls of the previous address
    /// continue until a watch of the new address is opened, since they may still deliver changes.
    pub fn change_address(&mut self, address: SocketAddr) {
        let previous = self.generation;
        self.address = address;
        self.generation = previous.next();
        // Another discovery has its own version numbers, so the complete list is needed.
        self.known_index = NO_LIST_INDEX;
        // The node must be notified of all changes within 4 s of the change of the address: a poll that hangs
        // must leave time for others.
        self.unrequested_polls_left = Some(self.timing.max_unrequested_polls());
        // Polls of older addresses are cancelled; otherwise they would accumulate descriptors.
        self.pending_polls.retain(|poll| poll.generation >= previous);
        self.start_poll();
    }

    /// Waits for the next event. Cancel-safe.
    pub async fn next_event(&mut self) -> StateEvent {
        tokio::select! {
            biased;
            outcome = next_poll_outcome(&mut self.pending_polls) => StateEvent::PollFinished(outcome),
            () = sleep_until_or_forever(self.next_poll_at) => StateEvent::PollTimerExpired,
            outcome = next_watch_outcome(&mut self.open_watch) => StateEvent::WatchAdvanced(outcome),
        }
    }

    /// Applies an event, and returns the update that the caller reports.
    pub fn apply_event(&mut self, event: StateEvent) -> Option<WatchUpdate> {
        match event {
            StateEvent::PollTimerExpired => {
                self.unrequested_polls_left = self.unrequested_polls_left.map(|left| left.saturating_sub(1));
                self.start_poll();
                None
            }
            StateEvent::PollFinished(PollOutcome { generation, result: Ok(opened) }) => {
                self.accept_watch(generation, opened)
            }
            StateEvent::PollFinished(PollOutcome { generation, result: Err(error) }) => {
                let is_current = generation == self.generation;
                Some(WatchUpdate::Failed(WatchFailure { error, is_current, is_poll: true }))
            }
            StateEvent::WatchAdvanced(WatchOutcome { generation, result: Ok(received) }) => {
                self.consecutive_failures = 0;
                match received.event {
                    WatchEvent::List(list) => self.accept_change(generation, list),
                    WatchEvent::Heartbeat => {
                        // A heartbeat of an old address does not confirm the list of the current one.
                        let read_at = received.read_at.filter(|_| generation == self.generation);
                        read_at.map(WatchUpdate::Heartbeat)
                    }
                }
            }
            StateEvent::WatchAdvanced(WatchOutcome { generation, result: Err(error) }) => {
                self.open_watch = None;
                let is_current = generation == self.generation;
                Some(WatchUpdate::Failed(WatchFailure { error, is_current, is_poll: false }))
            }
        }
    }

    /// Schedules the next poll after a failure, or returns that the dispatch task must request it.
    pub fn record_failure(&mut self, failure: &WatchFailure) -> NextPoll {
        let was_active = failure.is_current || self.is_active();
        if failure.is_current {
            self.schedule_retry(failure);
        } else if self.open_watch.is_none() && !self.has_unrequested_polls() && !self.timing.is_push_mode() {
            // The poll was scheduled because of the old watch. Once that watch has closed, the dispatch task
            // is notified and requests a poll sooner.
            self.next_poll_at = None;
        }
        self.schedule_poll_beside_old_watch();
        let is_failed_renewal = failure.is_current && failure.is_poll && self.is_watching();
        let awaits_poll = self.is_polling() || (self.is_watching() && !is_failed_renewal);
        if was_active && !awaits_poll { NextPoll::OnRequest } else { NextPoll::Pending }
    }

    fn start_poll(&mut self) {
        let request =
            PollRequest { address: self.address, known_index: self.known_index, started_at: Instant::now() };
        debug!(target: DISCOVERY, address = %request.address, known_index = request.known_index, "endpoint poll sent");
        let poll = PendingPoll { generation: self.generation, result: Box::pin(request.run()) };
        self.pending_polls.push(poll);
        let may_hedge = self.timing.is_push_mode() || self.has_unrequested_polls();
        let hedge_delay = self.timing.hedge_delay().filter(|_| may_hedge);
        self.next_poll_at = hedge_delay.map(|delay| Instant::now() + delay);
    }

    fn has_unrequested_polls(&self) -> bool {
        self.unrequested_polls_left.is_some_and(|left| left > 0)
    }

    fn has_pending_poll(&self) -> bool {
        self.pending_polls.iter().any(|poll| poll.generation == self.generation)
    }

    /// Returns whether a watch of the current generation is open.
    fn is_watching(&self) -> bool {
        self.open_watch.as_ref().is_some_and(|open| open.generation == self.generation)
    }

    /// Returns whether a poll of the current generation is pending or scheduled.
    fn is_polling(&self) -> bool {
        self.has_pending_poll() || self.next_poll_at.is_some()
    }

    /// Returns whether the state of the current generation is not idle.
    fn is_active(&self) -> bool {
        self.is_watching() || self.is_polling()
    }

    fn accept_watch(&mut self, generation: AddressGeneration, opened: OpenedWatch) -> Option<WatchUpdate> {
        let OpenedWatch { watch, requested_after, first_event, started_at, poll_duration } = opened;
        let is_current = generation == self.generation;
        let repeated_versions =
            if is_current && self.is_watching() { requested_after..self.known_index } else { 0..0 };
        let is_repetition =
            matches!(&first_event, WatchEvent::List(list) if repeated_versions.contains(&list.index));
        if is_current {
            // This watch delivers everything that the other polls could.
            self.pending_polls.clear();
            self.next_poll_at = None;
            self.unrequested_polls_left = None;
        }
        if self.open_watch.as_ref().is_none_or(|open| open.generation <= generation) {
            self.open_watch = Some(OpenWatch { generation, watch, repeated_versions });
        }
        let list = match first_event {
            WatchEvent::List(list) if !is_repetition => list,
            // The dispatch task awaits the result of its request even if it changes nothing.
            _ if is_current => EndpointListMessage::unchanged(self.known_index),
            WatchEvent::List(_) | WatchEvent::Heartbeat => return None,
        };
        // An answer of an old address does not confirm the list of the current one.
        let sent_at = is_current.then_some(started_at);
        let answered_poll = AnsweredPoll { sent_at, duration: poll_duration };
        Some(self.accept_list(generation, list, Some(answered_poll)))
    }

    /// Accepts a list of the open watch, unless it repeats what a replaced watch has delivered. A change whose
    /// version is older than the current version is a failure of the watch.
    fn accept_change(
        &mut self,
        generation: AddressGeneration,
        list: EndpointListMessage,
    ) -> Option<WatchUpdate> {
        if self.open_watch.as_ref().is_some_and(|open| open.repeated_versions.contains(&list.index)) {
            return None;
        }
        let (sent, known) = (list.index, self.known_index);
        if generation == self.generation && !list.snapshot && sent < known {
            self.open_watch = None;
            // A pending poll would continue the list that may lack changes.
            self.pending_polls.retain(|poll| poll.generation != generation);
            self.known_index = NO_LIST_INDEX;
            let error = WatchError::OutOfOrder { sent, known };
            return Some(WatchUpdate::Failed(WatchFailure { error, is_current: true, is_poll: false }));
        }
        Some(self.accept_list(generation, list, None))
    }

    fn accept_list(
        &mut self,
        generation: AddressGeneration,
        list: EndpointListMessage,
        answered_poll: Option<AnsweredPoll>,
    ) -> WatchUpdate {
        if generation == self.generation {
            self.known_index = list.index;
        }
        self.schedule_poll_beside_old_watch();
        WatchUpdate::List(ListUpdate { list, answered_poll })
    }

    /// Schedules the poll after a failure of the current address, unless the dispatch task must request it.
    fn schedule_retry(&mut self, failure: &WatchFailure) {
        let now = Instant::now();
        if failure.error.is_response_timeout() && self.unrequested_polls_left.is_none() {
            self.unrequested_polls_left = Some(self.timing.max_unrequested_polls());
        }
        if self.timing.is_push_mode() {
            let retry_at = now + WatchTiming::retry_delay(self.consecutive_failures);
            self.consecutive_failures += 1;
            self.next_poll_at = Some(self.next_poll_at.map_or(retry_at, |scheduled| scheduled.min(retry_at)));
        } else if self.has_unrequested_polls() && !self.has_pending_poll() {
            let delay = if failure.is_poll { Duration::ZERO } else { self.timing.slot_delay() };
            self.next_poll_at.get_or_insert(now + delay);
        }
    }

    /// Schedules a poll in the slot of this node if only a watch of an old address is open. The lists of that
    /// watch keep the dispatch task from requesting a poll.
    fn schedule_poll_beside_old_watch(&mut self) {
        if self.open_watch.is_some() && !self.is_active() {
            self.next_poll_at = Some(Instant::now() + self.timing.fallback_delay());
        }
    }
}

/// Removes the first finished poll, in the order in which the polls were started, and returns its outcome.
/// Never returns if there are no polls.
async fn next_poll_outcome(polls: &mut Vec<PendingPoll>) -> PollOutcome {
    poll_fn(|context| {
        for index in 0..polls.len() {
            if let Poll::Ready(result) = polls[index].result.as_mut().poll(context) {
                let generation = polls.remove(index).generation;
                return Poll::Ready(PollOutcome { generation, result });
            }
        }
        Poll::Pending
    })
    .await
}

async fn sleep_until_or_forever(deadline: Option<Instant>) {
    match deadline {
        Some(deadline) => sleep_until(deadline).await,
        None => pending().await,
    }
}

async fn next_watch_outcome(open_watch: &mut Option<OpenWatch>) -> WatchOutcome {
    match open_watch {
        Some(OpenWatch { generation, watch, .. }) => {
            WatchOutcome { generation: *generation, result: watch.next_event().await }
        }
        None => pending().await,
    }
}
