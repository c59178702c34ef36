//! Slow start: all nodes together stay within the budget of a worker that is warming up, and use the budget.

use crate::common::*;

/// An attempt at a worker that is warming up.
struct SentAttempt {
    worker: u64,
    at: Timestamp,
    work: TimeSpan,
}

/// The budget of a worker of speed 1 with one slot: three times its capacity within 1 s. The capacity is a fifth at
/// first, for 0.6 s of work, and grows as the worker warms up.
#[track_caller]
fn assert_within_budget(sends: &[SentAttempt]) {
    for SentAttempt { worker, at, .. } in sends {
        let window = *at..*at + SECOND;
        let in_window = sends.iter().filter(|other| other.worker == *worker && window.contains(&other.at));
        let sum = in_window.map(|other| other.work).sum::<TimeSpan>().as_secs_f64();
        let warm_up_fraction = 0.2 + 0.8 * at.seconds_since(START) / 20.0;
        assert!(sum <= 3.0 * warm_up_fraction, "{sum} s of work to worker {worker} from {at:?} on");
    }
}

/// What nodes, each with a job of 50 ms every `interval`, send to the only worker, which has just started.
fn sends_to_one_worker(nodes: u32, interval: TimeSpan, span: TimeSpan) -> Vec<SentAttempt> {
    let mut sends = Vec::new();
    for node_index in 0..nodes {
        let mut node = TestNode::new(node_settings(nodes, node_index), &endpoints(1));
        node.list(&[Endpoint { started_at: node.now, ..endpoint(0) }]);
        let end = node.now + span;
        node.now += interval * u64::from(node_index) / u64::from(nodes);
        for job in 0..(end - node.now).as_micros().div_ceil(interval.as_micros()) {
            if let Some(worker) = node.place(job, 0, 0.05) {
                sends.push(SentAttempt { worker, at: node.now, work: millis(50) });
            }
            node.serve(job, millis(10));
            node.now += interval - millis(10);
        }
    }
    sends
}

#[test]
fn one_worker_warms_up_then_all_nodes_together_keep_its_budget_and_use_it() {
    // A hundred nodes with a job every 2 s: by the rotation alone, one of them would send six jobs in 12 s.
    let rare = (100, seconds(2), seconds(12), SECOND);
    let frequent = [1, 2, 9, 50].map(|nodes| (nodes, millis(10), seconds(3), millis(300)));
    for (nodes, interval, span, min_work) in frequent.into_iter().chain([rare]) {
        let sends = sends_to_one_worker(nodes, interval, span);
        assert_within_budget(&sends);
        let sum: TimeSpan = sends.iter().map(|send| send.work).sum();
        assert!(sum > min_work, "{sum:?} of work in {span:?} from {nodes} nodes");
    }
}

/// What 150 nodes send to six workers of a hundred that have just started; only these can run one job in ten.
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
        node.list(&workers);
        node.now += micros(600) * u64::from(node_index);
        for job in 0..60 {
            // Jobs that waited for the rotation are sent when the next job is submitted.
            let actions = node.submit(job, usize::from(job % 10 > 0), 0.02);
            let attempts: Vec<(u64, u64)> = actions.iter().filter_map(sent_attempt).collect();
            let to_warming = attempts.iter().filter(|(_, worker)| *worker < 6);
            sends.extend(to_warming.map(|(_, worker)| SentAttempt {
                worker: *worker,
                at: node.now,
                work: millis(20),
            }));
            for (job, _) in &attempts {
                node.start(*job, 0);
            }
            node.now += millis(20);
            for (job, _) in &attempts {
                node.end(*job, 0, Outcome::Done);
            }
            node.now += millis(80);
        }
    }
    sends
}

/// Job and worker of an attempt that is sent.
fn sent_attempt(action: &Action) -> Option<(u64, u64)> {
    match action {
        Action::SendAttempt { job, worker, .. } => Some((job.0, worker.0)),
        _ => None,
    }
}

#[test]
fn few_of_many_workers_warm_up_then_all_nodes_together_keep_their_budgets_and_use_them() {
    // A tenth of all work would be 0.5 s a second at each of the six, and all jobs that waited for the rotation would
    // be sent in addition.
    let sends = sends_to_few_workers();
    assert_within_budget(&sends);
    assert!(sends.len() > 100, "the workers are used: {} jobs", sends.len());
}

/// Work in seconds that one of fifty nodes sends within a second to a worker that has just started, while the node
/// has a job at each of ten others.
fn work_sent_by_a_busy_node(node_index: u32) -> f64 {
    let mut workers = endpoints(11);
    (workers[10].status, workers[10].kind) = (WorkerStatus::Draining, KindId(1));
    let mut settings = node_settings(50, node_index);
    settings.classes[0].required_kind = Some(KindId(1));
    let mut node = TestNode::new(settings, &workers);
    for job in 0..10 {
        let deadline = node.now + seconds(99);
        node.submit_job(JobSubmission { deadline, ..submission(job, 2, 0.1, node.now) });
        node.start(job, 0);
    }
    node.advance(seconds(10));
    (workers[10].status, workers[10].started_at) = (WorkerStatus::Ready, node.now);
    node.list(&workers);
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
fn busy_node_estimates_slots_then_they_do_not_raise_a_warming_workers_budget() {
    // The jobs of all nodes would be fifty at each worker. The node has observed only one slot at each, and one slot
    // with a fifth of its capacity may be sent 0.6 s of work each second.
    let max = (0..50).map(work_sent_by_a_busy_node).fold(0.0, f64::max);
    assert!(max > 0.0 && max < 0.6, "{max} s of work by one node in a second");
}

/// The worker of a job of one of two nodes, after jobs that waited for long at warm workers.
fn worker_after_long_waits(node_index: u32) -> Option<u64> {
    let workers = [endpoint(0), Endpoint { started_at: at(micros(1)), ..endpoint(1) }];
    let warm_up = seconds(1_000);
    let settings = Settings { warm_up_floor: 0.4, warm_up, ..node_settings(2, node_index) };
    let mut node = TestNode::new(settings, &workers);
    for job in 0..3 {
        node.submit(job, 0, 0.2);
        node.now += SECOND;
        node.serve(job, millis(200));
    }
    node.now += seconds(2);
    node.place(3, 0, 0.2)
}

#[test]
fn jobs_wait_at_warm_workers_then_their_waits_do_not_count_at_a_warming_one_of_the_kind() {
    // The job costs 0.2 s and a wait of nearly a second at the warm worker, and 0.5 s at two fifths of the speed at the
    // other. The rotation allows it to one of the two nodes.
    let chosen = [0, 1].map(worker_after_long_waits);
    assert!(chosen.contains(&Some(1)), "{chosen:?}");
}

#[test]
fn worker_is_reachable_again_then_it_warms_up() {
    let mut node = TestNode::new(settings(), &endpoints(1));
    node.submit(1, 0, 0.1);
    node.end(1, 0, Outcome::Unreachable);
    assert!(sent_to(&node.advance(millis(200))).is_some(), "the job is retried once the ejection is over");
    node.start(1, 1);
    node.end_after(millis(100), 1, 1, Outcome::Done);
    node.advance(millis(300));
    assert!(node.place(3, 0, 2.0).is_none(), "a large job would overload it");
}

#[test]
fn connection_is_lost_then_the_worker_does_not_warm_up() {
    // Workers may reset connections without a restart; if they counted as warming up, they would get no large job for
    // long.
    let mut node = TestNode::new(settings(), &endpoints(1));
    node.submit(1, 0, 0.1);
    node.end(1, 0, Outcome::Lost);
    node.advance(millis(200));
    assert!(
        node.run_job(2, 0, 0.1, millis(100)).is_some(),
        "the worker gets another job once the ejection is over"
    );
    node.advance(millis(300));
    assert!(node.place(3, 0, 2.0).is_some());
}

#[test]
fn jobs_of_long_tailed_work_have_no_hints_then_the_budget_is_kept() {
    // Nine in ten jobs of the class run for 50 ms, one for 2 s: 245 ms in the mean, 72 ms in the middle.
    let submission_without_hint =
        |job, now| JobSubmission { cost_hint: None, ..submission(job, 0, 0.0, now) };
    let mut node = TestNode::new(settings(), &endpoints(1));
    for job in 0..200 {
        node.submit_job(submission_without_hint(job, node.now));
        node.serve(job, if job % 10 == 9 { seconds(2) } else { millis(50) });
    }
    let draining = Endpoint { status: WorkerStatus::Draining, ..endpoint(0) };
    node.list(&[draining, Endpoint { started_at: node.now, ..endpoint(1) }]);
    let mut sends = 0;
    for job in 1_000..1_040 {
        let actions = node.submit_job(submission_without_hint(job, node.now));
        for action in actions.into_iter().chain(node.advance(millis(10))) {
            let Some((job, worker)) = sent_attempt(&action) else { continue };
            assert_eq!(worker, 1);
            sends += 1;
            node.serve(job, TimeSpan::ZERO);
        }
    }
    // 0.4 s have passed: all jobs were sent within one window of a second, for which three times a fifth is allowed.
    let allowed = 3.0 * (0.2 + 0.8 * 0.4 / 20.0) * 1.0;
    assert!(sends >= 1, "the worker is used");
    assert!(f64::from(sends) * 0.245 <= allowed, "{sends} jobs, {allowed} s allowed");
}
