//! The client-facing HTTP server: jobs of clients, callbacks of workers, readiness for the load balancer,
//! metrics.
//!
//! The server parses, admits and answers requests. What becomes of a job is decided by the dispatch task
//! alone, and no job is answered before that task has answered it. Requests that are malformed, that exceed
//! the server's capacity or that arrive after the intake was closed never reach that task.
//!
//! | module | job |
//! | --- | --- |
//! | [`listener`], [`listener_mode`] | accepts connections within the budget, closes idle ones, evicts |
//! | [`connection`] | state of one connection, read filter, lingering close |
//! | [`service`] | runs HTTP on a connection and routes its requests |
//! | [`request`], [`request_body`], [`error`], [`response`] | parsing of requests, building of responses |
//! | [`job_handler`], [`open_job`] | from a job's request to its response |
//! | [`callback`], [`callback_handler`] | reports of workers |
//! | [`migration`], [`migration_record`] | open jobs to and from the other process of this node |
//! | [`shutdown`] | drains and closes |

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

/// The client-facing server of the node; a clone is the same server.
#[derive(Clone)]
pub struct Server {
    state: Rc<ServerState>,
}

impl Server {
    /// A server that accepts no connections until [`Server::start_accepting`] is called.
    pub fn new(parts: ServerParts) -> Server {
        Server { state: Rc::new(ServerState::new(parts)) }
    }

    /// Accepts new connections from now on.
    pub fn start_accepting(&self) {
        self.state.listener_mode.send_replace(ListenerMode::Accepting);
    }

    /// Leaves new connections in the queue of the listener for the other process of this node.
    pub fn stop_accepting(&self) {
        self.state.listener_mode.send_replace(ListenerMode::Paused);
    }

    /// Accepts what waits at the listener, unless it is left for the other process, and closes the listener.
    pub fn stop_listening(&self) {
        self.state.listener_mode.send_modify(|mode| {
            *mode = match mode {
                ListenerMode::Accepting => ListenerMode::AcceptingRest,
                ListenerMode::Paused | ListenerMode::AcceptingRest | ListenerMode::Closed => {
                    ListenerMode::Closed
                }
            };
        });
    }

    /// Has open jobs migrate to the other process of this node.
    pub fn start_migration(&self) {
        self.state.migrating.send_replace(true);
    }

    /// Begins no further migration of an open job.
    pub fn stop_migration(&self) {
        self.state.migrating.send_replace(false);
    }

    /// Uses this share of the connection budget.
    pub fn set_descriptor_share(&self, share: DescriptorShare) {
        self.state.connection_budget.set_share(share, || listener::evict_connections(&self.state));
    }

    /// Whether a job of that id is open.
    pub async fn holds_job(&self, id: String) -> bool {
        let (held_channel, held) = oneshot::channel();
        let query = DispatchMessage::QueryJob { request_id: id, held: held_channel };
        self.state.queue.send(query).await.is_ok() && held.await.unwrap_or(false)
    }
}
