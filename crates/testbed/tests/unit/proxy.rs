//! Forwarding by a proxy, and the effect of link faults on both ends of a connection.

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::proxy::{LinkState, Proxy};

/// Opens a connection through a new proxy. Returns its client end, its server end and the proxy.
async fn connect(state: &watch::Sender<LinkState>) -> (TcpStream, TcpStream, Proxy) {
    let server = TcpListener::bind("127.0.0.1:0").await.expect("a port is available");
    let target = server.local_addr().expect("the listener has an address");
    let proxy = Proxy::start(target, state.subscribe()).await.expect("the proxy starts");
    let client = TcpStream::connect(proxy.address).await.expect("the proxy listens");
    let (accepted, _) = server.accept().await.expect("the proxy connects to the server");
    (client, accepted, proxy)
}

/// Sends 20 bytes from one end and asserts that the other end receives them unchanged.
async fn assert_forwarded(from: &mut TcpStream, to: &mut TcpStream) {
    let mut received = [0; 20];
    from.write_all(b"twenty bytes of text").await.expect("the connection is open");
    to.read_exact(&mut received).await.expect("all bytes arrive");
    assert_eq!(&received, b"twenty bytes of text");
}

#[tokio::test]
async fn link_forwards_whole_or_fragmented_data_then_bytes_arrive_unchanged_in_both_directions() {
    let state = watch::Sender::new(LinkState::default());
    let (mut client, mut server, _proxy) = connect(&state).await;
    for is_fragmented in [false, true] {
        state.send_modify(|link| link.is_fragmented = is_fragmented);
        assert_forwarded(&mut client, &mut server).await;
        assert_forwarded(&mut server, &mut client).await;
    }
    drop(server);
    assert_eq!(client.read(&mut [0; 1]).await.ok(), Some(0), "the connection closes without a reset");
}

#[tokio::test]
async fn link_is_cut_then_nothing_arrives_and_healing_resets_the_connection() {
    let state = watch::Sender::new(LinkState::default());
    let (mut client, mut server, _proxy) = connect(&state).await;
    assert_forwarded(&mut client, &mut server).await;
    state.send_modify(|link| link.is_cut = true);
    server.write_all(b"lost").await.expect("writes succeed during a cut");
    state.send_modify(LinkState::heal);
    let error = client.read(&mut [0; 1]).await.expect_err("the connection is reset before any byte arrives");
    assert_eq!(error.kind(), std::io::ErrorKind::ConnectionReset);
}
