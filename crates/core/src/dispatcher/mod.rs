//! Dispatcher: owns the state, passes each event to the records in `state`, calls the decisions in `policy`
//! and `permission` in their order, and applies their results. `docs/design/decisions.md` shows that order.
//!
//! | module | purpose |
//! | --- | --- |
//! | `job_lifecycle` | a job from its submission to its final response |
//! | `attempt_lifecycle` | reports of workers and connections on attempts |
//! | `sending` | the queue, the choice of a worker, and each send |
//! | `review` | the sweep over open jobs: deadlines, relocation, hedging |
//! | `timers` | the single timer |
//! | `endpoints` | the endpoint list, and workers that operators disable |
//! | `gossip` | reports from and to other nodes |
//! | `migration`, `snapshot` | migration of jobs and state to or from the other process of this node |

mod attempt_lifecycle;
mod endpoints;
mod gossip;
mod job_lifecycle;
mod migration;
mod review;
mod sending;
mod snapshot;
mod timers;

use self::attempt_lifecycle::AttemptEnd;
use self::gossip::GossipSchedule;
use self::timers::Timer;
use crate::permission::{Denial, SendRules, SlowStart, Violations};
use crate::policy::deadlines::DeadlineContext;
use crate::poll_schedule::PollSchedule;
use crate::state::{AdmissionState, AttemptId, Budgets, Capacity, Demand, Fleet, JobTable};
use crate::{Action, Event, Settings, SettingsError, Timestamp};

/// Dispatcher of one node: takes events and returns actions.
pub struct Dispatcher {
    settings: Settings,
    rng: fastrand::Rng,
    /// All workers.
    fleet: Fleet,
    /// Jobs that are open or have an attempt in flight, and the queue.
    jobs: JobTable,
    admission: AdmissionState,
    demand: Demand,
    /// Most recent estimate of the capacity of the workers of the subset.
    capacity: Capacity,
    budgets: Budgets,
    lifecycle: Lifecycle,
    timer: Timer,
    gossip: GossipSchedule,
    poll_schedule: PollSchedule,
    violations: Violations,
    /// Actions that were decided on for the present event, in their order.
    outbox: Vec<Action>,
}

/// Position of this process in the lifecycle of its node.
struct Lifecycle {
    /// Time by which all jobs must be answered. [`Timestamp::MAX`] if the node does not shut down.
    shutdown_deadline: Timestamp,
    /// Whether the successor of this process has taken over.
    is_superseded: bool,
}

impl Dispatcher {
    /// Creates a dispatcher that has only its settings and no other state. Pass it [`Event::TimerExpired`]
    /// first.
    ///
    /// # Errors
    /// Returns the first field of the settings that is out of its range.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.validate()?;
        Ok(Dispatcher {
            rng: fastrand::Rng::with_seed(seed),
            fleet: Fleet::new(&settings),
            jobs: JobTable::default(),
            admission: AdmissionState::new(&settings),
            demand: Demand::default(),
            capacity: Capacity::default(),
            budgets: Budgets::default(),
            lifecycle: Lifecycle { shutdown_deadline: Timestamp::MAX, is_superseded: false },
            timer: Timer::default(),
            gossip: GossipSchedule::default(),
            poll_schedule: PollSchedule::new(&settings),
            violations: Violations::default(),
            outbox: Vec::new(),
            settings,
        })
    }

    /// Handles an event and appends the actions to perform.
    pub fn handle(&mut self, now: Timestamp, event: Event, actions: &mut Vec<Action>) {
        self.apply(now, event);
        self.set_timer(now);
        actions.append(&mut self.outbox);
    }

    /// Checks whether new attempts may be decided on with the present endpoint list. If not, jobs wait for
    /// the next confirmation.
    ///
    /// # Errors
    /// Returns the reason for which the list may not be used: discovery has not confirmed it, or did so too
    /// long ago.
    pub fn check_endpoint_lease(&self, now: Timestamp) -> Result<(), Denial> {
        self.poll_schedule.lease().check(now)
    }

    /// Returns the time as of which discovery has confirmed the present endpoint list. `None` before the first
    /// confirmation, or if the list needs no lease.
    pub fn endpoints_confirmed_at(&self) -> Option<Timestamp> {
        self.poll_schedule.lease().confirmed_at()
    }

    /// Returns the time before which all attempts that were decided on so far must be written, according to
    /// the present lease on the endpoint list. `None`: the lease does not bound them. Before the first
    /// confirmation, the result is [`Timestamp::ORIGIN`]: nothing may be written. An attempt that is not
    /// written by then is ended with [`Outcome::NotSent`](crate::Outcome::NotSent).
    pub fn endpoint_write_deadline(&self) -> Option<Timestamp> {
        self.poll_schedule.lease().write_deadline()
    }

    /// Returns the counts, by reason, of decisions that were not permitted and therefore not applied.
    pub fn violations(&self) -> &Violations {
        &self.violations
    }

    fn apply(&mut self, now: Timestamp, event: Event) {
        match event {
            Event::EndpointsChanged { endpoints, update } => self.update_endpoints(now, endpoints, update),
            Event::EndpointsConfirmed { evidence } => self.poll_schedule.record_confirmation(now, evidence),
            Event::PollAnswered { duration } => self.poll_schedule.record_poll_answer(duration),
            Event::EndpointsMalformed => self.poll_schedule.record_malformed_list(now),
            Event::DiscoveryAddressChanged => self.poll_schedule.record_discovery_address_change(now),
            Event::WatchFailed => self.poll_schedule.record_failure(now, &mut self.rng),
            Event::JobSubmitted(submission) => self.admit_job(now, &submission),
            Event::ClientDisconnected { job } => self.disconnect_client(job),
            Event::AttemptAccepted { job, attempt } => {
                self.record_acceptance(now, AttemptId { job, number: attempt });
            }
            Event::AttemptStarted { job, attempt } => {
                self.handle_start(now, AttemptId { job, number: attempt });
            }
            Event::AttemptProgressed { job, attempt, fraction_done } => {
                self.handle_progress(now, AttemptId { job, number: attempt }, fraction_done);
            }
            Event::AttemptStreaming { job, attempt } => {
                self.handle_stream(now, AttemptId { job, number: attempt });
            }
            Event::ReusedConnectionLost { job, attempt } => {
                self.record_stale_connection(AttemptId { job, number: attempt });
            }
            Event::AttemptEnded { job, attempt, outcome, job_answered } => {
                let attempt = AttemptId { job, number: attempt };
                self.handle_end(now, AttemptEnd { attempt, outcome, job_answered });
            }
            Event::GossipReceived { from, data } => self.receive_gossip(now, from, data),
            Event::WorkerDisabled { worker } => self.disable_worker(now, worker),
            Event::WorkerEnabled { worker } => self.enable_worker(now, worker),
            Event::SuccessorActive { active } => self.lifecycle.is_superseded = active,
            Event::ShutdownStarted { deadline } => {
                self.lifecycle.shutdown_deadline = deadline;
                self.handle_timer(now);
            }
            Event::TimerExpired => self.handle_timer(now),
        }
    }

    /// Returns the present inputs of the permission to send.
    fn send_rules(&self) -> SendRules<'_> {
        SendRules {
            settings: &self.settings,
            fleet: &self.fleet,
            lease: self.poll_schedule.lease(),
            slow_start: SlowStart {
                settings: &self.settings,
                fleet: &self.fleet,
                demand: &self.demand,
                warming_up_workers: self.capacity.warming_up,
                is_superseded: self.lifecycle.is_superseded,
            },
        }
    }

    /// Returns the present inputs of decisions on deadlines.
    fn deadline_context(&self, now: Timestamp) -> DeadlineContext<'_> {
        DeadlineContext {
            now,
            settings: &self.settings,
            fleet: &self.fleet,
            shutdown_deadline: self.lifecycle.shutdown_deadline,
        }
    }
}
