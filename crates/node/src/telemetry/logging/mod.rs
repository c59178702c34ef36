//! The log on standard error. Writing a line never blocks: lines go through a bounded queue to a thread of their own,
//! and one that finds the queue full is dropped. Lines above the rate limit of their target are dropped too. Both are
//! counted.

mod line_filter;
mod rate_limiter;

use std::io::Write;
use std::sync::Arc;

use curlewusher_settings::operator::{LogFormat, LogOptions, LogTarget};
use thiserror::Error;
use tracing_appender::non_blocking::{NonBlocking, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::{SubscriberInitExt, TryInitError};
use tracing_subscriber::{Layer, fmt};

use self::line_filter::{LineFilter, SharedLineFilter};

/// Target of startup, phases, reloads and shutdown.
pub const NODE: &str = LogTarget::Node.name();
/// Target of jobs and their attempts.
pub const DISPATCH: &str = LogTarget::Dispatch.name();
/// Target of client connections, requests and callbacks.
pub const SERVER: &str = LogTarget::Server.name();
/// Target of connections to workers.
pub const UPSTREAM: &str = LogTarget::Upstream.name();
/// Target of the endpoint watch.
pub const DISCOVERY: &str = LogTarget::Discovery.name();

/// Why the log cannot be written.
#[derive(Debug, Error)]
pub enum LoggingError {
    /// The process has a log already.
    #[error("the log does not start: {0}")]
    Subscriber(#[from] TryInitError),
}

/// Lines that have been dropped since the start, by reason.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DroppedLines {
    /// A target wrote more lines than its rate limit allows.
    pub rate_limited: u64,
    /// The queue was full because standard error did not take lines fast enough.
    pub queue_full: u64,
}

/// The log of the process. When dropped it writes what is queued, for a second at most.
pub struct Logging {
    filter: Arc<LineFilter>,
    format: LogFormat,
    queue: NonBlocking,
    _writer: WorkerGuard,
}

impl Logging {
    /// Starts to write to standard error. Fails in a process that has a log already.
    pub fn start(options: &LogOptions) -> Result<Self, LoggingError> {
        let (queue, writer) = NonBlockingBuilder::default()
            .lossy(true)
            .buffered_lines_limit(options.max_queued_lines.get() as usize)
            .thread_name("log")
            .finish(std::io::stderr());
        let filter = Arc::new(LineFilter::new(options));
        let lines = fmt::layer().with_ansi(false).with_writer(queue.clone());
        let lines = match options.format {
            LogFormat::Text => lines.boxed(),
            LogFormat::Json => lines.json().flatten_event(true).boxed(),
        };
        let lines = lines.with_filter(SharedLineFilter(filter.clone()));
        tracing_subscriber::registry().with(lines).try_init()?;
        Ok(Logging { filter, format: options.format, queue, _writer: writer })
    }

    /// Applies the options that can change while the node runs.
    pub fn apply(&self, options: &LogOptions) {
        self.filter.apply(options);
        tracing::callsite::rebuild_interest_cache();
    }

    /// A function that counts the lines dropped so far.
    pub fn dropped_lines(&self) -> impl Fn() -> DroppedLines + Send + Sync + 'static {
        let (filter, queue_errors) = (self.filter.clone(), self.queue.error_counter());
        move || DroppedLines {
            rate_limited: filter.rate_limited(),
            queue_full: queue_errors.dropped_lines() as u64,
        }
    }

    /// Writes the final metrics: as they are in the text format, as one object in the JSON format.
    pub fn write_final_metrics(&self, metrics: &str) {
        let lines = match self.format {
            LogFormat::Text => metrics.to_owned(),
            LogFormat::Json => {
                serde_json::json!({"target": NODE, "message": "final metrics", "figures": metrics})
                    .to_string()
                    + "\n"
            }
        };
        // The queue may be full; at this point of the exit nothing can handle that.
        let _ = self.queue.clone().write(lines.as_bytes());
    }
}
