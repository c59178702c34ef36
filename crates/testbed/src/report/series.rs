//! Time series of a run and the periods of its faults, as the charts of the report show them.

use curlewusher_model::Timestamp;

use super::figures::{Figures, SecondWeights};
use crate::event_log::{Event, Record};
use crate::play::FinishedRun;
use crate::process_cost::Sample;

/// A named line of a chart.
pub struct Series {
    pub name: String,
    /// Points `(x, y)` by rising x.
    pub points: Vec<(f64, f64)>,
}

/// The period in which a fault was active, seconds since the begin of the load.
pub struct FaultPeriod {
    pub from_s: f64,
    pub until_s: f64,
    pub description: String,
}

/// Share of the requested weight that was served in time, a series for each class.
pub fn share_in_time_by_class(figures: &Figures) -> Vec<Series> {
    figures
        .classes
        .iter()
        .zip(&figures.seconds)
        .map(|(class, seconds)| Series { name: class.name.clone(), points: moving_share(seconds) })
        .collect()
}

/// The value of each sample, a series for each node.
pub fn samples_by_node(played: &FinishedRun, nodes: usize, value: impl Fn(&Sample) -> f64) -> Vec<Series> {
    let begin_s = played.begin.as_secs_f64();
    let series = |node: usize| {
        let samples = played.samples.iter().filter(|sample| sample.node == node);
        let points = samples.map(|sample| (sample.at_s - begin_s, value(sample))).collect();
        Series { name: format!("node {node}"), points }
    };
    (0..nodes).map(series).collect()
}

/// Processor use of each node, in cores.
pub fn cpu_cores_by_node(played: &FinishedRun, nodes: usize) -> Vec<Series> {
    samples_by_node(played, nodes, |sample| sample.cpu_s)
        .into_iter()
        .map(|series| Series { points: slopes(&series.points), ..series })
        .collect()
}

/// The periods of all faults of a run, by their begin.
pub fn fault_periods(played: &FinishedRun) -> Vec<FaultPeriod> {
    let seconds = |at: Timestamp| at.saturating_since(played.begin).as_secs_f64();
    let mut periods: Vec<FaultPeriod> = Vec::new();
    for Record { at, event } in &played.records {
        let Event::Fault { description } = event else { continue };
        if let Some(description) = description.strip_suffix(" begins") {
            periods.push(FaultPeriod {
                from_s: seconds(*at),
                until_s: seconds(played.end),
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

/// Share served in time at each second, averaged over that second and its neighbours.
fn moving_share(seconds: &[SecondWeights]) -> Vec<(f64, f64)> {
    let point = |second: usize| {
        let window = &seconds[second.saturating_sub(1)..(second + 2).min(seconds.len())];
        let requested = window.iter().fold(0.0, |sum, weights| sum + weights.requested);
        let in_time = window.iter().fold(0.0, |sum, weights| sum + weights.in_time);
        (requested > 0.0).then(|| (second as f64 + 0.5, in_time / requested))
    };
    (0..seconds.len()).filter_map(point).collect()
}

/// Slope between neighbouring points; 0 where the line falls, as at the restart of a counter.
fn slopes(points: &[(f64, f64)]) -> Vec<(f64, f64)> {
    let slope = |pair: &[(f64, f64)]| {
        let [(x0, y0), (x1, y1)] = [pair[0], pair[1]];
        (x1, ((y1 - y0) / (x1 - x0)).max(0.0))
    };
    points.windows(2).filter(|pair| pair[1].0 > pair[0].0).map(slope).collect()
}
