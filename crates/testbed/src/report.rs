//! Owns what is made of a run: its figures, and the page that shows them. It must never measure: all comes from the
//! records and samples of the run.

use std::collections::{BTreeMap, HashMap};

use curlewusher_model::span;
use hdrhistogram::Histogram;
use maud::{DOCTYPE, Markup, PreEscaped, html};
use plotters::prelude::*;
use serde::{Deserialize, Serialize};

use crate::event_log::{Event, FailureReason, Record};
use crate::nodes::Sample;
use crate::play::Played;
use crate::rules::{CommandFigures, OperationFigures, UpgradeFigures, Violation, operation_figures};
use crate::scenario::Scenario;

/// A load whose latest hundredth of first sends came later than this after its moment was not the load that was asked.
const LATE_LIMIT_MS: f64 = 50.0;

/// The figures of a class.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ClassFigures {
    pub name: String,
    /// Jobs, a client's tries counted as one.
    pub jobs: usize,
    /// Served within the wanted time; served later; and not served, by the last answer.
    pub in_time: usize,
    pub late: usize,
    pub refused: usize,
    pub failed: usize,
    /// Worth asked for, and of that worth answered in time.
    pub worth_asked: f64,
    pub worth_in_time: f64,
    /// Time from the intended moment to the answer of those served, ms.
    pub p50_ms: f64,
    pub p90_ms: f64,
    pub p99_ms: f64,
    pub longest_ms: f64,
}

/// The figures of a node.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct NodeFigures {
    pub cpu_s: f64,
    pub most_memory_mb: f64,
    pub most_descriptors: usize,
}

/// The figures of a run.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Figures {
    pub title: String,
    pub seed: u64,
    pub jobs: usize,
    /// Jobs a second that were asked for.
    pub rate: f64,
    /// Worth in time over worth asked for.
    pub share_in_time: f64,
    pub tries: usize,
    pub attempts: usize,
    pub attempts_a_try: f64,
    /// The load kept its own schedule, and the run was not cut short; else no figure here counts.
    pub valid: bool,
    pub late_p99_ms: f64,
    pub classes: Vec<ClassFigures>,
    pub nodes: Vec<NodeFigures>,
    /// Processor time of all nodes for a job, microseconds.
    pub cpu_us_a_job: f64,
    pub attempts_of_worker: Vec<usize>,
    pub broken_rules: usize,
    pub crashes: usize,
    /// What was seen of operators' work.
    #[serde(default, rename = "daily")]
    pub operations: OperationFigures,
    /// Worth asked and in time by second of asking, for each class.
    pub seconds: Vec<Vec<(f64, f64)>>,
}

fn histogram() -> Histogram<u64> {
    // One microsecond to an hour, three figures.
    Histogram::new_with_bounds(1, 3_600_000_000, 3).expect("bounds that rise")
}

/// All figures of a run.
pub fn figures(scenario: &Scenario, played: &Played, violations: &[Violation]) -> Figures {
    struct Job {
        class: usize,
        intended: u64,
        last: Option<(u64, u16, bool)>,
    }
    let mut jobs: BTreeMap<usize, Job> = BTreeMap::new();
    let mut of: HashMap<&str, usize> = HashMap::new();
    let mut attempts_of_worker = vec![0; scenario.worker_count()];
    let (mut tries, mut attempts, mut lateness) = (0, 0, histogram());
    for Record { at, event } in &played.records {
        match event {
            Event::RequestSent { id, job, class, late_us, .. } => {
                tries += 1;
                of.insert(id, *job);
                jobs.entry(*job).or_insert_with(|| {
                    lateness.saturating_record(*late_us);
                    Job { class: *class, intended: at - late_us, last: None }
                });
            }
            Event::ResponseReceived { id, status, has_own_result: good } => {
                if let Some(job) = of.get(id.as_str()).and_then(|job| jobs.get_mut(job)) {
                    job.last = Some((*at, *status, *good));
                }
            }
            Event::RequestFailed { id, reason: why } => {
                if let Some(job) = of.get(id.as_str()).and_then(|job| jobs.get_mut(job)) {
                    let refused = matches!(why, FailureReason::Unreachable | FailureReason::NoNode);
                    let status = if refused { 503 } else { 0 };
                    job.last = Some((*at, status, false));
                }
            }
            Event::AttemptArrived { worker, .. } => {
                attempts += 1;
                attempts_of_worker[*worker] += 1;
            }
            _ => {}
        }
    }
    // The same draw as the load's: the work of a job is not in the records.
    let workload = scenario.workload().draw();
    let mut classes: Vec<(ClassFigures, Histogram<u64>)> = scenario
        .classes
        .iter()
        .map(|class| (ClassFigures { name: class.name.clone(), ..ClassFigures::default() }, histogram()))
        .collect();
    let length = scenario.length_s.ceil() as usize;
    let mut seconds = vec![vec![(0.0, 0.0); length]; classes.len()];
    for (number, job) in &jobs {
        let class = &scenario.classes[job.class];
        let work_s = workload[*number].work_seconds;
        let worth = class.priority_weight * work_s;
        let (figures, times) = &mut classes[job.class];
        figures.jobs += 1;
        figures.worth_asked += worth;
        let second = (job.intended.saturating_sub(played.begin) / 1_000_000) as usize;
        let second = &mut seconds[job.class][second.min(length - 1)];
        second.0 += worth;
        match job.last {
            Some((at, 200, true)) => {
                let took = at - job.intended;
                times.saturating_record(took);
                if took <= span(class.objective_s + class.stretch * work_s) {
                    figures.in_time += 1;
                    figures.worth_in_time += worth;
                    second.1 += worth;
                } else {
                    figures.late += 1;
                }
            }
            Some((_, 429 | 503, _)) => figures.refused += 1,
            _ => figures.failed += 1,
        }
    }
    let ms = |times: &Histogram<u64>, q| {
        if times.is_empty() { 0.0 } else { times.value_at_quantile(q) as f64 / 1e3 }
    };
    let classes: Vec<ClassFigures> = classes
        .into_iter()
        .map(|(figures, times)| ClassFigures {
            p50_ms: ms(&times, 0.5),
            p90_ms: ms(&times, 0.9),
            p99_ms: ms(&times, 0.99),
            longest_ms: ms(&times, 1.0),
            ..figures
        })
        .collect();
    let asked: f64 = classes.iter().map(|c| c.worth_asked).sum();
    let in_time: f64 = classes.iter().map(|c| c.worth_in_time).sum();
    let nodes: Vec<NodeFigures> =
        (0..scenario.nodes.count).map(|n| node_figures(&played.samples, n)).collect();
    let late_p99_ms = ms(&lateness, 0.99);
    Figures {
        title: scenario.title.clone(),
        seed: scenario.seed,
        jobs: jobs.len(),
        rate: jobs.len() as f64 / scenario.length_s,
        share_in_time: if asked > 0.0 { in_time / asked } else { 0.0 },
        tries,
        attempts,
        attempts_a_try: attempts as f64 / tries.max(1) as f64,
        valid: late_p99_ms <= LATE_LIMIT_MS && !played.interrupted,
        late_p99_ms,
        cpu_us_a_job: nodes.iter().map(|node| node.cpu_s).sum::<f64>() * 1e6 / jobs.len().max(1) as f64,
        classes,
        nodes,
        attempts_of_worker,
        broken_rules: violations.len(),
        crashes: played.crashes.len(),
        operations: operation_figures(&played.records, &scenario.rule_parameters()),
        seconds,
    }
}

fn node_figures(samples: &[Sample], node: usize) -> NodeFigures {
    let mut figures = NodeFigures::default();
    let mut last = 0.0;
    for sample in samples.iter().filter(|sample| sample.node == node) {
        // A process that was started again counts from nought.
        figures.cpu_s += if sample.cpu_s >= last { sample.cpu_s - last } else { sample.cpu_s };
        last = sample.cpu_s;
        figures.most_memory_mb = figures.most_memory_mb.max(sample.memory_mb);
        figures.most_descriptors = figures.most_descriptors.max(sample.descriptors);
    }
    figures
}

/// The figures in a few lines, for a terminal.
pub fn in_short(figures: &Figures) -> String {
    let mut out = format!(
        "{}: {:.3} of the worth in time; {} jobs at {:.1}/s, {} tries, {:.2} attempts a try, {:.0} us of CPU a job\n",
        figures.title,
        figures.share_in_time,
        figures.jobs,
        figures.rate,
        figures.tries,
        figures.attempts_a_try,
        figures.cpu_us_a_job
    );
    out += &format!(
        "{:<18}{:>7}{:>9}{:>7}{:>9}{:>8}{:>10}{:>10}{:>10}\n",
        "class", "jobs", "in time", "late", "refused", "failed", "p50 ms", "p90 ms", "p99 ms"
    );
    for c in &figures.classes {
        out += &format!(
            "{:<18}{:>7}{:>9}{:>7}{:>9}{:>8}{:>10.0}{:>10.0}{:>10.0}\n",
            c.name, c.jobs, c.in_time, c.late, c.refused, c.failed, c.p50_ms, c.p90_ms, c.p99_ms
        );
    }
    for (number, node) in figures.nodes.iter().enumerate() {
        out += &format!(
            "node {number}: {:.2} s of CPU, {:.1} MB, {} descriptors\n",
            node.cpu_s, node.most_memory_mb, node.most_descriptors
        );
    }
    for line in operation_lines(&figures.operations) {
        out += &format!("{line}\n");
    }
    if !figures.valid {
        out += &format!(
            "NOT VALID: sends were late by {:.0} ms (99 %), or the run was cut short\n",
            figures.late_p99_ms
        );
    }
    out
}

/// What was seen of operators' work, a line for each upgrade and each kind of call.
fn operation_lines(operations: &OperationFigures) -> Vec<String> {
    let seconds = |s: Option<f64>| s.map_or("never".into(), |s| format!("after {s:.2} s"));
    let upgrade = |u: &UpgradeFigures| {
        let kill = if u.killed { ", one process killed" } else { "" };
        format!(
            "upgrade of node {} at {:.1} s: newer ready {}, one process again {}, \
             {} jobs harmed, {} refused, {} times no to /ready{kill}",
            u.node,
            u.at_s,
            seconds(u.ready_s),
            seconds(u.ended_s),
            u.harmed,
            u.rejected,
            u.not_ready_answers
        )
    };
    let command = |(verb, figures): (&String, &CommandFigures)| {
        format!("{verb}: {} calls, the slowest {:.1} ms", figures.count, figures.slowest_ms)
    };
    operations.upgrades.iter().map(upgrade).chain(operations.commands.iter().map(command)).collect()
}

/// The page: one file that needs nothing else.
pub fn page(scenario: &Scenario, played: &Played, figures: &Figures, violations: &[Violation]) -> String {
    let bands = bands(played);
    let share: Vec<(String, Vec<(f64, f64)>)> = figures
        .classes
        .iter()
        .zip(&figures.seconds)
        .map(|(class, seconds)| (class.name.clone(), smoothed(seconds)))
        .collect();
    let of_nodes = |value: &dyn Fn(&Sample) -> f64| -> Vec<(String, Vec<(f64, f64)>)> {
        let line = |node: usize| {
            let own = played.samples.iter().filter(|s| s.node == node);
            let begin = played.begin as f64 / 1e6;
            (format!("node {node}"), own.map(|s| (s.at_s - begin, value(s))).collect())
        };
        (0..scenario.nodes.count).map(line).collect()
    };
    let cpu: Vec<(String, Vec<(f64, f64)>)> =
        of_nodes(&|s| s.cpu_s).into_iter().map(|(name, line)| (name, slopes(&line))).collect();
    let load = figures.attempts_of_worker.iter().enumerate().map(|(w, n)| (w as f64, *n as f64)).collect();
    let length = scenario.length_s;
    let markup: Markup = html! {
        (DOCTYPE)
        html lang="en" {
            head {
                meta charset="utf-8";
                title { (figures.title) }
                style { "body{font:15px/1.45 sans-serif;max-width:62em;margin:2em auto;padding:0 1em;color:#222}"
                    "table{border-collapse:collapse}td,th{padding:.2em .7em;text-align:right;border-bottom:1px solid #ddd}"
                    "td:first-child,th:first-child{text-align:left}pre{background:#f6f6f6;padding:.7em;overflow:auto}"
                    ".bad{color:#a00}.good{color:#070}svg{max-width:100%;height:auto}" }
            }
            body {
                h1 { (figures.title) }
                p {
                    b { (format!("{:.3}", figures.share_in_time)) } " of the worth asked for was answered within the wanted time: "
                    (figures.jobs) " jobs at " (format!("{:.1}", figures.rate)) " a second, seed " (figures.seed) ", "
                    (scenario.nodes.count) " nodes, " (scenario.worker_count()) " workers, "
                    (format!("{:.2}", figures.attempts_a_try)) " attempts a try, "
                    (format!("{:.0}", figures.cpu_us_a_job)) " µs of the nodes' processor time a job."
                }
                @if figures.valid { p.good { "The load kept its schedule (99 % of first sends within " (format!("{:.1}", figures.late_p99_ms)) " ms)." } }
                @else { p.bad { "This run does not count: it was cut short, or sends were late by " (format!("{:.1}", figures.late_p99_ms)) " ms (99 %)." } }
                @if violations.is_empty() && played.crashes.is_empty() { p.good { "No rule was broken, and no node crashed." } }
                @for crash in &played.crashes { p.bad { "Crash" } pre { (crash) } }
                @for violation in violations.iter().take(20) { p.bad { "Broken rule" } pre { (violation) } }
                @if violations.len() > 20 { p.bad { "and " (violations.len() - 20) " more" } }
                h2 { "Classes" }
                table {
                    tr { th { "class" } th { "jobs" } th { "in time" } th { "late" } th { "refused" } th { "failed" }
                        th { "share of worth" } th { "p50 ms" } th { "p90 ms" } th { "p99 ms" } th { "longest ms" } }
                    @for c in &figures.classes {
                        tr { td { (c.name) } td { (c.jobs) } td { (c.in_time) } td { (c.late) } td { (c.refused) } td { (c.failed) }
                            td { (format!("{:.3}", if c.worth_asked > 0.0 { c.worth_in_time / c.worth_asked } else { 0.0 })) }
                            td { (format!("{:.0}", c.p50_ms)) } td { (format!("{:.0}", c.p90_ms)) }
                            td { (format!("{:.0}", c.p99_ms)) } td { (format!("{:.0}", c.longest_ms)) } }
                    }
                }
                h2 { "Worth in time, by second of asking (mean of 3 s); faults as bands" }
                (plot(&share, Axes { right: length, top: Some(1.0), x_label: "s", y_label: "share" }, &bands))
                h2 { "Processor of each node" }
                (plot(&cpu, Axes { right: length, top: None, x_label: "s", y_label: "cores" }, &bands))
                h2 { "Memory of each node" }
                (plot(&of_nodes(&|s| s.memory_mb), Axes { right: length, top: None, x_label: "s", y_label: "MB" }, &bands))
                h2 { "Descriptors of each node" }
                (plot(&of_nodes(&|s| s.descriptors as f64), Axes { right: length, top: None, x_label: "s", y_label: "open" }, &bands))
                h2 { "Attempts by worker" }
                (plot(&[("attempts".into(), load)], Axes { right: figures.attempts_of_worker.len() as f64, top: None, x_label: "worker", y_label: "attempts" }, &[]))
                @if !operation_lines(&figures.operations).is_empty() {
                    h2 { "Operators' work" }
                    ul { @for line in operation_lines(&figures.operations) { li { (line) } } }
                }
                h2 { "What was done" }
                ul { @for (from, until, words) in &bands { li { (format!("{from:.1} to {until:.1} s: {words}")) } } }
            }
        }
    };
    markup.into_string()
}

/// A share by second, over three seconds.
fn smoothed(seconds: &[(f64, f64)]) -> Vec<(f64, f64)> {
    let around = |at: usize| {
        let part = &seconds[at.saturating_sub(1)..(at + 2).min(seconds.len())];
        let (asked, in_time) = part.iter().fold((0.0, 0.0), |sum, s| (sum.0 + s.0, sum.1 + s.1));
        (asked > 0.0).then(|| (at as f64 + 0.5, in_time / asked))
    };
    (0..seconds.len()).filter_map(around).collect()
}

fn slopes(line: &[(f64, f64)]) -> Vec<(f64, f64)> {
    let slope =
        |pair: &[(f64, f64)]| (pair[1].0, ((pair[1].1 - pair[0].1) / (pair[1].0 - pair[0].0)).max(0.0));
    line.windows(2).filter(|pair| pair[1].0 > pair[0].0).map(slope).collect()
}

/// From when to when each fault was on, seconds of the load.
fn bands(played: &Played) -> Vec<(f64, f64, String)> {
    let s = |at: u64| at.saturating_sub(played.begin) as f64 / 1e6;
    let mut bands: Vec<(f64, f64, String)> = Vec::new();
    for Record { at, event } in &played.records {
        let Event::Fault { description: words } = event else { continue };
        if let Some(words) = words.strip_suffix(" begins") {
            bands.push((s(*at), s(played.end), words.to_owned()));
        } else if let Some(words) = words.strip_suffix(" ends")
            && let Some(band) = bands.iter_mut().rfind(|band| band.2 == words)
        {
            band.1 = s(*at);
        }
    }
    bands
}

const COLOURS: [RGBColor; 6] = [
    RGBColor(31, 119, 180),
    RGBColor(214, 96, 20),
    RGBColor(44, 140, 44),
    RGBColor(150, 60, 160),
    RGBColor(120, 90, 60),
    RGBColor(90, 90, 90),
];

type Line = (String, Vec<(f64, f64)>);

/// The axes of a plot.
struct Axes<'a> {
    /// The largest x.
    right: f64,
    /// The largest y; none if the lines decide it.
    top: Option<f64>,
    x_label: &'a str,
    y_label: &'a str,
}

fn plot(lines: &[Line], axes: Axes, bands: &[(f64, f64, String)]) -> Markup {
    let Axes { right, top, x_label, y_label } = axes;
    let highest = lines.iter().flat_map(|(_, line)| line).map(|(_, y)| *y).fold(0.0, f64::max);
    let top = top.unwrap_or(if highest > 0.0 { highest * 1.1 } else { 1.0 });
    let mut svg = String::new();
    let drawn = (|| -> Result<(), DrawingAreaErrorKind<_>> {
        let area = SVGBackend::with_string(&mut svg, (900, 260)).into_drawing_area();
        let mut chart = ChartBuilder::on(&area)
            .margin(8)
            .x_label_area_size(34)
            .y_label_area_size(54)
            .build_cartesian_2d(0.0..right.max(1.0), 0.0..top)?;
        chart.configure_mesh().x_desc(x_label).y_desc(y_label).light_line_style(TRANSPARENT).draw()?;
        for (from, until, _) in bands {
            let corners = [(*from, 0.0), (until.max(from + right / 300.0), top)];
            chart.draw_series([Rectangle::new(corners, RGBColor(200, 60, 40).mix(0.10).filled())])?;
        }
        for (number, (name, line)) in lines.iter().enumerate() {
            let colour = COLOURS[number % COLOURS.len()];
            let series = chart.draw_series(LineSeries::new(line.iter().copied(), colour.stroke_width(2)))?;
            // Names of many lines would hide them.
            if lines.len() <= 6 {
                series
                    .label(name)
                    .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour.stroke_width(2)));
            }
        }
        if lines.len() > 1 && lines.len() <= 6 {
            chart.configure_series_labels().background_style(WHITE.mix(0.8)).draw()?;
        }
        area.present()
    })();
    match drawn {
        Ok(()) => PreEscaped(svg),
        Err(problem) => html! { p.bad { "no plot: " (problem.to_string()) } },
    }
}
