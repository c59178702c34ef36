//! Tests of the worker pool with fixed times: which jobs are accepted, how long they run, and which are lost.

use curlewusher_model::worker_pool::{
    Arrival, JobDemand, Machine, PoolEffect, PoolInput, PoolParameters, WorkerPool,
};
use curlewusher_model::{TimeSpan, Timestamp};

/// Returns the time `seconds` seconds after the start of the run.
fn after(seconds: f64) -> Timestamp {
    Timestamp::ZERO + TimeSpan::from_secs_f64(seconds)
}

fn pool(machines: usize) -> WorkerPool {
    let machine = |cell| Machine {
        cell,
        cores: 2.0,
        speed: 2.0,
        slots: 2,
        memory: 4.0,
        queue_capacity: 1,
        cache_capacity: 2,
    };
    let parameters =
        PoolParameters { fetch_seconds: 1.0, archive_concurrency: 1.0, ..PoolParameters::default() };
    WorkerPool::new((0..machines as u32).map(machine).collect(), parameters)
}

fn job(data_set: u64) -> JobDemand {
    JobDemand { work_seconds: 4.0, slots: 1, memory: 1.0, data_set, idempotency_key: None }
}

struct Driver {
    pool: WorkerPool,
    history: Vec<(Timestamp, PoolEffect)>,
}

impl Driver {
    fn new(machines: usize) -> Self {
        Driver { pool: pool(machines), history: Vec::new() }
    }

    /// Passes an input to the pool and returns its immediate effects.
    fn handle(&mut self, at: Timestamp, input: PoolInput) -> Vec<PoolEffect> {
        let mut effects = Vec::new();
        self.pool.handle(at, input, &mut effects);
        self.history.extend(effects.iter().map(|effect| (at, *effect)));
        effects
    }

    fn arrive(&mut self, at: Timestamp, worker: usize, attempt: u64, demand: JobDemand) -> Vec<PoolEffect> {
        self.handle(at, PoolInput::Arrive(Arrival { worker, attempt, demand }))
    }

    /// Runs the pool until it has no further events, for at most 1000 events, and returns the completion time
    /// of an attempt.
    fn run_to_completion(&mut self, attempt: u64) -> Option<Timestamp> {
        let mut effects = Vec::new();
        for _ in 0..1000 {
            let Some(next) = self.pool.next_event() else { break };
            self.pool.advance_to(next, &mut effects);
            self.history.extend(effects.drain(..).map(|effect| (next, effect)));
        }
        self.history.iter().find(|(_, effect)| *effect == PoolEffect::Completed(attempt)).map(|(at, _)| *at)
    }
}

fn is_near(at: Option<Timestamp>, seconds: f64) -> bool {
    at.is_some_and(|time| time.abs_diff(after(seconds)) <= TimeSpan::from_micros(20))
}

#[test]
fn first_job_with_a_data_set_then_it_is_fetched_once_and_jobs_run_at_worker_speed() {
    let mut driver = Driver::new(1);
    assert_eq!(
        driver.arrive(Timestamp::ZERO, 0, 1, job(9)),
        [PoolEffect::Accepted(1), PoolEffect::Started(1)]
    );
    assert!(
        is_near(driver.run_to_completion(1), 3.0),
        "the fetch takes 1 s and the 4 s of work run at speed 2"
    );
    driver.arrive(after(10.0), 0, 2, job(9));
    assert!(is_near(driver.run_to_completion(2), 12.0), "the data set is cached, so the job takes only 2 s");
}

#[test]
fn concurrent_fetches_then_they_share_the_archive_bandwidth() {
    let mut driver = Driver::new(2);
    driver.arrive(Timestamp::ZERO, 0, 1, job(1));
    driver.arrive(Timestamp::ZERO, 1, 2, job(2));
    assert!(
        is_near(driver.run_to_completion(1), 4.0) && is_near(driver.run_to_completion(2), 4.0),
        "each of the two fetches runs at half speed and takes 2 s"
    );
}

#[test]
fn full_queue_then_jobs_are_rejected_and_the_head_waits_for_its_slots() {
    let mut driver = Driver::new(1);
    driver.arrive(Timestamp::ZERO, 0, 1, job(1));
    assert_eq!(
        driver.arrive(Timestamp::ZERO, 0, 2, JobDemand { slots: 2, ..job(1) }),
        [PoolEffect::Accepted(2)]
    );
    assert_eq!(
        driver.arrive(Timestamp::ZERO, 0, 3, job(1)),
        [PoolEffect::Rejected(3)],
        "the job fits into the free slot, but the head of the full queue is first"
    );
    assert_eq!(
        driver.arrive(Timestamp::ZERO, 0, 4, JobDemand { slots: 3, ..job(1) }),
        [PoolEffect::Rejected(4)],
        "the job needs more slots than the worker has"
    );
    assert!(is_near(driver.run_to_completion(1), 3.0) && is_near(driver.run_to_completion(2), 5.0));
}

#[test]
fn cancelled_job_then_its_slots_are_free_and_it_has_no_further_effects() {
    let mut driver = Driver::new(1);
    driver.arrive(Timestamp::ZERO, 0, 1, JobDemand { slots: 2, ..job(1) });
    driver.arrive(Timestamp::ZERO, 0, 2, job(1));
    let effects = driver.handle(after(1.5), PoolInput::Cancel { worker: 0, attempt: 1 });
    assert_eq!(effects, [PoolEffect::Cancelled { attempt: 1, had_started: true }, PoolEffect::Started(2)]);
    assert_eq!(
        driver.handle(after(1.6), PoolInput::Cancel { worker: 0, attempt: 1 }),
        [],
        "the cancelled attempt is unknown"
    );
    assert!(driver.run_to_completion(1).is_none() && is_near(driver.run_to_completion(2), 3.5));
}

#[test]
fn killed_worker_then_its_jobs_are_lost_and_it_warms_up_after_restart() {
    let mut driver = Driver::new(1);
    driver.arrive(Timestamp::ZERO, 0, 1, job(1));
    driver.arrive(Timestamp::ZERO, 0, 2, job(1));
    assert_eq!(driver.handle(after(0.5), PoolInput::Kill(0)), [PoolEffect::Lost(1), PoolEffect::Lost(2)]);
    assert_eq!(driver.arrive(after(0.6), 0, 3, job(1)), [PoolEffect::Rejected(3)]);
    driver.handle(after(1.0), PoolInput::Start(0));
    driver.arrive(after(1.0), 0, 4, job(1));
    assert!(
        driver.run_to_completion(4).is_some_and(|at| at > after(6.0)),
        "the job needs another fetch and the worker is warming up"
    );
}

#[test]
fn too_much_work_offered_then_worker_in_warm_up_crashes_and_warm_worker_does_not() {
    let mut driver = Driver::new(1);
    // A warm worker rejects any amount of work beyond its capacity without crashing.
    for attempt in 1..=12 {
        driver.arrive(Timestamp::ZERO, 0, attempt, job(1));
    }
    assert!(!driver.history.iter().any(|(_, effect)| matches!(effect, PoolEffect::Overloaded(_))));
    driver.handle(Timestamp::from_micros(1), PoolInput::Kill(0));
    driver.handle(Timestamp::from_micros(2), PoolInput::Start(0));
    let overloaded = (20..=32).find(|attempt| {
        driver.arrive(Timestamp::from_micros(3), 0, *attempt, job(1)).contains(&PoolEffect::Overloaded(0))
    });
    assert!(overloaded.is_some(), "the limit of 2 cores of speed 2 at 13 % capacity is 3.1 s of work in 2 s");
}

#[test]
fn drained_worker_then_queued_jobs_are_returned_and_running_ones_complete() {
    let mut driver = Driver::new(1);
    driver.arrive(Timestamp::ZERO, 0, 1, JobDemand { slots: 2, ..job(1) });
    driver.arrive(Timestamp::ZERO, 0, 2, job(1));
    assert_eq!(driver.handle(Timestamp::from_micros(1), PoolInput::Drain(0)), [PoolEffect::Returned(2)]);
    assert_eq!(driver.arrive(Timestamp::from_micros(2), 0, 3, job(1)), [PoolEffect::Rejected(3)]);
    assert!(is_near(driver.run_to_completion(1), 3.0) && driver.run_to_completion(2).is_none());
}

#[test]
fn duplicate_of_job_with_idempotency_key_then_it_is_dropped_in_its_cell_and_runs_in_another() {
    let mut driver = Driver::new(2);
    let job_with_key = |data_set| JobDemand { idempotency_key: Some(77), ..job(data_set) };
    driver.arrive(Timestamp::ZERO, 0, 1, job_with_key(1));
    assert!(is_near(driver.run_to_completion(1), 3.0));
    let duplicate = driver.arrive(after(5.0), 0, 2, job_with_key(1));
    assert_eq!(duplicate, [PoolEffect::Accepted(2), PoolEffect::Started(2), PoolEffect::Completed(2)]);
    assert_eq!(driver.arrive(after(5.0), 1, 3, job_with_key(1)).last(), Some(&PoolEffect::Started(3)));
}

#[test]
fn slowdown_set_and_removed_during_a_job_then_each_speed_applies_in_turn() {
    let mut driver = Driver::new(1);
    driver.arrive(Timestamp::ZERO, 0, 1, job(1));
    driver.handle(after(2.0), PoolInput::SetSlowdown { worker: 0, factor: 4.0 });
    driver.handle(after(6.0), PoolInput::SetSlowdown { worker: 0, factor: 1.0 });
    assert!(
        is_near(driver.run_to_completion(1), 6.0),
        "2 s of work take 1 s without the slowdown, and the other 2 s take 4 s with it"
    );
}
