//! State of a scripted node's process.

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

/// State of a scripted node's process.
pub(super) struct ScriptedNode {
    /// Rule that the node breaks.
    pub(super) flaw: Flaw,
    /// Workers in service.
    pub(super) workers: WorkerList,
    /// Attempts whose outcome is awaited.
    pub(super) pending: PendingAttempts,
    /// Whether the node closes clients' connections.
    pub(super) closes_connections: watch::Sender<bool>,
    /// State that the processes of the node share.
    pub(super) shared: SharedFolder,
    /// HTTP client for requests to workers, discovery and the peer.
    pub(super) client: Client<HttpConnector, Full<Bytes>>,
}

impl ScriptedNode {
    /// Creates the state of a process without an endpoint list.
    pub(super) fn new(flaw: Flaw) -> Self {
        ScriptedNode {
            flaw,
            workers: WorkerList::new(flaw),
            pending: PendingAttempts::default(),
            closes_connections: watch::Sender::new(false),
            shared: SharedFolder::of_current_process(),
            client: Client::builder(TokioExecutor::new()).build(HttpConnector::new()),
        }
    }
}
