//! Randomized lifecycle tests: short runs of one node whose events are drawn from a seed, with invariants that are
//! checked after every event.
//!
//! `LIVES_SEED=n` plays the run of that seed alone, `LIVES_COUNT=n` so many from it on, `LIVES_AT_ONCE=n` so many
//! in parallel.

mod connection;
mod job_model;
mod lifecycle;
mod worker_script;

use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;

use lifecycle::{Lifecycle, Tally};

/// Runs that are played by default.
const DEFAULT_RUN_COUNT: u64 = 12;

/// The number in an environment variable, if that is set.
fn number_from_environment(name: &str) -> Option<u64> {
    std::env::var(name)
        .ok()
        .map(|text| text.parse().unwrap_or_else(|_| panic!("{name} is no number: {text}")))
}

#[test]
fn events_are_drawn_at_random_then_every_invariant_holds() {
    let seed = number_from_environment("LIVES_SEED");
    let count =
        number_from_environment("LIVES_COUNT").unwrap_or(if seed.is_some() { 1 } else { DEFAULT_RUN_COUNT });
    let first = seed.unwrap_or(1);
    let next = AtomicU64::new(first);
    let tallies: Vec<Option<Tally>> = thread::scope(|scope| {
        let play_runs = || {
            let mut tallies = vec![];
            loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if seed >= first + count {
                    return tallies;
                }
                // The panic says which invariant is broken.
                let run = thread::Builder::new().spawn(move || Lifecycle::new(seed).run()).expect("a thread");
                tallies.push(run.join().ok());
            }
        };
        let threads: Vec<_> = (0..number_from_environment("LIVES_AT_ONCE").unwrap_or(6))
            .map(|_| scope.spawn(play_runs))
            .collect();
        threads.into_iter().flat_map(|thread| thread.join().expect("it returns")).collect()
    });
    let whole: Vec<_> = tallies.iter().flatten().collect();
    if let Some(one) = whole.first() {
        let sum =
            |at: usize| format!("{} {}", whole.iter().map(|tally| tally[at].1).sum::<usize>(), one[at].0);
        println!("{} runs: {}", whole.len(), (0..one.len()).map(sum).collect::<Vec<_>>().join(", "));
    }
    let broken = tallies.len() - whole.len();
    assert!(broken == 0, "{broken} of {count} runs broke an invariant");
}
