//! Tests of the reserved ports of workers.

#[path = "proxy.rs"]
mod proxy;

use super::reserved_port::ReservedPort;

#[tokio::test]
async fn worker_is_down_then_its_port_refuses_connections_and_stays_reserved() {
    let port = ReservedPort::reserve().expect("a port is available");
    for _ in 0..2 {
        let refused =
            tokio::net::TcpStream::connect(port.address).await.expect_err("no listener is at the port");
        assert_eq!(refused.kind(), std::io::ErrorKind::ConnectionRefused);
        assert!(std::net::TcpListener::bind(port.address).is_err(), "the port stays reserved");
        let listener = port.listen().expect("the worker listens at its port");
        let (connected, _) = tokio::join!(tokio::net::TcpStream::connect(port.address), listener.accept());
        assert!(connected.is_ok());
    }
}
