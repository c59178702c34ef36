//! Random scripts for the behaviour of workers: for an attempt, and for the cancellation of one.
//!
//! The random generator of a script depends only on the run's seed and on the job and attempt that it is for.
//! The script is therefore the same regardless of earlier events.

use std::collections::VecDeque;

use fastrand::Rng;

/// State of a job that a callback reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallbackState {
    Started,
    Running,
    Done,
    Failed,
    Returned,
    Lost,
}

/// Response of a worker to an attempt, or a part of one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    /// A complete 202.
    Accepted,
    /// A 202 whose body is never completed.
    AcceptedIncompleteBody,
    /// Two 202 responses, one after the other.
    AcceptedTwice,
    /// The first part of a 202.
    AcceptedFirstPart,
    /// The rest of a 202 after its first part.
    AcceptedRest,
    /// A 503 which states that the job did not run.
    NotRun,
    /// A 504 which states that the job did not run.
    TimedOutNotRun,
    /// A 503 which states that the job did not run, with a body that is never completed.
    NotRunIncompleteBody,
    /// A 503 that leaves open whether the job ran.
    Busy,
    /// A 500.
    Error,
    /// The first part of a status line.
    PartialStatusLine,
    /// A head that is never completed.
    PartialHead,
}

/// One step of the script of an attempt. A worker takes one step per event of the run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Does nothing during one event.
    Pause,
    /// Writes a response.
    Reply(Reply),
    /// Posts a callback the given number of times.
    SendCallback(CallbackState, u8),
    /// Posts a callback in two parts, with other events between them.
    SendCallbackInParts(CallbackState),
    /// Posts an earlier callback again, as if its response had been lost.
    RedeliverCallback(CallbackState),
    /// Closes the connection of the attempt.
    Close,
    /// Closes the connection of the attempt with a reset.
    Reset,
}

/// Appends a random number of pauses, at most `max_count`.
fn push_pauses(rng: &mut Rng, max_count: u8, actions: &mut VecDeque<Action>) {
    actions.extend(std::iter::repeat_n(Action::Pause, rng.u8(0..=max_count).into()));
}

/// Picks the last callback of an attempt. Returns `None` if the worker sends no last callback.
fn sample_final_state(rng: &mut Rng, started: bool) -> Option<CallbackState> {
    match rng.u8(0..20) {
        0..=10 => Some(CallbackState::Done),
        11..=12 => Some(CallbackState::Failed),
        13..=15 if !started => Some(CallbackState::Returned),
        13..=14 => Some(CallbackState::Lost),
        _ => None,
    }
}

/// Appends random callbacks of an accepted attempt.
fn push_callbacks(rng: &mut Rng, actions: &mut VecDeque<Action>) {
    push_pauses(rng, 2, actions);
    let started = rng.u8(0..4) > 0;
    if started {
        actions.push_back(Action::SendCallback(CallbackState::Started, rng.u8(1..=2)));
        push_pauses(rng, 3, actions);
        if rng.bool() {
            actions.push_back(Action::SendCallback(CallbackState::Running, 1));
        }
    }
    push_pauses(rng, 4, actions);
    let Some(state) = sample_final_state(rng, started) else { return };
    match rng.u8(0..6) {
        0 => actions.extend([Action::SendCallbackInParts(state)]),
        1 => actions.extend([Action::SendCallback(state, 3)]),
        2 => {
            actions.push_back(Action::SendCallback(state, 1));
            push_pauses(rng, 12, actions);
            actions.push_back(Action::RedeliverCallback(state));
        }
        _ => actions.extend([Action::SendCallback(state, 1)]),
    }
}

/// Generates the script of an attempt.
pub fn sample_attempt_script(rng: &mut Rng) -> VecDeque<Action> {
    let mut actions = VecDeque::new();
    push_pauses(rng, 2, &mut actions);
    match rng.u8(0..34) {
        0..=12 => push_reply_and_callbacks(rng, Reply::Accepted, &mut actions),
        13 => push_reply_and_callbacks(rng, Reply::AcceptedIncompleteBody, &mut actions),
        14 => push_reply_and_callbacks(rng, Reply::AcceptedTwice, &mut actions),
        15..=16 => {
            actions.push_back(Action::Reply(Reply::AcceptedFirstPart));
            push_pauses(rng, 1, &mut actions);
            push_reply_and_callbacks(rng, Reply::AcceptedRest, &mut actions);
        }
        17..=18 => actions.push_back(Action::Reply(Reply::NotRun)),
        19 => actions.push_back(Action::Reply(Reply::TimedOutNotRun)),
        20 => actions.push_back(Action::Reply(Reply::NotRunIncompleteBody)),
        21 => actions.push_back(Action::Reply(Reply::Busy)),
        22 => actions.push_back(Action::Reply(Reply::Error)),
        23 => actions.push_back(Action::Reply(Reply::PartialHead)),
        24..=25 => push_partial_status_line(rng, &mut actions),
        26..=27 => actions.push_back(if rng.bool() { Action::Close } else { Action::Reset }),
        28..=29 => push_callback_before_reply(rng, &mut actions),
        30 => {
            actions.extend([Action::Reply(Reply::Accepted), Action::Reset]);
            push_callbacks(rng, &mut actions);
        }
        _ => {}
    }
    actions
}

/// Appends a response that accepts the attempt, and random callbacks after it.
fn push_reply_and_callbacks(rng: &mut Rng, reply: Reply, actions: &mut VecDeque<Action>) {
    actions.push_back(Action::Reply(reply));
    push_callbacks(rng, actions);
}

/// Appends a partial status line, and possibly the close of the connection.
fn push_partial_status_line(rng: &mut Rng, actions: &mut VecDeque<Action>) {
    actions.push_back(Action::Reply(Reply::PartialStatusLine));
    push_pauses(rng, 2, actions);
    match rng.u8(0..3) {
        0 => actions.push_back(Action::Close),
        1 => actions.push_back(Action::Reset),
        _ => {}
    }
}

/// Appends a callback that precedes the 202.
fn push_callback_before_reply(rng: &mut Rng, actions: &mut VecDeque<Action>) {
    let states =
        [CallbackState::Done, CallbackState::Failed, CallbackState::Returned, CallbackState::Started];
    let state = states[rng.usize(0..4)];
    actions.push_back(Action::SendCallback(state, 1));
    push_pauses(rng, 2, actions);
    actions.push_back(Action::Reply(Reply::Accepted));
    if state == CallbackState::Started {
        push_pauses(rng, 2, actions);
        actions.extend(sample_final_state(rng, true).map(|state| Action::SendCallback(state, 1)));
    }
}

/// Generates the rest of the script of a cancelled attempt: in one of three cases nothing, otherwise one
/// final callback after up to five pauses.
pub fn sample_script_after_cancellation(rng: &mut Rng, started: bool) -> VecDeque<Action> {
    let mut actions = VecDeque::new();
    if rng.u8(0..3) > 0 {
        push_pauses(rng, 5, &mut actions);
        let states =
            [CallbackState::Done, CallbackState::Failed, CallbackState::Lost, CallbackState::Returned];
        actions.push_back(Action::SendCallback(states[rng.usize(0..if started { 3 } else { 4 })], 1));
    }
    actions
}

/// Response of a worker to a cancellation. Workers answer the third cancellation of an attempt at the latest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancellationResponse {
    /// The worker responds with this status.
    Answered(&'static str),
    /// The worker leaves the connection open without a response.
    Ignored,
    /// The worker resets the connection.
    Reset,
}

/// Picks the response to a cancellation. `earlier_cancellations` is the number of earlier ones of the same
/// attempt.
pub fn sample_cancellation_response(rng: &mut Rng, earlier_cancellations: u32) -> CancellationResponse {
    match rng.u8(0..8) {
        0 if earlier_cancellations < 2 => CancellationResponse::Ignored,
        1 if earlier_cancellations < 2 => CancellationResponse::Reset,
        2 => CancellationResponse::Answered("404 Not Found"),
        3 => CancellationResponse::Answered("200 OK"),
        _ => CancellationResponse::Answered("204 No Content"),
    }
}
