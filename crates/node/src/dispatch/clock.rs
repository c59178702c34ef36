//! The clock of the node: microseconds since the Unix epoch that never go back.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use curlewusher_core::Micros;

/// Reads the system's time once, at its start, and counts on from there with the monotonic clock.
#[derive(Clone, Copy)]
pub struct Clock {
    started: Instant,
    /// Time since the Unix epoch at `started`.
    unix_at_start: Micros,
}

impl Clock {
    /// A clock that starts now.
    pub fn new() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { started: Instant::now(), unix_at_start: unix.as_micros() as Micros }
    }

    /// The present moment.
    pub fn now(&self) -> Micros {
        self.unix_at_start + self.started.elapsed().as_micros() as Micros
    }

    /// A moment of the runtime's clock on this clock; a moment before the start becomes the start.
    pub(super) fn moment_of(&self, instant: tokio::time::Instant) -> Micros {
        let since_start = instant.into_std().saturating_duration_since(self.started);
        self.unix_at_start + since_start.as_micros() as Micros
    }

    /// A moment of this clock on the runtime's clock; a moment before the start becomes the start.
    pub(super) fn instant_at(&self, moment: Micros) -> tokio::time::Instant {
        (self.started + Duration::from_micros(moment.saturating_sub(self.unix_at_start))).into()
    }
}
