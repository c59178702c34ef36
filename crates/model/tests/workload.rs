//! Tests of the workload that is sampled from a seed.

use curlewusher_model::TimeSpan;
use curlewusher_model::workload::{JobClass, LoadSegment, PlannedJob, WorkloadSpec};

fn seconds(seconds: f64) -> TimeSpan {
    TimeSpan::from_secs_f64(seconds)
}

fn spec() -> WorkloadSpec {
    let class = |weight, large_job_slots| JobClass { weight, mean_work_seconds: 0.5, large_job_slots };
    WorkloadSpec {
        seed: 7,
        duration: seconds(100.0),
        arrival_rate: 50.0,
        load_curve: vec![LoadSegment { from: seconds(50.0), until: seconds(60.0), factor: 3.0 }],
        classes: vec![class(0.75, 1), class(0.25, 2)],
        data_set_count: 100,
        zipf_exponent: 1.0,
        hint_spread: 0.2,
    }
}

#[test]
fn same_seed_then_same_jobs_and_rates_weights_and_work_are_as_specified() {
    let jobs = spec().sample_jobs();
    assert_eq!(jobs, spec().sample_jobs());
    assert_ne!(jobs, WorkloadSpec { seed: 8, ..spec() }.sample_jobs());
    let count = |is_counted: &dyn Fn(&&PlannedJob) -> bool| jobs.iter().filter(is_counted).count() as f64;
    // 90 s at 50 jobs per second and 10 s at 150. The tolerances are four standard deviations.
    assert!((count(&|_| true) - 6000.0).abs() < 4.0 * 78.0);
    let in_segment = count(&|job| (seconds(50.0)..seconds(60.0)).contains(&job.submit_at));
    assert!((in_segment - 1500.0).abs() < 4.0 * 39.0);
    assert!((count(&|job| job.class == 1) / jobs.len() as f64 - 0.25).abs() < 0.03);
    let mean = jobs.iter().map(|job| job.work_seconds).sum::<f64>() / jobs.len() as f64;
    assert!((mean - 0.5).abs() < 0.02);
    assert!(jobs.iter().all(|job| job.slots == 1 || job.class == 1));
}

#[test]
fn one_parameter_changed_then_samples_of_the_others_are_unchanged() {
    let (skewed, unskewed) =
        (spec().sample_jobs(), WorkloadSpec { zipf_exponent: 0.0, ..spec() }.sample_jobs());
    let others = |job: &PlannedJob| (job.submit_at, job.class, job.slots);
    assert!(skewed.iter().zip(&unskewed).all(|(a, b)| others(a) == others(b)));
    assert!(skewed.iter().zip(&unskewed).any(|(a, b)| a.data_set != b.data_set));
}
