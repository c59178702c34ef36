//! Interface of the dispatcher: determinism, events of unknown or ended jobs, and validation of settings.

use crate::common::*;

#[test]
fn events_are_late_or_of_unknown_jobs_then_they_are_ignored() {
    let mut node = TestNode::new(settings(), &endpoints(1));
    node.submit(1, 0, 0.1);
    node.end_attempt(1, 0, Outcome::Done);
    for attempt in [0, 1, u32::MAX] {
        assert_eq!(sent_to(&node.end_attempt(1, attempt, Outcome::Lost)), None);
        assert_eq!(sent_to(&node.start_attempt(77, attempt)), None);
        node.handle(Event::AttemptProgressed { job: JobId(1), attempt, fraction_done: f64::NAN });
    }
    node.handle(Event::ClientDisconnected { job: JobId(77) });
    node.handle(Event::GossipReceived { from: 9, data: &[1, 2, 3] });
    assert!(has_failure(&node.submit(5, 9, 0.1)), "a job of an unknown class does not fail");
    for (job, hint, slots) in [(6, f64::NAN, f64::NAN), (7, -1.0, -3.0), (8, f64::INFINITY, 1e300)] {
        node.submit_job(JobSubmission {
            slots,
            deadline: Timestamp::ORIGIN,
            ..submission(job, 0, hint, node.now)
        });
    }
    node.advance(SECOND);
}

#[test]
fn events_are_the_same_then_the_actions_are_the_same() {
    let run = || {
        let mut node = TestNode::new(settings(), &endpoints(5));
        let mut all = Vec::new();
        for job in 0..50 {
            all.extend(node.submit(job, (job % 3) as usize, 0.02));
            all.extend(node.advance(millis(15)));
            all.extend(node.end_attempt(job, 0, if job % 7 == 0 { Outcome::Lost } else { Outcome::Done }));
        }
        all
    };
    assert_eq!(run(), run());
}

#[test]
fn settings_are_invalid_then_the_field_is_named() {
    let invalid_field = |change: fn(&mut Settings)| {
        let mut settings = settings();
        change(&mut settings);
        Dispatcher::new(settings, 1).err().map(|error| error.field)
    };
    assert_eq!(invalid_field(|settings| settings.classes.clear()), Some("classes"));
    assert_eq!(invalid_field(|settings| settings.warm_up_floor = 1.5), Some("cold_share"));
    assert_eq!(
        invalid_field(|settings| settings.classes[0].latency_objective_work_factor = -1.0),
        Some("classes.stretch")
    );
    assert_eq!(invalid_field(|settings| settings.tenant_quotas = vec![f64::NAN]), Some("tenant_quotas"));
    assert_eq!(invalid_field(|settings| settings.nodes = 0), Some("nodes"));
    assert_eq!(invalid_field(|_| {}), None);
}
