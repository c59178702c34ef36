//! The task that watches discovery. It waits for the events of the [`WatchState`] and passes each list on to
//! the dispatch task as soon as it is read, in the order in which lists are read.

use std::net::SocketAddr;

use tokio::sync::{mpsc, watch};
use tracing::{debug, warn};

use crate::discovery::endpoint_list::EndpointResolver;
use crate::discovery::watch_state::{
    ListUpdate, NextPoll, StateEvent, WatchFailure, WatchState, WatchUpdate,
};
use crate::discovery::watch_timing::WatchTiming;
use crate::dispatch::{DispatchMessage, DispatchQueue, EndpointChange};
use crate::telemetry::logging::DISCOVERY;
use crate::telemetry::metrics::{Counter, Metrics};
use crate::upstream::RequestPayload;

/// Watches discovery whenever the dispatch task requests it or [`WatchTiming`] schedules it.
pub struct EndpointWatcher {
    /// Address of discovery until the watcher is notified of another one.
    pub address: SocketAddr,
    /// Turns the names of a list into the numbers of the dispatcher.
    pub resolver: EndpointResolver,
    /// The version of the endpoint list that is known at the start, or
    /// [`NO_LIST_INDEX`](crate::discovery::endpoint_list::NO_LIST_INDEX).
    pub known_index: u64,
    /// The queue of the dispatch task.
    pub queue: DispatchQueue<RequestPayload>,
    /// Becomes true with the first list that is read.
    pub list_received: watch::Sender<bool>,
    /// The counters of this node.
    pub metrics: Metrics,
    /// When polls are made that the dispatch task did not request.
    pub timing: WatchTiming,
}

/// The dispatch task has ended, so that the watch has no receiver.
struct DispatchStopped;

/// What the watcher waits for.
enum WatcherEvent {
    AddressChanged(SocketAddr),
    PollRequested,
    State(StateEvent),
}

impl EndpointWatcher {
    /// Runs until the dispatch task ends. It requests polls through `poll_requests`; `address` has the
    /// address of discovery each time that it changes.
    pub async fn run(
        mut self,
        mut poll_requests: mpsc::Receiver<()>,
        mut address: watch::Receiver<SocketAddr>,
    ) {
        let mut state = WatchState::new(self.timing, self.address, self.known_index);
        while let Ok(event) = next_event(&mut state, &mut poll_requests, &mut address).await {
            if self.handle_event(&mut state, event).await.is_err() {
                return;
            }
        }
    }

    async fn handle_event(
        &mut self,
        state: &mut WatchState,
        event: WatcherEvent,
    ) -> Result<(), DispatchStopped> {
        match event {
            WatcherEvent::AddressChanged(address) => {
                state.change_address(address);
                self.notify(DispatchMessage::DiscoveryAddressChanged).await
            }
            WatcherEvent::PollRequested => {
                state.request_poll();
                Ok(())
            }
            WatcherEvent::State(event) => match state.apply_event(event) {
                None => Ok(()),
                Some(WatchUpdate::Confirmed(as_of)) => {
                    debug!(target: DISCOVERY, "endpoint list confirmed");
                    self.notify(DispatchMessage::EndpointsConfirmed { as_of }).await
                }
                Some(WatchUpdate::List(update)) => self.forward_list(update).await,
                Some(WatchUpdate::Failed(failure)) => self.handle_failure(state, failure).await,
            },
        }
    }

    async fn forward_list(&mut self, update: ListUpdate) -> Result<(), DispatchStopped> {
        let ListUpdate { list, current_as_of, poll_duration } = update;
        self.list_received.send_replace(true);
        let endpoints = self.resolver.resolve(&list.endpoints);
        let (index, count, snapshot) = (list.index, endpoints.len(), list.snapshot);
        debug!(target: DISCOVERY, index, endpoints = count, snapshot, ?poll_duration, "endpoint list received");
        let change = EndpointChange { endpoints, update: list.update(), current_as_of, poll_duration };
        self.notify(DispatchMessage::EndpointsChanged(change)).await
    }

    async fn handle_failure(
        &mut self,
        state: &mut WatchState,
        failure: WatchFailure,
    ) -> Result<(), DispatchStopped> {
        self.metrics.add(Counter::EndpointWatchFailures);
        let call = if failure.is_poll() { "poll" } else { "watch" };
        let (is_current, error) = (failure.is_current, &failure.error);
        warn!(target: DISCOVERY, call, is_current, %error, "endpoint watch failed");
        if failure.is_current && failure.error.leaves_list_unknown() {
            self.notify(DispatchMessage::EndpointsMalformed).await?;
        }
        if state.record_failure(&failure) == NextPoll::OnRequest {
            self.notify(DispatchMessage::WatchFailed).await?;
        }
        Ok(())
    }

    async fn notify(&self, message: DispatchMessage<RequestPayload>) -> Result<(), DispatchStopped> {
        self.queue.send(message).await.map_err(|_| DispatchStopped)
    }
}

/// A change of address comes before a request, and a request before anything of discovery.
async fn next_event(
    state: &mut WatchState,
    poll_requests: &mut mpsc::Receiver<()>,
    address: &mut watch::Receiver<SocketAddr>,
) -> Result<WatcherEvent, DispatchStopped> {
    tokio::select! {
        biased;
        Ok(()) = address.changed() => Ok(WatcherEvent::AddressChanged(*address.borrow_and_update())),
        request = poll_requests.recv() => match request {
            Some(()) => Ok(WatcherEvent::PollRequested),
            None => Err(DispatchStopped),
        },
        event = state.next_event() => Ok(WatcherEvent::State(event)),
    }
}
