//! Tests of links whose ends are both in one process: responses, claims, loss of the link, and a peer that
//! does not answer or read.

use std::io::ErrorKind;
use std::os::fd::OwnedFd;
use std::time::Duration;

use bytes::Bytes;
use curlewusher_control::command::{AdminCommand, CommandError};
use curlewusher_control::frame::Frame;
use tokio::time::timeout;

use super::outbound::MAX_OUTBOUND_REQUEST_BYTES;
use super::*;
use crate::handover::descriptor_stream::{read_frame, write_all};
use crate::handover::test_support::{ClockMode, LinkPair, link_pair, run};

/// Waits until the link is lost.
async fn wait_until_lost(link: &PeerLink) {
    link.state.lost.cancelled().await;
}

/// Answers requests until the takeover is rolled back. Returns `false` if an unexpected request arrives.
async fn answer_until_hand_back(requests: &mut mpsc::Receiver<PeerRequest>) -> bool {
    while let Some(request) = requests.recv().await {
        match request {
            PeerRequest::Callback { body, is_handled } => _ = is_handled.send(body == "mine"),
            PeerRequest::ClaimJob { job_id, is_unheld } => _ = is_unheld.send(job_id != "held"),
            PeerRequest::Command { command, result } => {
                assert_eq!(command, AdminCommand::Drain);
                _ = result.send(Err(CommandError::ShuttingDown));
            }
            PeerRequest::HandBack => return true,
            _ => return false,
        }
    }
    false
}

#[test]
fn several_requests_are_pending_then_each_gets_its_own_response() {
    run(ClockMode::Paused, async {
        let LinkPair { mut predecessor, mut successor } = link_pair();
        let link = &successor.link;
        let send_requests = async {
            let callbacks =
                tokio::join!(link.forward_callback("mine".into()), link.forward_callback("not".into()));
            assert_eq!(callbacks, (ForwardResult::Handled, ForwardResult::NotHeld));
            let result = link.forward_command(&AdminCommand::Drain).await;
            assert_eq!(result, Some(Err(CommandError::ShuttingDown)));
            assert!(link.claim_job("held").await.is_none());
            let claim = link.claim_job("new").await.expect("the id is already claimed");
            assert!(link.claim_job("new").await.is_none(), "a duplicate claim succeeded");
            assert!(
                predecessor.link.claim_job("new").await.is_none(),
                "an id that the successor has claimed but does not hold yet was claimed"
            );
            drop(claim);
            link.hand_back();
        };
        assert!(tokio::join!(send_requests, answer_until_hand_back(&mut predecessor.requests)).1);
        predecessor.link.transfer_cancellation(([10, 0, 0, 1], 80).into(), "w");
        predecessor.link.flush().await;
        let Some(PeerRequest::CancelAttempt { worker, job_id }) = successor.requests.recv().await else {
            panic!("no cancellation arrived")
        };
        assert!(worker.port() == 80 && job_id == "w");
    });
}

#[test]
fn both_processes_claim_one_id_then_only_the_claim_of_the_predecessor_succeeds() {
    run(ClockMode::Paused, async {
        let LinkPair { predecessor, mut successor } = link_pair();
        let answer = async {
            let Some(PeerRequest::ClaimJob { is_unheld, .. }) = successor.requests.recv().await else {
                panic!("no claim arrived")
            };
            is_unheld.send(true).expect("the claim has ended");
        };
        let (first, second, ()) =
            tokio::join!(predecessor.link.claim_job("a"), successor.link.claim_job("a"), answer);
        assert!(first.is_some() && second.is_none());
    });
}

#[test]
fn claim_is_granted_then_peer_claim_in_the_same_read_is_rejected() {
    run(ClockMode::Paused, async {
        let (one, other) = UnixStream::pair().expect("creating the socket pair failed");
        let mut successor = PeerLink::start(one, LinkRole::Successor, Decoder::default());
        let predecessor = async {
            read_frame(&other, &mut Decoder::default()).await.expect("no claim arrived");
            // Both frames arrive in one read, so no task runs between them.
            let [granted, claim] =
                [Frame::ClaimResult(true).encode(1), Frame::ClaimJob("a".into()).encode(2)];
            let both =
                [granted.expect("the frame is too long"), claim.expect("the frame is too long")].concat();
            write_all(&other, both.into()).await.expect("writing to the peer failed");
            read_frame(&other, &mut Decoder::default()).await.expect("no response arrived")
        };
        let unexpected = async {
            let request = successor.requests.recv().await;
            panic!(
                "an unexpected request arrived, link lost: {}",
                matches!(request, Some(PeerRequest::LinkLost))
            )
        };
        let both = async { tokio::join!(successor.link.claim_job("a"), predecessor) };
        let (claim, response) = tokio::select! { both = both => both, () = unexpected => unreachable!() };
        assert!(claim.is_some() && response == Frame::ClaimResult(false));
    });
}

#[test]
fn link_is_closed_then_pending_requests_end_without_response() {
    run(ClockMode::Paused, async {
        let LinkPair { mut predecessor, mut successor } = link_pair();
        let close = async {
            let Some(PeerRequest::Callback { .. }) = predecessor.requests.recv().await else {
                panic!("no callback arrived")
            };
            predecessor.link.close();
        };
        let link = &successor.link;
        let (callback, claim, ()) =
            tokio::join!(link.forward_callback("w".into()), link.claim_job("a"), close);
        assert_eq!(callback, ForwardResult::NoAnswer);
        assert!(claim.is_some() && !link.is_connected());
        wait_until_lost(link).await;
        assert_eq!(link.forward_command(&AdminCommand::Drain).await, None);
        assert!(matches!(successor.requests.recv().await, Some(PeerRequest::LinkLost)));
        assert!(successor.requests.recv().await.is_none());
    });
}

/// Returns a descriptor that can be sent with a migrated job.
fn client_socket() -> OwnedFd {
    let (client, _) = std::os::unix::net::UnixStream::pair().expect("creating the socket pair failed");
    client.into()
}

/// Guards against `docs/incidents/2026-12-04-two-serving-processes.md`: each of these waits closed the link, and
/// the peer, which was only late, served beside this process.
#[test]
fn peer_never_answers_then_no_request_closes_the_link() {
    run(ClockMode::Advancing, async {
        let LinkPair { predecessor, mut successor } = link_pair();
        let link = &successor.link;
        assert_eq!(link.forward_callback("w".into()).await, ForwardResult::NoAnswer);
        assert!(link.claim_job("a").await.is_some());
        let long_after = Duration::from_mins(10);
        assert!(timeout(long_after, link.migrate_job("job".into(), client_socket())).await.is_err());
        assert!(timeout(long_after, link.request_takeover()).await.is_err());
        assert!(link.is_connected());
        // The end of the peer ends the requests.
        let (adopted, snapshot, ()) =
            tokio::join!(link.migrate_job("job".into(), client_socket()), link.request_takeover(), async {
                predecessor.link.close();
            });
        assert_eq!((adopted, snapshot), (false, None));
        assert!(matches!(successor.requests.recv().await, Some(PeerRequest::LinkLost)));
    });
}

/// Guards against `docs/incidents/2026-12-04-two-serving-processes.md`: frames over a limit closed the link.
#[test]
fn peer_reads_nothing_then_requests_wait_within_the_outbound_limit_until_it_ends() {
    run(ClockMode::Advancing, async {
        let (one, reads_nothing) = UnixStream::pair().expect("creating the socket pair failed");
        let LinkEnds { link, mut requests } = PeerLink::start(one, LinkRole::Predecessor, Decoder::default());
        let body = Bytes::from(vec![0; 100 << 10]);
        let request_count = 3 * MAX_OUTBOUND_REQUEST_BYTES / body.len();
        let forward = |link: PeerLink, body: Bytes| async move { link.forward_callback(body).await };
        let callbacks: Vec<_> =
            (0..request_count).map(|_| spawn_local(forward(link.clone(), body.clone()))).collect();
        for callback in callbacks {
            assert_eq!(callback.await.expect("the task failed"), ForwardResult::NoAnswer);
        }
        assert!(link.is_connected());
        assert!(link.state.outbound.borrow().bytes() <= MAX_OUTBOUND_REQUEST_BYTES);
        drop(reads_nothing);
        assert!(matches!(requests.recv().await, Some(PeerRequest::LinkLost)));
        link.flush().await;
    });
}

/// Guards against `docs/incidents/2026-12-04-two-serving-processes.md`: a frame that cannot be decoded closed the
/// link while both processes ran.
#[test]
fn peer_sends_invalid_frame_then_link_fails_and_stays_open_until_the_peer_ends() {
    run(ClockMode::Paused, async {
        let (one, other) = UnixStream::pair().expect("creating the socket pair failed");
        let LinkEnds { link, mut requests } = PeerLink::start(one, LinkRole::Predecessor, Decoder::default());
        write_all(&other, "no frame".into()).await.expect("writing to the peer failed");
        wait_until_lost(&link).await;
        assert!(link.has_failed());
        assert_eq!(link.forward_command(&AdminCommand::Drain).await, None);
        let read = other.try_read(&mut [0]).map_err(|error| error.kind());
        assert_eq!(read, Err(ErrorKind::WouldBlock), "the link was closed");
        assert!(requests.try_recv().is_err(), "the loss of the link was reported");
        drop(other);
        assert!(matches!(requests.recv().await, Some(PeerRequest::LinkLost)));
        assert!(!link.has_failed());
    });
}
