//! HTML page of a run: a single file without references to other files.

use maud::{DOCTYPE, Markup, html};

use super::chart::Chart;
use super::figures::{ClassFigures, Figures};
use super::series::{
    FaultPeriod, Series, cpu_cores_by_node, fault_periods, samples_by_node, share_in_time_by_class,
};
use super::summary::operation_lines;
use crate::play::FinishedRun;
use crate::rules::Violation;
use crate::scenario::Scenario;

/// Maximum number of violations that the page shows in full. Of the remaining violations it shows only the
/// number.
const MAX_SHOWN_VIOLATIONS: usize = 20;

/// Style sheet of the page.
const STYLE: &str = "body{font:15px/1.45 sans-serif;max-width:62em;margin:2em auto;padding:0 1em;color:#222}\
    table{border-collapse:collapse}td,th{padding:.2em .7em;text-align:right;border-bottom:1px solid #ddd}\
    td:first-child,th:first-child{text-align:left}pre{background:#f6f6f6;padding:.7em;overflow:auto}\
    .bad{color:#a00}.good{color:#070}svg{max-width:100%;height:auto}";

/// Headings of the table of classes.
const CLASS_COLUMNS: [&str; 11] = [
    "class",
    "jobs",
    "in time",
    "late",
    "refused",
    "failed",
    "share of worth",
    "p50 ms",
    "p90 ms",
    "p99 ms",
    "longest ms",
];

/// Renders the page of a run.
pub fn render_page(
    scenario: &Scenario,
    run: &FinishedRun,
    figures: &Figures,
    violations: &[Violation],
) -> String {
    let faults = fault_periods(run);
    let page = html! {
        (DOCTYPE)
        html lang="en" {
            head {
                meta charset="utf-8";
                title { (figures.title) }
                style { (STYLE) }
            }
            body {
                h1 { (figures.title) }
                (headline(scenario, figures))
                (validity(figures))
                (crashes_and_violations(&run.crashes, violations))
                h2 { "Classes" }
                (class_table(&figures.classes))
                (charts(scenario, run, figures, &faults))
                (operations(figures))
                h2 { "What was done" }
                (fault_list(&faults))
            }
        }
    };
    page.into_string()
}

fn headline(scenario: &Scenario, figures: &Figures) -> Markup {
    html! {
        p {
            b { (format!("{:.3}", figures.share_in_time)) }
            " of the worth asked for was answered within the wanted time: "
            (figures.jobs) " jobs at " (format!("{:.1}", figures.rate)) " a second, "
            "seed " (figures.seed) ", "
            (scenario.nodes.count) " nodes, "
            (scenario.worker_count()) " workers, "
            (format!("{:.2}", figures.attempts_per_request)) " attempts a try, "
            (format!("{:.0}", figures.cpu_us_per_job)) " µs of the nodes' processor time a job."
        }
    }
}

fn validity(figures: &Figures) -> Markup {
    let delay = format!("{:.1}", figures.send_delay_p99_ms);
    html! {
        @if figures.valid {
            p.good { "The load kept its schedule (99 % of first sends within " (delay) " ms)." }
        } @else {
            p.bad { "This run does not count: it was cut short, or sends were late by " (delay) " ms (99 %)." }
        }
    }
}

fn crashes_and_violations(crashes: &[String], violations: &[Violation]) -> Markup {
    html! {
        @if violations.is_empty() && crashes.is_empty() {
            p.good { "No rule was broken, and no node crashed." }
        }
        @for crash in crashes {
            p.bad { "Crash" }
            pre { (crash) }
        }
        @for violation in violations.iter().take(MAX_SHOWN_VIOLATIONS) {
            p.bad { "Broken rule" }
            pre { (violation) }
        }
        @if violations.len() > MAX_SHOWN_VIOLATIONS {
            p.bad { "and " (violations.len() - MAX_SHOWN_VIOLATIONS) " more" }
        }
    }
}

fn class_table(classes: &[ClassFigures]) -> Markup {
    html! {
        table {
            tr { @for column in CLASS_COLUMNS { th { (column) } } }
            @for class in classes { (class_row(class)) }
        }
    }
}

fn class_row(class: &ClassFigures) -> Markup {
    html! {
        tr {
            td { (class.name) }
            td { (class.jobs) }
            td { (class.in_time) }
            td { (class.late) }
            td { (class.rejected) }
            td { (class.failed) }
            td { (format!("{:.3}", class.share_in_time())) }
            td { (format!("{:.0}", class.p50_ms)) }
            td { (format!("{:.0}", class.p90_ms)) }
            td { (format!("{:.0}", class.p99_ms)) }
            td { (format!("{:.0}", class.max_ms)) }
        }
    }
}

fn charts(scenario: &Scenario, run: &FinishedRun, figures: &Figures, faults: &[FaultPeriod]) -> Markup {
    let nodes = scenario.nodes.count;
    let over_time = |series: &[Series], y_max: Option<f64>, y_label: &str| {
        Chart { series, faults, x_max: scenario.length_s, y_max, x_label: "s", y_label }.render()
    };
    let memory = samples_by_node(run, nodes, |sample| sample.memory_mb);
    let descriptors = samples_by_node(run, nodes, |sample| sample.descriptors as f64);
    html! {
        h2 { "Worth in time, by second of asking (mean of 3 s); faults as bands" }
        (over_time(&share_in_time_by_class(figures), Some(1.0), "share"))
        h2 { "Processor of each node" }
        (over_time(&cpu_cores_by_node(run, nodes), None, "cores"))
        h2 { "Memory of each node" }
        (over_time(&memory, None, "MB"))
        h2 { "Descriptors of each node" }
        (over_time(&descriptors, None, "open"))
        h2 { "Attempts by worker" }
        (attempts_chart(&figures.attempts_by_worker))
    }
}

fn attempts_chart(attempts_by_worker: &[usize]) -> Markup {
    let points = attempts_by_worker
        .iter()
        .enumerate()
        .map(|(worker, attempts)| (worker as f64, *attempts as f64))
        .collect();
    let series = [Series { name: "attempts".into(), points }];
    let chart = Chart {
        series: &series,
        faults: &[],
        x_max: attempts_by_worker.len() as f64,
        y_max: None,
        x_label: "worker",
        y_label: "attempts",
    };
    chart.render()
}

fn operations(figures: &Figures) -> Markup {
    let lines = operation_lines(&figures.operations);
    html! {
        @if !lines.is_empty() {
            h2 { "Operators' work" }
            ul { @for line in lines { li { (line) } } }
        }
    }
}

fn fault_list(faults: &[FaultPeriod]) -> Markup {
    html! {
        ul {
            @for FaultPeriod { from_s, until_s, description } in faults {
                li { (format!("{from_s:.1} to {until_s:.1} s: {description}")) }
            }
        }
    }
}
