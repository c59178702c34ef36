//! An endpoint watch: a long-lived `GET` request to discovery whose response is a stream of endpoint lists
//! and heartbeats.
//!
//! A *poll* opens a watch: it connects, sends the request, and reads up to the first list or heartbeat.
//! [`EndpointWatch::next_event`] then reads until the watch fails. Every failure is final: a new poll must
//! open the next watch.
//!
//! The caller that awaits data drives the connection, not a separate task. Dropping the watch or the poll
//! therefore closes the connection and frees its descriptor at once.

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

/// Maximum duration without a list or a heartbeat, after which a watch has failed. Discovery sends a
/// heartbeat every 2 s. Half of that interval is added for a slow network or machine; otherwise all nodes
/// would poll at once.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(3);
/// Timeout of a complete poll. Discovery serves polls one after another and abandons those that have waited
/// for 2 s.
pub(super) const POLL_TIMEOUT: Duration = Duration::from_millis(2200);
/// Timeout of connecting to discovery.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);

/// Errors of opening and reading a watch. Each failure is counted and followed by another poll.
#[derive(Debug, Error)]
pub enum WatchError {
    /// No process listens at the address, or it refused the connection.
    #[error("discovery cannot be reached: {0}; see that it runs at the address in the configuration")]
    Unreachable(#[source] io::Error),
    /// No connection was established within [`CONNECT_TIMEOUT`].
    #[error(
        "discovery cannot be reached in time; see that its machine runs and that the network \
         lets calls through"
    )]
    ConnectTimeout,
    /// The process at the address does not use HTTP, or the connection broke before a response.
    #[error(
        "discovery does not answer: {0}; see that it runs, and that its address is that of no other service"
    )]
    NoResponse(#[source] hyper::Error),
    /// The address cannot be written into a request.
    #[error("discovery cannot be asked: {0}; give it an address and port in the configuration")]
    Request(#[from] hyper::http::Error),
    /// Discovery returned a status other than 200.
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
    /// Neither a list nor a heartbeat arrived within [`HEARTBEAT_TIMEOUT`].
    #[error("the watch fell silent; where that lasts, see whether discovery hangs or the network is cut")]
    HeartbeatTimeout,
    /// A change has an older version than the list that it applies to, so that other changes may be missing.
    #[error(
        "the watch sent version {sent} after version {known}; see whether two discoveries serve one address"
    )]
    OutOfOrder {
        /// Version of the change.
        sent: u64,
        /// Version of the list before the change.
        known: u64,
    },
    /// The response contains data other than endpoint lists and heartbeats.
    #[error("a list of the watch cannot be read: {0}")]
    Malformed(#[from] EndpointListError),
}

impl WatchError {
    /// Returns whether an expected message did not arrive in time, so that changes made since the previous
    /// message may be missing.
    pub fn is_response_timeout(&self) -> bool {
        matches!(self, WatchError::HeartbeatTimeout | WatchError::PollTimeout)
    }

    /// Returns whether the list of this node may lack any change, regardless of the time at which the change
    /// was made.
    pub fn invalidates_list(&self) -> bool {
        matches!(self, WatchError::Malformed(_) | WatchError::OutOfOrder { .. })
    }
}

/// An event of a watch, and the time of its arrival.
pub struct ReceivedEvent {
    /// Event that was read.
    pub event: WatchEvent,
    /// Time at which the event was read. `None` if it arrived after [`HEARTBEAT_TIMEOUT`], so that the watch has
    /// failed.
    pub read_at: Option<Instant>,
}

/// Event of an open watch.
pub enum WatchEvent {
    /// A complete list or a change to it.
    List(EndpointListMessage),
    /// No change since the last list.
    Heartbeat,
}

/// Parameters of a poll: address of discovery, and version after which changes are requested.
pub struct PollRequest {
    /// Address of discovery.
    pub address: SocketAddr,
    /// Version of the list of this node, or
    /// [`NO_LIST_INDEX`](crate::discovery::endpoint_list::NO_LIST_INDEX).
    pub known_index: u64,
    /// Time at which the poll was started.
    pub started_at: Instant,
}

/// Result of a successful poll.
pub struct OpenedWatch {
    /// Opened watch, from which further events are read.
    pub watch: EndpointWatch,
    /// Version after which the poll requested changes.
    pub requested_after: u64,
    /// First list or heartbeat of the watch.
    pub first_event: WatchEvent,
    /// Time at which the poll was started. Discovery responded later, so its list was current at this time.
    pub started_at: Instant,
    /// Duration from the start of the poll to the first event.
    pub poll_duration: Duration,
}

impl PollRequest {
    /// Opens a watch and reads its first event, within [`POLL_TIMEOUT`].
    pub async fn run(self) -> Result<OpenedWatch, WatchError> {
        let open = async {
            let mut watch = EndpointWatch::open(self.address, self.known_index).await?;
            let first_event = watch.next_event().await?.event;
            Ok(OpenedWatch {
                watch,
                requested_after: self.known_index,
                first_event,
                started_at: self.started_at,
                poll_duration: self.started_at.elapsed(),
            })
        };
        timeout(POLL_TIMEOUT, open).await.unwrap_or(Err(WatchError::PollTimeout))
    }
}

/// An open watch. Dropping the watch closes its connection.
pub struct EndpointWatch {
    connection: DrivenConnection,
    body: Incoming,
    parser: EndpointListParser,
    /// Time at which the last complete list or heartbeat was read; initially the time of the response head.
    last_event_at: Instant,
    /// Time at which the last bytes were read.
    read_at: Instant,
    /// Whether the last bytes were read after [`HEARTBEAT_TIMEOUT`], for example because this process was
    /// stalled.
    is_heartbeat_overdue: bool,
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
            is_heartbeat_overdue: false,
        })
    }

    /// Returns the next list or heartbeat.
    ///
    /// Cancel-safe: the watch keeps the bytes that were read and the time of the last event.
    pub async fn next_event(&mut self) -> Result<ReceivedEvent, WatchError> {
        loop {
            if let Some(event) = self.parse_event()? {
                let read_at = (!self.is_heartbeat_overdue).then_some(self.read_at);
                return Ok(ReceivedEvent { event, read_at });
            }
            if self.is_heartbeat_overdue {
                return Err(WatchError::HeartbeatTimeout);
            }
            self.read_frame().await?;
        }
    }

    /// Parses the next event from the bytes that were read.
    fn parse_event(&mut self) -> Result<Option<WatchEvent>, WatchError> {
        let event = match self.parser.parse_next()? {
            Parsed::Incomplete => return Ok(None),
            Parsed::Heartbeat => WatchEvent::Heartbeat,
            Parsed::List(list) => WatchEvent::List(list),
        };
        // Only complete events count as activity: a list that never ends delivers nothing.
        self.last_event_at = self.read_at;
        Ok(Some(event))
    }

    async fn read_frame(&mut self) -> Result<(), WatchError> {
        let heartbeat_deadline = self.last_event_at + HEARTBEAT_TIMEOUT;
        let frame = self.connection.drive(|context| Pin::new(&mut self.body).poll_frame(context));
        let frame = match timeout_at(heartbeat_deadline, frame).await {
            Ok(Some(frame)) => frame.map_err(WatchError::Broken)?,
            Ok(None) => return Err(WatchError::Ended),
            Err(_) => return Err(WatchError::HeartbeatTimeout),
        };
        self.read_at = Instant::now();
        self.is_heartbeat_overdue = self.read_at >= heartbeat_deadline;
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
    // If the option cannot be set, the connection is slower but works.
    let _ = stream.set_nodelay(true);
    let (requests, connection) =
        http1::handshake(TokioIo::new(stream)).await.map_err(WatchError::NoResponse)?;
    Ok((requests, DrivenConnection { open: Some(Box::new(connection)) }))
}

type HttpConnection = http1::Connection<TokioIo<TcpStream>, Empty<Bytes>>;

/// A connection to discovery that makes progress only while a caller awaits data.
struct DrivenConnection {
    /// Open connection; `None` once it has closed.
    open: Option<Box<HttpConnection>>,
}

impl DrivenConnection {
    /// Awaits `poll` while driving the connection. The connection is polled first, so that data that it has
    /// already read takes precedence over any timeout.
    async fn drive<T>(&mut self, mut poll: impl FnMut(&mut Context<'_>) -> Poll<T>) -> T {
        poll_fn(|context| {
            if let Some(connection) = &mut self.open
                && Pin::new(connection).poll(context).is_ready()
            {
                // The response or its body reports the reason for the close.
                self.open = None;
            }
            poll(context)
        })
        .await
    }
}
