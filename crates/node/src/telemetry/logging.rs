//! Owns what the node writes to standard error: form, levels by part, bounds, and the count of what was dropped. It
//! must never make its caller wait: lines go to a thread of their own, and one that finds no room is dropped.

use std::io::Write;
use std::sync::atomic::{AtomicU8, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

use curlewusher_settings::operator::{LogFormat, LogLevel, LogOptions, LogTarget};
use tracing::level_filters::LevelFilter;
use tracing::subscriber::Interest;
use tracing::{Event, Metadata, Subscriber};
use tracing_appender::non_blocking::{ErrorCounter, NonBlocking, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::layer::{Context, Filter, SubscriberExt};
use tracing_subscriber::util::SubscriberInitExt;
use tracing_subscriber::{Layer, fmt};

/// Targets of the parts that write lines; see [`LogTarget::ALL`].
pub const NODE: &str = "node";
pub const DISPATCH: &str = "dispatch";
pub const SERVER: &str = "sender_side";
pub const UPSTREAM: &str = "next_hop";
pub const DISCOVERY: &str = "transport_map";

const PARTS: usize = LogTarget::ALL.len();

/// Lets a part write so many lines at once, and as many again in each second.
struct Bucket {
    lines: f64,
    filled: Instant,
}

/// Which lines pass.
struct Gate {
    levels: [AtomicU8; PARTS],
    lines_per_s: AtomicU64,
    buckets: Mutex<[Bucket; PARTS]>,
    flooded: AtomicU64,
}

fn rank(level: LogLevel) -> u8 {
    level as u8
}

fn filter_of(rank: u8) -> LevelFilter {
    match rank {
        0 => LevelFilter::OFF,
        1 => LevelFilter::ERROR,
        2 => LevelFilter::WARN,
        3 => LevelFilter::INFO,
        4 => LevelFilter::DEBUG,
        _ => LevelFilter::TRACE,
    }
}

impl Gate {
    fn new(log: &LogOptions) -> Self {
        let lines = log.lines_per_s.get() as f64;
        let gate = Gate {
            levels: Default::default(),
            lines_per_s: AtomicU64::new(0),
            buckets: Mutex::new(std::array::from_fn(|_| Bucket { lines, filled: Instant::now() })),
            flooded: AtomicU64::new(0),
        };
        gate.apply(log);
        gate
    }

    fn apply(&self, log: &LogOptions) {
        for (level, (part, _)) in self.levels.iter().zip(LogTarget::ALL) {
            level.store(rank(log.level_of(part)), Ordering::Relaxed);
        }
        self.lines_per_s.store(log.lines_per_s.get(), Ordering::Relaxed);
    }

    /// Lines of other crates have no part and do not pass.
    fn part(target: &str) -> Option<usize> {
        LogTarget::ALL.iter().position(|(_, name)| *name == target)
    }

    fn admits(&self, part: usize, now: Instant) -> bool {
        let most = self.lines_per_s.load(Ordering::Relaxed) as f64;
        let mut buckets = self.buckets.lock().unwrap_or_else(PoisonError::into_inner);
        let bucket = &mut buckets[part];
        let since = now.saturating_duration_since(bucket.filled).as_secs_f64();
        bucket.lines = (bucket.lines + since * most).min(most);
        bucket.filled = now;
        if bucket.lines < 1.0 {
            self.flooded.fetch_add(1, Ordering::Relaxed);
            return false;
        }
        bucket.lines -= 1.0;
        true
    }
}

struct Gated(Arc<Gate>);

impl<S: Subscriber> Filter<S> for Gated {
    fn enabled(&self, line: &Metadata<'_>, _: &Context<'_, S>) -> bool {
        Gate::part(line.target())
            .is_some_and(|part| *line.level() <= filter_of(self.0.levels[part].load(Ordering::Relaxed)))
    }

    fn callsite_enabled(&self, line: &'static Metadata<'static>) -> Interest {
        if Gate::part(line.target()).is_some() { Interest::sometimes() } else { Interest::never() }
    }

    fn event_enabled(&self, line: &Event<'_>, _: &Context<'_, S>) -> bool {
        Gate::part(line.metadata().target()).is_some_and(|part| self.0.admits(part, Instant::now()))
    }

    fn max_level_hint(&self) -> Option<LevelFilter> {
        let most = self.0.levels.iter().map(|level| level.load(Ordering::Relaxed)).max();
        most.map(filter_of)
    }
}

/// The log of the process. Dropped, it writes out what waits, for a second at most.
pub struct Logging {
    gate: Arc<Gate>,
    format: LogFormat,
    out: NonBlocking,
    stalled: ErrorCounter,
    _writer: WorkerGuard,
}

impl Logging {
    /// Begins to write to standard error. To be called once.
    pub fn start(log: &LogOptions) -> Result<Self, String> {
        let (out, writer) = NonBlockingBuilder::default()
            .lossy(true)
            .buffered_lines_limit(log.max_queued_lines.get() as usize)
            .thread_name("log")
            .finish(std::io::stderr());
        let gate = Arc::new(Gate::new(log));
        let lines = fmt::layer().with_ansi(false).with_writer(out.clone());
        let lines = match log.format {
            LogFormat::Text => lines.boxed(),
            LogFormat::Json => lines.json().flatten_event(true).boxed(),
        };
        tracing_subscriber::registry()
            .with(lines.with_filter(Gated(gate.clone())))
            .try_init()
            .map_err(|e| format!("the log does not start: {e}"))?;
        Ok(Logging { gate, format: log.format, stalled: out.error_counter(), out, _writer: writer })
    }

    /// Takes up the fields that count at once.
    pub fn apply(&self, log: &LogOptions) {
        self.gate.apply(log);
        tracing::callsite::rebuild_interest_cache();
    }

    /// Lines dropped so far: because a part wrote too many, and because standard error took none.
    pub fn dropped(&self) -> impl Fn() -> [u64; 2] + Send + Sync + 'static {
        let (gate, stalled) = (self.gate.clone(), self.stalled.clone());
        move || [gate.flooded.load(Ordering::Relaxed), stalled.dropped_lines() as u64]
    }

    /// Writes the last figures: as they are for people, in one object for machines.
    pub fn figures(&self, text: &str) {
        let lines = match self.format {
            LogFormat::Text => text.to_owned(),
            LogFormat::Json => {
                serde_json::json!({"target": NODE, "message": "ends", "figures": text}).to_string() + "\n"
            }
        };
        let _ = self.out.clone().write(lines.as_bytes());
    }
}

#[cfg(test)]
mod tests {
    use std::time::Duration;

    use super::*;

    #[test]
    fn a_flood_of_one_part_is_bounded_counted_and_leaves_the_others_alone() {
        let log = LogOptions {
            lines_per_s: curlewusher_settings::operator::BoundedInteger::new(10),
            ..LogOptions::default()
        };
        let gate = Gate::new(&log);
        let start = Instant::now();
        let passed = |part, at| (0..100).filter(|_| gate.admits(part, at)).count();
        assert_eq!(passed(0, start), 10);
        assert_eq!(passed(1, start), 10, "another part has its own bound");
        assert_eq!(passed(0, start + Duration::from_millis(500)), 5);
        assert_eq!(passed(0, start + Duration::from_secs(60)), 10, "what was not used does not add up");
        assert_eq!(gate.flooded.load(Ordering::Relaxed), 90 + 90 + 95 + 90);
    }
}
