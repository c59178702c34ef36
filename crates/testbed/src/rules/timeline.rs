//! Rendering of the events around a violation as text, a line for each event.

use curlewusher_model::{TimeSpan, Timestamp};

use crate::event_log::{Event, Record};

/// Time before and after a violation (exclusive) in which events about workers are part of its timeline.
const TIMELINE_MARGIN: TimeSpan = TimeSpan::from_secs(2);

/// Renders the events of a request and of its attempts.
pub fn render_request_events(records: &[Record], id: &str) -> Vec<String> {
    let mut attempts = Vec::new();
    let mut lines = Vec::new();
    for record in records {
        let description = describe_request_event(&record.event, id)
            .or_else(|| describe_arrival(&record.event, id, &mut attempts))
            .or_else(|| describe_attempt_event(&record.event, &attempts));
        lines.extend(description.map(|description| format_line(record.at, &description)));
    }
    lines
}

/// Renders the events about workers that are less than [`TIMELINE_MARGIN`] before or after a time.
pub fn render_worker_events(records: &[Record], around: Timestamp) -> Vec<String> {
    let near = records.iter().filter(|record| record.at.abs_diff(around) < TIMELINE_MARGIN);
    near.filter_map(|record| Some(format_line(record.at, &describe_worker_event(&record.event)?))).collect()
}

fn format_line(at: Timestamp, description: &str) -> String {
    format!("{:9.3} s  {description}", at.as_secs_f64())
}

/// Describes an event that the client of the request recorded.
fn describe_request_event(event: &Event, request: &str) -> Option<String> {
    match event {
        Event::RequestSent { id, node, class, timeout, .. } if id == request => {
            Some(format!("asked of node {node}, class {class}, for {:.2} s", timeout.as_secs_f64()))
        }
        Event::ResponseReceived { id, status, has_own_result } if id == request => {
            let remark = if *status == 200 && !has_own_result { ", not with its result" } else { "" };
            Some(format!("answered {status}{remark}"))
        }
        Event::RequestFailed { id, reason, .. } if id == request => Some(format!("no answer: {reason:?}")),
        _ => None,
    }
}

/// Describes the arrival of an attempt for the request, and adds the attempt to `attempts`.
fn describe_arrival(event: &Event, request: &str, attempts: &mut Vec<u64>) -> Option<String> {
    let Event::AttemptArrived { attempt, id, node, worker, bay, .. } = event else { return None };
    if id != request {
        return None;
    }
    attempts.push(*attempt);
    Some(format!("attempt {attempt} of node {node} arrived at worker {worker} in bay {bay}"))
}

/// Describes an event of one of `attempts`.
fn describe_attempt_event(event: &Event, attempts: &[u64]) -> Option<String> {
    let (attempt, outcome) = match event {
        Event::AttemptAccepted { attempt } => (attempt, "accepted"),
        Event::AttemptRejected { attempt } => (attempt, "rejected"),
        Event::AttemptStarted { attempt } => (attempt, "started"),
        Event::AttemptCompleted { attempt } => (attempt, "completed"),
        Event::AttemptReturned { attempt } => (attempt, "returned"),
        Event::AttemptLost { attempt } => (attempt, "lost"),
        Event::AttemptCancelled { attempt } => (attempt, "cancelled"),
        _ => return None,
    };
    attempts.contains(attempt).then(|| format!("attempt {attempt} {outcome}"))
}

fn describe_worker_event(event: &Event) -> Option<String> {
    match event {
        Event::EndpointSent { node, worker, in_service, .. } => {
            Some(format!("node {node} notified: worker {worker} in service: {in_service}"))
        }
        Event::WorkerStarted { worker } => Some(format!("worker {worker} started")),
        Event::WorkerOverloaded { worker } => Some(format!("worker {worker} crashed under overload")),
        _ => None,
    }
}
