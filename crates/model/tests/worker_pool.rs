//! The worker pool, driven by set times: what is accepted, how long it runs, and what is lost.

use curlewusher_model::worker_pool::{
    Arrival, JobDemand, Machine, PoolEffect, PoolInput, PoolParameters, WorkerPool,
};
use curlewusher_model::{TimeSpan, Timestamp};

/// So many seconds after the start.
fn after(seconds: f64) -> Timestamp {
    Timestamp::ZERO + TimeSpan::from_secs_f64(seconds)
}

fn pool(machines: usize) -> WorkerPool {
    let machine = |bay| Machine { bay, cores: 2.0, speed: 2.0, slots: 2, memory: 4.0, queue: 1, sets: 2 };
    let parameters =
        PoolParameters { fetch_seconds: 1.0, archive_concurrency: 1.0, ..PoolParameters::default() };
    WorkerPool::new((0..machines as u32).map(machine).collect(), parameters)
}

fn job(set: u64) -> JobDemand {
    JobDemand { work_seconds: 4.0, slots: 1, memory: 1.0, set, key: None }
}

struct Driver {
    pool: WorkerPool,
    history: Vec<(Timestamp, PoolEffect)>,
}

impl Driver {
    fn new(machines: usize) -> Self {
        Driver { pool: pool(machines), history: Vec::new() }
    }

    /// Effects that follow at once.
    fn handle(&mut self, at: Timestamp, input: PoolInput) -> Vec<PoolEffect> {
        let mut effects = Vec::new();
        self.pool.handle(at, input, &mut effects);
        self.history.extend(effects.iter().map(|effect| (at, *effect)));
        effects
    }

    fn arrive(&mut self, at: Timestamp, worker: usize, attempt: u64, demand: JobDemand) -> Vec<PoolEffect> {
        self.handle(at, PoolInput::Arrive(Arrival { worker, attempt, demand }))
    }

    /// Runs to the end and returns when an attempt was completed.
    fn completion_of(&mut self, attempt: u64) -> Option<Timestamp> {
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
    at.is_some_and(|moment| moment.abs_diff(after(seconds)) <= TimeSpan::from_micros(20))
}

#[test]
fn first_job_of_a_set_then_it_is_fetched_once_and_jobs_run_at_the_speed_of_the_worker() {
    let mut driver = Driver::new(1);
    assert_eq!(
        driver.arrive(Timestamp::ZERO, 0, 1, job(9)),
        [PoolEffect::Accepted(1), PoolEffect::Started(1)]
    );
    assert!(is_near(driver.completion_of(1), 3.0), "1 s of fetch, 4 s of work at twice the speed");
    driver.arrive(after(10.0), 0, 2, job(9));
    assert!(is_near(driver.completion_of(2), 12.0), "the set is cached");
}

#[test]
fn concurrent_fetches_then_they_share_the_archive() {
    let mut driver = Driver::new(2);
    driver.arrive(Timestamp::ZERO, 0, 1, job(1));
    driver.arrive(Timestamp::ZERO, 1, 2, job(2));
    assert!(
        is_near(driver.completion_of(1), 4.0) && is_near(driver.completion_of(2), 4.0),
        "two at half the speed"
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
        "it would fit, but not before the head"
    );
    assert_eq!(
        driver.arrive(Timestamp::ZERO, 0, 4, JobDemand { slots: 3, ..job(1) }),
        [PoolEffect::Rejected(4)],
        "it never fits"
    );
    assert!(is_near(driver.completion_of(1), 3.0) && is_near(driver.completion_of(2), 5.0));
}

#[test]
fn cancelled_job_then_its_slots_are_free_and_it_is_reported_no_more() {
    let mut driver = Driver::new(1);
    driver.arrive(Timestamp::ZERO, 0, 1, JobDemand { slots: 2, ..job(1) });
    driver.arrive(Timestamp::ZERO, 0, 2, job(1));
    let freed = driver.handle(after(1.5), PoolInput::Cancel { worker: 0, attempt: 1 });
    assert_eq!(freed, [PoolEffect::Cancelled { attempt: 1, had_started: true }, PoolEffect::Started(2)]);
    assert_eq!(
        driver.handle(after(1.6), PoolInput::Cancel { worker: 0, attempt: 1 }),
        [],
        "it is unknown by now"
    );
    assert!(driver.completion_of(1).is_none() && is_near(driver.completion_of(2), 3.5));
}

#[test]
fn killed_worker_then_its_jobs_are_lost_and_it_warms_up_after_its_start() {
    let mut driver = Driver::new(1);
    driver.arrive(Timestamp::ZERO, 0, 1, job(1));
    driver.arrive(Timestamp::ZERO, 0, 2, job(1));
    assert_eq!(driver.handle(after(0.5), PoolInput::Kill(0)), [PoolEffect::Lost(1), PoolEffect::Lost(2)]);
    assert_eq!(driver.arrive(after(0.6), 0, 3, job(1)), [PoolEffect::Rejected(3)]);
    driver.handle(after(1.0), PoolInput::Start(0));
    driver.arrive(after(1.0), 0, 4, job(1));
    assert!(driver.completion_of(4).is_some_and(|at| at > after(6.0)), "it fetches again and warms up");
}

#[test]
fn too_much_work_offered_then_a_worker_that_warms_up_crashes_and_a_warm_one_does_not() {
    let mut driver = Driver::new(1);
    // A warm one rejects what it cannot take, however much.
    for attempt in 1..=12 {
        driver.arrive(Timestamp::ZERO, 0, attempt, job(1));
    }
    assert!(!driver.history.iter().any(|(_, effect)| matches!(effect, PoolEffect::Overloaded(_))));
    driver.handle(Timestamp::from_micros(1), PoolInput::Kill(0));
    driver.handle(Timestamp::from_micros(2), PoolInput::Start(0));
    let overloaded = (20..=32).find(|attempt| {
        driver.arrive(Timestamp::from_micros(3), 0, *attempt, job(1)).contains(&PoolEffect::Overloaded(0))
    });
    assert!(overloaded.is_some(), "2 cores of speed 2 at 13 % can do 3.1 s of work in 2 s");
}

#[test]
fn drained_worker_then_queued_jobs_are_returned_and_running_ones_complete() {
    let mut driver = Driver::new(1);
    driver.arrive(Timestamp::ZERO, 0, 1, JobDemand { slots: 2, ..job(1) });
    driver.arrive(Timestamp::ZERO, 0, 2, job(1));
    assert_eq!(driver.handle(Timestamp::from_micros(1), PoolInput::Drain(0)), [PoolEffect::Returned(2)]);
    assert_eq!(driver.arrive(Timestamp::from_micros(2), 0, 3, job(1)), [PoolEffect::Rejected(3)]);
    assert!(is_near(driver.completion_of(1), 3.0) && driver.completion_of(2).is_none());
}

#[test]
fn repeat_of_a_job_with_a_key_then_it_is_dropped_in_its_bay_and_runs_in_another() {
    let mut driver = Driver::new(2);
    let keyed = |set| JobDemand { key: Some(77), ..job(set) };
    driver.arrive(Timestamp::ZERO, 0, 1, keyed(1));
    assert!(is_near(driver.completion_of(1), 3.0));
    let repeated = driver.arrive(after(5.0), 0, 2, keyed(1));
    assert_eq!(repeated, [PoolEffect::Accepted(2), PoolEffect::Started(2), PoolEffect::Completed(2)]);
    assert_eq!(driver.arrive(after(5.0), 1, 3, keyed(1)).last(), Some(&PoolEffect::Started(3)));
}

#[test]
fn slowdown_set_and_lifted_during_a_job_then_it_runs_at_either_speed_in_turn() {
    let mut driver = Driver::new(1);
    driver.arrive(Timestamp::ZERO, 0, 1, job(1));
    driver.handle(after(2.0), PoolInput::SetSlowdown { worker: 0, factor: 4.0 });
    driver.handle(after(6.0), PoolInput::SetSlowdown { worker: 0, factor: 1.0 });
    assert!(is_near(driver.completion_of(1), 6.0), "2 s of work in 1 s, then 2 s more in 4 s");
}
