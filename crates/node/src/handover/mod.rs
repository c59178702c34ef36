//! Owns the link between two processes of one node: the known place where they meet, the client listener that
//! goes over it, and the requests on it with their bounds of time. It must never decide who owns what, which
//! is `operation::succession`, and never hold up the node: a process that does not answer or read is as good
//! as gone.

pub mod takeover;

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::fs::{self, File, TryLockError};
use std::io::{self, ErrorKind, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::{AsFd, AsRawFd, OwnedFd};
use std::os::unix::fs::{MetadataExt, PermissionsExt};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use bytes::{Buf, Bytes};
use curlewusher_control::command::{AdminCommand, CommandResult};
use curlewusher_control::frame::{
    Decoder, Frame, FrameError, MAX_SNAPSHOT_BYTES, ReceivedFrame, RejectReason,
};
use curlewusher_control::takeover::{JobClaims, LinkRole};
use rustix::net::{
    RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer, SendAncillaryMessage,
    SendFlags, Shutdown, recvmsg, sendmsg, shutdown, sockopt::socket_acceptconn,
};
use rustix::process::{Pid, test_kill_process};
use thiserror::Error;
use tokio::io::Interest;
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::{Notify, Semaphore, mpsc, oneshot, watch};
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{sleep, timeout};
use tracing::{debug, warn};

use crate::telemetry::logging::NODE;

/// An elder answers a hello within this, or the newer process starts without it.
const ANSWER_TIME: Duration = Duration::from_millis(1500);
/// A successor says its hello, and hears that it is turned away, within this.
const HELLO_TIME: Duration = Duration::from_millis(1000);
/// A start waits so long for another one that is under way; that one has `ANSWER_TIME` for its elder.
const TURN_TIME: Duration = Duration::from_millis(2000);
const TURN_AGAIN: Duration = Duration::from_millis(10);
/// A client or a next hop waits behind these.
const WORD_TIME: Duration = Duration::from_millis(300);
const CLAIM_TIME: Duration = Duration::from_millis(300);
/// An operator waits behind this for up to 1 s.
const CALL_TIME: Duration = Duration::from_millis(700);
/// A job that moves is in nobody's hands for up to this long.
pub const MIGRATION_TIMEOUT: Duration = Duration::from_millis(2000);
const TAKE_OVER_TIME: Duration = Duration::from_millis(1000);
/// A process that reads nothing for so long is as good as gone.
const STALLED: Duration = Duration::from_millis(2000);
/// So much waits to be written at most, in bytes: one heritage, and some.
const MOST_UNWRITTEN: usize = 6 << 20;
/// So many requests of the other process wait here at most; it goes without an answer to more.
const MOST_ASKED: usize = 1024;
/// So many connections that have not said their hello yet.
const MOST_STRANGERS: usize = 4;
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
/// The longest name that a Unix socket can have, in bytes, without its end.
const LONGEST_SUN_PATH: usize = 107;
/// Descriptors that have come, in the order of their frames, and the most that wait for theirs.
type Fds = VecDeque<OwnedFd>;
const MOST_FDS: usize = 16;
/// The byte that carries the listener.
const LEAD: u8 = b'+';
const PIECE: usize = 8 << 10;

/// Why two processes do not come together. Each says what an operator can do; in all of them the newer one
/// can bind for itself and start cold.
#[derive(Debug, Error)]
pub enum HandoverError {
    /// No file can be made there.
    #[error("{path}: {source}; let the node write to $TMPDIR, or its upgrades start cold")]
    Unwritable {
        /// What was to be made or used.
        path: PathBuf,
        /// What the system says.
        source: io::Error,
    },
    /// There is no room for a file.
    #[error("{path}: {source}; make room where $TMPDIR is, or the node's upgrades start cold")]
    Full {
        /// What was to be made.
        path: PathBuf,
        /// What the system says.
        source: io::Error,
    },
    /// Anything else about a file in `$TMPDIR`.
    #[error("{path}: {source}; look at what is there in $TMPDIR, or the node's upgrades start cold")]
    Rendezvous {
        /// What was to be made or used.
        path: PathBuf,
        /// What the system says.
        source: io::Error,
    },
    /// A process of another user is there.
    #[error("{path} is of user {uid}; run both processes as one user, or give the node a $TMPDIR of its own")]
    OtherUser {
        /// Where it waits.
        path: PathBuf,
        /// The user's number.
        uid: u32,
    },
    /// What was said cannot be read.
    #[error(transparent)]
    Protocol(#[from] FrameError),
    /// It said what does not belong there.
    #[error(
        "the other process said something out of turn; the new one starts cold, report it if it comes again"
    )]
    UnexpectedFrame,
    /// What came over is not the listener.
    #[error(
        "the other process does not listen on {listen}; the new one binds it itself, nothing is to be done"
    )]
    NoListener {
        /// Where clients reach this process.
        listen: SocketAddr,
    },
    /// It does not answer in time.
    #[error("the older process does not answer; the new one starts cold, end the older one if it goes on")]
    TimedOut,
    /// It ended meanwhile.
    #[error("the other process ended meanwhile ({0}); nothing is to be done")]
    Gone(#[source] io::Error),
    /// It answered, and said no.
    #[error(transparent)]
    Rejected(RejectReason),
    /// Another start holds the lock for too long.
    #[error("{path} is held by another start of this node; end that one if it hangs")]
    Held {
        /// The lock.
        path: PathBuf,
    },
}

impl HandoverError {
    /// Whether asking again later may do.
    pub fn is_busy(&self) -> bool {
        matches!(self, HandoverError::Rejected(RejectReason::Busy))
    }

    fn at(path: &Path, source: io::Error) -> HandoverError {
        let path = path.to_owned();
        match source.kind() {
            ErrorKind::PermissionDenied | ErrorKind::ReadOnlyFilesystem => {
                HandoverError::Unwritable { path, source }
            }
            ErrorKind::StorageFull | ErrorKind::QuotaExceeded => HandoverError::Full { path, source },
            _ => HandoverError::Rendezvous { path, source },
        }
    }

    fn gone() -> HandoverError {
        HandoverError::Gone(ErrorKind::UnexpectedEof.into())
    }
}

/// Where the processes of one node meet: a socket in `$TMPDIR`, and a lock beside it.
#[derive(Clone, Debug)]
pub struct Rendezvous {
    dir: PathBuf,
    name: String,
}

/// A start's turn: another start waits until it is dropped. It is held from the hello until a process sits.
pub struct StartLock {
    _lock: File,
}

impl Rendezvous {
    /// The place of the node that clients reach at `listen`.
    pub fn new(tmpdir: &Path, listen: SocketAddr) -> Rendezvous {
        let name = format!("curlewusher-{}-{}.sock", listen.ip(), listen.port());
        Rendezvous { dir: tmpdir.to_owned(), name }
    }

    /// The socket's path.
    pub fn path(&self) -> PathBuf {
        self.dir.join(&self.name)
    }

    /// Waits for its turn, for up to 2 s. The lock's file stays where it is: were it removed, two starts
    /// could each hold a lock of that name.
    pub async fn turn(&self) -> Result<StartLock, HandoverError> {
        let path = self.dir.join(format!("{}.lock", self.name));
        let lock = File::options().create(true).append(true).open(&path);
        let lock = lock.map_err(|e| HandoverError::at(&path, e))?;
        let held = async {
            loop {
                match lock.try_lock() {
                    Ok(()) => return Ok(()),
                    Err(TryLockError::WouldBlock) => sleep(TURN_AGAIN).await,
                    Err(TryLockError::Error(e)) => return Err(HandoverError::at(&path, e)),
                }
            }
        };
        let turn = timeout(TURN_TIME, held).await;
        turn.unwrap_or_else(|_| Err(HandoverError::Held { path: path.clone() }))?;
        Ok(StartLock { _lock: lock })
    }

    /// A path of that name which fits a socket's address, and what must stay open while it is used.
    fn reach(&self, name: &str) -> io::Result<(PathBuf, Option<File>)> {
        let path = self.dir.join(name);
        if path.as_os_str().len() <= LONGEST_SUN_PATH {
            return Ok((path, None));
        }
        let dir = File::open(&self.dir)?;
        Ok((PathBuf::from(format!("/proc/self/fd/{}", dir.as_raw_fd())).join(name), Some(dir)))
    }

    /// Only a process of the same user is one of this node.
    fn same_user(&self, stream: &UnixStream) -> Result<(), HandoverError> {
        let uid = stream.peer_cred().map_err(HandoverError::Gone)?.uid();
        match uid == rustix::process::geteuid().as_raw() {
            true => Ok(()),
            false => Err(HandoverError::OtherUser { path: self.path(), uid }),
        }
    }
}

/// The older process, which has welcomed this one.
pub struct Predecessor {
    /// Its listener for clients, which both processes hold from here on.
    pub listener: TcpListener,
    /// What it has learned so far; empty where it has nothing to give.
    pub heritage: Bytes,
    /// The link to it.
    pub link: PeerLink,
    /// What it asks.
    pub asked: mpsc::Receiver<PeerRequest>,
}

/// Says hello to the process at that place; none where nobody is there. Takes 1.5 s at most.
pub async fn contact_predecessor(
    place: &Rendezvous,
    node: &str,
    listen: SocketAddr,
) -> Result<Option<Predecessor>, HandoverError> {
    let called = timeout(ANSWER_TIME, call(place, node, listen)).await;
    called.unwrap_or(Err(HandoverError::TimedOut))
}

async fn call(
    place: &Rendezvous,
    node: &str,
    listen: SocketAddr,
) -> Result<Option<Predecessor>, HandoverError> {
    let Some(stream) = connect(place).await? else { return Ok(None) };
    place.same_user(&stream)?;
    let hello = Frame::Hello { node: node.to_owned(), listen: listen.to_string() };
    write_all(&stream, hello.encode(0)?).await.map_err(HandoverError::Gone)?;
    let (lead, fd) = receive_lead(&stream).await.map_err(HandoverError::Gone)?;
    let mut decoder = Decoder::default();
    if lead != LEAD {
        decoder.feed(&[lead]);
    }
    match (read_frame(&stream, &mut decoder).await?, fd) {
        (Frame::Rejected(why), _) => Err(HandoverError::Rejected(why)),
        (Frame::Accepted(heritage), Some(fd)) => {
            let listener = listener_of(fd, listen).ok_or(HandoverError::NoListener { listen })?;
            let (link, asked) = PeerLink::start(stream, false, decoder);
            Ok(Some(Predecessor { listener, heritage, link, asked }))
        }
        (Frame::Accepted(_), None) => Err(HandoverError::NoListener { listen }),
        _ => Err(HandoverError::UnexpectedFrame),
    }
}

/// A connection to whoever sits there; none where there is no file, or one that was left by a process that is
/// no more.
async fn connect(place: &Rendezvous) -> Result<Option<UnixStream>, HandoverError> {
    let at = |e| HandoverError::at(&place.path(), e);
    let reached = match place.reach(&place.name) {
        Err(e) if e.kind() == ErrorKind::NotFound => return Ok(None),
        reached => reached.map_err(at)?,
    };
    match UnixStream::connect(&reached.0).await {
        Ok(stream) => Ok(Some(stream)),
        Err(e) if matches!(e.kind(), ErrorKind::NotFound | ErrorKind::ConnectionRefused) => Ok(None),
        // Its queue is full, and it does not look.
        Err(e) if e.kind() == ErrorKind::WouldBlock => Err(HandoverError::TimedOut),
        Err(e) => Err(at(e)),
    }
}

/// The listener that came over, if it is one, and for clients of this node.
fn listener_of(fd: OwnedFd, listen: SocketAddr) -> Option<TcpListener> {
    let listens = socket_acceptconn(&fd).unwrap_or(false);
    let listener = TcpListener::from(fd);
    let at = listener.local_addr().ok().filter(|_| listens)?;
    listener.set_nonblocking(true).ok()?;
    // Port 0 stands for any.
    (at.ip() == listen.ip() && (listen.port() == 0 || at.port() == listen.port())).then_some(listener)
}

/// The byte before the answer to a hello, and the descriptor that it carries.
async fn receive_lead(stream: &UnixStream) -> io::Result<(u8, Option<OwnedFd>)> {
    let receive = || {
        let mut byte = [0];
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
        let mut control = RecvAncillaryBuffer::new(&mut space);
        let mut room = [IoSliceMut::new(&mut byte)];
        let came = recvmsg(stream, &mut room, &mut control, RecvFlags::CMSG_CLOEXEC)?;
        let fd = control.drain().find_map(|message| match message {
            RecvAncillaryMessage::ScmRights(mut fds) => fds.next(),
            _ => None,
        });
        if came.bytes == 0 { Err(ErrorKind::UnexpectedEof.into()) } else { Ok((byte[0], fd)) }
    };
    stream.async_io(Interest::READABLE, receive).await
}

/// Sends a descriptor with the first bytes of these; how many were written.
async fn send_with(stream: &UnixStream, bytes: &[u8], fd: impl AsFd) -> io::Result<usize> {
    let fds = [fd.as_fd()];
    let send = || {
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
        let mut control = SendAncillaryBuffer::new(&mut space);
        if !control.push(SendAncillaryMessage::ScmRights(&fds)) {
            return Err(ErrorKind::InvalidInput.into());
        }
        Ok(sendmsg(stream, &[IoSlice::new(bytes)], &mut control, SendFlags::NOSIGNAL)?)
    };
    stream.async_io(Interest::WRITABLE, send).await
}

async fn write_all(stream: &UnixStream, mut bytes: Bytes) -> io::Result<()> {
    while bytes.has_remaining() {
        timeout(STALLED, stream.writable()).await??;
        match stream.try_write(&bytes) {
            Ok(written) => bytes.advance(written),
            Err(e) if e.kind() == ErrorKind::WouldBlock => {}
            Err(e) => return Err(e),
        }
    }
    Ok(())
}

/// Feeds the next piece that comes, and says whether there was one.
async fn read_piece(stream: &UnixStream, decoder: &mut Decoder, fds: &mut Fds) -> io::Result<bool> {
    let receive = || {
        let mut room = [0; PIECE];
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
        let mut control = RecvAncillaryBuffer::new(&mut space);
        let came = recvmsg(stream, &mut [IoSliceMut::new(&mut room)], &mut control, RecvFlags::CMSG_CLOEXEC)?;
        decoder.feed(&room[..came.bytes]);
        for message in control.drain() {
            if let RecvAncillaryMessage::ScmRights(came) = message {
                // A process that sends more than it names is not to use this one's descriptors up.
                fds.extend(came.take(MOST_FDS.saturating_sub(fds.len())));
            }
        }
        Ok(came.bytes > 0)
    };
    stream.async_io(Interest::READABLE, receive).await
}

/// The first frame that comes.
async fn read_frame(stream: &UnixStream, decoder: &mut Decoder) -> Result<Frame, HandoverError> {
    loop {
        if let Some(ReceivedFrame { frame, .. }) = decoder.next_frame()? {
            return Ok(frame);
        }
        if !read_piece(stream, decoder, &mut Fds::new()).await.map_err(HandoverError::Gone)? {
            decoder.finish()?;
            return Err(HandoverError::gone());
        }
    }
}

/// A seat at the known place, where a successor finds this process.
pub struct RendezvousListener {
    path: PathBuf,
    /// Device and number of the socket's file.
    file: (u64, u64),
    accepts: JoinHandle<()>,
}

impl RendezvousListener {
    /// Sits down, whoever sat there before; hellos go to `hellos`, and one is turned away where that has no
    /// room.
    pub fn bind(
        place: &Rendezvous,
        hellos: mpsc::Sender<SuccessorHello>,
    ) -> Result<RendezvousListener, HandoverError> {
        let path = place.path();
        let at = |e| HandoverError::at(&path, e);
        // Under another name first: a rename leaves no moment at which nobody sits there.
        let name = format!("{}.{}", place.name, std::process::id());
        let new = place.dir.join(&name);
        match fs::remove_file(&new) {
            Err(e) if e.kind() != ErrorKind::NotFound => return Err(at(e)),
            _ => {}
        }
        let reached = place.reach(&name).map_err(at)?;
        let listener = UnixListener::bind(&reached.0).map_err(at)?;
        let seated = fs::set_permissions(&new, fs::Permissions::from_mode(0o600))
            .and_then(|()| file_of(&new))
            .and_then(|file| fs::rename(&new, &path).map(|()| file));
        let file = seated.map_err(|e| {
            let _ = fs::remove_file(&new);
            at(e)
        })?;
        let accepts = spawn_local(accept(listener, place.clone(), hellos));
        Ok(RendezvousListener { path, file, accepts })
    }

    /// Leaves. The file goes as well, unless another process has sat down since.
    pub fn close(self) {
        if file_of(&self.path).is_ok_and(|file| file == self.file) {
            let _ = fs::remove_file(&self.path);
        }
    }
}

impl Drop for RendezvousListener {
    fn drop(&mut self) {
        self.accepts.abort();
    }
}

fn file_of(path: &Path) -> io::Result<(u64, u64)> {
    fs::symlink_metadata(path).map(|meta| (meta.dev(), meta.ino()))
}

async fn accept(listener: UnixListener, place: Rendezvous, hellos: mpsc::Sender<SuccessorHello>) {
    let strangers = std::sync::Arc::new(Semaphore::new(MOST_STRANGERS));
    while let Ok(room) = strangers.clone().acquire_owned().await {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(e) => {
                debug!(target: NODE, "a successor could not be heard: {e}");
                sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let (place, hellos) = (place.clone(), hellos.clone());
        spawn_local(async move {
            let _room = room;
            let heard = timeout(HELLO_TIME, SuccessorHello::hear(stream, &place)).await;
            match heard.unwrap_or(Err(HandoverError::TimedOut)) {
                Ok(hello) => hello.hand_in(&hellos).await,
                Err(problem) => warn!(target: NODE, "a successor is passed over: {problem}"),
            }
        });
    }
}

/// A process that wants to be the successor. Dropped, it is left without an answer.
pub struct SuccessorHello {
    /// Name of its node.
    pub node: String,
    /// Where clients reach its node.
    pub listen: String,
    stream: UnixStream,
    decoder: Decoder,
}

impl SuccessorHello {
    async fn hear(stream: UnixStream, place: &Rendezvous) -> Result<SuccessorHello, HandoverError> {
        place.same_user(&stream)?;
        let mut decoder = Decoder::default();
        match read_frame(&stream, &mut decoder).await {
            Ok(Frame::Hello { node, listen }) => Ok(SuccessorHello { node, listen, stream, decoder }),
            Ok(_) => Err(HandoverError::UnexpectedFrame),
            Err(problem) => {
                if let HandoverError::Protocol(FrameError::OtherVersion { .. }) = problem {
                    say_no(&stream, RejectReason::OtherVersion).await;
                }
                Err(problem)
            }
        }
    }

    async fn hand_in(self, hellos: &mpsc::Sender<SuccessorHello>) {
        if let Err(unheard) = hellos.try_send(self) {
            let (mpsc::error::TrySendError::Full(hello) | mpsc::error::TrySendError::Closed(hello)) = unheard;
            hello.reject(RejectReason::Busy).await;
        }
    }

    /// Welcomes it: it gets the listener, and what was learned so far. On an error it counts as gone.
    pub async fn welcome(
        self,
        listener: impl AsFd,
        heritage: Bytes,
    ) -> Result<(PeerLink, mpsc::Receiver<PeerRequest>), HandoverError> {
        let sent = timeout(HELLO_TIME, send_with(&self.stream, &[LEAD], listener)).await;
        sent.map_err(|_| HandoverError::TimedOut)?.map_err(HandoverError::Gone)?;
        let (link, asked) = PeerLink::start(self.stream, true, self.decoder);
        link.answer(0, Frame::Accepted(bounded(heritage)));
        Ok((link, asked))
    }

    /// Tells it that it is not the successor, and why.
    pub async fn reject(self, why: RejectReason) {
        say_no(&self.stream, why).await;
    }
}

/// It may not be heard, which then comes to the same.
async fn say_no(stream: &UnixStream, why: RejectReason) {
    if let Ok(frame) = Frame::Rejected(why).encode(0) {
        let _ = timeout(HELLO_TIME, write_all(stream, frame)).await;
    }
}

/// What was learned, or where that is over the bound nothing: the newer process then starts cold.
fn bounded(heritage: Bytes) -> Bytes {
    let length = heritage.len();
    if length <= MAX_SNAPSHOT_BYTES {
        return heritage;
    }
    warn!(target: NODE, "what was learned does not go over: {}", FrameError::TooLong { length });
    Bytes::new()
}

/// What became of a call-back that was passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ForwardResult {
    /// The other process holds its job and has heard it.
    Handled,
    /// The other process does not hold its job.
    NotHeld,
    /// The other process did not answer.
    NoAnswer,
}

/// What the other process asks or tells. Whoever does not answer a question leaves it to the other's bound of
/// time.
pub enum PeerRequest {
    /// A call-back for a job that it does not hold: whether it is held here, said once it has been heard.
    Callback {
        /// As it came from the next hop.
        body: Bytes,
        /// Whether it was owned.
        heard: oneshot::Sender<bool>,
    },
    /// It is about to take a job: whether that id is *not held* here. What is being claimed is known to the
    /// link.
    ClaimJob {
        /// The job's id.
        id: String,
        /// Whether it may.
        free: oneshot::Sender<bool>,
    },
    /// An operator's call.
    Command {
        /// The call.
        call: AdminCommand,
        /// What is said to it.
        verdict: oneshot::Sender<CommandResult>,
    },
    /// A job that it held, whose attempts go on: whether it is held here, said once it is.
    MigrateJob {
        /// The job as it was held.
        job: Bytes,
        /// Its client's socket.
        client: OwnedFd,
        /// Whether it is held.
        held: oneshot::Sender<bool>,
        /// What was said has gone out, and counts: the other process will have read it, or is no more. Where
        /// this is dropped, it has not, and the job is the other's.
        said: oneshot::Receiver<()>,
    },
    /// A withdrawal that is this process's from now on.
    CancelAttempt {
        /// The next hop that has not heard it.
        to: SocketAddr,
        /// The job's id.
        id: String,
    },
    /// The younger one is ready: what was learned, said once this process accepts no more.
    Takeover {
        /// What was learned since the welcome.
        heritage: oneshot::Sender<Bytes>,
    },
    /// The younger one is ending: this process is to take the node back.
    HandBack,
    /// The link is lost; nothing comes after this.
    Lost,
}

/// What waits to be written.
#[derive(Default)]
struct Unwritten {
    frames: VecDeque<Outgoing>,
    bytes: usize,
}

struct Outgoing {
    bytes: Bytes,
    fd: Option<Rc<OwnedFd>>,
    /// Who is to know once it is written.
    written: Option<oneshot::Sender<()>>,
}

struct Waiting {
    answer: oneshot::Sender<Frame>,
    /// The id that is claimed by it.
    claim: Option<Rc<str>>,
}

struct Ends {
    stream: UnixStream,
    up: watch::Sender<bool>,
    unwritten: RefCell<Unwritten>,
    /// There is more to write, or the link is lost.
    more: Notify,
    /// All is written, or the link is lost.
    written: Notify,
    next: Cell<u64>,
    waiting: RefCell<HashMap<u64, Waiting>>,
    claims: RefCell<JobClaims>,
}

/// The link to the other process. It uses one descriptor, until it is lost and the last clone is dropped.
#[derive(Clone)]
pub struct PeerLink(Rc<Ends>);

impl PeerLink {
    fn start(stream: UnixStream, elder: bool, decoder: Decoder) -> (PeerLink, mpsc::Receiver<PeerRequest>) {
        let (asked, from) = mpsc::channel(MOST_ASKED + 1);
        // A place of its own, so that nothing can keep it from being heard.
        let last = asked.clone().try_reserve_owned().ok();
        let link = PeerLink(Rc::new(Ends {
            stream,
            up: watch::Sender::new(true),
            unwritten: RefCell::default(),
            more: Notify::new(),
            written: Notify::new(),
            next: Cell::new(1),
            waiting: RefCell::default(),
            claims: RefCell::new(JobClaims::new(if elder {
                LinkRole::Predecessor
            } else {
                LinkRole::Successor
            })),
        }));
        spawn_local(link.clone().write());
        let reader = link.clone();
        spawn_local(async move {
            if let Err(problem) = reader.read(decoder, &asked).await {
                warn!(target: NODE, "the link to the other process is lost: {problem}");
            }
            reader.close();
            reader.0.waiting.borrow_mut().clear();
            if let Some(last) = last {
                last.send(PeerRequest::Lost);
            }
        });
        (link, from)
    }

    /// Whether the other process can be heard, as far as is known.
    pub fn is_connected(&self) -> bool {
        *self.0.up.borrow()
    }

    /// Gives the link up: both ends lose it. Whatever waits for an answer goes without one that was not
    /// written before: what was is read yet, since the other process goes by it.
    pub fn close(&self) {
        if !self.0.up.send_replace(false) {
            return;
        }
        *self.0.unwritten.borrow_mut() = Unwritten::default();
        // One that the other end has closed already cannot be shut.
        let _ = shutdown(&self.0.stream, Shutdown::Both);
        self.0.more.notify_one();
        self.0.written.notify_waiters();
    }

    /// Returns once all that was said so far is written, or the link is lost.
    pub async fn flushed(&self) {
        while self.is_connected() && self.0.unwritten.borrow().bytes > 0 {
            self.0.written.notified().await;
        }
    }

    /// Passes a call-back's body on. Takes 300 ms at most.
    pub async fn forward_callback(&self, body: Bytes) -> ForwardResult {
        match self.request(Frame::Callback(body), None, WORD_TIME).await {
            Some(Frame::CallbackResult(true)) => ForwardResult::Handled,
            Some(Frame::CallbackResult(false)) => ForwardResult::NotHeld,
            _ => ForwardResult::NoAnswer,
        }
    }

    /// Claims the id of a job that is about to be taken; none where the other process holds it, or another
    /// copy of the job is being claimed here. Free as well where the other does not answer within 300 ms, or
    /// is gone. What is returned is dropped once the job is in the queue of whoever answers `PeerRequest::Claim`,
    /// and no sooner.
    pub async fn claim_job(&self, id: &str) -> Option<Claim> {
        if !self.0.claims.borrow_mut().try_claim(id) {
            return None;
        }
        let claim = Claim { link: self.clone(), id: id.into() };
        let asked = Frame::ClaimJob(id.to_owned());
        let answer = self.request(asked, Some(claim.id.clone()), CLAIM_TIME).await;
        if matches!(answer, Some(Frame::ClaimResult(false))) {
            return None;
        }
        self.0.claims.borrow_mut().confirm(id);
        Some(claim)
    }

    /// Has an operator's call done at the other process too; none where that does not say within 700 ms.
    pub async fn forward_command(&self, call: &AdminCommand) -> Option<CommandResult> {
        match self.request(Frame::Command(call.clone()), None, CALL_TIME).await {
            Some(Frame::CommandResult(verdict)) => Some(verdict),
            _ => None,
        }
    }

    /// Moves a job to the other process, with its client's socket. Whether it is held there; where that is not said within
    /// 2 s the link is given up, after which it cannot be said any more: never do both hold it.
    pub async fn migrate_job(&self, job: Bytes, client: OwnedFd) -> bool {
        let Some((_forget, mut from)) = self.ask_for(Frame::MigrateJob(job), None, Some(Rc::new(client)))
        else {
            return false;
        };
        let said = match timeout(MIGRATION_TIMEOUT, &mut from).await {
            Ok(said) => said,
            Err(_) => {
                self.close();
                from.await
            }
        };
        match said {
            Ok(Frame::MigrationResult(held)) => held,
            _ => {
                self.close();
                false
            }
        }
    }

    /// Leaves a withdrawal to the other process.
    pub fn transfer_cancellation(&self, to: SocketAddr, id: &str) {
        self.tell(&Frame::CancelAttempt { worker: to, job_id: id.to_owned() });
    }

    /// Asks the elder for the new connections and what it has learned since. Where it does not say within 1 s
    /// the link is given up: it may have handed over, and takes back when it sees that.
    pub async fn request_takeover(&self) -> Option<Bytes> {
        match self.request(Frame::TakeoverRequest, None, TAKE_OVER_TIME).await {
            Some(Frame::TakeoverGranted(heritage)) => Some(heritage),
            _ => {
                self.close();
                None
            }
        }
    }

    /// Tells the elder to take the node back.
    pub fn hand_back(&self) {
        self.tell(&Frame::HandBack);
    }

    fn seq(&self) -> u64 {
        self.0.next.replace(self.0.next.get() + 1)
    }

    async fn request(&self, frame: Frame, claim: Option<Rc<str>>, within: Duration) -> Option<Frame> {
        let (_forget, from) = self.ask_for(frame, claim, None)?;
        timeout(within, from).await.ok()?.ok()
    }

    /// Where the answer comes, for as long as the first part is kept.
    fn ask_for(
        &self,
        frame: Frame,
        claim: Option<Rc<str>>,
        fd: Option<Rc<OwnedFd>>,
    ) -> Option<(Forget<'_>, oneshot::Receiver<Frame>)> {
        let seq = self.seq();
        let bytes = frame.encode(seq).ok().filter(|_| self.is_connected())?;
        let (answer, from) = oneshot::channel();
        self.0.waiting.borrow_mut().insert(seq, Waiting { answer, claim });
        let forget = Forget { ends: &self.0, seq };
        self.push(Outgoing { bytes, fd, written: None });
        Some((forget, from))
    }

    fn tell(&self, frame: &Frame) {
        self.answer(self.seq(), frame.clone());
    }

    fn answer(&self, seq: u64, frame: Frame) {
        self.answer_and(seq, frame, None);
    }

    fn answer_and(&self, seq: u64, frame: Frame, written: Option<oneshot::Sender<()>>) {
        match frame.encode(seq) {
            Ok(bytes) => self.push(Outgoing { bytes, fd: None, written }),
            Err(problem) => warn!(target: NODE, "the other process is not told: {problem}"),
        }
    }

    /// A process that reads too little is as good as gone.
    fn push(&self, outgoing: Outgoing) {
        if !self.is_connected() {
            return;
        }
        let mut unwritten = self.0.unwritten.borrow_mut();
        unwritten.bytes += outgoing.bytes.len();
        unwritten.frames.push_back(outgoing);
        let full = unwritten.bytes > MOST_UNWRITTEN;
        drop(unwritten);
        if full {
            warn!(target: NODE, "the other process reads nothing; the link is given up");
            return self.close();
        }
        self.0.more.notify_one();
    }

    async fn write(self) {
        while self.is_connected() {
            let next =
                self.0.unwritten.borrow().frames.front().map(|next| (next.bytes.clone(), next.fd.clone()));
            let Some((mut frame, fd)) = next else {
                self.0.written.notify_waiters();
                self.0.more.notified().await;
                continue;
            };
            let length = frame.len();
            let written = async {
                if let Some(fd) = fd {
                    let sent = timeout(STALLED, send_with(&self.0.stream, &frame, &*fd)).await??;
                    frame.advance(sent);
                }
                write_all(&self.0.stream, frame).await
            };
            if written.await.is_err() {
                return self.close();
            }
            let mut unwritten = self.0.unwritten.borrow_mut();
            // Nothing is left of it where the link was lost meanwhile.
            if let Some(outgoing) = unwritten.frames.pop_front() {
                unwritten.bytes -= length;
                // Who does not listen has ended.
                _ = outgoing.written.map(|written| written.send(()));
            }
        }
    }

    async fn read(
        &self,
        mut decoder: Decoder,
        asked: &mpsc::Sender<PeerRequest>,
    ) -> Result<(), HandoverError> {
        // A descriptor comes with the first byte of its frame, so that they are in one order.
        let mut fds = Fds::new();
        loop {
            while let Some(ReceivedFrame { sequence: seq, frame }) = decoder.next_frame()? {
                if !self.is_connected() && !frame.is_response() {
                    // It cannot be answered any more, and the other process goes by that.
                    continue;
                }
                self.hear(seq, frame, &mut fds, asked)?;
            }
            match read_piece(&self.0.stream, &mut decoder, &mut fds).await {
                Ok(true) => {}
                Ok(false) => return Ok(decoder.finish()?),
                // It ended before it had read all.
                Err(e) if e.kind() == ErrorKind::ConnectionReset => return Ok(()),
                Err(e) => return Err(HandoverError::Gone(e)),
            }
        }
    }

    fn hear(
        &self,
        seq: u64,
        frame: Frame,
        fds: &mut Fds,
        asked: &mpsc::Sender<PeerRequest>,
    ) -> Result<(), HandoverError> {
        match frame {
            Frame::TakeoverGranted(_)
            | Frame::CallbackResult(_)
            | Frame::ClaimResult(_)
            | Frame::CommandResult(_)
            | Frame::MigrationResult(_) => self.answered(seq, frame),
            Frame::Callback(body) => self.ask(
                seq,
                asked,
                |heard| PeerRequest::Callback { body, heard },
                |_, said| Frame::CallbackResult(said),
            ),
            Frame::ClaimJob(id) => self.claimed(seq, id, asked),
            Frame::Command(call) => {
                self.ask(
                    seq,
                    asked,
                    |verdict| PeerRequest::Command { call, verdict },
                    |_, said| Frame::CommandResult(said),
                );
            }
            Frame::TakeoverRequest => self.ask(
                seq,
                asked,
                |heritage| PeerRequest::Takeover { heritage },
                |_, said| Frame::TakeoverGranted(bounded(said)),
            ),
            Frame::MigrateJob(job) => {
                let client = fds.pop_front().ok_or(HandoverError::UnexpectedFrame)?;
                let (held, holds) = oneshot::channel();
                let (written, said) = oneshot::channel();
                self.pass(asked, PeerRequest::MigrateJob { job, client, held, said });
                let link = self.clone();
                spawn_local(async move {
                    if let Ok(held) = holds.await {
                        link.answer_and(seq, Frame::MigrationResult(held), Some(written));
                    }
                });
            }
            Frame::CancelAttempt { worker: to, job_id: id } => {
                self.pass(asked, PeerRequest::CancelAttempt { to, id })
            }
            Frame::HandBack => self.pass(asked, PeerRequest::HandBack),
            Frame::Hello { .. } | Frame::Accepted(_) | Frame::Rejected(_) => {
                return Err(HandoverError::UnexpectedFrame);
            }
        }
        Ok(())
    }

    /// A grant counts from here on, not from when its waiter next runs: the next frame may claim the same id.
    fn answered(&self, seq: u64, frame: Frame) {
        let Some(waiting) = self.0.waiting.borrow_mut().remove(&seq) else { return };
        if let (Some(id), Frame::ClaimResult(true)) = (&waiting.claim, &frame) {
            self.0.claims.borrow_mut().confirm(id);
        }
        let _ = waiting.answer.send(frame);
    }

    fn claimed(&self, seq: u64, id: String, asked: &mpsc::Sender<PeerRequest>) {
        if !self.0.claims.borrow().allows_peer_claim(&id, false) {
            return self.answer(seq, Frame::ClaimResult(false));
        }
        let name = id.clone();
        // Looked at again with the answer: this process may have claimed it meanwhile.
        let claimed = move |link: &PeerLink, free: bool| {
            Frame::ClaimResult(link.0.claims.borrow().allows_peer_claim(&name, !free))
        };
        self.ask(seq, asked, |free| PeerRequest::ClaimJob { id, free }, claimed);
    }

    fn ask<T: 'static>(
        &self,
        seq: u64,
        asked: &mpsc::Sender<PeerRequest>,
        question: impl FnOnce(oneshot::Sender<T>) -> PeerRequest,
        answer: impl FnOnce(&PeerLink, T) -> Frame + 'static,
    ) {
        let (to, from) = oneshot::channel();
        self.pass(asked, question(to));
        let link = self.clone();
        spawn_local(async move {
            if let Ok(said) = from.await {
                link.answer(seq, answer(&link, said));
            }
        });
    }

    fn pass(&self, asked: &mpsc::Sender<PeerRequest>, what: PeerRequest) {
        if asked.try_send(what).is_err() {
            debug!(target: NODE, "too much is asked by the other process; some goes without an answer");
        }
    }
}

/// A claimed id. While it is there the other process gets a no for that id.
pub struct Claim {
    link: PeerLink,
    id: Rc<str>,
}

impl Drop for Claim {
    fn drop(&mut self) {
        self.link.0.claims.borrow_mut().release(&self.id);
    }
}

/// Nobody waits for that answer any more.
struct Forget<'a> {
    ends: &'a Ends,
    seq: u64,
}

impl Drop for Forget<'_> {
    fn drop(&mut self) {
        self.ends.waiting.borrow_mut().remove(&self.seq);
    }
}

/// The other process of this node, as far as this one is linked to it: the one place where all parts look for it.
#[derive(Clone, Default)]
pub struct Peer {
    link: Rc<RefCell<Option<PeerLink>>>,
    estranged: Rc<Cell<bool>>,
    /// The process at the other end of a link that was lost.
    lost: Rc<Cell<Option<Pid>>>,
}

impl Peer {
    /// The link, while it is up.
    pub fn link(&self) -> Option<PeerLink> {
        self.link.borrow().clone().filter(PeerLink::is_connected)
    }

    /// There is another from now on, or none.
    pub fn set_link(&self, link: Option<PeerLink>) {
        *self.link.borrow_mut() = link;
    }

    /// The link is lost. Whoever was at its other end is gone, or has given the link up and serves on by
    /// itself.
    pub fn mark_lost(&self) {
        let link = self.link.take();
        let pid = link.and_then(|link| link.0.stream.peer_cred().ok()?.pid()).and_then(Pid::from_raw);
        self.lost.set(pid);
    }

    /// Whether another process may serve beside this one that it cannot reach.
    pub fn may_have_unknown_peer(&self) -> bool {
        // Once it is no more its number may be another's.
        self.lost.set(self.lost.get().filter(|pid| test_kill_process(*pid).is_ok()));
        self.estranged.get() || self.lost.get().is_some()
    }

    /// Another process may be there, since the place where both meet cannot be used; or it is known that none is.
    pub fn set_may_have_unknown_peer(&self, estranged: bool) {
        self.estranged.set(estranged);
    }
}

#[cfg(test)]
#[path = "../../tests/unit/handover.rs"]
mod tests;
