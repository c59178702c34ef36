//! Connections of clients, against a server driven by hand.

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket};

use super::*;

fn route(address: SocketAddr, idle_connection: Option<TcpStream>) -> Route {
    Route { node: 0, address, idle_connection }
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
    let (seen, ()) = tokio::join!(connections.send(route(address, None), b"read", true), dropped);
    assert_eq!(seen, Err(FailureReason::Closed));
    // A queue that ends with what is in it.
    let (seen, ()) = tokio::join!(connections.send(route(address, None), b"unread", true), async {
        let (stream, _) = listener.accept().await.expect("a connection");
        stream.readable().await.expect("something");
    });
    assert_eq!(seen, Err(FailureReason::Reset));
    drop(listener);
    assert_eq!(connections.send(route(address, None), b"none", true).await, Err(FailureReason::Unreachable));
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
    let (seen, mut server) = tokio::join!(connections.send(route(address, None), b"ask", true), serve);
    assert_eq!(seen.map(|response| (response.status, response.body)), Ok((200, b"hi".to_vec())));
    assert_eq!(connections.count(0), ConnectionCounts { idle: 1, fresh: 0 });
    let taken = connections.take(0).expect("the same");
    let again = async {
        let mut all = [0; 3];
        server.read_exact(&mut all).await.expect("all of it");
        let end = b"HTTP/1.1 503 No\r\nConnection: close\r\nRetry-After: 1.5\r\nContent-Length: 0\r\n\r\n";
        server.write_all(end).await.expect("an answer");
    };
    let (seen, ()) = tokio::join!(connections.send(route(address, Some(taken)), b"ask", true), again);
    assert_eq!(seen.map(|response| (response.status, response.retry_after)), Ok((503, Some(1.5))));
    assert_eq!(connections.count(0), ConnectionCounts { idle: 0, fresh: 0 }, "the node asked to close it");
}
