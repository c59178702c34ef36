//! Owns the watch on discovery's list, the transport map.
//! It must never keep back, reorder or judge a change: each goes to the dispatch task the moment it is read.

pub mod endpoint_list;

use std::future::{Future, pending, poll_fn};
use std::io;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use curlewusher_core::Settings;
use http_body_util::Empty;
use hyper::body::{Body, Incoming};
use hyper::{Request, StatusCode, header};
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep_until, timeout, timeout_at};
use tracing::{debug, warn};

use crate::discovery::endpoint_list::{
    EndpointListError, EndpointListMessage, EndpointListReader, EndpointResolver,
};
use crate::dispatch::{DispatchMessage, DispatchQueue};
use crate::telemetry::logging::DISCOVERY;
use crate::telemetry::metrics::{Counter, Metrics};
use crate::upstream::RequestPayload;

/// A watch sends a line every 2 s. One that is late by half of that, on a slow network or machine, is not
/// silent yet: all nodes would call at once.
const SILENCE: Duration = Duration::from_millis(3000);
/// Discovery serves calls one after another and gives up those that wait for 2 s.
const ANSWER: Duration = Duration::from_millis(2200);
const CONNECT: Duration = Duration::from_millis(700);
/// Discovery serves a call in less than this.
const CALL: Duration = Duration::from_millis(70);
/// A call that has not begun by then hangs, where discovery could have served all nodes. What a silent watch
/// has to tell counts as told after 6 s, and work must stop 0.75 s later, 6.75 s in all. Silence is seen
/// after 3 s; a call goes out in this node's turn, 1.2 s later at most; the next 1.2 s after it, at 5.4 s: it
/// has 1.35 s, which is all that discovery needs for one call of each node.
const LOST: Duration = Duration::from_millis(1200);
/// So many calls fit into that time. Then the module is told, which calls ever more rarely.
const UNASKED: u32 = 2;
/// Where lists are pushed, what discovery has at its return counts at once, and work must stop 0.75 s later:
/// the next call follows a failed one after this, or twice that, up to 0.4 s.
const RETRY: Duration = Duration::from_millis(50);
const RETRY_DOUBLINGS: u32 = 3;
const RETRY_MOST: Duration = Duration::from_millis(400);
/// Why a watch could not be opened, or is no more. Each is counted, and another call follows.
#[derive(Debug, Error)]
pub enum WatchError {
    /// Nobody listens there, or the connection was refused.
    #[error("discovery cannot be reached: {0}; see that it runs at the address in the configuration")]
    Unreachable(io::Error),
    /// No connection came up.
    #[error(
        "discovery cannot be reached in time; see that its machine runs and that the network \
         lets calls through"
    )]
    NoConnection,
    /// What is there does not speak HTTP, or the connection broke before an answer.
    #[error(
        "discovery does not answer: {0}; see that it runs, and that its address is that of no other service"
    )]
    NoAnswer(hyper::Error),
    /// An address that cannot stand in a request.
    #[error("discovery cannot be asked: {0}; give it an address and port in the configuration")]
    Request(#[from] hyper::http::Error),
    /// An answer, but no list.
    #[error("discovery answered {0}; where that lasts, see whether it is overloaded")]
    Status(StatusCode),
    /// The call hangs.
    #[error(
        "the watch did not begin in time; where that lasts, see whether discovery hangs or is overloaded"
    )]
    Late,
    /// The connection broke.
    #[error("the watch broke: {0}; where that lasts, see whether discovery is being restarted")]
    Broke(hyper::Error),
    /// The answer ended.
    #[error("the watch ended; where that lasts, see whether discovery serves watches at that address")]
    Ended,
    /// Neither a list nor an empty line has come in time.
    #[error("the watch fell silent; where that lasts, see whether discovery hangs or the network is cut")]
    Silent,
    /// Something else than a list.
    #[error("a list of the watch cannot be read: {0}")]
    Spoilt(#[from] EndpointListError),
}

impl WatchError {
    /// Nothing came where something should have.
    fn is_silence(&self) -> bool {
        matches!(self, WatchError::Silent | WatchError::Late)
    }
}

/// A connection to discovery. Whoever waits for what it brings drives it, so that it ends, and its descriptor
/// comes back, in the moment in which that is dropped.
type Connection = Box<hyper::client::conn::http1::Connection<TokioIo<TcpStream>, Empty<Bytes>>>;

/// What `poll` waits for, while the connection is driven. First the connection: what it has read counts
/// before any time-out.
async fn drive<T>(
    connection: &mut Option<Connection>,
    mut poll: impl FnMut(&mut Context<'_>) -> Poll<T>,
) -> T {
    poll_fn(|cx| {
        if let Some(open) = connection
            && Pin::new(open).poll(cx).is_ready()
        {
            // Its end, good or bad, is told by what it brings.
            *connection = None;
        }
        poll(cx)
    })
    .await
}

/// A watch that is open: what was read of it, and when a whole list or an empty line last was.
struct Watch {
    /// How often discovery had moved when it was called.
    era: u32,
    /// How long it took to answer with a first line.
    took: Duration,
    connection: Option<Connection>,
    body: Incoming,
    reader: EndpointListReader,
    heard: Instant,
}

/// A watch that is being opened, up to its first line.
type Opening = Pin<Box<dyn Future<Output = Result<(Watch, Option<EndpointListMessage>), WatchError>>>>;

impl Watch {
    async fn open(from: SocketAddr, era: u32, index: u64) -> Result<Self, WatchError> {
        let stream = match timeout(CONNECT, TcpStream::connect(from)).await {
            Ok(stream) => stream.map_err(WatchError::Unreachable)?,
            Err(_) => return Err(WatchError::NoConnection),
        };
        let _ = stream.set_nodelay(true);
        let shaken = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await;
        let (mut sender, connection) = shaken.map_err(WatchError::NoAnswer)?;
        let mut connection = Some(Box::new(connection));
        let request = Request::get(format!("/v1/endpoints?follow=1&since={index}"))
            .header(header::HOST, from.to_string())
            .body(Empty::<Bytes>::new())?;
        let mut answer = pin!(sender.send_request(request));
        let response = drive(&mut connection, |cx| answer.as_mut().poll(cx)).await;
        let response = response.map_err(WatchError::NoAnswer)?;
        match response.status() {
            StatusCode::OK => {
                let (body, heard) = (response.into_body(), Instant::now());
                Ok(Watch {
                    era,
                    took: Duration::ZERO,
                    connection,
                    body,
                    reader: EndpointListReader::default(),
                    heard,
                })
            }
            status => Err(WatchError::Status(status)),
        }
    }

    /// The next list; none where an empty line says that nothing has changed. May be dropped and called
    /// again: what was read and the time of it stay with the watch.
    async fn next(&mut self) -> Result<Option<EndpointListMessage>, WatchError> {
        loop {
            if let Some(list) = self.reader.next()? {
                // Mere bytes are no sign of life: a list that never ends tells nothing.
                self.heard = Instant::now();
                return Ok(list);
            }
            let frame = drive(&mut self.connection, |cx| Pin::new(&mut self.body).poll_frame(cx));
            let frame = match timeout_at(self.heard + SILENCE, frame).await {
                Ok(Some(frame)) => frame.map_err(WatchError::Broke)?,
                Ok(None) => return Err(WatchError::Ended),
                Err(_) => return Err(WatchError::Silent),
            };
            if let Ok(data) = frame.into_data() {
                self.reader.take(&data);
            }
        }
    }
}

/// When this node calls discovery of its own accord. Else it does so where the dispatch task asks for it.
pub struct WatchTiming {
    /// Lists are pushed: nobody asks, and what discovery has counts as told.
    pushed: bool,
    /// By then discovery has served a call of each node.
    all: Duration,
    /// By then, those before this node.
    turn: Duration,
}

impl WatchTiming {
    pub fn new(settings: &Settings) -> Self {
        let (all, turn) = (CALL * settings.nodes, CALL * settings.node_index);
        WatchTiming { pushed: !settings.endpoints_on_request, all, turn: turn.min(all) }
    }

    /// How long after a call one more is made beside it, should it not have begun; none where it would but
    /// stand behind the first, in the same line.
    fn gap(&self) -> Option<Duration> {
        let gap = if self.pushed { self.all.max(RETRY_MOST) } else { LOST };
        (self.all <= gap && gap < ANSWER).then_some(gap)
    }

    /// Calls that are made without being asked for once something has fallen silent.
    fn unasked(&self) -> u32 {
        if self.gap().is_some() { UNASKED } else { 0 }
    }
}

/// A call for a watch that has not begun.
struct PendingPoll {
    era: u32,
    opening: Opening,
}

/// What comes of discovery next, and in which era that was called.
enum Came {
    /// It is time for a call.
    Due,
    Begun(u32, Result<(Watch, Option<EndpointListMessage>), WatchError>),
    Line(u32, Result<Option<EndpointListMessage>, WatchError>),
}

/// The one place that knows which watch is open, which calls are under way, and when the next is due. While
/// none of these is at discovery's address, the dispatch task has been told that the list failed, and asks.
struct Calls {
    pace: WatchTiming,
    discovery: SocketAddr,
    /// How often discovery has moved.
    era: u32,
    /// What is known of its list.
    index: u64,
    live: Option<Watch>,
    under_way: Vec<PendingPoll>,
    due: Option<Instant>,
    /// Something has fallen silent and no watch has begun since; so many calls are still to be made unasked.
    silent: bool,
    left: u32,
    /// Failures since a watch lived on behind its first line.
    failures: u32,
}

impl Calls {
    fn call(&mut self) {
        let (from, era, index) = (self.discovery, self.era, self.index);
        let called = Instant::now();
        debug!(target: DISCOVERY, %from, index, "call");
        let opening = Box::pin(async move {
            let open = async {
                let mut watch = Watch::open(from, era, index).await?;
                let first = watch.next().await?;
                watch.took = called.elapsed();
                Ok((watch, first))
            };
            timeout(ANSWER, open).await.unwrap_or(Err(WatchError::Late))
        });
        self.under_way.push(PendingPoll { era, opening });
        let again = self.pace.gap().filter(|_| self.pace.pushed || self.left > 0);
        self.due = again.map(|gap| Instant::now() + gap);
    }

    fn calls(&self) -> bool {
        self.under_way.iter().any(|call| call.era == self.era)
    }

    /// Whether a watch at discovery's address is open, under way, or due.
    fn stands(&self) -> bool {
        self.live.as_ref().is_some_and(|live| live.era == self.era) || self.calls() || self.due.is_some()
    }

    /// Discovery has another address. What is open or under way at the old one goes on until a watch has
    /// begun at the new: it may still tell of changes.
    fn moved(&mut self, to: SocketAddr) {
        self.discovery = to;
        self.era += 1;
        // Another discovery counts its changes in its own way: the whole list is wanted.
        self.index = 0;
        // All must be told 4 s later: a call that hangs must leave time for others.
        (self.silent, self.left) = (true, self.pace.unasked());
        // Of the addresses before, only the last may still bring what counts: calls must not gather descriptors.
        let era = self.era;
        self.under_way.retain(|call| call.era + 1 >= era);
        self.call();
    }

    /// Waits for what comes next. May be dropped and called again.
    async fn next(&mut self) -> Came {
        let Calls { live, under_way, due, .. } = self;
        let due = async {
            match due {
                Some(at) => sleep_until(*at).await,
                None => pending().await,
            }
        };
        let begun = poll_fn(|cx| {
            for at in 0..under_way.len() {
                if let Poll::Ready(begun) = under_way[at].opening.as_mut().poll(cx) {
                    return Poll::Ready(Came::Begun(under_way.remove(at).era, begun));
                }
            }
            Poll::Pending
        });
        let line = async {
            match live {
                Some(watch) => Came::Line(watch.era, watch.next().await),
                None => pending().await,
            }
        };
        tokio::select! {
            biased;
            begun = begun => begun,
            () = due => Came::Due,
            line = line => line,
        }
    }

    /// What there is to tell of that, and the era that it is of; a list of none where what is known stands.
    fn heard(&mut self, came: Came) -> Option<(u32, Result<Option<EndpointListMessage>, WatchError>)> {
        match came {
            Came::Due => {
                self.left = self.left.saturating_sub(1);
                self.call();
                None
            }
            Came::Begun(era, Ok((watch, first))) => {
                let now = era == self.era;
                if now {
                    // It has all that the others could bring.
                    self.under_way.clear();
                    (self.due, self.silent, self.left) = (None, false, 0);
                }
                if self.live.as_ref().is_none_or(|live| live.era <= era) {
                    self.live = Some(watch);
                }
                // A first line without a change says that the list stands: the module waits for that.
                let unchanged =
                    EndpointListMessage { index: self.index, snapshot: false, endpoints: Vec::new() };
                first.or(now.then_some(unchanged)).map(|list| (era, Ok(Some(list))))
            }
            Came::Begun(era, Err(broken)) => Some((era, Err(broken))),
            Came::Line(era, Ok(line)) => {
                self.failures = 0;
                Some((era, Ok(line)))
            }
            Came::Line(era, Err(broken)) => {
                self.live = None;
                Some((era, Err(broken)))
            }
        }
    }

    /// Sees to the next call after a failure. Whether the dispatch task is to be told, and then asks for it.
    fn failed(&mut self, era: u32, broken: &WatchError, waited: bool) -> bool {
        let now = Instant::now();
        let stood = era == self.era || self.stands();
        if era != self.era {
            // What bridged the time up to a call in turn is gone: it is told, and better asked for soon.
            if self.live.is_none() && self.left == 0 && !self.pace.pushed {
                self.due = None;
            }
        } else {
            if broken.is_silence() && !self.silent {
                (self.silent, self.left) = (true, self.pace.unasked());
            }
            if self.pace.pushed {
                let after = RETRY * 2u32.pow(self.failures.min(RETRY_DOUBLINGS));
                self.failures += 1;
                self.due = Some(self.due.map_or(now + after, |due| due.min(now + after)));
            } else if self.left > 0 && !self.calls() {
                let turn = if waited { Duration::ZERO } else { self.pace.turn };
                self.due.get_or_insert(now + turn);
            }
        }
        self.bridged();
        stood && !self.stands()
    }

    /// While a watch at an old address is open its lists keep the dispatch task from asking: then the next
    /// call is made unasked, in this node's turn.
    fn bridged(&mut self) {
        if self.live.is_some() && !self.stands() {
            self.due = Some(Instant::now() + LOST + self.pace.turn);
        }
    }
}

/// The task that watches discovery, whenever the dispatch task asks for it or [`WatchTiming`] has it so.
pub struct EndpointWatcher {
    /// Where discovery is until the watcher is told another address.
    pub address: SocketAddr,
    /// Turns the names of a list into the numbers of the dispatcher.
    pub resolver: EndpointResolver,
    /// The version of the endpoint list that is known at the start; 0 for none.
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

impl EndpointWatcher {
    /// `moved` tells of a new address of discovery.
    pub async fn run(mut self, mut asked: mpsc::Receiver<()>, mut moved: watch::Receiver<SocketAddr>) {
        let mut calls = Calls {
            // From the first moment of the process, where nobody asks.
            due: self.timing.pushed.then(Instant::now),
            pace: self.timing,
            discovery: self.address,
            era: 0,
            index: self.known_index,
            live: None,
            under_way: Vec::new(),
            silent: false,
            left: 0,
            failures: 0,
        };
        loop {
            let came = tokio::select! {
                biased;
                Ok(()) = moved.changed() => {
                    calls.moved(*moved.borrow_and_update());
                    if self.queue.send(DispatchMessage::DiscoveryMoved).await.is_err() {
                        return;
                    }
                    continue;
                }
                asked = asked.recv() => {
                    if asked.is_none() {
                        return;
                    }
                    // A watch that is open, or about to be, answers this as well.
                    if !calls.stands() {
                        calls.call();
                    }
                    continue;
                }
                came = calls.next() => came,
            };
            let waited = matches!(came, Came::Begun(..));
            let took = match &came {
                Came::Begun(_, Ok((watch, _))) => Some(watch.took),
                _ => None,
            };
            let Some((era, heard)) = calls.heard(came) else { continue };
            let notice = match heard {
                // An old address says nothing of what the new one has.
                Ok(None) if era == calls.era => DispatchMessage::EndpointsConfirmed,
                Ok(None) => continue,
                Ok(Some(list)) => {
                    let stands = era == calls.era;
                    if stands {
                        calls.index = list.index;
                    }
                    calls.bridged();
                    self.list_received.send_replace(true);
                    let hops = self.resolver.resolve(&list.endpoints);
                    let (index, entries, whole) = (list.index, hops.len(), list.snapshot);
                    debug!(target: DISCOVERY, index, entries, whole, ?took, "list or change");
                    DispatchMessage::EndpointsChanged {
                        endpoints: hops,
                        snapshot: whole,
                        confirmed: stands,
                        poll_duration: took,
                    }
                }
                Err(broken) => {
                    self.metrics.add(Counter::ListFailures);
                    warn!(target: DISCOVERY, "transport map: {broken}");
                    let spoilt = era == calls.era && matches!(broken, WatchError::Spoilt(_));
                    if spoilt && self.queue.send(DispatchMessage::EndpointsUnreadable).await.is_err() {
                        return;
                    }
                    if !calls.failed(era, &broken, waited) {
                        continue;
                    }
                    DispatchMessage::WatchFailed
                }
            };
            if self.queue.send(notice).await.is_err() {
                return;
            }
        }
    }
}
