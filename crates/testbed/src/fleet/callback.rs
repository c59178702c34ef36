//! Callbacks of workers to the nodes that sent the attempts.

use std::fmt;
use std::time::Duration;

use bytes::Bytes;
use curlewusher_model::worker_pool::WorkerIndex;
use http_body_util::{BodyExt, Full};
use hyper::{Request, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::time::{sleep, timeout};

use super::endpoint_encoder::worker_name;
use super::node_addresses::NodeAddresses;

/// Maximum number of times that a callback is sent.
const MAX_DELIVERIES: usize = 10;
/// Delay between a failed delivery of a callback and the next one.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Timeout of one delivery of a callback.
const DELIVERY_TIMEOUT: Duration = Duration::from_secs(1);

/// Report of a worker on an attempt.
pub(super) struct Callback {
    pub(super) request_id: String,
    pub(super) worker: WorkerIndex,
    pub(super) report: AttemptReport,
}

/// State of an attempt in a callback.
pub(super) enum AttemptReport {
    /// The job has started to run.
    Started,
    /// The job is running.
    Running {
        /// Fraction of the job that has run.
        fraction: f64,
    },
    /// The job has completed.
    Done {
        /// Result of the job.
        result: String,
    },
    /// A draining worker returned the job, which has not run.
    Returned,
    /// The worker's process exited before it completed the job. The agent on the worker's machine sends this
    /// report.
    Lost,
}

impl fmt::Display for AttemptReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            AttemptReport::Started => f.write_str(r#""state":"started""#),
            AttemptReport::Running { fraction } => write!(f, r#""state":"running","share":{fraction:.3}"#),
            AttemptReport::Done { result } => write!(f, r#""state":"done","result":"{result}""#),
            AttemptReport::Returned => f.write_str(r#""state":"returned""#),
            AttemptReport::Lost => f.write_str(r#""state":"lost""#),
        }
    }
}

/// Writes the JSON form of a callback. The order of the fields is fixed.
impl fmt::Display for Callback {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Callback { request_id, worker, report } = self;
        let from = worker_name(*worker);
        write!(f, r#"{{"id":"{request_id}","from":"{from}",{report}}}"#)
    }
}

/// HTTP client that delivers callbacks to nodes.
#[derive(Clone)]
pub(super) struct CallbackDelivery {
    client: Client<HttpConnector, Full<Bytes>>,
    nodes: NodeAddresses,
}

impl CallbackDelivery {
    /// Creates a client that delivers callbacks to the nodes at the given addresses.
    pub(super) fn new(nodes: NodeAddresses) -> Self {
        let client = Client::builder(TokioExecutor::new()).build(HttpConnector::new());
        CallbackDelivery { client, nodes }
    }

    /// Opens a queue for the callbacks of one attempt to a node. Each callback is sent after the previous one
    /// was acknowledged or its last delivery has failed.
    pub(super) fn open_queue(&self, node: usize) -> UnboundedSender<Callback> {
        let (queue, callbacks) = unbounded_channel();
        tokio::spawn(self.clone().deliver_all(node, callbacks));
        queue
    }

    async fn deliver_all(self, node: usize, mut callbacks: UnboundedReceiver<Callback>) {
        while let Some(callback) = callbacks.recv().await {
            self.deliver(node, Bytes::from(callback.to_string())).await;
        }
    }

    /// Sends a callback until the node acknowledges it or the last delivery has failed.
    async fn deliver(&self, node: usize, body: Bytes) {
        for _ in 0..MAX_DELIVERIES {
            let delivery = self.try_deliver(node, body.clone());
            if timeout(DELIVERY_TIMEOUT, delivery).await == Ok(true) {
                return;
            }
            sleep(RETRY_DELAY).await;
        }
    }

    /// Sends a callback once. Returns whether the node acknowledged it.
    async fn try_deliver(&self, node: usize, body: Bytes) -> bool {
        let Some(address) = self.nodes.get(node) else { return false };
        let request = Request::post(format!("http://{address}/callback")).body(Full::new(body));
        let Ok(request) = request else { return false };
        let Ok(response) = self.client.request(request).await else { return false };
        let is_acknowledged = matches!(response.status(), StatusCode::OK | StatusCode::NO_CONTENT);
        // The body has no meaning. It is read to its end so that the connection can be reused.
        let _ = response.into_body().collect().await;
        is_acknowledged
    }
}
