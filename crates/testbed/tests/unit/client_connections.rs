//! Connections of clients, against a server driven by hand.

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket};

use super::*;

fn route(address: SocketAddr, idle_connection: Option<TcpStream>) -> Route {
    Route { node: 0, address, idle_connection }
}

/// A request that is written at once.
fn whole(bytes: &[u8]) -> OutgoingRequest<'_> {
    OutgoingRequest { bytes, split: None }
}

#[tokio::test]
async fn closed_or_reset_connection_then_read_and_unread_requests_are_distinguished() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let connections = ClientConnections::new(1);
    let dropped = async {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut all = [0; 4];
        stream.read_exact(&mut all).await.expect("all of it");
    };
    let (seen, ()) = tokio::join!(connections.send(route(address, None), whole(b"read"), true), dropped);
    assert_eq!(seen, Err(FailureReason::Closed));
    // A queue that ends with what is in it.
    let (seen, ()) = tokio::join!(connections.send(route(address, None), whole(b"unread"), true), async {
        let (stream, _) = listener.accept().await.expect("a connection");
        stream.readable().await.expect("something");
    });
    assert_eq!(seen, Err(FailureReason::Reset));
    drop(listener);
    assert_eq!(
        connections.send(route(address, None), whole(b"none"), true).await,
        Err(FailureReason::Unreachable)
    );
}

#[tokio::test]
async fn node_leaves_connection_open_then_it_is_reused_until_the_node_closes_it() {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.bind("127.0.0.1:0".parse().expect("an address")).expect("a port");
    let listener = socket.listen(8).expect("a port");
    let address = listener.local_addr().expect("an address");
    let connections = ClientConnections::new(1);
    let serve = async {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut all = [0; 3];
        stream.read_exact(&mut all).await.expect("all of it");
        stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi").await.expect("an answer");
        stream
    };
    let (seen, mut server) = tokio::join!(connections.send(route(address, None), whole(b"ask"), true), serve);
    assert_eq!(seen.map(|response| (response.status, response.body)), Ok((200, b"hi".to_vec())));
    assert_eq!(connections.count(0), ConnectionCounts { idle: 1, fresh: 0 });
    let taken = connections.take(0).expect("the same");
    let again = async {
        let mut all = [0; 3];
        server.read_exact(&mut all).await.expect("all of it");
        let end = b"HTTP/1.1 503 No\r\nConnection: close\r\nRetry-After: 1.5\r\nContent-Length: 0\r\n\r\n";
        server.write_all(end).await.expect("an answer");
    };
    let (seen, ()) = tokio::join!(connections.send(route(address, Some(taken)), whole(b"ask"), true), again);
    assert_eq!(seen.map(|response| (response.status, response.retry_after)), Ok((503, Some(1.5))));
    assert_eq!(connections.count(0), ConnectionCounts { idle: 0, fresh: 0 }, "the node asked to close it");
}

#[tokio::test]
async fn node_answers_before_second_part_and_closes_then_response_is_read() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let connections = ClientConnections::new(1);
    let request = OutgoingRequest { bytes: b"firstsecond", split: Some((5, Duration::from_millis(50))) };
    let answer_early = async {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        stream.read_exact(&mut [0; 5]).await.expect("the first part");
        let answer = b"HTTP/1.1 503 No\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
        stream.write_all(answer).await.expect("an answer");
    };
    let (seen, ()) = tokio::join!(connections.send(route(address, None), request, true), answer_early);
    assert_eq!(seen.map(|response| response.status), Ok(503));
}
