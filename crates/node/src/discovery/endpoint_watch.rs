//! One endpoint watch: a long-lived `GET` on discovery whose response is a stream of endpoint lists and
//! heartbeats.
//!
//! A watch is opened by a *poll*: connect, send the request, and read up to the first list or heartbeat. From
//! then on [`EndpointWatch::next_event`] reads until the watch fails. Every failure is final: another poll
//! has to follow.
//!
//! The connection is driven by the caller that waits for its data and by no task of its own, so that it is closed,
//! and its descriptor free, as soon as the watch or the poll is dropped.

use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Empty;
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, StatusCode, header};
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout, timeout_at};

use crate::discovery::endpoint_list::EndpointListMessage;
use crate::discovery::list_parser::{EndpointListError, EndpointListParser, Parsed};

/// A watch without a list or a heartbeat for this long has failed. Discovery sends a heartbeat every 2 s;
/// half of that is added for a slow network or machine, since otherwise all nodes would poll at once.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(3);
/// Bound of a complete poll. Discovery serves polls one after another and abandons those that wait for 2 s.
pub(super) const POLL_TIMEOUT: Duration = Duration::from_millis(2200);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);

/// Why a watch could not be opened, or has failed. Each is counted, and another poll follows.
#[derive(Debug, Error)]
pub enum WatchError {
    /// No process listens at the address, or the connection was refused.
    #[error("discovery cannot be reached: {0}; see that it runs at the address in the configuration")]
    Unreachable(#[source] io::Error),
    /// No connection was established within [`CONNECT_TIMEOUT`].
    #[error(
        "discovery cannot be reached in time; see that its machine runs and that the network \
         lets calls through"
    )]
    ConnectTimeout,
    /// The process at the address does not speak HTTP, or the connection broke before a response.
    #[error(
        "discovery does not answer: {0}; see that it runs, and that its address is that of no other service"
    )]
    NoResponse(#[source] hyper::Error),
    /// The address cannot be written into a request.
    #[error("discovery cannot be asked: {0}; give it an address and port in the configuration")]
    Request(#[from] hyper::http::Error),
    /// A response other than 200.
    #[error("discovery answered {0}; where that lasts, see whether it is overloaded")]
    Status(StatusCode),
    /// The poll took longer than [`POLL_TIMEOUT`].
    #[error(
        "the watch did not begin in time; where that lasts, see whether discovery hangs or is overloaded"
    )]
    PollTimeout,
    /// The connection broke during the response.
    #[error("the watch broke: {0}; where that lasts, see whether discovery is being restarted")]
    Broken(#[source] hyper::Error),
    /// Discovery ended the response.
    #[error("the watch ended; where that lasts, see whether discovery serves watches at that address")]
    Ended,
    /// Neither a list nor a heartbeat arrived within [`SILENCE_TIMEOUT`].
    #[error("the watch fell silent; where that lasts, see whether discovery hangs or the network is cut")]
    Silent,
    /// A change has an older version than the list that it is to change, so that others may be missing.
    #[error(
        "the watch sent version {sent} after version {known}; see whether two discoveries serve one address"
    )]
    OutOfOrder {
        /// The version of the change.
        sent: u64,
        /// The version that was known.
        known: u64,
    },
    /// The response holds something other than endpoint lists.
    #[error("a list of the watch cannot be read: {0}")]
    Malformed(#[from] EndpointListError),
}

impl WatchError {
    /// Whether a message that was due did not arrive, so that later changes of discovery are unknown.
    pub fn is_silence(&self) -> bool {
        matches!(self, WatchError::Silent | WatchError::PollTimeout)
    }

    /// Whether the list that is known may lack any change, however recent.
    pub fn leaves_list_unknown(&self) -> bool {
        matches!(self, WatchError::Malformed(_) | WatchError::OutOfOrder { .. })
    }
}

/// An event of a watch, and the moment up to which the list is known with it.
pub struct ReceivedEvent {
    /// What was read.
    pub event: WatchEvent,
    /// The list, with this event applied, is known to have been current at this moment. None if the event arrived after
    /// a silence: it may have been delayed, and others after it.
    pub current_as_of: Option<Instant>,
}

/// What an open watch delivers.
pub enum WatchEvent {
    /// A complete list or a change of it.
    List(EndpointListMessage),
    /// Nothing has changed since the last list.
    Heartbeat,
}

/// A poll to be made: the address of discovery, and the version after which changes are requested.
pub struct PollRequest {
    /// Where discovery is.
    pub address: SocketAddr,
    /// The known version of the list, or
    /// [`NO_LIST_INDEX`](crate::discovery::endpoint_list::NO_LIST_INDEX).
    pub known_index: u64,
    /// When the poll was started.
    pub started_at: Instant,
}

/// The result of a successful poll.
pub struct OpenedWatch {
    /// The watch, to be read on.
    pub watch: EndpointWatch,
    /// The list or heartbeat that it began with.
    pub first_event: WatchEvent,
    /// When the poll was started. Discovery has answered later, so that its list was current then.
    pub started_at: Instant,
    /// From the start of the poll to the first event.
    pub poll_duration: Duration,
}

impl PollRequest {
    /// Makes the poll, within [`POLL_TIMEOUT`].
    pub async fn run(self) -> Result<OpenedWatch, WatchError> {
        let open = async {
            let mut watch = EndpointWatch::open(self.address, self.known_index).await?;
            let first_event = watch.next_event().await?.event;
            let started_at = self.started_at;
            Ok(OpenedWatch { watch, first_event, started_at, poll_duration: started_at.elapsed() })
        };
        timeout(POLL_TIMEOUT, open).await.unwrap_or(Err(WatchError::PollTimeout))
    }
}

/// An open watch. Dropping it closes its connection.
pub struct EndpointWatch {
    connection: DrivenConnection,
    body: Incoming,
    parser: EndpointListParser,
    /// When the last complete list or heartbeat was read; at first, when the response began.
    last_event_at: Instant,
    /// When the last bytes were read.
    read_at: Instant,
    /// Bytes were read only after the watch had been silent for too long, as when this process was stalled.
    has_been_silent: bool,
}

impl EndpointWatch {
    async fn open(address: SocketAddr, known_index: u64) -> Result<Self, WatchError> {
        let (mut requests, mut connection) = connect(address).await?;
        let request = Request::get(format!("/v1/endpoints?follow=1&since={known_index}"))
            .header(header::HOST, address.to_string())
            .body(Empty::<Bytes>::new())?;
        let mut response = pin!(requests.send_request(request));
        let response = connection.drive(|context| response.as_mut().poll(context)).await;
        let response = response.map_err(WatchError::NoResponse)?;
        if response.status() != StatusCode::OK {
            return Err(WatchError::Status(response.status()));
        }
        let body = response.into_body();
        let parser = EndpointListParser::default();
        let now = Instant::now();
        Ok(EndpointWatch {
            connection,
            body,
            parser,
            last_event_at: now,
            read_at: now,
            has_been_silent: false,
        })
    }

    /// The next list or heartbeat.
    ///
    /// Cancel-safe: bytes that were read and the time of the last event stay with the watch.
    pub async fn next_event(&mut self) -> Result<ReceivedEvent, WatchError> {
        loop {
            if let Some(event) = self.parse_event()? {
                let current_as_of = (!self.has_been_silent).then_some(self.read_at);
                return Ok(ReceivedEvent { event, current_as_of });
            }
            if self.has_been_silent {
                return Err(WatchError::Silent);
            }
            self.read_frame().await?;
        }
    }

    /// The next event among the bytes that were read.
    fn parse_event(&mut self) -> Result<Option<WatchEvent>, WatchError> {
        let event = match self.parser.parse_next()? {
            Parsed::Incomplete => return Ok(None),
            Parsed::Heartbeat => WatchEvent::Heartbeat,
            Parsed::List(list) => WatchEvent::List(list),
        };
        // Bytes alone do not count as activity: a list that never ends delivers nothing.
        self.last_event_at = self.read_at;
        Ok(Some(event))
    }

    async fn read_frame(&mut self) -> Result<(), WatchError> {
        let silent_at = self.last_event_at + SILENCE_TIMEOUT;
        let frame = self.connection.drive(|context| Pin::new(&mut self.body).poll_frame(context));
        let frame = match timeout_at(silent_at, frame).await {
            Ok(Some(frame)) => frame.map_err(WatchError::Broken)?,
            Ok(None) => return Err(WatchError::Ended),
            Err(_) => return Err(WatchError::Silent),
        };
        self.read_at = Instant::now();
        self.has_been_silent = self.read_at >= silent_at;
        if let Ok(data) = frame.into_data() {
            self.parser.push_bytes(&data);
        }
        Ok(())
    }
}

async fn connect(address: SocketAddr) -> Result<(SendRequest<Empty<Bytes>>, DrivenConnection), WatchError> {
    let stream = match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        Ok(stream) => stream.map_err(WatchError::Unreachable)?,
        Err(_) => return Err(WatchError::ConnectTimeout),
    };
    // Without it the connection is slower, but works.
    let _ = stream.set_nodelay(true);
    let (requests, connection) =
        http1::handshake(TokioIo::new(stream)).await.map_err(WatchError::NoResponse)?;
    Ok((requests, DrivenConnection { open: Some(Box::new(connection)) }))
}

type HttpConnection = http1::Connection<TokioIo<TcpStream>, Empty<Bytes>>;

/// A connection to discovery that makes progress only while a caller waits for its data.
struct DrivenConnection {
    /// `None` once the connection has ended.
    open: Option<Box<HttpConnection>>,
}

impl DrivenConnection {
    /// Waits for `poll` while driving the connection. The connection is polled first, so that what it has
    /// read counts before any timeout.
    async fn drive<T>(&mut self, mut poll: impl FnMut(&mut Context<'_>) -> Poll<T>) -> T {
        poll_fn(|context| {
            if let Some(connection) = &mut self.open
                && Pin::new(connection).poll(context).is_ready()
            {
                // The response or its body reports how the connection ended.
                self.open = None;
            }
            poll(context)
        })
        .await
    }
}
