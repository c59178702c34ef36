//! Figures as short texts: the summary for a terminal, and the lines about operator actions.

use super::figures::{ClassFigures, Figures, NodeFigures};
use crate::rules::{CommandFigures, OperationFigures, UpgradeFigures};

/// Renders the figures as a few lines of text for a terminal.
pub fn render_summary(figures: &Figures) -> String {
    let mut text = headline(figures);
    text += &class_header();
    text.extend(figures.classes.iter().map(class_line));
    text.extend(figures.nodes.iter().enumerate().map(|(number, node)| node_line(number, node)));
    text.extend(operation_lines(&figures.operations).into_iter().map(|line| line + "\n"));
    if !figures.valid {
        text += &invalidity(figures);
    }
    text
}

fn class_header() -> String {
    format!(
        "{:<18}{:>7}{:>9}{:>7}{:>9}{:>8}{:>10}{:>10}{:>10}\n",
        "class", "jobs", "in time", "late", "refused", "failed", "p50 ms", "p90 ms", "p99 ms"
    )
}

fn invalidity(figures: &Figures) -> String {
    format!(
        "NOT VALID: sends were late by {:.0} ms (99 %), or the run was cut short\n",
        figures.send_delay_p99_ms
    )
}

fn headline(figures: &Figures) -> String {
    format!(
        "{}: {:.3} of the worth in time; {} jobs at {:.1}/s, {} tries, {:.2} attempts a try, {:.0} us of CPU a job\n",
        figures.title,
        figures.share_in_time,
        figures.jobs,
        figures.rate,
        figures.requests,
        figures.attempts_per_request,
        figures.cpu_us_per_job
    )
}

fn class_line(class: &ClassFigures) -> String {
    format!(
        "{:<18}{:>7}{:>9}{:>7}{:>9}{:>8}{:>10.0}{:>10.0}{:>10.0}\n",
        class.name,
        class.jobs,
        class.in_time,
        class.late,
        class.rejected,
        class.failed,
        class.p50_ms,
        class.p90_ms,
        class.p99_ms
    )
}

fn node_line(number: usize, node: &NodeFigures) -> String {
    format!(
        "node {number}: {:.2} s of CPU, {:.1} MB, {} descriptors\n",
        node.cpu_s, node.peak_memory_mb, node.peak_descriptors
    )
}

/// Renders the figures of operator actions: a line for each upgrade and for each verb of admin commands.
pub fn operation_lines(operations: &OperationFigures) -> Vec<String> {
    let command_line = |(verb, figures): (&String, &CommandFigures)| {
        format!("{verb}: {} calls, the slowest {:.1} ms", figures.count, figures.slowest_ms)
    };
    let commands = operations.commands.iter().map(command_line);
    operations.upgrades.iter().map(upgrade_line).chain(commands).collect()
}

fn upgrade_line(upgrade: &UpgradeFigures) -> String {
    let after =
        |seconds: Option<f64>| seconds.map_or("never".into(), |seconds| format!("after {seconds:.2} s"));
    let killed = if upgrade.killed { ", one process killed" } else { "" };
    format!(
        "upgrade of node {} at {:.1} s: newer ready {}, one process again {}, \
         {} jobs harmed, {} refused, {} times no to /ready{killed}",
        upgrade.node,
        upgrade.at_s,
        after(upgrade.ready_s),
        after(upgrade.ended_s),
        upgrade.harmed,
        upgrade.rejected,
        upgrade.not_ready_answers
    )
}
