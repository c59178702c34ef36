//! Owns the connections to next hops: dials them, keeps the idle ones, and knows of each whether a byte of
//! its request was written. It must never write a request twice, never use a connection again on which
//! something unasked may lie, and know nothing of jobs.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::error::Error;
use std::io::{self, ErrorKind, IoSlice, Read};
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use curlewusher_settings::operator::UpstreamOptions as Tuning;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep_until, timeout};
use tracing::{debug, trace};

use crate::connection_budget::ConnectionBudget;
use crate::telemetry::logging::UPSTREAM;
use crate::telemetry::metrics::{Counter, Metrics};
use crate::upstream::send_permit::SendPermit;

/// No body of a next hop's own answer is longer.
const LONGEST_BODY: usize = 64 << 10;
/// The rest of an answer is waited for so long, to keep its connection.
const LATE_END: Duration = Duration::from_millis(2000);
/// A connection rests so long after an answer before it carries another request. A second answer that comes a
/// few milliseconds late finds it idle then, and closes it; read as the answer to the next request, it could
/// call a job that runs one that never ran.
const REST: Duration = Duration::from_millis(30);
/// Idle connections are looked through this often.
const SWEEP: Duration = Duration::from_millis(250);

/// A connection to a next hop, which carries one request at a time.
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
    traffic: Rc<Traffic>,
    /// It was dialled in this era of its next hop.
    era: Rc<()>,
    reused: bool,
    idle_since: Instant,
    _place: OwnedSemaphorePermit,
}

/// What has passed over a connection since its last request was handed to it.
#[derive(Default)]
pub struct Traffic {
    /// A byte of the request was written.
    written: Cell<bool>,
    /// A byte was read after that.
    read: Cell<bool>,
    /// Whether the first byte of that request may leave; none before the first request.
    send_permit: RefCell<Option<Rc<SendPermit>>>,
}

impl Traffic {
    /// Whether a byte of the request was written.
    pub fn written(&self) -> bool {
        self.written.get()
    }

    /// Whether a byte of an answer was read.
    pub fn read(&self) -> bool {
        self.read.get()
    }
}

/// Why a request brought no answer.
#[derive(Debug, thiserror::Error)]
pub enum Broken {
    #[error("the connection closed before a byte of the request was written")]
    Unsent,
    #[error("the connection broke or ended before an answer")]
    InDoubt,
    #[error("what came is no answer")]
    Spoilt,
}

/// Why a connection did not come up.
#[derive(Debug, thiserror::Error)]
pub enum NotUp {
    #[error("refused: no process listens there")]
    Refused,
    #[error("not up in time, or broken while it came up")]
    Unreachable,
}

impl Connection {
    /// Whether it has carried a request before this one.
    pub fn reused(&self) -> bool {
        self.reused
    }

    pub fn traffic(&self) -> Rc<Traffic> {
        self.traffic.clone()
    }

    /// Closes it, and returns once it is closed.
    pub async fn close(mut self) {
        self.driver.abort();
        // A driver that was stopped ends as cancelled; either way its socket is gone.
        let _ = (&mut self.driver).await;
    }

    /// Writes nothing, and ends the connection, where the clearance holds no more just before the first byte.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
        send_permit: Rc<SendPermit>,
    ) -> Result<Response<Incoming>, Broken> {
        *self.traffic.send_permit.borrow_mut() = Some(send_permit);
        self.traffic.written.set(false);
        self.traffic.read.set(false);
        self.sender.send_request(request).await.map_err(|e| {
            trace!(target: UPSTREAM, "no answer: {e}");
            if !self.traffic.written() {
                Broken::Unsent
            } else if e.is_parse() {
                Broken::Spoilt
            } else {
                Broken::InDoubt
            }
        })
    }

    fn usable(&self, now: Instant, idle_life: Duration) -> bool {
        self.sender.is_ready() && now.duration_since(self.idle_since) < idle_life
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// The socket under a connection. Before the first byte of a request it looks whether that may still leave, and
/// whether the far end has closed or has said something unasked, which the driver may not have been told of yet.
struct Socket {
    stream: TcpStream,
    traffic: Rc<Traffic>,
    counters: Metrics,
}

impl Socket {
    fn look(&self) -> io::Result<()> {
        if self.traffic.written.get() {
            return Ok(());
        }
        if self.traffic.send_permit.borrow().as_ref().is_some_and(|send_permit| !send_permit.is_valid()) {
            // hyper has taken the request, and would write it whenever it could: nothing less than the end of the
            // connection takes it back.
            return Err(ErrorKind::ConnectionAborted.into());
        }
        // What is read here is lost, and so is the connection then.
        match (&*SockRef::from(&self.stream)).read(&mut [0]) {
            Err(e) if e.kind() == ErrorKind::WouldBlock => Ok(()),
            Err(e) => Err(e),
            Ok(0) => Err(ErrorKind::UnexpectedEof.into()),
            Ok(_) => {
                self.counters.add(Counter::SpoiltAnswers);
                debug!(target: UPSTREAM, to = ?self.stream.peer_addr().ok(), "said something unasked");
                Err(ErrorKind::InvalidData.into())
            }
        }
    }

    fn wrote(&self, count: io::Result<usize>) -> io::Result<usize> {
        if matches!(count, Ok(1..)) {
            self.traffic.written.set(true);
        }
        count
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        into: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = into.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, into))?;
        if into.filled().len() > before {
            self.traffic.read.set(true);
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Socket {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        self.look()?;
        let count = ready!(Pin::new(&mut self.stream).poll_write(cx, bytes));
        Poll::Ready(self.wrote(count))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.look()?;
        let count = ready!(Pin::new(&mut self.stream).poll_write_vectored(cx, bytes));
        Poll::Ready(self.wrote(count))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// A connection that rests before it is used. Dropped before that it is idle again.
struct Resting<'a> {
    pool: &'a ConnectionPool,
    to: SocketAddr,
    connection: Option<Connection>,
}

impl Resting<'_> {
    fn until(&self) -> Instant {
        self.connection.as_ref().map_or_else(Instant::now, |connection| connection.idle_since + REST)
    }
}

impl Drop for Resting<'_> {
    fn drop(&mut self) {
        if let Some(connection) = self.connection.take() {
            self.pool.put_back(self.to, connection);
        }
    }
}

/// The connections to all next hops.
pub struct ConnectionPool {
    counters: Metrics,
    hops: RefCell<HashMap<SocketAddr, Idle>>,
    connect_timeout: Duration,
    keepalive: Duration,
    tuning: Rc<Cell<Tuning>>,
    places: ConnectionBudget,
}

/// The idle connections to a next hop, and the era in which they were dialled: one that was dialled before
/// its next hop was forgotten is not kept afterwards.
#[derive(Default)]
struct Idle {
    era: Rc<()>,
    /// In the order in which they were last used.
    connections: Vec<Connection>,
}

impl ConnectionPool {
    pub fn new(
        counters: Metrics,
        connect_timeout: Duration,
        keepalive: Duration,
        tuning: Rc<Cell<Tuning>>,
        places: ConnectionBudget,
    ) -> Self {
        ConnectionPool { counters, hops: RefCell::default(), connect_timeout, keepalive, tuning, places }
    }

    /// A connection is used again only this soon after its last use. Next hops may close or reset one that
    /// has been idle for far less than they say; what is written to it then is in doubt, which costs more
    /// than any number of new connections. Half the time that the far end allows keeps well clear of its
    /// closing.
    fn idle_life(&self) -> Duration {
        self.tuning.get().reuse_ms.millis().min(self.keepalive / 2)
    }

    /// Uses half of its places or all.
    pub fn share(&self, half: bool) {
        self.places.set_halved(half, || drop(self.make_way()));
    }

    /// What is open to that next hop is of no use any more.
    pub fn forget(&self, to: SocketAddr) {
        self.hops.borrow_mut().remove(&to);
    }

    /// Drops connections that have been idle for long: the far end closes them, and a request written to one
    /// in that moment would be lost.
    pub async fn sweep(&self) {
        loop {
            tokio::time::sleep(SWEEP).await;
            let (now, idle_life) = (Instant::now(), self.idle_life());
            self.hops.borrow_mut().retain(|_, idle| {
                idle.connections.retain(|connection| connection.usable(now, idle_life));
                // Its era goes on while a connection of it is in use.
                !idle.connections.is_empty() || Rc::strong_count(&idle.era) > 1
            });
        }
    }

    /// A connection for one request: an idle one that has rested, or else a new one.
    pub async fn obtain(&self, to: SocketAddr) -> Result<Connection, NotUp> {
        while let Some(connection) = self.take_idle(to) {
            // Nobody else takes it meanwhile; who finds none idle dials. Who no longer waits leaves it to others.
            let mut resting = Resting { pool: self, to, connection: Some(connection) };
            sleep_until(resting.until()).await;
            // Its next hop may have been forgotten while it rested.
            let rested = resting.connection.take();
            if let Some(connection) =
                rested.filter(|c| self.counts(to, c) && c.usable(Instant::now(), self.idle_life()))
            {
                return Ok(connection);
            }
        }
        self.dial(to).await
    }

    /// Whether a connection is of its next hop's present era.
    fn counts(&self, to: SocketAddr, connection: &Connection) -> bool {
        self.hops.borrow().get(&to).is_some_and(|idle| Rc::ptr_eq(&idle.era, &connection.era))
    }

    /// Puts a connection back on which nothing was written since it was taken out. Where all places are used somebody
    /// may wait for its own, and it is closed.
    fn put_back(&self, to: SocketAddr, connection: Connection) {
        if self.places.free() == 0 {
            return;
        }
        let mut hops = self.hops.borrow_mut();
        if let Some(idle) = hops.get_mut(&to).filter(|idle| Rc::ptr_eq(&idle.era, &connection.era)) {
            let at = idle.connections.partition_point(|other| other.idle_since <= connection.idle_since);
            idle.connections.insert(at, connection);
        }
    }

    /// The connection that was used last of those that have rested, so that the others grow old and go; where
    /// none has, the one that will have first.
    fn take_idle(&self, to: SocketAddr) -> Option<Connection> {
        let mut hops = self.hops.borrow_mut();
        let idle = &mut hops.get_mut(&to)?.connections;
        let (now, idle_life) = (Instant::now(), self.idle_life());
        // Where the operator wants none used for so long, none is.
        idle.retain(|connection| idle_life > REST && connection.usable(now, idle_life));
        let rested = |connection: &Connection| now.duration_since(connection.idle_since) >= REST;
        let at = idle.iter().rposition(rested).unwrap_or(0);
        (at < idle.len()).then(|| idle.remove(at))
    }

    /// A new connection.
    async fn dial(&self, to: SocketAddr) -> Result<Connection, NotUp> {
        self.counters.add(Counter::Connects);
        trace!(target: UPSTREAM, %to, "connects");
        let era = self.hops.borrow_mut().entry(to).or_default().era.clone();
        let dialled = timeout(self.connect_timeout, self.dialled(to, era)).await;
        let dialled = dialled.unwrap_or_else(|_| Err(ErrorKind::TimedOut.into()));
        dialled.map_err(|e| {
            self.counters.add(Counter::ConnectsFailed);
            debug!(target: UPSTREAM, %to, "connection did not come up: {e}");
            match e.kind() {
                ErrorKind::ConnectionRefused => NotUp::Refused,
                _ => NotUp::Unreachable,
            }
        })
    }

    async fn dialled(&self, to: SocketAddr, era: Rc<()>) -> io::Result<Connection> {
        let place = self.place().await.ok_or(ErrorKind::Other)?;
        let stream = TcpStream::connect(to).await?;
        stream.set_nodelay(true)?;
        let traffic = Rc::<Traffic>::default();
        let socket = Socket { stream, traffic: traffic.clone(), counters: self.counters.clone() };
        let (sender, connection) = http1::handshake(TokioIo::new(socket)).await.map_err(io::Error::other)?;
        let counters = self.counters.clone();
        let driver = tokio::task::spawn_local(async move {
            // How a connection ends shows in the request that was on it. On an idle one, what is no end of it
            // is an answer that nobody asked for.
            if let Err(e) = connection.await
                && !e.source().is_some_and(|source| source.is::<io::Error>())
            {
                counters.add(Counter::SpoiltAnswers);
                debug!(target: UPSTREAM, %to, "closed: {e}");
            }
        });
        let idle_since = Instant::now();
        Ok(Connection { sender, driver, traffic, era, reused: false, idle_since, _place: place })
    }

    /// A place for one more connection. Where all are used, an idle one makes way.
    async fn place(&self) -> Option<OwnedSemaphorePermit> {
        if self.places.free() == 0 {
            drop(self.make_way());
        }
        self.places.acquire().await
    }

    /// An idle connection, taken out so that its place comes free.
    fn make_way(&self) -> Option<Connection> {
        let mut hops = self.hops.borrow_mut();
        let idle = hops.values_mut().find(|idle| !idle.connections.is_empty())?;
        Some(idle.connections.remove(0))
    }

    /// Reads an answer to its end and keeps the connection for the next request.
    pub async fn keep(&self, to: SocketAddr, mut connection: Connection, response: Response<Incoming>) {
        let body = Limited::new(response.into_body(), LONGEST_BODY).collect();
        let why = match timeout(LATE_END, body).await {
            Ok(Ok(_)) => None,
            Ok(Err(e)) => Some(e.to_string()),
            Err(_) => Some("it does not end".to_owned()),
        };
        if let Some(why) = why {
            self.spoilt(to, &why);
            return connection.close().await;
        }
        // An answer can say that the connection ends with it.
        if !matches!(timeout(LATE_END, connection.sender.ready()).await, Ok(Ok(()))) {
            return;
        }
        let mut hops = self.hops.borrow_mut();
        if let Some(idle) = hops.get_mut(&to).filter(|idle| Rc::ptr_eq(&idle.era, &connection.era)) {
            connection.reused = true;
            connection.idle_since = Instant::now();
            idle.connections.push(connection);
        }
    }

    /// Counts an answer that was none, or not whole.
    pub fn spoilt(&self, to: SocketAddr, why: &str) {
        self.counters.add(Counter::SpoiltAnswers);
        debug!(target: UPSTREAM, %to, "spoilt answer: {why}");
    }
}
