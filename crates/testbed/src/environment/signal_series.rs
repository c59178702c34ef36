//! Series of signals that a node's process gets during its shutdown.

use std::process::ExitStatus;
use std::time::Duration;

use curlewusher_model::workload::random_stream;
use rand::Rng;
use rustix::process::Signal;
use tokio::time::{Instant, timeout_at};

use crate::nodes::Node;

/// Maximum duration of a pause by SIGSTOP, in seconds. The time limits of the run do not allow for longer
/// pauses, which count as faults of the machine.
const MAX_PAUSE_S: f64 = 0.15;
/// Ranges of the times of SIGSTOP, in seconds after the first SIGTERM: before the drain completes, when the
/// first connections close, and when the process exits.
const PAUSE_RANGES_S: [(f64, f64); 3] = [(0.55, 0.70), (0.71, 0.85), (0.86, 1.2)];
/// Range of the times of further SIGTERM and SIGHUP signals, in seconds after the first SIGTERM.
const FURTHER_SIGNAL_RANGE_S: (f64, f64) = (0.0, 1.2);
/// Maximum number of further signals of each kind, SIGTERM and SIGHUP.
const MAX_FURTHER_SIGNALS: usize = 3;

/// Signals that follow the first SIGTERM, each with its delay after the first SIGTERM, in the order of time.
#[derive(Clone, Debug, Default)]
pub struct SignalSeries(Vec<(Duration, Signal)>);

impl SignalSeries {
    /// Samples the signals of one shutdown from the random stream `stream_name`, which is derived from the
    /// run's seed.
    pub fn sample(seed: u64, stream_name: &str) -> Self {
        let mut random = random_stream(seed, stream_name);
        let mut signals = Vec::new();
        for signal in [Signal::TERM, Signal::HUP] {
            for _ in 0..random.random_range(0..=MAX_FURTHER_SIGNALS) {
                signals
                    .push((random.random_range(FURTHER_SIGNAL_RANGE_S.0..FURTHER_SIGNAL_RANGE_S.1), signal));
            }
        }
        for (from_s, until_s) in PAUSE_RANGES_S {
            let pause_at_s = random.random_range(from_s..until_s);
            signals.push((pause_at_s, Signal::STOP));
            signals.push((pause_at_s + random.random_range(0.0..MAX_PAUSE_S), Signal::CONT));
        }
        signals.sort_by(|one, other| one.0.total_cmp(&other.0));
        SignalSeries(
            signals.into_iter().map(|(at_s, signal)| (Duration::from_secs_f64(at_s), signal)).collect(),
        )
    }

    /// Sends the signals, with delays from the time of the call, and waits until the process exits.
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
