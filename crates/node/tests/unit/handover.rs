//! What handover.rs says of links, seats and lost processes, held to both ends of real sockets in one
//! process. The clock stands, or goes on where nothing else can happen: no test here waits for time itself.

use super::*;
use curlewusher_control::command::CommandError;
use tempfile::TempDir;
use tokio::task::{LocalSet, yield_now};

/// No test takes as many turns of its thread.
const MOST_TURNS: usize = 3_000_000;

/// How time passes: not at all, or at once to the next bound when nothing else can happen.
#[derive(PartialEq)]
enum Time {
    Stands,
    Goes,
}

/// On one thread, as the node is.
fn run<T>(time: Time, all: impl Future<Output = T>) -> T {
    let mut runtime = tokio::runtime::Builder::new_current_thread();
    let runtime = runtime.enable_all().start_paused(true).build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let over = async {
            if time == Time::Goes {
                return sleep(Duration::from_secs(3600)).await;
            }
            // A paused clock goes on only where there is nothing to do.
            for _ in 0..MOST_TURNS {
                yield_now().await;
            }
        };
        tokio::select! {
            said = all => said,
            () = over => panic!("what it waits for does not come"),
        }
    })
}

fn place() -> (TempDir, TcpListener, SocketAddr, Rendezvous) {
    let dir = TempDir::new().expect("a directory");
    let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
    let at = listener.local_addr().expect("bound");
    let place = Rendezvous::new(dir.path(), at);
    (dir, listener, at, place)
}

fn seat(place: &Rendezvous) -> (RendezvousListener, mpsc::Receiver<SuccessorHello>) {
    let (hellos, heard) = mpsc::channel(1);
    (RendezvousListener::bind(place, hellos).expect("a seat"), heard)
}

type End = (PeerLink, mpsc::Receiver<PeerRequest>);

/// Returns once the link is lost.
async fn lost(link: &PeerLink) {
    // The sender is in the link itself.
    let _ = link.0.up.subscribe().wait_for(|up| !up).await;
}

/// Both ends of a link, the elder's first.
fn pair() -> (End, End) {
    let (one, other) = UnixStream::pair().expect("a pair");
    (PeerLink::start(one, true, Decoder::default()), PeerLink::start(other, false, Decoder::default()))
}

/// What comes of a hello that is heard at `heard` and answered with a welcome.
async fn welcomed(
    heard: &mut mpsc::Receiver<SuccessorHello>,
    listener: &TcpListener,
    heritage: Bytes,
    place: &Rendezvous,
) -> (End, Predecessor) {
    let at = listener.local_addr().expect("bound");
    let welcome = async {
        let hello = heard.recv().await.expect("a hello");
        assert_eq!((&*hello.node, &*hello.listen), ("n", &*at.to_string()));
        hello.welcome(listener, heritage).await.expect("a link")
    };
    let (end, elder) = tokio::join!(welcome, contact_predecessor(place, "n", at));
    (end, elder.expect("an answer").expect("an elder"))
}

#[test]
fn the_listener_goes_over_and_accepts_once_the_elder_has_closed_it() {
    run(Time::Stands, async {
        let (_dir, listener, at, place) = place();
        let (_seat, mut heard) = seat(&place);
        let learned = Bytes::from(vec![7; MAX_SNAPSHOT_BYTES]);
        let ((_link, mut asked), elder) = welcomed(&mut heard, &listener, learned.clone(), &place).await;
        assert_eq!(elder.heritage, learned);
        let waits = std::net::TcpStream::connect(at).expect("in the queue");
        drop(listener);
        let hand_over = async {
            let Some(PeerRequest::Takeover { heritage }) = asked.recv().await else { panic!("no take-over") };
            // More than goes over: the newer one starts cold then.
            heritage.send(vec![0; MAX_SNAPSHOT_BYTES + 1].into()).expect("it waits");
        };
        let (yours, ()) = tokio::join!(elder.link.request_takeover(), hand_over);
        assert_eq!(yours, Some(Bytes::new()));
        let listener = tokio::net::TcpListener::from_std(elder.listener).expect("a listener");
        let (_, from) = listener.accept().await.expect("a client");
        assert_eq!(from, waits.local_addr().expect("connected"));
    });
}

#[test]
fn each_question_gets_its_own_answer() {
    run(Time::Stands, async {
        let ((elder, mut asked), (younger, mut told)) = pair();
        let answers = async {
            while let Some(what) = asked.recv().await {
                match what {
                    PeerRequest::Callback { body, heard } => _ = heard.send(body == "mine"),
                    PeerRequest::ClaimJob { id, free } => _ = free.send(id != "held"),
                    PeerRequest::Command { call, verdict } => {
                        assert_eq!(call, AdminCommand::Drain);
                        _ = verdict.send(Err(CommandError::ShuttingDown));
                    }
                    PeerRequest::HandBack => return true,
                    _ => return false,
                }
            }
            false
        };
        let questions = async {
            let words =
                tokio::join!(younger.forward_callback("mine".into()), younger.forward_callback("not".into()));
            assert_eq!(words, (ForwardResult::Handled, ForwardResult::NotHeld));
            assert_eq!(
                younger.forward_command(&AdminCommand::Drain).await,
                Some(Err(CommandError::ShuttingDown))
            );
            assert!(younger.claim_job("held").await.is_none());
            let claim = younger.claim_job("new").await.expect("free");
            assert!(younger.claim_job("new").await.is_none(), "a second copy");
            assert!(elder.claim_job("new").await.is_none(), "claimed there, and not held there yet");
            drop(claim);
            younger.hand_back();
        };
        assert!(tokio::join!(questions, answers).1);
        elder.transfer_cancellation(([10, 0, 0, 1], 80).into(), "w");
        elder.flushed().await;
        let withdrawn = told.recv().await;
        assert!(
            matches!(withdrawn, Some(PeerRequest::CancelAttempt { to, id }) if to.port() == 80 && id == "w")
        );
    });
}

#[test]
fn of_two_claims_at_once_the_elders_stands() {
    run(Time::Stands, async {
        let ((elder, _asked), (younger, mut told)) = pair();
        let answer = async {
            let Some(PeerRequest::ClaimJob { free, .. }) = told.recv().await else { panic!("no claim") };
            free.send(true).expect("it waits");
        };
        let (first, second, ()) = tokio::join!(elder.claim_job("a"), younger.claim_job("a"), answer);
        assert!(first.is_some() && second.is_none());
    });
}

#[test]
fn a_claim_that_was_granted_counts_before_its_job_is_held() {
    run(Time::Stands, async {
        let (one, other) = UnixStream::pair().expect("a pair");
        let (younger, mut asked) = PeerLink::start(one, false, Decoder::default());
        let elder = async {
            read_frame(&other, &mut Decoder::default()).await.expect("its claim");
            // Both come in one piece: nothing runs between them.
            let [yes, claim] = [Frame::ClaimResult(true).encode(1), Frame::ClaimJob("a".into()).encode(2)];
            let both = [yes.expect("short"), claim.expect("short")].concat();
            write_all(&other, both.into()).await.expect("it reads");
            read_frame(&other, &mut Decoder::default()).await.expect("an answer")
        };
        let node = async {
            let asked = asked.recv().await;
            panic!("the link knows, lost: {}", matches!(asked, Some(PeerRequest::Lost)))
        };
        let both = async { tokio::join!(younger.claim_job("a"), elder) };
        let (claim, answer) = tokio::select! { both = both => both, () = node => unreachable!() };
        assert!(claim.is_some() && answer == Frame::ClaimResult(false));
    });
}

#[test]
fn what_waits_when_the_link_is_lost_goes_without_an_answer() {
    run(Time::Stands, async {
        let ((elder, mut asked), (younger, mut told)) = pair();
        let lose = async {
            let Some(PeerRequest::Callback { .. }) = asked.recv().await else { panic!("no word") };
            elder.close();
        };
        let (word, claim, ()) =
            tokio::join!(younger.forward_callback("w".into()), younger.claim_job("a"), lose);
        assert_eq!(word, ForwardResult::NoAnswer);
        assert!(claim.is_some() && !younger.is_connected());
        lost(&younger).await;
        assert_eq!(younger.forward_command(&AdminCommand::Drain).await, None);
        assert!(matches!(told.recv().await, Some(PeerRequest::Lost)) && told.recv().await.is_none());
    });
}

#[test]
fn one_that_does_not_answer_or_read_holds_nothing_up() {
    run(Time::Goes, async {
        let ((_elder, _asked), (younger, mut told)) = pair();
        assert_eq!(younger.forward_callback("w".into()).await, ForwardResult::NoAnswer);
        assert!(younger.claim_job("a").await.is_some() && younger.is_connected());
        assert_eq!(younger.request_takeover().await, None);
        // It may have handed over: only that the link is lost tells it to take back.
        assert!(!younger.is_connected() && matches!(told.recv().await, Some(PeerRequest::Lost)));

        let (one, _reads_nothing) = UnixStream::pair().expect("a pair");
        let (link, _asked) = PeerLink::start(one, true, Decoder::default());
        let body = Bytes::from(vec![0; 100 << 10]);
        for _ in 0..=MOST_UNWRITTEN / body.len() {
            link.answer(1, Frame::Callback(body.clone()));
        }
        assert!(!link.is_connected());
        link.flushed().await;
    });
}

/// What comes of a hello to one that says these bytes and ends.
async fn answered(bytes: &[u8]) -> HandoverError {
    let (_dir, _listener, at, place) = place();
    let there = UnixListener::bind(place.path()).expect("a socket");
    let says = async {
        let (stream, _) = there.accept().await.expect("a hello");
        read_frame(&stream, &mut Decoder::default()).await.expect("a hello");
        write_all(&stream, Bytes::copy_from_slice(bytes)).await.expect("it reads");
    };
    tokio::join!(contact_predecessor(&place, "n", at), says).0.err().expect("no elder")
}

#[test]
fn whoever_else_is_there_is_passed_over() {
    run(Time::Stands, async {
        let welcome = Frame::Accepted("learned".into()).encode(0).expect("short");
        let mut older = welcome.to_vec();
        older[4] = 0;
        assert!(matches!(answered(b"HTTP/1.1 400").await, HandoverError::Protocol(FrameError::NotAFrame)));
        let error = answered(&older).await;
        assert!(
            matches!(error, HandoverError::Protocol(FrameError::OtherVersion { theirs: 0, .. })),
            "{error}"
        );
        assert!(matches!(answered(&welcome[..9]).await, HandoverError::Protocol(FrameError::Truncated)));
        assert!(matches!(answered(&welcome).await, HandoverError::NoListener { .. }));
        assert!(matches!(answered(b"").await, HandoverError::Gone(_)));
        let busy = Frame::Rejected(RejectReason::Busy).encode(0).expect("short");
        assert!(answered(&busy).await.is_busy());
    });
    run(Time::Goes, async {
        let (_dir, _listener, at, place) = place();
        let _silent = UnixListener::bind(place.path()).expect("a socket");
        assert!(matches!(contact_predecessor(&place, "n", at).await, Err(HandoverError::TimedOut)));
    });
}

#[test]
fn a_seat_hears_successors_whatever_strangers_say() {
    run(Time::Stands, async {
        let (_dir, listener, at, place) = place();
        let (_seat, mut heard) = seat(&place);
        for bytes in [&b"GET / HTTP/1.1\r\n"[..], b"CW", b"CWUS\x00"] {
            let stranger = UnixStream::connect(place.path()).await.expect("it sits");
            write_all(&stranger, Bytes::copy_from_slice(bytes)).await.expect("it reads");
        }
        // Another's listener is not taken.
        let other = TcpListener::bind("127.0.0.1:0").expect("a listener");
        let wrong = async { heard.recv().await.expect("a hello").welcome(&other, Bytes::new()).await };
        let (error, _) = tokio::join!(contact_predecessor(&place, "n", at), wrong);
        assert!(matches!(error, Err(HandoverError::NoListener { .. })));
        let no = async { heard.recv().await.expect("a hello").reject(RejectReason::Busy).await };
        let (error, ()) = tokio::join!(contact_predecessor(&place, "n", at), no);
        assert!(error.err().expect("no elder").is_busy());
        welcomed(&mut heard, &listener, Bytes::new(), &place).await;
    });
}

#[test]
fn the_last_to_sit_down_is_found_and_no_other_takes_its_seat_away() {
    run(Time::Stands, async {
        let (_dir, listener, at, place) = place();
        assert!(contact_predecessor(&place, "n", at).await.expect("an answer").is_none(), "no file");
        drop(UnixListener::bind(place.path()).expect("a socket"));
        assert!(
            contact_predecessor(&place, "n", at).await.expect("an answer").is_none(),
            "left by a dead one"
        );
        let (first, _) = seat(&place);
        let (second, mut heard) = seat(&place);
        first.close();
        welcomed(&mut heard, &listener, Bytes::new(), &place).await;
        let mode = fs::symlink_metadata(place.path()).expect("a socket").mode();
        assert_eq!(mode & 0o777, 0o600);
        second.close();
        assert!(!place.path().exists());
        assert!(contact_predecessor(&place, "n", at).await.expect("an answer").is_none());
    });
}

#[test]
fn a_directory_with_a_long_name_will_do_and_one_that_is_not_there_is_named() {
    run(Time::Stands, async {
        let (dir, listener, at, _) = place();
        let long = dir.path().join("d".repeat(150));
        let place = Rendezvous::new(&long, at);
        let Err(error) = RendezvousListener::bind(&place, mpsc::channel(1).0) else {
            panic!("nowhere to sit")
        };
        assert!(matches!(error, HandoverError::Rendezvous { .. }) && error.to_string().contains("$TMPDIR"));
        fs::create_dir(&long).expect("a directory");
        let (_seat, mut heard) = seat(&place);
        welcomed(&mut heard, &listener, Bytes::new(), &place).await;
    });
}

#[test]
fn of_two_starts_at_once_one_waits_for_the_other() {
    run(Time::Goes, async {
        let (_dir, _listener, _, place) = place();
        let first = place.turn().await.expect("its turn");
        assert!(matches!(place.turn().await, Err(HandoverError::Held { .. })));
        let second = spawn_local({
            let place = place.clone();
            async move { place.turn().await.is_ok() }
        });
        yield_now().await;
        assert!(!second.is_finished());
        drop(first);
        assert!(second.await.expect("it ends"));
    });
}
