//! Tests of the handshake over real sockets: what an accepted successor receives, and the errors for all
//! other responses to its hello.

use curlewusher_control::frame::MAX_SNAPSHOT_BYTES;
use tokio::net::UnixListener;

use super::*;
use crate::handover::link::PeerRequest;
use crate::handover::test_support::{ClockMode, NodeFixture, complete_handshake, listen_for_successor, run};

#[test]
fn predecessor_closes_listener_after_takeover_then_successor_accepts_queued_client() {
    run(ClockMode::Paused, async {
        let NodeFixture { directory: _directory, listener, listen, rendezvous } = NodeFixture::new();
        let (_rendezvous_listener, mut hellos) = listen_for_successor(&rendezvous);
        let snapshot = Bytes::from(vec![7; MAX_SNAPSHOT_BYTES]);
        let (mut ends, predecessor) =
            complete_handshake(&mut hellos, &listener, snapshot.clone(), &rendezvous).await;
        assert_eq!(predecessor.snapshot, snapshot);
        let queued_client = std::net::TcpStream::connect(listen).expect("connecting to the listener failed");
        drop(listener);
        let grant = async {
            let Some(PeerRequest::Takeover { snapshot }) = ends.requests.recv().await else {
                panic!("no takeover request arrived")
            };
            // The snapshot exceeds the limit of a frame, so the successor receives an empty one.
            snapshot.send(vec![0; MAX_SNAPSHOT_BYTES + 1].into()).expect("the request has ended");
        };
        let (granted, ()) = tokio::join!(predecessor.link.link.request_takeover(), grant);
        assert_eq!(granted, Some(Bytes::new()));
        let listener =
            tokio::net::TcpListener::from_std(predecessor.listener).expect("registering the listener failed");
        let (_, client) = listener.accept().await.expect("accepting the client failed");
        assert_eq!(client, queued_client.local_addr().expect("the client has no address"));
    });
}

/// Returns the error of a hello whose response consists of these bytes and the close of the connection.
async fn error_after_response(response: &[u8]) -> HandoverError {
    let NodeFixture { directory: _directory, listener: _listener, listen, rendezvous } = NodeFixture::new();
    let socket = UnixListener::bind(rendezvous.path()).expect("binding the socket failed");
    let respond = async {
        let (stream, _) = socket.accept().await.expect("accepting the connection failed");
        read_frame(&stream, &mut Decoder::default()).await.expect("no hello arrived");
        write_all(&stream, Bytes::copy_from_slice(response)).await.expect("writing to the peer failed");
    };
    tokio::join!(contact_predecessor(&rendezvous, "n", listen), respond)
        .0
        .err()
        .expect("the contact succeeded")
}

#[test]
fn hello_is_not_accepted_then_error_names_the_cause() {
    run(ClockMode::Paused, async {
        let acceptance = Frame::Accepted("learned".into()).encode(0).expect("the frame is too long");
        let mut other_version = acceptance.to_vec();
        other_version[4] = 0;
        let error = error_after_response(b"HTTP/1.1 400").await;
        assert!(matches!(error, HandoverError::Protocol(FrameError::InvalidMagic)));
        let error = error_after_response(&other_version).await;
        assert!(
            matches!(error, HandoverError::Protocol(FrameError::OtherVersion { theirs: 0, .. })),
            "{error}"
        );
        let error = error_after_response(&acceptance[..9]).await;
        assert!(matches!(error, HandoverError::Protocol(FrameError::Truncated)));
        assert!(matches!(error_after_response(&acceptance).await, HandoverError::NoListener { .. }));
        assert!(matches!(error_after_response(b"").await, HandoverError::Disconnected(_)));
        let busy = Frame::Rejected(RejectReason::Busy).encode(0).expect("the frame is too long");
        assert!(error_after_response(&busy).await.is_busy());
    });
}

#[test]
fn hello_is_never_answered_then_contact_times_out() {
    run(ClockMode::Advancing, async {
        let NodeFixture { directory: _directory, listener: _listener, listen, rendezvous } =
            NodeFixture::new();
        let _unresponsive_listener =
            UnixListener::bind(rendezvous.path()).expect("binding the socket failed");
        let contacted = contact_predecessor(&rendezvous, "n", listen).await;
        assert!(matches!(contacted, Err(HandoverError::TimedOut)));
    });
}
