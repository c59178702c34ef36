//! Tests of the clients' connections against a server whose steps each test performs itself.

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket};

use super::*;

fn route(address: SocketAddr, idle_connection: Option<TcpStream>) -> Route {
    Route { node: 0, address, idle_connection }
}

/// Returns a request that is written in one part.
fn unsplit(bytes: &[u8]) -> OutgoingRequest<'_> {
    OutgoingRequest { bytes, pattern: WritePattern::AtOnce }
}

#[tokio::test]
async fn closed_or_reset_connection_then_read_and_unread_requests_are_distinguished() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is available");
    let address = listener.local_addr().expect("the listener has an address");
    let connections = ClientConnections::new(1);
    let read_then_close = async {
        let (mut stream, _) = listener.accept().await.expect("the client connects");
        let mut request = [0; 4];
        stream.read_exact(&mut request).await.expect("the whole request arrives");
    };
    let (result, ()) =
        tokio::join!(connections.send(route(address, None), unsplit(b"read"), true), read_then_close);
    assert_eq!(result, Err(FailureReason::Closed));
    // The server closes the connection with unread bytes, which resets it.
    let (result, ()) =
        tokio::join!(connections.send(route(address, None), unsplit(b"unread"), true), async {
            let (stream, _) = listener.accept().await.expect("the client connects");
            stream.readable().await.expect("the request arrives");
        });
    assert_eq!(result, Err(FailureReason::Reset));
    drop(listener);
    assert_eq!(
        connections.send(route(address, None), unsplit(b"none"), true).await,
        Err(FailureReason::Unreachable)
    );
}

#[tokio::test]
async fn node_leaves_connection_open_then_it_is_reused_until_the_node_closes_it() {
    let socket = TcpSocket::new_v4().expect("a socket can be created");
    socket.bind("127.0.0.1:0".parse().expect("the address is valid")).expect("a port is available");
    let listener = socket.listen(8).expect("the socket can listen");
    let address = listener.local_addr().expect("the listener has an address");
    let connections = ClientConnections::new(1);
    let serve = async {
        let (mut stream, _) = listener.accept().await.expect("the client connects");
        let mut request = [0; 3];
        stream.read_exact(&mut request).await.expect("the whole request arrives");
        stream
            .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi")
            .await
            .expect("the response is written");
        stream
    };
    let (result, mut server) =
        tokio::join!(connections.send(route(address, None), unsplit(b"ask"), true), serve);
    assert_eq!(result.map(|response| (response.status, response.body)), Ok((200, b"hi".to_vec())));
    assert_eq!(connections.count(0), ConnectionCounts { idle: 1, fresh: 0 });
    let taken = connections.take_idle(0).expect("a connection is idle");
    let serve_again = async {
        let mut request = [0; 3];
        server.read_exact(&mut request).await.expect("the whole request arrives");
        let closing_response =
            b"HTTP/1.1 503 No\r\nConnection: close\r\nRetry-After: 1.5\r\nContent-Length: 0\r\n\r\n";
        server.write_all(closing_response).await.expect("the response is written");
    };
    let (result, ()) =
        tokio::join!(connections.send(route(address, Some(taken)), unsplit(b"ask"), true), serve_again);
    assert_eq!(result.map(|response| (response.status, response.retry_after)), Ok((503, Some(1.5))));
    assert_eq!(
        connections.count(0),
        ConnectionCounts { idle: 0, fresh: 0 },
        "the response has `Connection: close`"
    );
}

#[tokio::test]
async fn node_responds_before_second_part_and_closes_then_response_is_read() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is available");
    let address = listener.local_addr().expect("the listener has an address");
    let connections = ClientConnections::new(1);
    let pattern = WritePattern::TwoParts { first_bytes: 5, pause: Duration::from_millis(50) };
    let request = OutgoingRequest { bytes: b"firstsecond", pattern };
    let respond_early = async {
        let (mut stream, _) = listener.accept().await.expect("the client connects");
        stream.read_exact(&mut [0; 5]).await.expect("the first part arrives");
        let response = b"HTTP/1.1 503 No\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
        stream.write_all(response).await.expect("the response is written");
    };
    let (result, ()) = tokio::join!(connections.send(route(address, None), request, true), respond_early);
    assert_eq!(result.map(|response| response.status), Ok(503));
}
