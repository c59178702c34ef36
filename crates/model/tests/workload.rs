//! The workload that is drawn from a seed.

use curlewusher_model::TimeSpan;
use curlewusher_model::workload::{JobClass, LoadSegment, PlannedJob, WorkloadSpec};

fn seconds(seconds: f64) -> TimeSpan {
    TimeSpan::from_secs_f64(seconds)
}

fn spec() -> WorkloadSpec {
    let class = |share, slots| JobClass { share, mean_seconds: 0.5, slots };
    WorkloadSpec {
        seed: 7,
        length: seconds(100.0),
        rate: 50.0,
        load_curve: vec![LoadSegment { from: seconds(50.0), until: seconds(60.0), factor: 3.0 }],
        classes: vec![class(0.75, 1), class(0.25, 2)],
        sets: 100,
        skew: 1.0,
        hint_spread: 0.2,
    }
}

#[test]
fn same_seed_then_same_jobs_and_rates_shares_and_sizes_are_as_specified() {
    let jobs = spec().draw();
    assert_eq!(jobs, spec().draw());
    assert_ne!(jobs, WorkloadSpec { seed: 8, ..spec() }.draw());
    let count = |is_counted: &dyn Fn(&&PlannedJob) -> bool| jobs.iter().filter(is_counted).count() as f64;
    // 90 s at 50 and 10 s at 150; bounds are four standard deviations wide.
    assert!((count(&|_| true) - 6000.0).abs() < 4.0 * 78.0);
    let in_segment = count(&|job| (seconds(50.0)..seconds(60.0)).contains(&job.submit_at));
    assert!((in_segment - 1500.0).abs() < 4.0 * 39.0);
    assert!((count(&|job| job.class == 1) / jobs.len() as f64 - 0.25).abs() < 0.03);
    let mean = jobs.iter().map(|job| job.work_seconds).sum::<f64>() / jobs.len() as f64;
    assert!((mean - 0.5).abs() < 0.02);
    assert!(jobs.iter().all(|job| job.slots == 1 || job.class == 1));
}

#[test]
fn change_of_one_parameter_then_no_other_draw_is_shuffled() {
    let (plain, unskewed) = (spec().draw(), WorkloadSpec { skew: 0.0, ..spec() }.draw());
    let others = |job: &PlannedJob| (job.submit_at, job.class, job.slots);
    assert!(plain.iter().zip(&unskewed).all(|(a, b)| others(a) == others(b)));
    assert!(plain.iter().zip(&unskewed).any(|(a, b)| a.set != b.set));
}
