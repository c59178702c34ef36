//! Slow start: all nodes together stay within the budget of a worker that is warming up, and use that budget.

use crate::common::*;

/// Attempt that was sent to a worker that is warming up.
struct SentAttempt {
    worker: u64,
    sent_at: Timestamp,
    work: TimeSpan,
}

/// Asserts that all sends are within the budget of their worker, which has speed 1 and one slot. The budget
/// within 1 s is three times the capacity. The capacity is a fifth at first, so that the budget is 0.6 s of
/// work, and grows as the worker warms up.
#[track_caller]
fn assert_within_budget(sends: &[SentAttempt]) {
    for SentAttempt { worker, sent_at, .. } in sends {
        let window = *sent_at..*sent_at + SECOND;
        let in_window =
            sends.iter().filter(|other| other.worker == *worker && window.contains(&other.sent_at));
        let sum = in_window.map(|other| other.work).sum::<TimeSpan>().as_secs_f64();
        let warm_up_fraction = 0.2 + 0.8 * sent_at.seconds_since(START) / 20.0;
        assert!(
            sum <= 3.0 * warm_up_fraction,
            "{sum} s of work to worker {worker} within 1 s from {sent_at:?}"
        );
    }
}

/// Returns the sends of all nodes to the only worker, which has just started. Each node has a job of 50 ms
/// every `interval`.
fn sends_to_one_worker(nodes: u32, interval: TimeSpan, duration: TimeSpan) -> Vec<SentAttempt> {
    let mut sends = Vec::new();
    for node_index in 0..nodes {
        let mut node = TestNode::new(node_settings(nodes, node_index), &endpoints(1));
        node.deliver_endpoints(&[Endpoint { started_at: node.now, ..endpoint(0) }]);
        let end = node.now + duration;
        node.now += interval * u64::from(node_index) / u64::from(nodes);
        for job in 0..(end - node.now).as_micros().div_ceil(interval.as_micros()) {
            if let Some(worker) = node.place_job(job, 0, 0.05) {
                sends.push(SentAttempt { worker, sent_at: node.now, work: millis(50) });
            }
            node.run_first_attempt(job, millis(10));
            node.now += interval - millis(10);
        }
    }
    sends
}

#[test]
fn one_worker_warms_up_then_all_nodes_together_keep_its_budget_and_use_it() {
    // A hundred nodes with a job every 2 s. With the rotation alone, one of them would send six jobs in 12 s.
    let rare = (100, seconds(2), seconds(12), SECOND);
    let frequent = [1, 2, 9, 50].map(|nodes| (nodes, millis(10), seconds(3), millis(300)));
    for (nodes, interval, duration, min_work) in frequent.into_iter().chain([rare]) {
        let sends = sends_to_one_worker(nodes, interval, duration);
        assert_within_budget(&sends);
        let sum: TimeSpan = sends.iter().map(|send| send.work).sum();
        assert!(sum > min_work, "only {sum:?} of work in {duration:?} from {nodes} nodes");
    }
}

/// Returns the sends of 150 nodes to six of a hundred workers. The six have just started, and one in ten jobs
/// can run only there.
fn sends_to_few_workers() -> Vec<SentAttempt> {
    let mut sends = Vec::new();
    for node_index in 0..150 {
        let mut settings = node_settings(150, node_index);
        settings.classes[0].required_kind = Some(KindId(0));
        settings.classes[1].required_kind = Some(KindId(1));
        let listed = |worker| Endpoint { kind: KindId(u32::from(worker >= 6)), ..endpoint(worker) };
        let mut workers: Vec<Endpoint> = (0..100).map(listed).collect();
        let mut node = TestNode::new(settings, &workers);
        workers[..6].iter_mut().for_each(|worker| worker.started_at = node.now);
        node.deliver_endpoints(&workers);
        node.now += micros(600) * u64::from(node_index);
        for job in 0..60 {
            // Jobs that have waited for the rotation are sent when the next job is submitted.
            let actions = node.submit(job, usize::from(job % 10 > 0), 0.02);
            let attempts: Vec<(u64, u64)> = actions.iter().filter_map(sent_attempt).collect();
            let to_warming = attempts.iter().filter(|(_, worker)| *worker < 6);
            sends.extend(to_warming.map(|(_, worker)| SentAttempt {
                worker: *worker,
                sent_at: node.now,
                work: millis(20),
            }));
            for (job, _) in &attempts {
                node.start_attempt(*job, 0);
            }
            node.now += millis(20);
            for (job, _) in &attempts {
                node.end_attempt(*job, 0, Outcome::Done);
            }
            node.now += millis(80);
        }
    }
    sends
}

/// Returns the job and the worker of an attempt that is sent.
fn sent_attempt(action: &Action) -> Option<(u64, u64)> {
    match action {
        Action::SendAttempt { job, worker, .. } => Some((job.0, worker.0)),
        _ => None,
    }
}

#[test]
fn few_of_many_workers_warm_up_then_all_nodes_together_keep_their_budgets_and_use_them() {
    // A tenth of all work would be 0.5 s each second at each of the six. All jobs that have waited for the
    // rotation would be sent in addition.
    let sends = sends_to_few_workers();
    assert_within_budget(&sends);
    assert!(sends.len() > 100, "the workers that are warming up get only {} jobs", sends.len());
}

/// Returns the work in seconds that one of fifty nodes sends within a second to a worker that has just
/// started. The node has a job at each of ten other workers.
fn work_sent_by_a_busy_node(node_index: u32) -> f64 {
    let mut workers = endpoints(11);
    (workers[10].status, workers[10].kind) = (WorkerStatus::Draining, KindId(1));
    let mut settings = node_settings(50, node_index);
    settings.classes[0].required_kind = Some(KindId(1));
    let mut node = TestNode::new(settings, &workers);
    for job in 0..10 {
        let deadline = node.now + seconds(99);
        node.submit_job(JobSubmission { deadline, ..submission(job, 2, 0.1, node.now) });
        node.start_attempt(job, 0);
    }
    node.advance(seconds(10));
    (workers[10].status, workers[10].started_at) = (WorkerStatus::Ready, node.now);
    node.deliver_endpoints(&workers);
    let mut sum = 0.0;
    for job in 10..30 {
        if node.run_job(job, 0, 0.1, TimeSpan::ZERO) == Some(10) {
            sum += 0.1;
        }
        node.advance(millis(50));
    }
    sum
}

#[test]
fn busy_node_estimates_slots_then_they_do_not_raise_the_budget_of_a_worker_that_is_warming_up() {
    // All nodes together would have fifty jobs at each worker, but this node has observed only one slot at
    // each. A worker with one slot and a fifth of its capacity may be sent 0.6 s of work each second.
    let max = (0..50).map(work_sent_by_a_busy_node).fold(0.0, f64::max);
    assert!(max > 0.0 && max < 0.6, "a node sends up to {max} s of work in a second");
}

/// Returns the worker that one of two nodes chooses for a job after jobs that waited for long at warm
/// workers.
fn worker_after_long_waits(node_index: u32) -> Option<u64> {
    let workers = [endpoint(0), Endpoint { started_at: at(micros(1)), ..endpoint(1) }];
    let warm_up = seconds(1_000);
    let settings = Settings { warm_up_floor: 0.4, warm_up, ..node_settings(2, node_index) };
    let mut node = TestNode::new(settings, &workers);
    for job in 0..3 {
        node.submit(job, 0, 0.2);
        node.now += SECOND;
        node.run_first_attempt(job, millis(200));
    }
    node.now += seconds(2);
    node.place_job(3, 0, 0.2)
}

#[test]
fn jobs_wait_at_warm_workers_then_their_waits_do_not_count_at_one_of_the_same_kind_that_warms_up() {
    // The job costs 0.2 s plus a wait of nearly a second at the warm worker. At the other worker, it costs
    // 0.5 s at two fifths of the speed. The rotation allows one of the two nodes to send it there.
    let chosen = [0, 1].map(worker_after_long_waits);
    assert!(chosen.contains(&Some(1)), "{chosen:?}");
}

#[test]
fn worker_becomes_reachable_again_then_it_warms_up() {
    let mut node = TestNode::new(settings(), &endpoints(1));
    node.submit(1, 0, 0.1);
    node.end_attempt(1, 0, Outcome::Unreachable);
    assert!(
        sent_to(&node.advance(millis(200))).is_some(),
        "the job is not retried after the end of the ejection"
    );
    node.start_attempt(1, 1);
    node.end_attempt_after(millis(100), 1, 1, Outcome::Done);
    node.advance(millis(300));
    assert!(node.place_job(3, 0, 2.0).is_none(), "a large job is sent although it would overload the worker");
}

#[test]
fn connection_is_lost_then_the_worker_does_not_warm_up() {
    // Workers may reset connections without a restart. If they counted as warming up, they would get no large
    // job for a long time.
    let mut node = TestNode::new(settings(), &endpoints(1));
    node.submit(1, 0, 0.1);
    node.end_attempt(1, 0, Outcome::Lost);
    node.advance(millis(200));
    assert!(
        node.run_job(2, 0, 0.1, millis(100)).is_some(),
        "the worker gets no job after the end of the ejection"
    );
    node.advance(millis(300));
    assert!(node.place_job(3, 0, 2.0).is_some());
}

#[test]
fn jobs_without_cost_hints_have_long_tailed_work_then_the_budget_is_kept() {
    // Nine in ten jobs of the class run for 50 ms and one runs for 2 s. The arithmetic mean is 245 ms, the
    // geometric mean 72 ms.
    let submission_without_hint =
        |job, now| JobSubmission { cost_hint: None, ..submission(job, 0, 0.0, now) };
    let mut node = TestNode::new(settings(), &endpoints(1));
    for job in 0..200 {
        node.submit_job(submission_without_hint(job, node.now));
        node.run_first_attempt(job, if job % 10 == 9 { seconds(2) } else { millis(50) });
    }
    let draining = Endpoint { status: WorkerStatus::Draining, ..endpoint(0) };
    node.deliver_endpoints(&[draining, Endpoint { started_at: node.now, ..endpoint(1) }]);
    let mut sends = 0;
    for job in 1_000..1_040 {
        let actions = node.submit_job(submission_without_hint(job, node.now));
        for action in actions.into_iter().chain(node.advance(millis(10))) {
            let Some((job, worker)) = sent_attempt(&action) else { continue };
            assert_eq!(worker, 1);
            sends += 1;
            node.run_first_attempt(job, TimeSpan::ZERO);
        }
    }
    // All jobs are sent within 0.4 s and thus within one window of a second. The budget of the window is
    // three times the capacity, which is a fifth at first.
    let allowed = 3.0 * (0.2 + 0.8 * 0.4 / 20.0) * 1.0;
    assert!(sends >= 1, "the worker gets no job");
    assert!(f64::from(sends) * 0.245 <= allowed, "{sends} jobs of 0.245 s exceed the budget of {allowed} s");
}
