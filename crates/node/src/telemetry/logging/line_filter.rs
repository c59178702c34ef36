//! Filter of the log lines: a level for each target, and a rate limit that applies to each target separately.
//! Both can change while lines are written.

use std::sync::atomic::{AtomicU8, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

use curlewusher_settings::operator::{LogLevel, LogOptions, LogTarget};
use tracing::level_filters::LevelFilter;
use tracing::subscriber::Interest;
use tracing::{Event, Metadata, Subscriber};
use tracing_subscriber::layer::{Context, Filter};

use super::rate_limiter::RateLimiter;

const TARGET_COUNT: usize = LogTarget::ALL.len();

/// Least severe level that is written, shared between threads.
#[derive(Default)]
struct AtomicLevel(AtomicU8);

impl AtomicLevel {
    fn store(&self, level: LogLevel) {
        self.0.store(level as u8, Ordering::Relaxed);
    }

    fn load(&self) -> LevelFilter {
        const LEVELS: [(LogLevel, LevelFilter); 6] = [
            (LogLevel::Off, LevelFilter::OFF),
            (LogLevel::Error, LevelFilter::ERROR),
            (LogLevel::Warn, LevelFilter::WARN),
            (LogLevel::Info, LevelFilter::INFO),
            (LogLevel::Debug, LevelFilter::DEBUG),
            (LogLevel::Trace, LevelFilter::TRACE),
        ];
        let stored = self.0.load(Ordering::Relaxed);
        let level = LEVELS.iter().find(|(level, _)| *level as u8 == stored);
        level.map_or(LevelFilter::TRACE, |(_, filter)| *filter)
    }
}

/// Filter of the log lines. Levels and rate limiters are indexed by the position of their target in
/// [`LogTarget::ALL`].
pub struct LineFilter {
    levels: [AtomicLevel; TARGET_COUNT],
    /// Rate limit of each target, in lines per second.
    lines_per_s: AtomicU64,
    rate_limiters: Mutex<[RateLimiter; TARGET_COUNT]>,
    rate_limited: AtomicU64,
}

impl LineFilter {
    /// Creates a filter for targets that have not written any line yet.
    pub fn new(options: &LogOptions) -> Self {
        let lines_per_s = options.lines_per_s.get();
        let new_rate_limiter = |_| RateLimiter::new(lines_per_s as f64, Instant::now());
        let filter = LineFilter {
            levels: Default::default(),
            lines_per_s: AtomicU64::new(lines_per_s),
            rate_limiters: Mutex::new(std::array::from_fn(new_rate_limiter)),
            rate_limited: AtomicU64::new(0),
        };
        filter.apply(options);
        filter
    }

    /// Applies changed levels and a changed rate limit.
    pub fn apply(&self, options: &LogOptions) {
        for (level, target) in self.levels.iter().zip(LogTarget::ALL) {
            level.store(options.level_of(target));
        }
        self.lines_per_s.store(options.lines_per_s.get(), Ordering::Relaxed);
    }

    /// Returns the number of lines that the rate limit has dropped so far.
    pub fn rate_limited(&self) -> u64 {
        self.rate_limited.load(Ordering::Relaxed)
    }

    /// Returns whether a target may write a line now. If not, counts the line as dropped.
    fn try_acquire(&self, target: usize, now: Instant) -> bool {
        let lines_per_s = self.lines_per_s.load(Ordering::Relaxed) as f64;
        let mut rate_limiters = self.rate_limiters.lock().unwrap_or_else(PoisonError::into_inner);
        let is_admitted = rate_limiters[target].try_acquire(lines_per_s, now);
        if !is_admitted {
            self.rate_limited.fetch_add(1, Ordering::Relaxed);
        }
        is_admitted
    }
}

/// Returns the index of the target of a line. Lines of other crates have no such target and are not written.
fn target_index(line: &Metadata<'_>) -> Option<usize> {
    LogTarget::ALL.iter().position(|target| target.name() == line.target())
}

/// Adapter that implements the subscriber's filter trait for a shared [`LineFilter`].
pub struct SharedLineFilter(pub Arc<LineFilter>);

impl<S: Subscriber> Filter<S> for SharedLineFilter {
    fn enabled(&self, line: &Metadata<'_>, _: &Context<'_, S>) -> bool {
        target_index(line).is_some_and(|target| *line.level() <= self.0.levels[target].load())
    }

    fn callsite_enabled(&self, line: &'static Metadata<'static>) -> Interest {
        if target_index(line).is_some() { Interest::sometimes() } else { Interest::never() }
    }

    fn event_enabled(&self, event: &Event<'_>, _: &Context<'_, S>) -> bool {
        target_index(event.metadata()).is_some_and(|target| self.0.try_acquire(target, Instant::now()))
    }

    fn max_level_hint(&self) -> Option<LevelFilter> {
        self.0.levels.iter().map(AtomicLevel::load).max()
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/line_filter.rs"]
mod tests;
