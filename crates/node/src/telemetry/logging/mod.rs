//! Log on standard error. Writing a line never blocks: lines go through a bounded queue to a separate thread.
//! A line is dropped if the queue is full or if the line exceeds the rate limit of its target. Both kinds of
//! dropped lines are counted.

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

/// Errors of [`Logging::start`].
#[derive(Debug, Error)]
pub enum LoggingError {
    /// The process already has a log.
    #[error("the log does not start: {0}")]
    Subscriber(#[from] TryInitError),
}

/// Numbers of lines dropped since the start, by reason.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DroppedLines {
    /// Lines dropped because their target exceeded its rate limit.
    pub rate_limited: u64,
    /// Lines dropped because the queue was full: standard error did not accept lines fast enough.
    pub queue_full: u64,
}

/// Log of the process. When dropped, it writes the queued lines, for one second at most.
pub struct Logging {
    filter: Arc<LineFilter>,
    format: LogFormat,
    queue: NonBlocking,
    _writer: WorkerGuard,
}

impl Logging {
    /// Starts to write to standard error. Fails if the process already has a log.
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

    /// Returns a function that returns the numbers of lines dropped so far.
    pub fn dropped_lines(&self) -> impl Fn() -> DroppedLines + Send + Sync + 'static {
        let (filter, queue_errors) = (self.filter.clone(), self.queue.error_counter());
        move || DroppedLines {
            rate_limited: filter.rate_limited(),
            queue_full: queue_errors.dropped_lines() as u64,
        }
    }

    /// Writes the final metrics: unchanged in the text format, as one object in the JSON format.
    pub fn write_final_metrics(&self, metrics: &str) {
        let lines = match self.format {
            LogFormat::Text => metrics.to_owned(),
            LogFormat::Json => {
                serde_json::json!({"target": NODE, "message": "final metrics", "figures": metrics})
                    .to_string()
                    + "\n"
            }
        };
        // The queue may be full. At this point of the exit, the error cannot be handled.
        let _ = self.queue.clone().write(lines.as_bytes());
    }
}
