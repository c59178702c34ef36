//! Randomized lifecycle tests: short runs of one node. A seed determines the events of a run, and every
//! invariant is checked after each event.
//!
//! Environment variables:
//! - `LIVES_SEED=n` runs only this seed, or starts from it if `LIVES_COUNT` is set.
//! - `LIVES_COUNT=n` sets the number of consecutive seeds to run.
//! - `LIVES_AT_ONCE=n` sets the number of runs in parallel.

mod connection;
mod job_model;
mod lifecycle;
mod worker_script;

use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;

use lifecycle::{Lifecycle, Tally};

/// Number of runs by default.
const DEFAULT_RUN_COUNT: u64 = 12;

/// Returns the number in an environment variable, if it is set.
fn number_from_environment(name: &str) -> Option<u64> {
    std::env::var(name).ok().map(|text| {
        text.parse().unwrap_or_else(|_| panic!("environment variable {name} is not a number: {text}"))
    })
}

#[test]
fn events_are_picked_at_random_then_every_invariant_holds() {
    let seed = number_from_environment("LIVES_SEED");
    let count =
        number_from_environment("LIVES_COUNT").unwrap_or(if seed.is_some() { 1 } else { DEFAULT_RUN_COUNT });
    let first_seed = seed.unwrap_or(1);
    let next_seed = AtomicU64::new(first_seed);
    let tallies: Vec<Option<Tally>> = thread::scope(|scope| {
        let run_seeds = || {
            let mut tallies = vec![];
            loop {
                let seed = next_seed.fetch_add(1, Ordering::Relaxed);
                if seed >= first_seed + count {
                    return tallies;
                }
                // A run that violates an invariant panics with a message that names the invariant.
                let run = thread::Builder::new()
                    .spawn(move || Lifecycle::new(seed).run())
                    .expect("starting the thread failed");
                tallies.push(run.join().ok());
            }
        };
        let threads: Vec<_> = (0..number_from_environment("LIVES_AT_ONCE").unwrap_or(6))
            .map(|_| scope.spawn(run_seeds))
            .collect();
        threads
            .into_iter()
            .flat_map(|thread| thread.join().expect("a thread panicked outside its runs"))
            .collect()
    });
    let completed: Vec<_> = tallies.iter().flatten().collect();
    if let Some(first_tally) = completed.first() {
        let sum = |index: usize| {
            format!(
                "{} {}",
                completed.iter().map(|tally| tally[index].1).sum::<usize>(),
                first_tally[index].0
            )
        };
        println!(
            "{} runs: {}",
            completed.len(),
            (0..first_tally.len()).map(sum).collect::<Vec<_>>().join(", ")
        );
    }
    let failed_count = tallies.len() - completed.len();
    assert!(failed_count == 0, "{failed_count} of {count} runs violated an invariant");
}
