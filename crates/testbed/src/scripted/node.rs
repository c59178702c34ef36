//! The state of a scripted node's process.

use bytes::Bytes;
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use tokio::sync::watch;

use super::flaw::Flaw;
use super::pending_attempts::PendingAttempts;
use super::shared_folder::SharedFolder;
use super::worker_list::WorkerList;

/// A scripted node's process.
pub(super) struct ScriptedNode {
    pub(super) flaw: Flaw,
    pub(super) workers: WorkerList,
    pub(super) pending: PendingAttempts,
    /// Whether clients have to close their connections.
    pub(super) closes_connections: watch::Sender<bool>,
    pub(super) shared: SharedFolder,
    pub(super) client: Client<HttpConnector, Full<Bytes>>,
}

impl ScriptedNode {
    /// A process without an endpoint list.
    pub(super) fn new(flaw: Flaw) -> Self {
        ScriptedNode {
            flaw,
            workers: WorkerList::new(flaw),
            pending: PendingAttempts::default(),
            closes_connections: watch::Sender::new(false),
            shared: SharedFolder::of_process(),
            client: Client::builder(TokioExecutor::new()).build(HttpConnector::new()),
        }
    }
}
