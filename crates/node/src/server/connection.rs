//! Owns a connection that was accepted: where it stands, its limits, the filter through which hyper reads it,
//! and its end. It must never know what a request asks for, nor answer one.

use std::cell::{Cell, RefCell};
use std::io::{self, ErrorKind};
use std::os::fd::{AsFd, OwnedFd};
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::task::{Context, Poll, Waker, ready};
use std::time::Duration;

use bytes::BytesMut;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{Instant, timeout};

use crate::telemetry::metrics::{Counter, Metrics};

/// No head is longer; hyper buffers no more than this either.
pub const LONGEST_HEAD: usize = 16 << 10;
/// A request that has begun, or a connection on which nothing comes, has this long. Good clients take up to 2
/// s to write one; what cannot be read is owed an answer or a close within 3 s of its connection.
pub const READ_TIME: Duration = Duration::from_millis(2700);
/// A far end that takes nothing of its answer for so long has gone.
pub const WRITE_TIME: Duration = Duration::from_millis(10_000);
/// A connection makes way for others no sooner than this after it came, was last answered, or began a
/// request.
const YOUNG: Duration = Duration::from_millis(50);
const SETTLED: Duration = Duration::from_millis(200);
const SLOW: Duration = Duration::from_millis(800);

/// A connection that this node ends is read for so long, and so many bytes, after the end of what it says
/// there.
const LINGER_TIME: Duration = Duration::from_millis(1500);
const LINGER_BYTES: usize = 256 << 10;

/// Where a connection stands, in the order in which those make way for others when descriptors run low.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ConnectionState {
    /// This node has said its last on it, and reads what the far end had under way.
    Lingering,
    /// Nothing has come on it.
    New,
    /// A request has begun and is not read to its end.
    Reading,
    /// Between requests.
    Idle,
    /// A request was read and is not answered.
    Busy,
}

/// A connection that was accepted.
pub struct Connection {
    pub state: Cell<ConnectionState>,
    /// When it came to that state.
    pub since: Cell<Instant>,
    /// When the request that is being read began, or the connection where it is the first; and when it last
    /// got on.
    pub begun: Cell<Instant>,
    pub heard: Cell<Instant>,
    /// Next hops' connections stay open while this node drains: it waits for what they have to say.
    pub next_hop: Cell<bool>,
    /// What it is sending has used up its time, or must make way.
    pub cut: Cell<bool>,
    /// It carries no other request: the end of this one is known to hyper alone, or too much came behind it.
    pub last: Cell<bool>,
    /// Its connection is to look at `cut`, or where that is not set to close when it next can.
    pub close: Notify,
    /// Who waits to read what follows a request that is being answered.
    pub follows: RefCell<Option<Waker>>,
    /// What its connection reads from, while there is one.
    pub filter: RefCell<Weak<RefCell<ReadFilter>>>,
    /// Since when its far end has taken nothing of what is written to it.
    pub blocked: Cell<Option<Instant>>,
    /// It ends here at once and without a word: the other process of this node has its job and its client, or
    /// its far end takes nothing.
    pub dropped: Cell<bool>,
}

impl Connection {
    /// One that was just accepted.
    pub fn new() -> Connection {
        Connection {
            state: Cell::new(ConnectionState::New),
            since: Cell::new(Instant::now()),
            begun: Cell::new(Instant::now()),
            heard: Cell::new(Instant::now()),
            next_hop: Cell::new(false),
            cut: Cell::new(false),
            last: Cell::new(false),
            close: Notify::new(),
            follows: RefCell::default(),
            filter: RefCell::default(),
            blocked: Cell::default(),
            dropped: Cell::new(false),
        }
    }

    pub fn enter(&self, state: ConnectionState) {
        let now = Instant::now();
        if state == ConnectionState::Reading && self.state.get() != ConnectionState::New {
            self.begun.set(now);
        }
        self.state.set(state);
        self.since.set(now);
        self.heard.set(now);
        if let Some(waker) = self.follows.take() {
            waker.wake();
        }
    }

    /// A copy of its socket; none where more than the request has come on it, or it cannot be copied.
    pub fn copy(&self) -> Option<OwnedFd> {
        let filter = self.filter.borrow().upgrade()?;
        let filter = filter.borrow();
        (filter.held.is_empty() && !self.last.get())
            .then(|| filter.stream.as_fd().try_clone_to_owned().ok())?
    }

    /// Closes it for good order: between requests that does no harm.
    pub fn end(&self) {
        self.cut.set(self.state.get() < ConnectionState::Idle);
        self.close.notify_one();
    }

    /// Ends it without a word.
    pub fn drop_now(&self) {
        self.dropped.set(true);
        self.close.notify_one();
    }

    /// Whether its far end has taken nothing for so long of what is written to it.
    pub fn is_blocked(&self, time: Duration) -> bool {
        self.blocked.get().is_some_and(|since| since.elapsed() >= time)
    }

    /// Makes way for another one.
    pub fn make_way(&self) {
        // One that nobody reads would come to its good end never.
        if self.is_blocked(SLOW) {
            self.drop_now()
        } else {
            self.end()
        }
        // It is not chosen twice.
        self.since.set(Instant::now());
    }

    /// Keeps in mind whether what is written gets on.
    fn wrote<T>(&self, poll: Poll<T>) -> Poll<T> {
        let since = self.blocked.get().unwrap_or_else(Instant::now);
        self.blocked.set(poll.is_pending().then_some(since));
        poll
    }

    /// Whether its time is up.
    pub fn overdue(&self, idle: Duration) -> bool {
        match self.state.get() {
            ConnectionState::New | ConnectionState::Reading => self.begun.get().elapsed() >= READ_TIME,
            ConnectionState::Idle => self.since.get().elapsed() >= idle,
            ConnectionState::Busy | ConnectionState::Lingering => false,
        }
    }

    /// Whether its client can go on elsewhere unharmed: it has sent nothing, and for so long that nothing of
    /// it is likely to be on its way. One that is sending may finish.
    pub fn can_go_on(&self) -> bool {
        matches!(self.state.get(), ConnectionState::New | ConnectionState::Idle)
            && !self.next_hop.get()
            && self.can_yield()
    }

    /// Whether it can make way. A young one may have sent a request that was not read yet.
    pub fn can_yield(&self) -> bool {
        match self.state.get() {
            ConnectionState::Lingering => true,
            ConnectionState::New => self.since.get().elapsed() >= YOUNG,
            // One that gets on is a slow client's; one that has stopped half way is nobody's.
            ConnectionState::Reading => self.heard.get().elapsed() >= SLOW,
            ConnectionState::Idle => self.since.get().elapsed() >= SETTLED,
            ConnectionState::Busy => false,
        }
    }
}

/// What comes on a connection, on its way to hyper. Each head is read here first: hyper takes a request that
/// carries both lengths for a chunked one and drops the other length, by which another server may see a
/// second request in it.
pub struct ReadFilter {
    stream: TcpStream,
    connection: Rc<Connection>,
    held: BytesMut,
    /// So much may be handed on: a head that was read, and its body.
    pass: u64,
    counters: Metrics,
    /// The node ends: half a request is closed without an answer, so that its client may send it elsewhere.
    over: Rc<Cell<bool>>,
}

impl ReadFilter {
    /// The stream, once hyper is done with it; what was read for it is dropped.
    pub fn into_stream(self) -> TcpStream {
        self.stream
    }

    pub fn new(
        stream: TcpStream,
        connection: &Rc<Connection>,
        counters: Metrics,
        over: Rc<Cell<bool>>,
    ) -> Rc<RefCell<ReadFilter>> {
        let (connection, held) = (connection.clone(), BytesMut::new());
        let filter = Rc::new(RefCell::new(ReadFilter { stream, connection, held, pass: 0, counters, over }));
        *filter.borrow().connection.filter.borrow_mut() = Rc::downgrade(&filter);
        filter
    }

    /// What hyper is given instead of something that must not be served: it answers 400 and closes.
    const REFUSED: &[u8] = b"REFUSED\r\n\r\n";

    fn refuse(&mut self) {
        self.counters.add(Counter::Rejected);
        self.held.clear();
        self.held.extend_from_slice(Self::REFUSED);
        self.pass = u64::MAX;
    }

    /// Looks at the head that is held, as far as it has come.
    fn judge(&mut self) {
        let mut headers = [httparse::EMPTY_HEADER; 100];
        let mut head = httparse::Request::new(&mut headers);
        let end = match head.parse(&self.held) {
            Ok(httparse::Status::Complete(end)) => end as u64,
            Ok(httparse::Status::Partial) if self.held.len() <= LONGEST_HEAD => return,
            // hyper says better what is wrong with it; nothing after it is read.
            Ok(httparse::Status::Partial) | Err(_) => {
                self.counters.add(Counter::Rejected);
                return self.pass = u64::MAX;
            }
        };
        let all = |name: &'static str| head.headers.iter().filter(move |h| h.name.eq_ignore_ascii_case(name));
        let chunked = all("transfer-encoding").next().is_some();
        let length = |h: &httparse::Header| {
            let digits = !h.value.is_empty() && h.value.iter().all(u8::is_ascii_digit);
            std::str::from_utf8(h.value).ok().filter(|_| digits)?.parse::<u64>().ok()
        };
        let mut lengths = all("content-length").map(length);
        match (lengths.next(), lengths.next(), chunked) {
            (None, _, false) => self.pass = end,
            (Some(Some(length)), None, false) => self.pass = end.saturating_add(length),
            (None, _, true) => {
                // The end of a chunked body is known to hyper alone.
                self.connection.last.set(true);
                self.pass = u64::MAX;
            }
            _ => self.refuse(),
        }
    }

    /// Whether something has come that was not read.
    pub fn unread(&self) -> bool {
        let mut byte = [std::mem::MaybeUninit::uninit()];
        !socket2::SockRef::from(&self.stream)
            .peek(&mut byte)
            .is_err_and(|e| e.kind() == ErrorKind::WouldBlock)
    }
}

/// What hyper is given to read and write: the filter, which its connection can look at as well.
pub struct FilteredStream(pub Rc<RefCell<ReadFilter>>);

impl ReadFilter {
    /// Reads on while a request is in hand: an end of the stream lies behind all that was sent before it.
    /// Ready once the far end has left.
    pub fn poll_gone(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        while self.connection.state.get() == ConnectionState::Busy {
            let mut room = [std::mem::MaybeUninit::uninit(); 4096];
            let mut part = ReadBuf::uninit(&mut room);
            let read = ready!(Pin::new(&mut self.stream).poll_read(cx, &mut part));
            if read.is_err() || part.filled().is_empty() {
                return Poll::Ready(());
            }
            if self.held.len() + part.filled().len() > LONGEST_HEAD {
                // No client that waits for its answer sends so much.
                self.connection.last.set(true);
                self.held.clear();
            }
            if !self.connection.last.get() {
                self.held.extend_from_slice(part.filled());
            }
        }
        // This is polled after hyper, by which alone a request comes to be in hand.
        Poll::Pending
    }

    fn poll_read(&mut self, cx: &mut Context<'_>, out: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let this = self;
        loop {
            if this.pass > 0 && !this.held.is_empty() {
                let most = usize::try_from(this.pass).unwrap_or(usize::MAX);
                let part = this.held.split_to(most.min(this.held.len()).min(out.remaining()));
                out.put_slice(&part);
                this.pass = if this.pass == u64::MAX { this.pass } else { this.pass - part.len() as u64 };
                return Poll::Ready(Ok(()));
            }
            // hyper takes it that only the socket can wake what is pending here.
            this.connection.follows.replace(Some(cx.waker().clone()));
            if this.connection.state.get() == ConnectionState::Busy {
                // What follows is looked at once this request is answered; `poll_gone` reads until then.
                return Poll::Pending;
            }
            if this.pass == 0 && !this.held.is_empty() {
                if this.connection.state.get() != ConnectionState::Reading {
                    this.connection.enter(ConnectionState::Reading);
                }
                this.judge();
                if this.pass > 0 {
                    continue;
                }
            }
            if this.connection.cut.get() {
                // What has come is read first, however late that is: it may be the end of a request, which
                // would be lost. Its length is bounded.
                this.connection.cut.set(false);
                if !this.unread() {
                    this.counters.add(Counter::Cut);
                    if this.pass > 0 || this.held.is_empty() || this.over.get() {
                        return Poll::Ready(Ok(()));
                    }
                    this.refuse();
                    continue;
                }
            }
            let mut room = [std::mem::MaybeUninit::uninit(); 4096];
            let mut part = ReadBuf::uninit(&mut room);
            ready!(Pin::new(&mut this.stream).poll_read(cx, &mut part))?;
            if part.filled().is_empty() {
                return Poll::Ready(Ok(()));
            }
            this.connection.heard.set(Instant::now());
            this.held.extend_from_slice(part.filled());
        }
    }
}

/// Ends what is said on a connection and reads what the far end had under way, which is never served: to
/// close one over bytes that were not read resets it, and an answer that the far end has not read can go with
/// that.
pub async fn discard(mut stream: TcpStream) {
    // Done by hyper already where that came to a good end. From one that is reset nothing more is read.
    let _ = stream.shutdown().await;
    let read = async {
        let (mut left, mut scrap) = (LINGER_BYTES, [0; 4096]);
        while let Ok(came @ 1..) = stream.read(&mut scrap).await
            && came < left
        {
            left -= came;
        }
    };
    // A far end that rests gets no more time than that.
    let _ = timeout(LINGER_TIME, read).await;
}

/// Ends a connection in good order, unless it must make way.
pub async fn linger(stream: TcpStream, connection: &Connection) {
    connection.cut.set(false);
    connection.enter(ConnectionState::Lingering);
    let makes_way = async {
        while !connection.cut.get() && !connection.dropped.get() {
            connection.close.notified().await;
        }
    };
    tokio::select! {
        () = discard(stream) => {}
        () = makes_way => {}
    }
}

impl AsyncRead for FilteredStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, out: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        self.0.borrow_mut().poll_read(cx, out)
    }
}

impl AsyncWrite for FilteredStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let mut filter = self.0.borrow_mut();
        let written = Pin::new(&mut filter.stream).poll_write(cx, buf);
        filter.connection.wrote(written)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let mut filter = self.0.borrow_mut();
        let written = Pin::new(&mut filter.stream).poll_write_vectored(cx, bufs);
        filter.connection.wrote(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.0.borrow().stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0.borrow_mut().stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0.borrow_mut().stream).poll_shutdown(cx)
    }
}
