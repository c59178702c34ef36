//! The state machine of the endpoint watch: when discovery is polled, and which polls and watches count.
//!
//! Discovery serves polls one after another. So that a fleet does not poll it all at once, a node polls when
//! the dispatch task requests it (which spreads the requests of the nodes) and, unrequested, only within the
//! bounds of [`WatchTiming`].
//!
//! # States
//!
//! The address of discovery can change while watches and polls of the old address go on. Each of them has the
//! [`AddressGeneration`] in which it was started. For the present generation the watch is in one of these
//! states:
//!
//! | state | held in | left by |
//! | --- | --- | --- |
//! | idle | nothing below | a request of the dispatch task, or a change of address: a poll is started |
//! | scheduled | `next_poll_at` | that moment: a poll is started |
//! | polling | `pending_polls` | a poll that opens a watch, or the failure of the last one |
//! | watching | `open_watch` | the failure of the watch |
//!
//! Several polls may be pending, and a poll may be scheduled while another is pending or a watch of an
//! earlier generation is open. The first poll of the present generation that opens a watch cancels all
//! others.
//!
//! After a failure the next state is *scheduled* if lists are pushed or unrequested polls are left, else
//! *idle*: then the caller notifies the dispatch task, once. A watch of an earlier generation stays open
//! until one of the present generation replaces it, since it may still deliver changes. While it is open it
//! keeps the dispatch task from requesting polls, so that the state never stays *idle* beside it.

use std::future::{Future, pending, poll_fn};
use std::net::SocketAddr;
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
use crate::telemetry::logging::DISCOVERY;

/// Counts the changes of discovery's address.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
struct AddressGeneration(u32);

impl AddressGeneration {
    fn next(self) -> Self {
        AddressGeneration(self.0 + 1)
    }
}

/// A poll in flight.
struct PendingPoll {
    generation: AddressGeneration,
    result: Pin<Box<dyn Future<Output = Result<OpenedWatch, WatchError>>>>,
}

/// The watch that is open, and the generation of the poll that opened it.
struct OpenWatch {
    generation: AddressGeneration,
    watch: EndpointWatch,
}

/// What the watcher waits for; to be passed to [`WatchState::apply_event`].
pub enum StateEvent {
    /// It is time for the scheduled poll.
    PollDue,
    /// A poll has opened a watch or failed.
    PollFinished(PollOutcome),
    /// The open watch has delivered something or failed.
    WatchAdvanced(WatchOutcome),
}

/// How a poll ended.
pub struct PollOutcome {
    generation: AddressGeneration,
    result: Result<OpenedWatch, WatchError>,
}

/// What the open watch delivered.
pub struct WatchOutcome {
    generation: AddressGeneration,
    result: Result<ReceivedEvent, WatchError>,
}

/// What has to be passed on after an event.
pub enum WatchUpdate {
    /// A list, or a change of it.
    List(ListUpdate),
    /// The watch at the present address confirms that nothing has changed up to this moment.
    Confirmed(Instant),
    /// A watch or a poll has failed. The caller reports it and calls [`WatchState::record_failure`].
    Failed(WatchFailure),
}

/// A list that has been read.
pub struct ListUpdate {
    /// The list.
    pub list: EndpointListMessage,
    /// The moment at which the complete list, with this update applied, was current. None if that is unknown: the list
    /// is of an earlier address, or arrived after a silence.
    pub current_as_of: Option<Instant>,
    /// How long the poll took of which it is the first answer.
    pub poll_duration: Option<Duration>,
}

/// A failed watch or poll.
pub struct WatchFailure {
    /// Why it failed.
    pub error: WatchError,
    /// Whether it was at the present address.
    pub is_current: bool,
    /// Whether a poll failed and not an open watch. A poll has waited for this node's slot already.
    is_poll: bool,
}

/// Where the next poll comes from after a failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextPoll {
    /// It is scheduled, or the dispatch task has been notified of an earlier failure already.
    Pending,
    /// The state was active before the failure and is idle now: the dispatch task has to be notified, which then
    /// requests the poll.
    OnRequest,
}

impl WatchFailure {
    /// Whether a poll failed and not an open watch.
    pub fn is_poll(&self) -> bool {
        self.is_poll
    }
}

/// The open watch, the polls in flight, and the time of the next poll. See the module's documentation for the
/// states.
pub struct WatchState {
    timing: WatchTiming,
    address: SocketAddr,
    generation: AddressGeneration,
    /// Version of the list that is known, or [`NO_LIST_INDEX`].
    known_index: u64,
    open_watch: Option<OpenWatch>,
    pending_polls: Vec<PendingPoll>,
    next_poll_at: Option<Instant>,
    /// How many unrequested polls are left since a silence or a change of address; `None` if there was
    /// neither since a watch was opened at the present address.
    unrequested_polls_left: Option<u32>,
    /// Failures since an open watch has delivered something after its first event.
    consecutive_failures: u32,
}

impl WatchState {
    /// A state that begins with a poll at once if lists are pushed, else idle.
    pub fn new(timing: WatchTiming, address: SocketAddr, known_index: u64) -> Self {
        WatchState {
            timing,
            address,
            generation: AddressGeneration::default(),
            known_index,
            open_watch: None,
            pending_polls: Vec::new(),
            next_poll_at: timing.lists_are_pushed().then(Instant::now),
            unrequested_polls_left: None,
            consecutive_failures: 0,
        }
    }

    /// Polls at the request of the dispatch task, unless a watch is open, a poll in flight or one scheduled:
    /// these answer the request as well.
    pub fn request_poll(&mut self) {
        if !self.is_active() {
            self.start_poll();
        }
    }

    /// Takes over another address of discovery and polls it. The watch and the polls of the address before go
    /// on until a watch is opened at the new one: they may still deliver changes.
    pub fn change_address(&mut self, address: SocketAddr) {
        let previous = self.generation;
        self.address = address;
        self.generation = previous.next();
        // Another discovery numbers its versions in its own way, so that the complete list is needed.
        self.known_index = NO_LIST_INDEX;
        // All changes must be known 4 s later: a poll that hangs must leave time for others.
        self.unrequested_polls_left = Some(self.timing.unrequested_polls());
        // Polls of older addresses are cancelled, or they would accumulate descriptors.
        self.pending_polls.retain(|poll| poll.generation >= previous);
        self.start_poll();
    }

    /// Waits for the next event. Cancel-safe.
    pub async fn next_event(&mut self) -> StateEvent {
        tokio::select! {
            biased;
            outcome = next_poll_outcome(&mut self.pending_polls) => StateEvent::PollFinished(outcome),
            () = sleep_until_or_forever(self.next_poll_at) => StateEvent::PollDue,
            outcome = next_watch_outcome(&mut self.open_watch) => StateEvent::WatchAdvanced(outcome),
        }
    }

    /// Changes the state for an event, and returns what has to be passed on.
    pub fn apply_event(&mut self, event: StateEvent) -> Option<WatchUpdate> {
        match event {
            StateEvent::PollDue => {
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
                    WatchEvent::List(list) => {
                        Some(self.accept_change(generation, list, received.current_as_of))
                    }
                    WatchEvent::Heartbeat => {
                        // The heartbeat of an old address does not confirm the list at the present one.
                        let as_of = received.current_as_of.filter(|_| generation == self.generation);
                        as_of.map(WatchUpdate::Confirmed)
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

    /// Schedules the next poll after a failure, or returns that the dispatch task has to request it.
    pub fn record_failure(&mut self, failure: &WatchFailure) -> NextPoll {
        let was_active = failure.is_current || self.is_active();
        if failure.is_current {
            self.schedule_retry(failure);
        } else if self.open_watch.is_none()
            && !self.has_unrequested_polls()
            && !self.timing.lists_are_pushed()
        {
            // The poll was scheduled because of the old watch. Without that watch the dispatch task is
            // notified, and requests a poll sooner.
            self.next_poll_at = None;
        }
        self.schedule_poll_beside_old_watch();
        if was_active && !self.is_active() { NextPoll::OnRequest } else { NextPoll::Pending }
    }

    fn start_poll(&mut self) {
        let request =
            PollRequest { address: self.address, known_index: self.known_index, started_at: Instant::now() };
        debug!(target: DISCOVERY, address = %request.address, known_index = request.known_index, "endpoint poll sent");
        let poll = PendingPoll { generation: self.generation, result: Box::pin(request.run()) };
        self.pending_polls.push(poll);
        let may_hedge = self.timing.lists_are_pushed() || self.has_unrequested_polls();
        let hedge_delay = self.timing.hedge_delay().filter(|_| may_hedge);
        self.next_poll_at = hedge_delay.map(|delay| Instant::now() + delay);
    }

    fn has_unrequested_polls(&self) -> bool {
        self.unrequested_polls_left.is_some_and(|left| left > 0)
    }

    fn has_pending_poll(&self) -> bool {
        self.pending_polls.iter().any(|poll| poll.generation == self.generation)
    }

    /// Whether the state of the present generation is any but idle.
    fn is_active(&self) -> bool {
        let is_watching = self.open_watch.as_ref().is_some_and(|open| open.generation == self.generation);
        is_watching || self.has_pending_poll() || self.next_poll_at.is_some()
    }

    fn accept_watch(&mut self, generation: AddressGeneration, opened: OpenedWatch) -> Option<WatchUpdate> {
        let OpenedWatch { watch, first_event, started_at, poll_duration } = opened;
        let is_current = generation == self.generation;
        if is_current {
            // This watch delivers all that the other polls could.
            self.pending_polls.clear();
            self.next_poll_at = None;
            self.unrequested_polls_left = None;
        }
        if self.open_watch.as_ref().is_none_or(|open| open.generation <= generation) {
            self.open_watch = Some(OpenWatch { generation, watch });
        }
        let list = match first_event {
            WatchEvent::List(list) => list,
            // The dispatch task waits for the answer to its request even if nothing has changed.
            WatchEvent::Heartbeat if is_current => EndpointListMessage::unchanged(self.known_index),
            WatchEvent::Heartbeat => return None,
        };
        Some(self.accept_list(generation, list, Some(started_at), Some(poll_duration)))
    }

    /// Takes a list of the open watch. A change whose version is older than the known one cannot follow it.
    fn accept_change(
        &mut self,
        generation: AddressGeneration,
        list: EndpointListMessage,
        current_as_of: Option<Instant>,
    ) -> WatchUpdate {
        let (sent, known) = (list.index, self.known_index);
        if generation == self.generation && !list.snapshot && sent < known {
            self.open_watch = None;
            self.known_index = NO_LIST_INDEX;
            let error = WatchError::OutOfOrder { sent, known };
            return WatchUpdate::Failed(WatchFailure { error, is_current: true, is_poll: false });
        }
        self.accept_list(generation, list, current_as_of, None)
    }

    fn accept_list(
        &mut self,
        generation: AddressGeneration,
        list: EndpointListMessage,
        current_as_of: Option<Instant>,
        poll_duration: Option<Duration>,
    ) -> WatchUpdate {
        let is_current = generation == self.generation;
        if is_current {
            self.known_index = list.index;
        }
        self.schedule_poll_beside_old_watch();
        let current_as_of = current_as_of.filter(|_| is_current);
        WatchUpdate::List(ListUpdate { list, current_as_of, poll_duration })
    }

    /// Schedules the poll that follows a failure at the present address, if it needs no request.
    fn schedule_retry(&mut self, failure: &WatchFailure) {
        let now = Instant::now();
        if failure.error.is_silence() && self.unrequested_polls_left.is_none() {
            self.unrequested_polls_left = Some(self.timing.unrequested_polls());
        }
        if self.timing.lists_are_pushed() {
            let retry_at = now + WatchTiming::retry_delay(self.consecutive_failures);
            self.consecutive_failures += 1;
            self.next_poll_at = Some(self.next_poll_at.map_or(retry_at, |scheduled| scheduled.min(retry_at)));
        } else if self.has_unrequested_polls() && !self.has_pending_poll() {
            let delay = if failure.is_poll { Duration::ZERO } else { self.timing.slot_delay() };
            self.next_poll_at.get_or_insert(now + delay);
        }
    }

    /// Schedules a poll in this node's slot if only a watch at an old address is open: its lists keep the
    /// dispatch task from requesting one.
    fn schedule_poll_beside_old_watch(&mut self) {
        if self.open_watch.is_some() && !self.is_active() {
            self.next_poll_at = Some(Instant::now() + self.timing.fallback_delay());
        }
    }
}

/// Removes the first poll that has finished, in the order in which they were started. Never returns
/// without polls.
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
        Some(OpenWatch { generation, watch }) => {
            WatchOutcome { generation: *generation, result: watch.next_event().await }
        }
        None => pending().await,
    }
}
