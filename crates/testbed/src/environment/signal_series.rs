//! Signals that a node's process gets one after another while it shuts down.

use std::process::ExitStatus;
use std::time::Duration;

use curlewusher_model::workload::random_stream;
use rand::Rng;
use rustix::process::Signal;
use tokio::time::{Instant, timeout_at};

use crate::nodes::Node;

/// The longest time for which a process is stopped by SIGSTOP; longer ones are faults of the machine that no time limit
/// allows for.
const MAX_PAUSE_S: f64 = 0.15;
/// When the process is stopped, in seconds after SIGTERM: before the end of the drain, at the first closes, at the exit.
const PAUSE_RANGES_S: [(f64, f64); 3] = [(0.55, 0.70), (0.71, 0.85), (0.86, 1.2)];
/// When SIGTERM and SIGHUP are repeated, in seconds after the first SIGTERM.
const REPEAT_RANGE_S: (f64, f64) = (0.0, 1.2);
/// The most signals of one kind that are repeated.
const MAX_REPEATS: usize = 3;

/// The signals that follow the first SIGTERM, with their times after it, in order.
#[derive(Clone, Debug, Default)]
pub struct SignalSeries(Vec<(Duration, Signal)>);

impl SignalSeries {
    /// Draws the signals of one shutdown from the seed of the run.
    pub fn draw(seed: u64, concern: &str) -> Self {
        let mut random = random_stream(seed, concern);
        let mut signals = Vec::new();
        for repeated in [Signal::TERM, Signal::HUP] {
            for _ in 0..random.random_range(0..=MAX_REPEATS) {
                signals.push((random.random_range(REPEAT_RANGE_S.0..REPEAT_RANGE_S.1), repeated));
            }
        }
        for (from_s, until_s) in PAUSE_RANGES_S {
            let begins_s = random.random_range(from_s..until_s);
            signals.push((begins_s, Signal::STOP));
            signals.push((begins_s + random.random_range(0.0..MAX_PAUSE_S), Signal::CONT));
        }
        signals.sort_by(|one, other| one.0.total_cmp(&other.0));
        SignalSeries(
            signals.into_iter().map(|(at_s, signal)| (Duration::from_secs_f64(at_s), signal)).collect(),
        )
    }

    /// Sends the signals, counted from now, and returns once the process has exited.
    pub async fn send_until_exit(&self, node: &mut Node) -> std::io::Result<ExitStatus> {
        let started = Instant::now();
        for (after, signal) in &self.0 {
            if let Ok(exited) = timeout_at(started + *after, node.child.wait()).await {
                return exited;
            }
            node.signal(*signal);
        }
        node.child.wait().await
    }
}
