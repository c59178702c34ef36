//! The recorded form of events, which reports and scripts read, byte for byte.

use super::*;
use golden::golden;

#[path = "../../../toml-diagnostics/tests/support/golden.rs"]
mod golden;

fn events() -> Vec<What> {
    let id = || "r-1".to_owned();
    let call = |owed, said: Option<&str>| What::Called {
        node: 1,
        call: "READY".into(),
        owed,
        said: said.map(str::to_owned),
        took_us: 9,
    };
    let missing = |why| What::Unanswered { id: "r-1".into(), why };
    vec![
        What::Asked { id: id(), job: 1, node: 2, class: 3, give_up_us: 4, late_us: 5 },
        What::Answered { id: id(), status: 200, good: true },
        missing(Missing::NoNode),
        missing(Missing::Unreachable),
        missing(Missing::Reset),
        missing(Missing::Closed),
        missing(Missing::Late),
        What::Arrived { attempt: 1, id: id(), node: 2, worker: 3, bay: 4, work_s: 0.5, head_us: 6 },
        What::TakenOn { attempt: 1 },
        What::TurnedAway { attempt: 1 },
        What::Started { attempt: 1 },
        What::Done { attempt: 1 },
        What::Returned { attempt: 1 },
        What::Lost { attempt: 1 },
        What::Withdrawn { attempt: 1 },
        What::Told { node: 1, worker: 2, in_service: true, started_us: 3 },
        What::WorkerStarted { worker: 1 },
        What::FellOver { worker: 1 },
        What::NodeReady { node: 1 },
        What::NodeToldToEnd { node: 1 },
        What::NodeGone { node: 1, killed: true },
        What::Said { node: 1, ready: Ready::Yes },
        What::Said { node: 1, ready: Ready::No },
        What::Said { node: 1, ready: Ready::Nothing },
        call(Owed::Yes, Some("yes")),
        call(Owed::No, None),
        call(Owed::Either, Some("no")),
        What::Standing { node: 1, idle: 2, fresh: 3 },
        What::UpgradeBegan { node: 1 },
        What::NewerReady { node: 1 },
        What::ProcessGone { node: 1, newer: true, killed: false },
        What::UpgradeEnded { node: 1 },
        What::Fault { words: "Kill of 1 begins".into() },
    ]
}

#[test]
fn every_event_then_its_line_is_as_recorded_and_reads_back() {
    let mut lines = String::new();
    for (at, what) in events().into_iter().enumerate() {
        let record = Record { at: at as Micros, what };
        let line = serde_json::to_string(&record).expect("JSON");
        assert_eq!(serde_json::from_str::<Record>(&line).expect("a record"), record);
        lines += &(line + "\n");
    }
    golden!("event_log.jsonl").assert_is(&lines);
}
