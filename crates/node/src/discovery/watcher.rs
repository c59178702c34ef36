//! Task that watches discovery. It awaits the events of the [`WatchState`] and sends each list to the
//! dispatch task as soon as the list is read, in the order of reading.

use std::net::SocketAddr;

use tokio::sync::{mpsc, watch};
use tracing::{debug, info, warn};

use crate::discovery::endpoint_list::EndpointResolver;
use crate::discovery::watch_state::{StateEvent, WatchState};
use crate::discovery::watch_timing::WatchTiming;
use crate::discovery::watch_update::{ListUpdate, NextPoll, RequestedPoll, WatchFailure, WatchUpdate};
use crate::dispatch::{DispatchMessage, DispatchQueue, EndpointChange, EndpointPollRequest};
use crate::telemetry::logging::DISCOVERY;
use crate::telemetry::metrics::{Counter, Metrics};
use crate::upstream::RequestPayload;

/// Watcher of discovery. It polls on request of the dispatch task or as scheduled by [`WatchTiming`].
pub struct EndpointWatcher {
    /// Initial address of discovery, valid until the watcher is notified of another one.
    pub address: SocketAddr,
    /// Resolver of the names of a list into the identifiers of the dispatcher.
    pub resolver: EndpointResolver,
    /// Version of the endpoint list at the start, or
    /// [`NO_LIST_INDEX`](crate::discovery::endpoint_list::NO_LIST_INDEX).
    pub known_index: u64,
    /// Queue of the dispatch task.
    pub queue: DispatchQueue<RequestPayload>,
    /// Set to true when the first list is read.
    pub list_received: watch::Sender<bool>,
    /// Counters of this node.
    pub metrics: Metrics,
    /// Delays of the polls that the dispatch task has not requested.
    pub timing: WatchTiming,
}

/// Error returned once the dispatch task has finished, so that updates have no receiver.
struct DispatchFinished;

/// Event that the watcher awaits.
enum WatcherEvent {
    AddressChanged(SocketAddr),
    PollRequested(EndpointPollRequest),
    State(StateEvent),
}

impl EndpointWatcher {
    /// Runs until the dispatch task finishes. The dispatch task requests polls through `poll_requests`, and
    /// `address` holds the current address of discovery.
    pub async fn run(
        mut self,
        mut poll_requests: mpsc::Receiver<EndpointPollRequest>,
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
    ) -> Result<(), DispatchFinished> {
        match event {
            WatcherEvent::AddressChanged(address) => {
                state.change_address(address);
                self.notify(DispatchMessage::DiscoveryAddressChanged).await
            }
            WatcherEvent::PollRequested(request) => {
                if state.request_poll() == RequestedPoll::BesideOpenWatch {
                    self.metrics.add(Counter::EndpointWatchRenewals);
                    let confirmation_age = request.confirmed_at.map(|confirmed_at| confirmed_at.elapsed());
                    info!(target: DISCOVERY, ?confirmation_age, "endpoint watch renewal started");
                }
                Ok(())
            }
            WatcherEvent::State(event) => match state.apply_event(event) {
                None => Ok(()),
                Some(WatchUpdate::Heartbeat(read_at)) => {
                    debug!(target: DISCOVERY, "endpoint watch heartbeat received");
                    self.notify(DispatchMessage::EndpointHeartbeat { read_at }).await
                }
                Some(WatchUpdate::List(update)) => self.handle_list(update).await,
                Some(WatchUpdate::Failed(failure)) => self.handle_failure(state, failure).await,
            },
        }
    }

    async fn handle_list(&mut self, update: ListUpdate) -> Result<(), DispatchFinished> {
        let ListUpdate { list, answered_poll } = update;
        let poll_duration = answered_poll.as_ref().map(|poll| poll.duration);
        self.list_received.send_replace(true);
        let endpoints = self.resolver.resolve(&list.endpoints);
        let (index, count, snapshot) = (list.index, endpoints.len(), list.snapshot);
        debug!(target: DISCOVERY, index, endpoints = count, snapshot, ?poll_duration, "endpoint list received");
        let change = EndpointChange { endpoints, update: list.update(), answered_poll };
        self.notify(DispatchMessage::EndpointsChanged(change)).await
    }

    async fn handle_failure(
        &mut self,
        state: &mut WatchState,
        failure: WatchFailure,
    ) -> Result<(), DispatchFinished> {
        self.metrics.add(Counter::EndpointWatchFailures);
        let call = if failure.is_poll { "poll" } else { "watch" };
        let (is_current, error) = (failure.is_current, &failure.error);
        warn!(target: DISCOVERY, call, is_current, %error, "endpoint watch failed");
        if failure.is_current && failure.error.invalidates_list() {
            self.notify(DispatchMessage::EndpointsMalformed).await?;
        }
        if state.record_failure(&failure) == NextPoll::OnRequest {
            self.notify(DispatchMessage::WatchFailed).await?;
        }
        Ok(())
    }

    async fn notify(&self, message: DispatchMessage<RequestPayload>) -> Result<(), DispatchFinished> {
        self.queue.send(message).await.map_err(|_| DispatchFinished)
    }
}

/// Awaits the next event. A change of the address precedes a request, and a request precedes events of the
/// watch state.
async fn next_event(
    state: &mut WatchState,
    poll_requests: &mut mpsc::Receiver<EndpointPollRequest>,
    address: &mut watch::Receiver<SocketAddr>,
) -> Result<WatcherEvent, DispatchFinished> {
    tokio::select! {
        biased;
        Ok(()) = address.changed() => Ok(WatcherEvent::AddressChanged(*address.borrow_and_update())),
        request = poll_requests.recv() => match request {
            Some(request) => Ok(WatcherEvent::PollRequested(request)),
            None => Err(DispatchFinished),
        },
        event = state.next_event() => Ok(WatcherEvent::State(event)),
    }
}
