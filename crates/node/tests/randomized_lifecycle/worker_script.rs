//! What a scripted worker does with one attempt or one withdrawal.
//!
//! The script is drawn from a generator that depends on the run's seed and the attempt's number only, so that it is the
//! same whatever happened before.

use std::collections::VecDeque;

use fastrand::Rng;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallbackState {
    Started,
    Running,
    Done,
    Failed,
    Returned,
    Lost,
}

/// What a worker writes in response to an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    Accepted,
    /// A 202 whose body never ends.
    AcceptedEndless,
    AcceptedTwice,
    /// The first part of a 202, and the rest.
    AcceptedBegun,
    AcceptedRest,
    NotRun,
    TimedOutNotRun,
    NotRunEndless,
    Busy,
    Error,
    /// Half a status line.
    HalfLine,
    /// A head that never ends.
    HalfHead,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    Pause,
    Reply(Reply),
    /// A callback, posted so many times.
    SendCallback(CallbackState, u8),
    /// A callback that is written in two parts, with other events between them.
    SendCallbackInParts(CallbackState),
    /// The same callback once more, as if its response had been lost.
    RepeatCallback(CallbackState),
    Close,
    Reset,
}

fn push_pauses(rng: &mut Rng, most: u8, actions: &mut VecDeque<Action>) {
    actions.extend(std::iter::repeat_n(Action::Pause, rng.u8(0..=most).into()));
}

fn draw_final_state(rng: &mut Rng, started: bool) -> Option<CallbackState> {
    match rng.u8(0..20) {
        0..=10 => Some(CallbackState::Done),
        11..=12 => Some(CallbackState::Failed),
        13..=15 if !started => Some(CallbackState::Returned),
        13..=14 => Some(CallbackState::Lost),
        _ => None,
    }
}

/// Draws what follows a 202.
fn push_run(rng: &mut Rng, actions: &mut VecDeque<Action>) {
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
    let Some(state) = draw_final_state(rng, started) else { return };
    match rng.u8(0..6) {
        0 => actions.extend([Action::SendCallbackInParts(state)]),
        1 => actions.extend([Action::SendCallback(state, 3)]),
        2 => {
            actions.push_back(Action::SendCallback(state, 1));
            push_pauses(rng, 12, actions);
            actions.push_back(Action::RepeatCallback(state));
        }
        _ => actions.extend([Action::SendCallback(state, 1)]),
    }
}

/// Draws what a worker does with an attempt.
pub fn draw_attempt_script(rng: &mut Rng) -> VecDeque<Action> {
    let mut actions = VecDeque::new();
    push_pauses(rng, 2, &mut actions);
    match rng.u8(0..34) {
        0..=12 => push_reply_and_run(rng, Reply::Accepted, &mut actions),
        13 => push_reply_and_run(rng, Reply::AcceptedEndless, &mut actions),
        14 => push_reply_and_run(rng, Reply::AcceptedTwice, &mut actions),
        15..=16 => {
            actions.push_back(Action::Reply(Reply::AcceptedBegun));
            push_pauses(rng, 1, &mut actions);
            push_reply_and_run(rng, Reply::AcceptedRest, &mut actions);
        }
        17..=18 => actions.push_back(Action::Reply(Reply::NotRun)),
        19 => actions.push_back(Action::Reply(Reply::TimedOutNotRun)),
        20 => actions.push_back(Action::Reply(Reply::NotRunEndless)),
        21 => actions.push_back(Action::Reply(Reply::Busy)),
        22 => actions.push_back(Action::Reply(Reply::Error)),
        23 => actions.push_back(Action::Reply(Reply::HalfHead)),
        24..=25 => push_partial_status_line(rng, &mut actions),
        26..=27 => actions.push_back(if rng.bool() { Action::Close } else { Action::Reset }),
        28..=29 => push_callback_before_reply(rng, &mut actions),
        30 => {
            actions.extend([Action::Reply(Reply::Accepted), Action::Reset]);
            push_run(rng, &mut actions);
        }
        _ => {}
    }
    actions
}

fn push_reply_and_run(rng: &mut Rng, reply: Reply, actions: &mut VecDeque<Action>) {
    actions.push_back(Action::Reply(reply));
    push_run(rng, actions);
}

fn push_partial_status_line(rng: &mut Rng, actions: &mut VecDeque<Action>) {
    actions.push_back(Action::Reply(Reply::HalfLine));
    push_pauses(rng, 2, actions);
    match rng.u8(0..3) {
        0 => actions.push_back(Action::Close),
        1 => actions.push_back(Action::Reset),
        _ => {}
    }
}

fn push_callback_before_reply(rng: &mut Rng, actions: &mut VecDeque<Action>) {
    let states =
        [CallbackState::Done, CallbackState::Failed, CallbackState::Returned, CallbackState::Started];
    let state = states[rng.usize(0..4)];
    actions.push_back(Action::SendCallback(state, 1));
    push_pauses(rng, 2, actions);
    actions.push_back(Action::Reply(Reply::Accepted));
    if state == CallbackState::Started {
        push_pauses(rng, 2, actions);
        actions.extend(draw_final_state(rng, true).map(|state| Action::SendCallback(state, 1)));
    }
}

/// Draws the rest of the script of an attempt that is withdrawn: mostly nothing.
pub fn draw_script_after_withdrawal(rng: &mut Rng, started: bool) -> VecDeque<Action> {
    let mut actions = VecDeque::new();
    if rng.u8(0..3) > 0 {
        push_pauses(rng, 5, &mut actions);
        let states =
            [CallbackState::Done, CallbackState::Failed, CallbackState::Lost, CallbackState::Returned];
        actions.push_back(Action::SendCallback(states[rng.usize(0..if started { 3 } else { 4 })], 1));
    }
    actions
}

/// How a worker treats a withdrawal; the third at the latest is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WithdrawalResponse {
    Answered(&'static str),
    Ignored,
    Reset,
}

/// Draws what a worker does with a withdrawal, after so many earlier ones of the same attempt.
pub fn draw_withdrawal_response(rng: &mut Rng, before: u32) -> WithdrawalResponse {
    match rng.u8(0..8) {
        0 if before < 2 => WithdrawalResponse::Ignored,
        1 if before < 2 => WithdrawalResponse::Reset,
        2 => WithdrawalResponse::Answered("404 Not Found"),
        3 => WithdrawalResponse::Answered("200 OK"),
        _ => WithdrawalResponse::Answered("204 No Content"),
    }
}
