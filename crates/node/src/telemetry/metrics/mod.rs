//! Metrics of the node: counters, and histograms of response times by class. They are for operators and their
//! tools; no decision of the node depends on them.

mod counter;

use std::sync::Arc;
use std::time::Duration;

use curlewusher_core::permission::Denial;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter as RegisteredCounter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

use self::counter::Series;
pub use self::counter::{Counter, ResponseKind};
use crate::telemetry::logging::DroppedLines;

type Labels = Vec<(&'static str, String)>;

/// Histograms of the response times of a class, by index in [`ResponseKind::ALL`].
type ClassHistograms = [Histogram; ResponseKind::ALL.len()];

/// Metrics of this node. Clones share them.
#[derive(Clone)]
pub struct Metrics(Arc<Inner>);

struct Inner {
    /// Counters, indexed by [`Counter`].
    counters: Vec<RegisteredCounter>,
    /// Counters of violations, indexed by [`Denial`].
    violations: Vec<RegisteredCounter>,
    /// Histograms of response times, by index of the class.
    response_times: Vec<ClassHistograms>,
    registry: Registry,
    /// Function that returns the numbers of dropped log lines, which the log counts itself.
    dropped_lines: Box<dyn Fn() -> DroppedLines + Send + Sync>,
}

impl Metrics {
    /// Creates the metrics with all values at zero. The class names are used as labels. The upper bounds of
    /// the histogram buckets are in seconds.
    pub fn new(
        class_names: &[String],
        response_time_bounds_s: &[f64],
        dropped_lines: impl Fn() -> DroppedLines + Send + Sync + 'static,
    ) -> Self {
        let mut registry = Registry::default();
        let counters = register_counters(&mut registry);
        let violations = register_violations(&mut registry);
        let response_times = register_response_times(&mut registry, class_names, response_time_bounds_s);
        Metrics(Arc::new(Inner {
            counters,
            violations,
            response_times,
            registry,
            dropped_lines: Box::new(dropped_lines),
        }))
    }

    /// Increments a counter.
    pub fn add(&self, counter: Counter) {
        self.0.counters[counter as usize].inc();
    }

    /// Counts an action that was decided on or executed without permission.
    pub fn record_violation(&self, reason: Denial) {
        self.0.violations[reason as usize].inc();
    }

    /// Counts a response, and records its time if this node has the class.
    pub fn record_response(&self, kind: ResponseKind, class: usize, elapsed: Duration) {
        self.add(kind.counter());
        if let Some(histograms) = self.0.response_times.get(class) {
            histograms[kind as usize].observe(elapsed.as_secs_f64());
        }
    }

    /// Returns all metrics in the OpenMetrics text format, which Prometheus reads.
    pub fn encode(&self) -> String {
        let DroppedLines { rate_limited, queue_full } = (self.0.dropped_lines)();
        self.raise_to(Counter::LogLinesRateLimited, rate_limited);
        self.raise_to(Counter::LogLinesQueueFull, queue_full);
        let mut text = String::new();
        // Writing to a string cannot fail.
        let _ = encode(&mut text, &self.0.registry);
        text
    }

    /// Raises a counter to a value that is counted elsewhere.
    fn raise_to(&self, counter: Counter, value: u64) {
        let counter = &self.0.counters[counter as usize];
        counter.inc_by(value.saturating_sub(counter.get()));
    }
}

/// Registers all counters, in the order of [`Counter`].
fn register_counters(registry: &mut Registry) -> Vec<RegisteredCounter> {
    let mut counters = Vec::new();
    let mut family_name = "";
    let mut family = Family::<Labels, RegisteredCounter>::default();
    for series in Counter::SERIES {
        let Series { family: name, labels, help } = *series;
        if name != family_name {
            family_name = name;
            family = Family::default();
            registry.register(name, help, family.clone());
        }
        let labels = labels.iter().map(|&(label, value)| (label, value.to_owned())).collect();
        counters.push(family.get_or_create_owned(&labels));
    }
    counters
}

/// Registers the counters of violations, in the order of [`Denial::ALL`].
fn register_violations(registry: &mut Registry) -> Vec<RegisteredCounter> {
    let family = Family::<Labels, RegisteredCounter>::default();
    let help = "What was decided or done without permission, by reason; any is a fault of the program";
    registry.register("curlewusher_violations", help, family.clone());
    Denial::ALL.map(|reason| family.get_or_create_owned(&vec![("reason", reason.name().to_owned())])).into()
}

/// Registers the histograms of response times, by class and kind of response.
fn register_response_times(
    registry: &mut Registry,
    class_names: &[String],
    bounds_s: &[f64],
) -> Vec<ClassHistograms> {
    let bounds_s: Arc<[f64]> = bounds_s.into();
    let new_histogram = move || Histogram::new(bounds_s.iter().copied());
    let family = Family::<Labels, Histogram, _>::new_with_constructor(new_histogram);
    registry.register(
        "curlewusher_answer_seconds",
        "Time from a job's last byte to its answer, by class and kind of answer",
        family.clone(),
    );
    let class_histograms = |class_name: &String| {
        ResponseKind::ALL.map(|kind| {
            let labels = vec![("class", class_name.clone()), ("kind", kind.label().to_owned())];
            family.get_or_create_owned(&labels)
        })
    };
    class_names.iter().map(class_histograms).collect()
}
