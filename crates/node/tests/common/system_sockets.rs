//! What the operating system has received for a node that does not read, from its table of TCP connections.
//!
//! A test that has the node find several events at once waits here until each has arrived: the order in which the system
//! delivers the bytes of different connections is otherwise open on a busy machine.

use std::net::{SocketAddr, TcpStream};

use super::wait_until;

/// The state `CLOSE_WAIT` of the table: the peer has closed the connection, and this end has not.
const CLOSE_WAIT: &str = "08";

/// Waits until bytes of each of these clients have arrived that the node has not read.
pub fn wait_for_unread_bytes<'a>(clients: impl IntoIterator<Item = &'a TcpStream>) {
    let connections: Vec<_> = clients.into_iter().map(connection_in_table).collect();
    wait_until("bytes do not arrive at the node", || {
        let table = read_table();
        let has_unread_bytes = |fields: (&str, &str)| !fields.1.ends_with(":00000000");
        connections.iter().all(|connection| node_end(&table, connection).is_some_and(has_unread_bytes))
    });
}

/// Closes this client's connection and waits until the close has arrived at the node.
pub fn close_and_wait_for_arrival(client: TcpStream) {
    let connection = connection_in_table(&client);
    drop(client);
    wait_until("the close does not arrive at the node", || {
        node_end(&read_table(), &connection).is_some_and(|(state, _)| state == CLOSE_WAIT)
    });
}

fn read_table() -> String {
    std::fs::read_to_string("/proc/net/tcp").expect("the system's table")
}

/// State and queues of the node's end of a connection.
fn node_end<'a>(table: &'a str, connection: &str) -> Option<(&'a str, &'a str)> {
    let mut fields = table.split_once(connection)?.1.split(' ');
    Some((fields.next()?, fields.next()?))
}

/// The addresses of a connection of that client as the table lists them for the node's end.
fn connection_in_table(client: &TcpStream) -> String {
    let node = client.peer_addr().expect("an address");
    let client = client.local_addr().expect("an address");
    format!("{} {} ", table_address(node), table_address(client))
}

fn table_address(address: SocketAddr) -> String {
    let SocketAddr::V4(address) = address else { panic!("{address} is not in this table") };
    format!("{:08X}:{:04X}", u32::from_ne_bytes(address.ip().octets()), address.port())
}
