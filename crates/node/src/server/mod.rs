//! HTTP server of the node: jobs of clients, callbacks of workers, readiness for the load balancer, metrics.
//!
//! The server parses, admits and answers requests. Only the dispatch task decides on the outcome of a job,
//! and no job is answered before that task has answered it. Requests that are malformed, that exceed the
//! server's capacity or that arrive after the intake was closed never reach that task.
//!
//! | module | responsibility |
//! | --- | --- |
//! | [`listener`], [`listener_mode`] | accepts connections within the budget, closes idle ones, evicts |
//! | [`connection`] | state of one connection, read filter, lingering close |
//! | [`service`] | runs HTTP on a connection and routes its requests |
//! | [`request`], [`request_body`], [`error`], [`response`] | parsing of requests, building of responses |
//! | [`job_handler`], [`open_job`] | from the request of a job to its response |
//! | [`callback`], [`callback_handler`] | callbacks of workers |
//! | [`migration`], [`migration_record`] | migration of open jobs to and from the peer process of this node |
//! | [`shutdown`] | drains the server and closes its connections |

mod callback;
mod callback_handler;
mod connection;
mod error;
mod job_handler;
mod listener;
mod listener_mode;
mod migration;
mod migration_record;
mod open_job;
mod request;
mod request_body;
mod response;
mod service;
mod shutdown;
mod state;

use std::rc::Rc;

use curlewusher_control::takeover::DescriptorShare;
use tokio::sync::oneshot;

use crate::dispatch::DispatchMessage;

pub use listener::PortSharing;
use listener_mode::ListenerMode;
pub use state::ServerParts;

use state::ServerState;

/// The HTTP server of the node. Clones share the same server.
#[derive(Clone)]
pub struct Server {
    state: Rc<ServerState>,
}

impl Server {
    /// Creates a server that accepts no connections until [`Server::start_accepting`] is called.
    pub fn new(parts: ServerParts) -> Server {
        Server { state: Rc::new(ServerState::new(parts)) }
    }

    /// Starts to accept new connections.
    pub fn start_accepting(&self) {
        self.state.listener_mode.send_replace(ListenerMode::Accepting);
    }

    /// Stops accepting: leaves new connections in the accept queue for the peer process of this node.
    pub fn stop_accepting(&self) {
        self.state.listener_mode.send_replace(ListenerMode::Paused);
    }

    /// Closes the listener. Accepts the connections in the accept queue first, unless they are left for the
    /// peer process.
    pub fn stop_listening(&self) {
        self.state.listener_mode.send_modify(|mode| {
            *mode = match mode {
                ListenerMode::Accepting => ListenerMode::AcceptingBacklog,
                ListenerMode::Paused | ListenerMode::AcceptingBacklog | ListenerMode::Closed => {
                    ListenerMode::Closed
                }
            };
        });
    }

    /// Starts to migrate open jobs to the peer process of this node.
    pub fn start_migration(&self) {
        self.state.migrating.send_replace(true);
    }

    /// Starts no further migrations of open jobs. Migrations in progress continue.
    pub fn stop_migration(&self) {
        self.state.migrating.send_replace(false);
    }

    /// Sets the share of the connection budget that this process may use.
    pub fn set_descriptor_share(&self, share: DescriptorShare) {
        self.state.connection_budget.set_share(share, || listener::evict_connections(&self.state));
    }

    /// Returns whether a job with this id is open.
    pub async fn holds_job(&self, id: String) -> bool {
        let (held_channel, held) = oneshot::channel();
        let query = DispatchMessage::QueryJob { request_id: id, is_open: held_channel };
        self.state.queue.send(query).await.is_ok() && held.await.unwrap_or(false)
    }
}
