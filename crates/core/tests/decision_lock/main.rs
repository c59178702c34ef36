//! Regression test of all decisions of the dispatcher. Fleets with fixed seeds receive every kind of event.
//! In the middle of each run, a second process of a node takes over and receives most open jobs. Later, it
//! returns most of its open jobs to the first process. The test hashes every action with its process and
//! time, and all records that are transferred between the processes. The counts and hashes are recorded in
//! `tests/golden/decision_lock.txt`.
//!
//! The driver samples its events from its own random generator only. A change of the driver needs a new
//! recording: `CURLEWUSHER_RECORD=1 cargo test -p curlewusher-core --test decision_lock`. The hash depends on
//! `exp` and `ln` of the platform's mathematical library.

#[path = "../common/mod.rs"]
mod common;

mod driver;
mod recorder;

use common::golden::assert_golden;
use common::*;
use driver::{Driver, Fleet};

/// Returns a fleet of one node that may hedge, with few workers and three tenants that have quotas.
fn few_workers() -> Fleet {
    let settings = Settings { tenant_quotas: vec![6.0, 20.0, 40.0], ..settings() };
    Fleet {
        settings,
        simulated_nodes: 1,
        workers: 5,
        mean_event_interval: millis(20),
        max_remote_work: TimeSpan::ZERO,
    }
}

/// Returns a fleet of many nodes, of which one is simulated. The node polls for its endpoint list and
/// relocates jobs. The workers report the acceptance of attempts. Their sizes are listed, and they are
/// divided into subsets.
fn many_nodes() -> Fleet {
    let mut settings = Settings {
        endpoints_on_request: true,
        assumed_notified_after: seconds(6),
        accept_timeout: millis(100),
        may_hedge: false,
        sizes_listed: true,
        may_gossip: true,
        gossip_price: 1.0,
        ..node_settings(24, 5)
    };
    settings.classes[0].required_kind = Some(KindId(1));
    settings.classes[1].idempotency =
        Idempotency::WithKey { scope: DeduplicationScope::Zone, window: SECOND };
    settings.classes.push(JobClass { priority_weight: 0.2, ..class(Idempotency::Idempotent) });
    let max_remote_work = millis(40);
    Fleet { settings, simulated_nodes: 1, workers: 40, mean_event_interval: millis(14), max_remote_work }
}

/// Returns a fleet of three nodes that gossip about their work. The workers are in two zones and do not
/// report starts.
fn gossip() -> Fleet {
    let mut settings = Settings {
        may_gossip: true,
        gossip_price: 0.001,
        reports_start: false,
        cross_zone_price: 0.05,
        ..node_settings(3, 0)
    };
    settings.classes[1].idempotency =
        Idempotency::WithKey { scope: DeduplicationScope::All, window: seconds(2) };
    Fleet {
        settings,
        simulated_nodes: 3,
        workers: 9,
        mean_event_interval: millis(14),
        max_remote_work: TimeSpan::ZERO,
    }
}

#[test]
fn seeded_fleets_run_then_all_actions_match_the_recording() {
    let fleets = [("few workers", few_workers()), ("many nodes", many_nodes()), ("gossip", gossip())];
    let summaries = fleets
        .into_iter()
        .zip(41..)
        .map(|((name, fleet), seed)| format!("{name}: {}\n", Driver::run(fleet, seed)));
    assert_golden("decision_lock.txt", &summaries.collect::<String>());
}
