//! A proxy forwards what it is given, and each fault reaches a small pair of programs.

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::proxy::{LinkState, Proxy};

/// A connection through a proxy, with both of its ends.
async fn connect(state: &watch::Sender<LinkState>) -> (TcpStream, TcpStream, Proxy) {
    let server = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let target = server.local_addr().expect("an address");
    let proxy = Proxy::start(target, state.subscribe()).await.expect("it starts");
    let client = TcpStream::connect(proxy.address).await.expect("it listens");
    let (accepted, _) = server.accept().await.expect("it connects");
    (client, accepted, proxy)
}

async fn pass(from: &mut TcpStream, to: &mut TcpStream) {
    let mut received = [0; 20];
    from.write_all(b"twenty bytes of text").await.expect("it is open");
    to.read_exact(&mut received).await.expect("they arrive");
    assert_eq!(&received, b"twenty bytes of text");
}

#[tokio::test]
async fn link_forwards_complete_or_in_pieces_then_bytes_arrive_unchanged_in_both_directions() {
    let state = watch::Sender::new(LinkState::default());
    let (mut client, mut server, _proxy) = connect(&state).await;
    for in_pieces in [false, true] {
        state.send_modify(|link| link.in_pieces = in_pieces);
        pass(&mut client, &mut server).await;
        pass(&mut server, &mut client).await;
    }
    drop(server);
    assert_eq!(client.read(&mut [0; 1]).await.ok(), Some(0), "an end is no reset");
}

#[tokio::test]
async fn link_is_cut_then_nothing_arrives_and_its_end_resets_the_connection() {
    let state = watch::Sender::new(LinkState::default());
    let (mut client, mut server, _proxy) = connect(&state).await;
    pass(&mut client, &mut server).await;
    state.send_modify(|link| link.is_cut = true);
    server.write_all(b"lost").await.expect("a cut does not show at its ends");
    state.send_modify(LinkState::heal);
    let error = client.read(&mut [0; 1]).await.expect_err("it is reset, and nothing came before");
    assert_eq!(error.kind(), std::io::ErrorKind::ConnectionReset);
}
