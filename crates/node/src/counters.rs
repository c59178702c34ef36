//! Owns the one typed set of counters of what this node takes, sends and answers, and how it is written out.
//! It must never decide anything, and nothing may be decided by it: counters are for people and their tools.

use std::cell::Cell;
use std::fmt::Write;
use std::rc::Rc;

macro_rules! counters {
    ($($name:ident, $series:literal, $help:literal;)*) => {
        /// What is counted.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum Counter { $($name),* }

        /// Series and help text of each counter, in the order of [`Counter`].
        const SERIES: &[(&str, &str)] = &[$(($series, $help)),*];
    };
}

counters! {
    Taken, "curlewusher_jobs_taken_total", "Jobs taken from clients.";
    Rejected, "curlewusher_requests_rejected_total", "Requests turned away as malformed.";
    Crowded, "curlewusher_requests_crowded_out_total", "Requests deferred because too many jobs were in hand.";
    Cut, "curlewusher_connections_cut_total", "Connections closed because nothing whole came on them in time.";
    ClientsGone, "curlewusher_clients_gone_total", "Clients that left before their answer.";
    Sent, "curlewusher_delivery_attempts_total", "Delivery attempts begun.";
    Accepted, "curlewusher_delivery_attempts_accepted_total", "Delivery attempts that a next hop took on.";
    GivenUp, "curlewusher_delivery_attempts_given_up_total", "Delivery attempts given up.";
    EndedDone, "curlewusher_delivery_attempts_ended_total{outcome=\"done\"}", "Delivery attempts ended, by outcome.";
    EndedError, "curlewusher_delivery_attempts_ended_total{outcome=\"error\"}", "";
    EndedFull, "curlewusher_delivery_attempts_ended_total{outcome=\"full\"}", "";
    EndedTimedOut, "curlewusher_delivery_attempts_ended_total{outcome=\"timed_out\"}", "";
    EndedUnreachable, "curlewusher_delivery_attempts_ended_total{outcome=\"unreachable\"}", "";
    EndedLost, "curlewusher_delivery_attempts_ended_total{outcome=\"lost\"}", "";
    EndedCancelled, "curlewusher_delivery_attempts_ended_total{outcome=\"cancelled\"}", "";
    EndedNeverSent, "curlewusher_delivery_attempts_ended_total{outcome=\"never_sent\"}", "";
    Served, "curlewusher_answers_total{kind=\"served\"}", "Answers to clients, by kind.";
    Deferred, "curlewusher_answers_total{kind=\"deferred\"}", "";
    Failed, "curlewusher_answers_total{kind=\"failed\"}", "";
    Callbacks, "curlewusher_callbacks_total", "Well-formed call-backs of next hops.";
    CallbacksIdle, "curlewusher_callbacks_without_effect_total", "Call-backs that were repeats or came too late.";
    Connects, "curlewusher_next_hop_connections_total", "Connections opened to next hops.";
    ConnectsFailed, "curlewusher_next_hop_connections_failed_total", "Connections to next hops that did not come up.";
    ListChanges, "curlewusher_transport_map_changes_total", "Lists and changes read from discovery.";
    ListFailures, "curlewusher_transport_map_failures_total", "Watches of discovery that broke or failed.";
    Reloads, "curlewusher_reloads_total", "Configurations read again on SIGHUP.";
    ReloadFailures, "curlewusher_reload_failures_total", "Configurations that could not be used on SIGHUP.";
    AcceptFailures, "curlewusher_accept_failures_total", "Failures to accept a connection.";
}

/// The counters of this node, shared by all its parts.
#[derive(Clone)]
pub struct Counters(Rc<[Cell<u64>]>);

impl Counters {
    pub fn new() -> Self {
        Counters(SERIES.iter().map(|_| Cell::new(0)).collect())
    }

    pub fn add(&self, counter: Counter) {
        let cell = &self.0[counter as usize];
        cell.set(cell.get() + 1);
    }

    /// All of them in the text form that Prometheus reads.
    pub fn text(&self) -> String {
        let mut out = String::new();
        let mut family = "";
        for ((series, help), value) in SERIES.iter().zip(self.0.iter()) {
            let name = series.split('{').next().unwrap_or(series);
            if name != family {
                family = name;
                let _ = writeln!(out, "# HELP {name} {help}\n# TYPE {name} counter");
            }
            let _ = writeln!(out, "{series} {}", value.get());
        }
        out
    }
}
