//! What the operating system has received for a node that does not read, from its table of TCP connections.
//!
//! A test that has the node find several events at once waits here until each has arrived: the order in which the system
//! delivers the bytes of different connections is otherwise open on a busy machine.

use std::collections::HashMap;
use std::net::{SocketAddr, TcpStream};

use super::wait_until;

/// The state `CLOSE_WAIT` of the table: the peer has closed the connection, and this end has not.
const CLOSE_WAIT: &str = "08";

/// Waits until bytes of each of these clients have arrived that the node has not read.
pub fn wait_for_unread_bytes<'a>(clients: impl IntoIterator<Item = &'a TcpStream>) {
    let connections: Vec<_> = clients.into_iter().map(node_end).collect();
    wait_until("bytes do not arrive at the node", || {
        let table = read_table();
        let has_unread_bytes = |(_, queues): &(String, String)| !queues.ends_with(":00000000");
        connections.iter().all(|connection| table.get(connection).is_some_and(has_unread_bytes))
    });
}

/// Closes this client's connection and waits until the close has arrived at the node.
pub fn close_and_wait_for_arrival(client: TcpStream) {
    let connection = node_end(&client);
    drop(client);
    wait_until("the close does not arrive at the node", || {
        read_table().get(&connection).is_some_and(|(state, _)| state == CLOSE_WAIT)
    });
}

/// State and queues of each connection, by the local and the remote address.
fn read_table() -> HashMap<[String; 2], (String, String)> {
    let table = std::fs::read_to_string("/proc/net/tcp").expect("the system's table");
    let parse = |line: &str| {
        let mut fields = line.split_whitespace().skip(1).map(str::to_owned);
        Some(([fields.next()?, fields.next()?], (fields.next()?, fields.next()?)))
    };
    table.lines().filter_map(parse).collect()
}

/// The addresses of a client's connection as the table lists them for the node's end.
fn node_end(client: &TcpStream) -> [String; 2] {
    [client.peer_addr(), client.local_addr()].map(|address| {
        let SocketAddr::V4(address) = address.expect("an address") else { panic!("not in this table") };
        format!("{:08X}:{:04X}", u32::from_ne_bytes(address.ip().octets()), address.port())
    })
}
