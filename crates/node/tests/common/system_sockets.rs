//! State of a node's connections in the operating system's table of TCP connections, for a node that does not
//! read.
//!
//! A test in which the node must find several events at once waits here until each event has arrived.
//! Otherwise the order in which the system delivers the bytes of different connections is undefined on a busy
//! machine.

use std::collections::HashMap;
use std::net::{SocketAddr, TcpStream};

use super::wait_until;

/// State `CLOSE_WAIT` of the table: the remote end has closed the connection, and the local end has not.
const CLOSE_WAIT: &str = "08";

/// Waits until each of these clients has bytes that have arrived at the node and that the node has not read.
pub fn wait_for_unread_bytes<'a>(clients: impl IntoIterator<Item = &'a TcpStream>) {
    let connections: Vec<_> = clients.into_iter().map(node_end_addresses).collect();
    wait_until("unread bytes of each client have not arrived at the node", || {
        let table = read_connection_table();
        let has_unread_bytes = |(_, queues): &(String, String)| !queues.ends_with(":00000000");
        connections.iter().all(|connection| table.get(connection).is_some_and(has_unread_bytes))
    });
}

/// Closes this client's connection and waits until the close has arrived at the node.
pub fn close_and_wait_for_arrival(client: TcpStream) {
    let connection = node_end_addresses(&client);
    drop(client);
    wait_until("the close has not arrived at the node", || {
        read_connection_table().get(&connection).is_some_and(|(state, _)| state == CLOSE_WAIT)
    });
}

/// Returns the state and the queues of each connection, keyed by the local and the remote address.
fn read_connection_table() -> HashMap<[String; 2], (String, String)> {
    let table = std::fs::read_to_string("/proc/net/tcp").expect("reading the connection table failed");
    let parse = |line: &str| {
        let mut fields = line.split_whitespace().skip(1).map(str::to_owned);
        Some(([fields.next()?, fields.next()?], (fields.next()?, fields.next()?)))
    };
    table.lines().filter_map(parse).collect()
}

/// Returns the addresses of a client's connection as the table lists them for the node's end.
fn node_end_addresses(client: &TcpStream) -> [String; 2] {
    [client.peer_addr(), client.local_addr()].map(|address| {
        let SocketAddr::V4(address) = address.expect("the socket has no address") else {
            panic!("the table lists no IPv6 connections")
        };
        format!("{:08X}:{:04X}", u32::from_ne_bytes(address.ip().octets()), address.port())
    })
}
