//! Time series and fault periods of a run for the charts of the report.

use curlewusher_model::Timestamp;

use super::figures::{Figures, SecondWeights};
use crate::event_log::{Event, Record};
use crate::play::FinishedRun;
use crate::process_cost::Sample;

/// Named line of a chart.
pub struct Series {
    /// Name in the legend.
    pub name: String,
    /// Points `(x, y)` in ascending order of x.
    pub points: Vec<(f64, f64)>,
}

/// Period in which a fault was active, in seconds from the start of the load.
pub struct FaultPeriod {
    /// Start of the fault.
    pub from_s: f64,
    /// End of the fault, or the end of the load if the fault did not end before.
    pub until_s: f64,
    /// Description of the fault, as in its events.
    pub description: String,
}

/// Returns the share of the requested priority weight that was served in time, a series for each class.
pub fn share_in_time_by_class(figures: &Figures) -> Vec<Series> {
    figures
        .classes
        .iter()
        .zip(&figures.seconds)
        .map(|(class, seconds)| Series { name: class.name.clone(), points: moving_share(seconds) })
        .collect()
}

/// Returns the value of each sample, a series for each node.
pub fn samples_by_node(run: &FinishedRun, nodes: usize, value: impl Fn(&Sample) -> f64) -> Vec<Series> {
    let begin_s = run.begin.as_secs_f64();
    let series = |node: usize| {
        let samples = run.samples.iter().filter(|sample| sample.node == node);
        let points = samples.map(|sample| (sample.at_s - begin_s, value(sample))).collect();
        Series { name: format!("node {node}"), points }
    };
    (0..nodes).map(series).collect()
}

/// Returns the processor use of each node, in cores.
pub fn cpu_cores_by_node(run: &FinishedRun, nodes: usize) -> Vec<Series> {
    samples_by_node(run, nodes, |sample| sample.cpu_s)
        .into_iter()
        .map(|series| Series { points: slopes(&series.points), ..series })
        .collect()
}

/// Returns the periods of all faults of a run, in order of their starts.
pub fn fault_periods(run: &FinishedRun) -> Vec<FaultPeriod> {
    let seconds = |at: Timestamp| at.saturating_since(run.begin).as_secs_f64();
    let mut periods: Vec<FaultPeriod> = Vec::new();
    for Record { at, event } in &run.records {
        let Event::Fault { description } = event else { continue };
        if let Some(description) = description.strip_suffix(" begins") {
            periods.push(FaultPeriod {
                from_s: seconds(*at),
                until_s: seconds(run.end),
                description: description.to_owned(),
            });
        } else if let Some(description) = description.strip_suffix(" ends")
            && let Some(period) = periods.iter_mut().rfind(|period| period.description == description)
        {
            period.until_s = seconds(*at);
        }
    }
    periods
}

/// Returns the share of weight served in time for each second, over that second and its two neighbours.
/// Seconds without requested weight have no point.
fn moving_share(seconds: &[SecondWeights]) -> Vec<(f64, f64)> {
    let point = |second: usize| {
        let window = &seconds[second.saturating_sub(1)..(second + 2).min(seconds.len())];
        let requested = window.iter().fold(0.0, |sum, weights| sum + weights.requested);
        let in_time = window.iter().fold(0.0, |sum, weights| sum + weights.in_time);
        (requested > 0.0).then(|| (second as f64 + 0.5, in_time / requested))
    };
    (0..seconds.len()).filter_map(point).collect()
}

/// Returns the slopes between neighbouring points. The slope of a falling line, such as after the restart of
/// a counter, counts as 0.
fn slopes(points: &[(f64, f64)]) -> Vec<(f64, f64)> {
    let slope = |pair: &[(f64, f64)]| {
        let [(x0, y0), (x1, y1)] = [pair[0], pair[1]];
        (x1, ((y1 - y0) / (x1 - x0)).max(0.0))
    };
    points.windows(2).filter(|pair| pair[1].0 > pair[0].0).map(slope).collect()
}
