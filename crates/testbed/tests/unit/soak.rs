//! The same seed draws the same faults, and all that is drawn is a valid scenario.

use crate::scenario::{FaultKind, Scenario};
use crate::soak::{MAX_PAUSE_S, Soak};

fn soak(seed: u64) -> Soak {
    Soak { seed, nodes: 8, workers: 9, length_s: 20.0, faults: 12 }
}

#[test]
fn faults_are_drawn_then_they_are_valid_and_the_same_for_a_seed() {
    for seed in 0..300 {
        let scenario = soak(seed).scenario();
        let text = toml::to_string(&scenario).expect("a scenario is TOML");
        let read = Scenario::parse(&text).unwrap_or_else(|problem| panic!("seed {seed}: {problem}"));
        assert_eq!(read.faults.len(), 12);
        assert_eq!(text, toml::to_string(&soak(seed).scenario()).expect("a scenario is TOML"));
        for fault in &scenario.faults {
            let for_s = fault.for_s.expect("each ends");
            assert!(
                fault.at_s + for_s <= 20.0 && (fault.kind != FaultKind::NodePause || for_s <= MAX_PAUSE_S)
            );
        }
    }
}
