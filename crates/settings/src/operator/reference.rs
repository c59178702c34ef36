//! Reference of the operator's file: the meaning of each field, and the table of the page
//! `docs/operator-file.md`.

use super::OperatorFile;

/// Time at which a changed field of the file takes effect in a running node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TakesEffect {
    /// On SIGHUP.
    OnReload,
    /// At the next start of the node.
    AtNextStart,
}

/// Field of the operator's file, as the reference page describes it.
pub struct Field {
    /// Section and name of the field, separated by a dot.
    pub path: &'static str,
    /// Unit or form of the value, and its bounds.
    pub shape: &'static str,
    /// Time at which a change of the field takes effect.
    pub takes_effect: TakesEffect,
    /// Effect of the field.
    pub meaning: &'static str,
}

/// All fields, in the order of the file.
pub const FIELDS: &[Field] = &[
    Field {
        path: "log.format",
        shape: "`text` or `json`",
        takes_effect: TakesEffect::AtNextStart,
        meaning: "form of a line on standard error",
    },
    Field {
        path: "log.level",
        shape: "`off`, `error`, `warn`, `info`, `debug`, `trace`",
        takes_effect: TakesEffect::OnReload,
        meaning: "from which level on lines are written",
    },
    Field {
        path: "log.parts",
        shape: "table of part and level; parts are `node`, `dispatch`, `sender_side`, `next_hop`, `transport_map`",
        takes_effect: TakesEffect::OnReload,
        meaning: "levels that differ from `log.level`",
    },
    Field {
        path: "log.lines_per_s",
        shape: "lines a second, 1 to 100000",
        takes_effect: TakesEffect::OnReload,
        meaning: "maximum of lines of one part; more are dropped and counted",
    },
    Field {
        path: "log.waiting_lines",
        shape: "lines, 16 to 65536",
        takes_effect: TakesEffect::AtNextStart,
        meaning: "maximum of lines that are queued for standard error; more are dropped and counted",
    },
    Field {
        path: "sender_side.idle_ms",
        shape: "ms, 1000 to 3600000",
        takes_effect: TakesEffect::OnReload,
        meaning: "a client's connection that is idle for this long is closed",
    },
    Field {
        path: "sender_side.crowded_retry_ms",
        shape: "ms, 10 to 60000",
        takes_effect: TakesEffect::OnReload,
        meaning: "`Retry-After` of a job that is rejected because the node has no capacity for it",
    },
    Field {
        path: "next_hop.reuse_ms",
        shape: "ms, 0 to 600000",
        takes_effect: TakesEffect::OnReload,
        meaning: "a connection to a worker that was idle for longer is not reused; at most half of the platform's \
                  `keepaliveUs`",
    },
    Field {
        path: "next_hop.withdrawal_ms",
        shape: "ms, 50 to 10000",
        takes_effect: TakesEffect::OnReload,
        meaning: "a cancellation that a worker does not acknowledge within this is sent again, until it is \
                  acknowledged or the job's deadline passes",
    },
    Field {
        path: "metrics.answer_bounds_ms",
        shape: "ms, 1 to 32 rising numbers",
        takes_effect: TakesEffect::AtNextStart,
        meaning: "upper bounds of the histogram `curlewusher_answer_seconds`",
    },
];

/// Head of the table of the reference page.
const REFERENCE_TABLE_HEAD: &str =
    "| field | shape | default | on SIGHUP | meaning |\n| --- | --- | --- | --- | --- |\n";

/// Returns the table of the reference page, in Markdown, with every field and its default.
pub fn reference_table() -> String {
    let mut table = REFERENCE_TABLE_HEAD.to_owned();
    table.extend(OperatorFile::default().values().into_iter().map(|(field, default)| {
        let Field { path, shape, takes_effect, meaning } = field;
        let on_reload = match takes_effect {
            TakesEffect::OnReload => "at once",
            TakesEffect::AtNextStart => "next start",
        };
        format!("| `{path}` | {shape} | `{default}` | {on_reload} | {meaning} |\n")
    }));
    table
}
