//! Tests of the rendezvous socket and the start lock in a real directory.

use std::net::TcpListener;

use bytes::Bytes;
use curlewusher_control::frame::RejectReason;
use tokio::net::UnixStream;
use tokio::task::yield_now;

use super::*;
use crate::handover::descriptor_stream::write_all;
use crate::handover::handshake::contact_predecessor;
use crate::handover::test_support::{ClockMode, NodeFixture, complete_handshake, listen_for_successor, run};

#[test]
fn invalid_hellos_arrive_then_successor_is_still_accepted() {
    run(ClockMode::Paused, async {
        let NodeFixture { directory: _directory, listener, listen, rendezvous } = NodeFixture::new();
        let (_rendezvous_listener, mut hellos) = listen_for_successor(&rendezvous);
        for bytes in [&b"GET / HTTP/1.1\r\n"[..], b"CW", b"CWUS\x00"] {
            let stream = UnixStream::connect(rendezvous.path())
                .await
                .expect("connecting to the rendezvous socket failed");
            write_all(&stream, Bytes::copy_from_slice(bytes)).await.expect("writing to the peer failed");
        }
        // The successor does not use a listener on another address.
        let other = TcpListener::bind("127.0.0.1:0").expect("binding a port failed");
        let accept =
            async { hellos.recv().await.expect("no hello arrived").accept(&other, Bytes::new()).await };
        let (contacted, _) = tokio::join!(contact_predecessor(&rendezvous, "n", listen), accept);
        assert!(matches!(contacted, Err(HandoverError::NoListener { .. })));
        let reject =
            async { hellos.recv().await.expect("no hello arrived").reject(RejectReason::Busy).await };
        let (contacted, ()) = tokio::join!(contact_predecessor(&rendezvous, "n", listen), reject);
        assert!(contacted.err().expect("the contact succeeded").is_busy());
        complete_handshake(&mut hellos, &listener, Bytes::new(), &rendezvous).await;
    });
}

#[test]
fn second_process_binds_then_it_is_found_and_the_first_cannot_remove_its_socket() {
    run(ClockMode::Paused, async {
        let NodeFixture { directory: _directory, listener, listen, rendezvous } = NodeFixture::new();
        let found =
            contact_predecessor(&rendezvous, "n", listen).await.expect("contacting the predecessor failed");
        assert!(found.is_none(), "a peer was found without a socket file");
        drop(UnixListener::bind(rendezvous.path()).expect("binding the socket failed"));
        let found =
            contact_predecessor(&rendezvous, "n", listen).await.expect("contacting the predecessor failed");
        assert!(found.is_none(), "a peer was found at a stale socket file");
        let (first, _) = listen_for_successor(&rendezvous);
        let (second, mut hellos) = listen_for_successor(&rendezvous);
        first.close();
        complete_handshake(&mut hellos, &listener, Bytes::new(), &rendezvous).await;
        let mode = fs::symlink_metadata(rendezvous.path()).expect("reading the metadata failed").mode();
        assert_eq!(mode & 0o777, 0o600);
        second.close();
        assert!(!rendezvous.path().exists());
        assert!(
            contact_predecessor(&rendezvous, "n", listen)
                .await
                .expect("contacting the predecessor failed")
                .is_none()
        );
    });
}

#[test]
fn directory_is_missing_then_error_names_it_and_its_long_path_works_once_created() {
    run(ClockMode::Paused, async {
        let NodeFixture { directory, listener, listen, .. } = NodeFixture::new();
        let long_path = directory.path().join("d".repeat(150));
        let rendezvous = Rendezvous::new(&long_path, listen);
        let Err(error) = RendezvousListener::bind(&rendezvous, mpsc::channel(1).0) else {
            panic!("the socket was bound in a missing directory")
        };
        assert!(matches!(error, HandoverError::Rendezvous { .. }) && error.to_string().contains("$TMPDIR"));
        fs::create_dir(&long_path).expect("creating the directory failed");
        let (_rendezvous_listener, mut hellos) = listen_for_successor(&rendezvous);
        complete_handshake(&mut hellos, &listener, Bytes::new(), &rendezvous).await;
    });
}

#[test]
fn start_lock_is_held_then_second_start_waits_until_release_or_timeout() {
    run(ClockMode::Advancing, async {
        let NodeFixture { directory: _directory, rendezvous, .. } = NodeFixture::new();
        let first = rendezvous.lock_start().await.expect("locking the start failed");
        assert!(matches!(rendezvous.lock_start().await, Err(HandoverError::LockTimedOut { .. })));
        let second = spawn_local({
            let rendezvous = rendezvous.clone();
            async move { rendezvous.lock_start().await.is_ok() }
        });
        yield_now().await;
        assert!(!second.is_finished());
        drop(first);
        assert!(second.await.expect("the second start panicked"));
    });
}
