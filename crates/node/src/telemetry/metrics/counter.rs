//! Counters of the node, each with its metric family, label and help text.

/// A metric family with one set of labels, as `/metrics` shows it.
pub(super) struct Series {
    /// Name of the family.
    pub(super) family: &'static str,
    /// Labels as pairs of name and value. Several series of a family differ in their labels.
    pub(super) labels: &'static [(&'static str, &'static str)],
    /// Help text of the family. Only the text of the family's first series is used.
    pub(super) help: &'static str,
}

macro_rules! counters {
    ($($name:ident, $family:literal $({ $label:literal = $value:literal })?, $help:literal;)*) => {
        /// A counter of the node. The names on `/metrics` are part of the interface and must not change.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum Counter {
            $(
                #[doc = concat!("`", $family, $("{", $label, "=", $value, "}",)? "`")]
                $name
            ),*
        }

        impl Counter {
            /// Series of each counter, in the order of the variants. Series of the same family are adjacent.
            pub(super) const SERIES: &[Series] =
                &[$(Series { family: $family, labels: &[$(($label, $value))?], help: $help }),*];
        }
    };
}

counters! {
    JobsReceived, "curlewusher_jobs_taken", "Jobs taken from clients";
    RequestsMalformed, "curlewusher_requests_rejected", "Requests turned away as malformed";
    RequestsShed, "curlewusher_requests_crowded_out", "Requests deferred because too many jobs were in hand";
    ConnectionsTimedOut, "curlewusher_connections_cut", "Connections closed because nothing whole came on them in time";
    ClientsDisconnected, "curlewusher_clients_gone", "Clients that left before their answer";
    AttemptsStarted, "curlewusher_delivery_attempts", "Delivery attempts begun";
    AttemptsAccepted, "curlewusher_delivery_attempts_accepted", "Delivery attempts that a next hop took on";
    AttemptsAbandoned, "curlewusher_delivery_attempts_given_up", "Delivery attempts given up";
    CancellationsUnacknowledged, "curlewusher_withdrawals_unheard", "Withdrawals that a next hop did not answer";
    AttemptsSucceeded, "curlewusher_delivery_attempts_ended" { "outcome" = "done" }, "Delivery attempts ended, by outcome";
    AttemptsFailed, "curlewusher_delivery_attempts_ended" { "outcome" = "error" }, "";
    AttemptsRejected, "curlewusher_delivery_attempts_ended" { "outcome" = "full" }, "";
    AttemptsTimedOut, "curlewusher_delivery_attempts_ended" { "outcome" = "timed_out" }, "";
    AttemptsUnreachable, "curlewusher_delivery_attempts_ended" { "outcome" = "unreachable" }, "";
    AttemptsLost, "curlewusher_delivery_attempts_ended" { "outcome" = "lost" }, "";
    AttemptsCancelled, "curlewusher_delivery_attempts_ended" { "outcome" = "cancelled" }, "";
    AttemptsNotSent, "curlewusher_delivery_attempts_ended" { "outcome" = "never_sent" }, "";
    ResponsesServed, "curlewusher_answers" { "kind" = "served" }, "Answers to clients, by kind";
    ResponsesRejected, "curlewusher_answers" { "kind" = "deferred" }, "";
    ResponsesFailed, "curlewusher_answers" { "kind" = "failed" }, "";
    JobsMigratedAway, "curlewusher_jobs_moved" { "direction" = "away" }, "Jobs moved between both processes of this node";
    JobsMigratedHere, "curlewusher_jobs_moved" { "direction" = "here" }, "";
    Callbacks, "curlewusher_callbacks", "Well-formed call-backs of next hops";
    CallbacksWithoutEffect, "curlewusher_callbacks_without_effect", "Call-backs that were repeats or came too late";
    WorkerConnections, "curlewusher_next_hop_connections", "Connections opened to next hops";
    WorkerConnectionFailures, "curlewusher_next_hop_connections_failed", "Connections to next hops that did not come up";
    MalformedWorkerResponses, "curlewusher_next_hop_answers_spoilt", "Answers of next hops that were broken, without end, or to no request";
    EndpointListUpdates, "curlewusher_transport_map_changes", "Lists and changes read from discovery";
    EndpointWatchFailures, "curlewusher_transport_map_failures", "Watches of discovery that broke or failed";
    EndpointWatchRenewals, "curlewusher_transport_map_renewals", "Polls beside an open watch, whose late or missing heartbeats no longer confirm the list";
    Reloads, "curlewusher_reloads", "Configurations read again on SIGHUP";
    ReloadFailures, "curlewusher_reload_failures", "Configurations that could not be used on SIGHUP";
    AcceptFailures, "curlewusher_accept_failures", "Failures to accept a connection";
    LogLinesRateLimited, "curlewusher_log_lines_dropped" { "why" = "flood" }, "Log lines dropped: a part wrote too many, or standard error took none";
    LogLinesQueueFull, "curlewusher_log_lines_dropped" { "why" = "stalled" }, "";
}

/// Kind of the response with which a job ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseKind {
    /// The result of a worker was returned to the client.
    Served,
    /// The job was rejected without having run, usually with advice when to retry.
    Rejected,
    /// The job failed, or was a duplicate.
    Failed,
}

impl ResponseKind {
    /// All kinds, in the order of the histograms of a class.
    pub(super) const ALL: [ResponseKind; 3] =
        [ResponseKind::Served, ResponseKind::Rejected, ResponseKind::Failed];

    /// Returns the value of the label `kind`.
    pub(super) fn label(self) -> &'static str {
        match self {
            ResponseKind::Served => "served",
            ResponseKind::Rejected => "deferred",
            ResponseKind::Failed => "failed",
        }
    }

    /// Returns the counter of responses of this kind.
    pub(super) fn counter(self) -> Counter {
        match self {
            ResponseKind::Served => Counter::ResponsesServed,
            ResponseKind::Rejected => Counter::ResponsesRejected,
            ResponseKind::Failed => Counter::ResponsesFailed,
        }
    }
}
