//! Disabling and enabling of workers while the endpoint list and the process of the node change.

use std::collections::BTreeMap;

use curlewusher_control::maintenance::DisabledWorkers;
use proptest::prelude::*;

proptest! {
    /// A worker is disabled from its DISABLE until its ENABLE, regardless of the endpoint lists in between
    /// and of how often the process of the node is replaced. A name that was never listed is rejected.
    #[test]
    fn lists_and_successors_between_commands_then_a_worker_stays_as_last_commanded(
        steps in prop::collection::vec((0u8..4, 0u8..6), 0..60),
    ) {
        let mut workers = DisabledWorkers::default();
        let mut expected: BTreeMap<String, bool> = BTreeMap::new();
        for (action, worker) in steps {
            let name = format!("s-{worker}");
            let is_listed = expected.contains_key(&name);
            match action {
                0 => {
                    workers.record_listed([name.as_str()]);
                    expected.entry(name).or_insert(false);
                }
                1 => {
                    prop_assert_eq!(workers.disable(&name).is_ok(), is_listed);
                    expected.entry(name).and_modify(|disabled| *disabled = true);
                }
                2 => {
                    prop_assert_eq!(workers.enable(&name).is_ok(), is_listed);
                    expected.entry(name).and_modify(|disabled| *disabled = false);
                }
                _ => {
                    let mut successor = DisabledWorkers::default();
                    successor.merge_predecessor(&workers);
                    workers = successor;
                }
            }
            for (name, disabled) in &expected {
                prop_assert_eq!(workers.is_disabled(name), *disabled);
            }
        }
    }
}
