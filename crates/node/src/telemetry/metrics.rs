//! Owns the one typed set of counters of what this node takes, sends and answers, the times of its answers, and how
//! all of it is written out. It must never decide anything, and nothing may be decided by it: it is for people and
//! their tools.

use std::sync::Arc;
use std::time::Duration;

use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter as Count;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

use crate::telemetry::logging::DroppedLines;

type Labels = Vec<(&'static str, String)>;

/// Family, labels, help.
type Series = (&'static str, &'static [(&'static str, &'static str)], &'static str);

macro_rules! counters {
    ($($name:ident, $family:literal $({ $label:literal = $value:literal })?, $help:literal;)*) => {
        /// What is counted.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum Counter { $($name),* }

        /// Family, label and help text of each counter, in the order of [`Counter`]; those of one family stand
        /// together, and the first of them has its help.
        const SERIES: &[Series] = &[$(($family, &[$(($label, $value))?], $help)),*];
    };
}

counters! {
    Taken, "curlewusher_jobs_taken", "Jobs taken from clients";
    Rejected, "curlewusher_requests_rejected", "Requests turned away as malformed";
    Crowded, "curlewusher_requests_crowded_out", "Requests deferred because too many jobs were in hand";
    Cut, "curlewusher_connections_cut", "Connections closed because nothing whole came on them in time";
    ClientsGone, "curlewusher_clients_gone", "Clients that left before their answer";
    Sent, "curlewusher_delivery_attempts", "Delivery attempts begun";
    Accepted, "curlewusher_delivery_attempts_accepted", "Delivery attempts that a next hop took on";
    GivenUp, "curlewusher_delivery_attempts_given_up", "Delivery attempts given up";
    WithdrawalsUnheard, "curlewusher_withdrawals_unheard", "Withdrawals that a next hop did not answer";
    EndedDone, "curlewusher_delivery_attempts_ended" { "outcome" = "done" }, "Delivery attempts ended, by outcome";
    EndedError, "curlewusher_delivery_attempts_ended" { "outcome" = "error" }, "";
    EndedFull, "curlewusher_delivery_attempts_ended" { "outcome" = "full" }, "";
    EndedTimedOut, "curlewusher_delivery_attempts_ended" { "outcome" = "timed_out" }, "";
    EndedUnreachable, "curlewusher_delivery_attempts_ended" { "outcome" = "unreachable" }, "";
    EndedLost, "curlewusher_delivery_attempts_ended" { "outcome" = "lost" }, "";
    EndedCancelled, "curlewusher_delivery_attempts_ended" { "outcome" = "cancelled" }, "";
    EndedNeverSent, "curlewusher_delivery_attempts_ended" { "outcome" = "never_sent" }, "";
    Served, "curlewusher_answers" { "kind" = "served" }, "Answers to clients, by kind";
    Deferred, "curlewusher_answers" { "kind" = "deferred" }, "";
    Failed, "curlewusher_answers" { "kind" = "failed" }, "";
    MovedAway, "curlewusher_jobs_moved" { "direction" = "away" }, "Jobs moved between both processes of this node";
    MovedHere, "curlewusher_jobs_moved" { "direction" = "here" }, "";
    Callbacks, "curlewusher_callbacks", "Well-formed call-backs of next hops";
    CallbacksIdle, "curlewusher_callbacks_without_effect", "Call-backs that were repeats or came too late";
    Connects, "curlewusher_next_hop_connections", "Connections opened to next hops";
    ConnectsFailed, "curlewusher_next_hop_connections_failed", "Connections to next hops that did not come up";
    SpoiltAnswers, "curlewusher_next_hop_answers_spoilt", "Answers of next hops that were broken, without end, or to no request";
    ListChanges, "curlewusher_transport_map_changes", "Lists and changes read from discovery";
    ListFailures, "curlewusher_transport_map_failures", "Watches of discovery that broke or failed";
    Reloads, "curlewusher_reloads", "Configurations read again on SIGHUP";
    ReloadFailures, "curlewusher_reload_failures", "Configurations that could not be used on SIGHUP";
    AcceptFailures, "curlewusher_accept_failures", "Failures to accept a connection";
    LinesFlooded, "curlewusher_log_lines_dropped" { "why" = "flood" }, "Log lines dropped: a part wrote too many, or standard error took none";
    LinesStalled, "curlewusher_log_lines_dropped" { "why" = "stalled" }, "";
}

/// The kinds of final answer, as places in a class's row of histograms.
const KINDS: [(Counter, &str); 3] =
    [(Counter::Served, "served"), (Counter::Deferred, "deferred"), (Counter::Failed, "failed")];

/// The counters of this node, shared by all its parts.
#[derive(Clone)]
pub struct Metrics(Arc<Set>);

struct Set {
    counts: Vec<Count>,
    /// By class, then by place in [`KINDS`].
    answers: Vec<[Histogram; KINDS.len()]>,
    registry: Registry,
    /// Lines dropped from the log, by the two reasons.
    dropped: Box<dyn Fn() -> DroppedLines + Send + Sync>,
}

impl Metrics {
    /// All at nought: for these classes, with these upper bounds of the answer time in seconds.
    pub fn new(
        classes: &[String],
        bounds: &[f64],
        dropped: impl Fn() -> DroppedLines + Send + Sync + 'static,
    ) -> Self {
        let mut registry = Registry::default();
        let mut counts: Vec<Count> = Vec::new();
        let mut family: (&str, Family<Labels, Count>) = ("", Family::default());
        for &(name, labels, help) in SERIES {
            if name != family.0 {
                family = (name, Family::default());
                registry.register(name, help, family.1.clone());
            }
            let labels = labels.iter().map(|&(label, value)| (label, value.to_owned())).collect();
            counts.push(family.1.get_or_create_owned(&labels));
        }
        let bounds: Arc<[f64]> = bounds.into();
        let times = Family::<Labels, Histogram, _>::new_with_constructor(move || {
            Histogram::new(bounds.iter().copied())
        });
        registry.register(
            "curlewusher_answer_seconds",
            "Time from a job's last byte to its answer, by class and kind of answer",
            times.clone(),
        );
        let row = |class: &String| {
            KINDS.map(|(_, kind)| {
                times.get_or_create_owned(&vec![("class", class.clone()), ("kind", kind.to_owned())])
            })
        };
        Metrics(Arc::new(Set {
            counts,
            answers: classes.iter().map(row).collect(),
            registry,
            dropped: Box::new(dropped),
        }))
    }

    pub fn add(&self, counter: Counter) {
        self.0.counts[counter as usize].inc();
    }

    /// Brings a counter that is kept elsewhere up to what it stands at there.
    fn bring_up_to(&self, counter: Counter, value: u64) {
        let count = &self.0.counts[counter as usize];
        count.inc_by(value.saturating_sub(count.get()));
    }

    /// Counts an answer, and its time for a class that this node knows.
    pub fn answered(&self, kind: Counter, class: usize, after: Duration) {
        self.add(kind);
        let place = KINDS.iter().position(|(counter, _)| *counter == kind);
        if let Some((row, place)) = self.0.answers.get(class).zip(place) {
            row[place].observe(after.as_secs_f64());
        }
    }

    /// All of them in the OpenMetrics text form, which Prometheus reads.
    pub fn text(&self) -> String {
        let DroppedLines { rate_limited, queue_full } = (self.0.dropped)();
        self.bring_up_to(Counter::LinesFlooded, rate_limited);
        self.bring_up_to(Counter::LinesStalled, queue_full);
        let mut out = String::new();
        // A string takes all that is written to it.
        let _ = encode(&mut out, &self.0.registry);
        out
    }
}
