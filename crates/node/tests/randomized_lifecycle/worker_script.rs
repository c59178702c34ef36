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

fn pauses(rng: &mut Rng, most: u8, actions: &mut VecDeque<Action>) {
    actions.extend(std::iter::repeat_n(Action::Pause, rng.u8(0..=most).into()));
}

fn end(rng: &mut Rng, started: bool) -> Option<CallbackState> {
    match rng.u8(0..20) {
        0..=10 => Some(CallbackState::Done),
        11..=12 => Some(CallbackState::Failed),
        13..=15 if !started => Some(CallbackState::Returned),
        13..=14 => Some(CallbackState::Lost),
        _ => None,
    }
}

/// What follows a 202.
fn run(rng: &mut Rng, actions: &mut VecDeque<Action>) {
    pauses(rng, 2, actions);
    let started = rng.u8(0..4) > 0;
    if started {
        actions.push_back(Action::SendCallback(CallbackState::Started, rng.u8(1..=2)));
        pauses(rng, 3, actions);
        if rng.bool() {
            actions.push_back(Action::SendCallback(CallbackState::Running, 1));
        }
    }
    pauses(rng, 4, actions);
    let Some(state) = end(rng, started) else { return };
    match rng.u8(0..6) {
        0 => actions.extend([Action::SendCallbackInParts(state)]),
        1 => actions.extend([Action::SendCallback(state, 3)]),
        2 => {
            actions.push_back(Action::SendCallback(state, 1));
            pauses(rng, 12, actions);
            actions.push_back(Action::RepeatCallback(state));
        }
        _ => actions.extend([Action::SendCallback(state, 1)]),
    }
}

pub fn of_attempt(rng: &mut Rng) -> VecDeque<Action> {
    let mut actions = VecDeque::new();
    pauses(rng, 2, &mut actions);
    let reply = match rng.u8(0..34) {
        0..=12 => Reply::Accepted,
        13 => Reply::AcceptedEndless,
        14 => Reply::AcceptedTwice,
        15..=16 => {
            actions.push_back(Action::Reply(Reply::AcceptedBegun));
            pauses(rng, 1, &mut actions);
            Reply::AcceptedRest
        }
        17..=18 => Reply::NotRun,
        19 => Reply::TimedOutNotRun,
        20 => Reply::NotRunEndless,
        21 => Reply::Busy,
        22 => Reply::Error,
        23 => Reply::HalfHead,
        24..=25 => {
            actions.push_back(Action::Reply(Reply::HalfLine));
            pauses(rng, 2, &mut actions);
            match rng.u8(0..3) {
                0 => actions.push_back(Action::Close),
                1 => actions.push_back(Action::Reset),
                _ => {}
            }
            return actions;
        }
        26..=27 => {
            actions.push_back(if rng.bool() { Action::Close } else { Action::Reset });
            return actions;
        }
        28..=29 => {
            // The callback comes before the 202.
            let state =
                [CallbackState::Done, CallbackState::Failed, CallbackState::Returned, CallbackState::Started]
                    [rng.usize(0..4)];
            actions.push_back(Action::SendCallback(state, 1));
            pauses(rng, 2, &mut actions);
            actions.push_back(Action::Reply(Reply::Accepted));
            if state == CallbackState::Started {
                pauses(rng, 2, &mut actions);
                actions.extend(end(rng, true).map(|state| Action::SendCallback(state, 1)));
            }
            return actions;
        }
        30 => {
            actions.push_back(Action::Reply(Reply::Accepted));
            actions.push_back(Action::Reset);
            run(rng, &mut actions);
            return actions;
        }
        _ => return actions,
    };
    actions.push_back(Action::Reply(reply));
    if matches!(reply, Reply::Accepted | Reply::AcceptedEndless | Reply::AcceptedTwice | Reply::AcceptedRest)
    {
        run(rng, &mut actions);
    }
    actions
}

/// The rest of an attempt once it is withdrawn: mostly nothing.
pub fn after_withdrawal(rng: &mut Rng, started: bool) -> VecDeque<Action> {
    let mut actions = VecDeque::new();
    if rng.u8(0..3) > 0 {
        pauses(rng, 5, &mut actions);
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

pub fn of_withdrawal(rng: &mut Rng, before: u32) -> WithdrawalResponse {
    match rng.u8(0..8) {
        0 if before < 2 => WithdrawalResponse::Ignored,
        1 if before < 2 => WithdrawalResponse::Reset,
        2 => WithdrawalResponse::Answered("404 Not Found"),
        3 => WithdrawalResponse::Answered("200 OK"),
        _ => WithdrawalResponse::Answered("204 No Content"),
    }
}
