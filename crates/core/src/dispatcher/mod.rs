//! The dispatcher: owns the state, passes each event to the records in `state`, calls the decisions in `policy` and
//! `permission` in their order, and carries out what they return. `docs/design/decisions.md` shows that order.
//!
//! | module | what it does |
//! | --- | --- |
//! | `job_lifecycle` | a job from its submission to its final answer |
//! | `attempt_lifecycle` | what workers and connections report on attempts |
//! | `sending` | the queue, the choice of a worker, and each send |
//! | `review` | the sweep over open jobs: deadlines, relocation, hedging |
//! | `timers` | the one timer |
//! | `endpoints` | the endpoint list, and what operators disable |
//! | `gossip` | reports from and to other nodes |
//! | `migration`, `snapshot` | what moves to another process of this node |

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

/// The dispatcher of one node: give it events, carry out its actions.
pub struct Dispatcher {
    settings: Settings,
    rng: fastrand::Rng,
    /// All workers.
    fleet: Fleet,
    /// Jobs that are open, or that have an attempt in flight, and the queue.
    jobs: JobTable,
    admission: AdmissionState,
    demand: Demand,
    /// The capacity of the subset's workers, as estimated last.
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

/// Where this process is in the lifecycle of its node.
struct Lifecycle {
    /// All jobs must be answered by then; [`Timestamp::MAX`] while the node does not shut down.
    shutdown_deadline: Timestamp,
    /// Another process of this node has taken over.
    is_superseded: bool,
}

impl Dispatcher {
    /// A dispatcher that knows nothing but its settings. Give it
    /// [`Event::TimerExpired`] first.
    ///
    /// # Errors
    /// Where the settings contradict themselves; the error names the field.
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

    /// Takes an event in and appends the actions that are to be carried out.
    pub fn handle(&mut self, now: Timestamp, event: Event, actions: &mut Vec<Action>) {
        self.apply(now, event);
        self.set_timer(now);
        actions.append(&mut self.outbox);
    }

    /// Whether new attempts may be decided on by the endpoint list. If not, jobs wait for the next confirmation.
    ///
    /// # Errors
    /// Why the list may not be used: discovery has not confirmed it, or too long ago.
    pub fn check_endpoint_lease(&self, now: Timestamp) -> Result<(), Denial> {
        self.poll_schedule.lease().check(now)
    }

    /// The moment before which all attempts that were decided on so far must be written, by the lease on the endpoint
    /// list as it is now. None: the lease does not bound them. An attempt that is not written by then is ended with
    /// [`Outcome::NotSent`](crate::Outcome::NotSent).
    pub fn endpoint_write_deadline(&self) -> Option<Timestamp> {
        self.poll_schedule.lease().write_deadline()
    }

    /// What was decided without permission and therefore not done, by reason.
    pub fn violations(&self) -> &Violations {
        &self.violations
    }

    fn apply(&mut self, now: Timestamp, event: Event) {
        match event {
            Event::EndpointsChanged { endpoints, update } => self.update_endpoints(now, endpoints, update),
            Event::EndpointsConfirmed { as_of } => self.poll_schedule.record_confirmation(as_of.min(now)),
            Event::PollAnswered { duration } => self.poll_schedule.record_poll_duration(duration),
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

    /// What permission to send depends on, as it is now.
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

    /// What decisions on deadlines depend on, as it is now.
    fn deadline_context(&self, now: Timestamp) -> DeadlineContext<'_> {
        DeadlineContext {
            now,
            settings: &self.settings,
            fleet: &self.fleet,
            shutdown_deadline: self.lifecycle.shutdown_deadline,
        }
    }
}
