//! Short lives of one node, drawn from a seed, with what must hold after every event.
//!
//! `LIVES_SEED=n` lives the life of that seed alone, `LIVES_COUNT=n` so many from it on, `LIVES_AT_ONCE=n`
//! so many
//! side by side.

mod ledger;
mod life;
mod script;
mod wire;

use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;

use life::{Life, Tally};

/// Lives that are lived without being asked for.
const COUNT: u64 = 12;

fn figure(name: &str) -> Option<u64> {
    std::env::var(name)
        .ok()
        .map(|text| text.parse().unwrap_or_else(|_| panic!("{name} is no number: {text}")))
}

#[test]
fn short_lives_keep_every_promise() {
    let seed = figure("LIVES_SEED");
    let count = figure("LIVES_COUNT").unwrap_or(if seed.is_some() { 1 } else { COUNT });
    let first = seed.unwrap_or(1);
    let next = AtomicU64::new(first);
    let lives: Vec<Option<Tally>> = thread::scope(|scope| {
        let lives = || {
            let mut lives = vec![];
            loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if seed >= first + count {
                    return lives;
                }
                // What was broken is said by the panic itself.
                let life = thread::Builder::new().spawn(move || Life::new(seed).run()).expect("a thread");
                lives.push(life.join().ok());
            }
        };
        let at_once: Vec<_> = (0..figure("LIVES_AT_ONCE").unwrap_or(6)).map(|_| scope.spawn(lives)).collect();
        at_once.into_iter().flat_map(|lives| lives.join().expect("it returns")).collect()
    });
    let whole: Vec<_> = lives.iter().flatten().collect();
    if let Some(one) = whole.first() {
        let sum = |at: usize| format!("{} {}", whole.iter().map(|life| life[at].1).sum::<usize>(), one[at].0);
        println!("{} lives: {}", whole.len(), (0..one.len()).map(sum).collect::<Vec<_>>().join(", "));
    }
    let broken = lives.len() - whole.len();
    assert!(broken == 0, "{broken} of {count} lives broke a promise");
}
