//! Callbacks that scripted workers post: whole, repeated or in two parts, and the responses to them.

use super::Lifecycle;
use crate::common::callback_request;
use crate::randomized_lifecycle::connection::Connection;
use crate::randomized_lifecycle::job_model::AttemptEnd;
use crate::randomized_lifecycle::worker_script::CallbackState;

/// Whether the node tells a repeated callback on an earlier attempt at a worker from one on a later attempt there that
/// is accepted. Callbacks name no attempt.
const TELLS_REPEATED_CALLBACKS_APART: bool = true;

/// How a callback is written.
#[derive(Clone, Copy, Debug)]
pub(super) enum Delivery {
    /// So many times, each on a connection of its own.
    Times(u8),
    /// In two parts, with another event between them.
    InTwoParts,
}

/// A callback whose response has not come.
pub(super) struct PendingCallback {
    pub(super) connection: Connection,
    /// The whole request, for a retry.
    pub(super) text: String,
    /// The part that is not written yet.
    pub(super) rest: String,
    pub(super) tries: u32,
}

impl Lifecycle {
    /// The request of a callback from the worker of an attempt.
    pub(super) fn callback_of(&self, job: usize, attempt: usize, state: CallbackState) -> String {
        let this = &self.jobs[job];
        let worker = &self.workers[this.attempts[attempt].worker].name;
        let fields = match state {
            CallbackState::Started => r#""state":"started""#.to_owned(),
            CallbackState::Running => r#""state":"running","share":0.5"#.to_owned(),
            CallbackState::Done => format!(r#""state":"done","result":"{}""#, this.result(attempt)),
            CallbackState::Failed => r#""state":"failed""#.to_owned(),
            CallbackState::Returned => r#""state":"returned""#.to_owned(),
            CallbackState::Lost => r#""state":"lost""#.to_owned(),
        };
        let body = format!(r#"{{"id":"{}","from":"{worker}",{fields}}}"#, this.id);
        callback_request(&body)
    }

    /// Posts a callback and records what it says of the attempt.
    pub(super) fn send_callback(
        &mut self,
        job: usize,
        attempt: usize,
        state: CallbackState,
        delivery: Delivery,
    ) {
        let text = self.callback_of(job, attempt, state);
        let this = &mut self.jobs[job];
        match state {
            CallbackState::Started => this.attempts[attempt].started = true,
            CallbackState::Running => {}
            CallbackState::Done => {
                this.results.push(this.result(attempt));
                self.record_attempt_end(job, attempt, "done", true);
            }
            CallbackState::Failed => self.record_attempt_end(job, attempt, "failed", true),
            CallbackState::Lost => self.record_attempt_end(job, attempt, "lost", true),
            // It never ran, whatever was recorded before.
            CallbackState::Returned => this.attempts[attempt].ended = Some(AttemptEnd { ran: false }),
        }
        self.record(job, &format!("attempt {attempt}: calls back {state:?}, {delivery:?}"));
        let (times, cut) = match delivery {
            Delivery::Times(times) => (times, text.len()),
            Delivery::InTwoParts => (1, text.len() / 2),
        };
        for _ in 0..times {
            self.open_callback(text.clone(), cut, 0);
        }
    }

    /// Posts a callback once more and waits for the response before the next event.
    pub(super) fn repeat_callback(&mut self, job: usize, attempt: usize, state: CallbackState) {
        let attempts = &self.jobs[job].attempts;
        let worker = attempts[attempt].worker;
        let accepted_again =
            attempts[attempt + 1..].iter().any(|later| later.worker == worker && later.accepted);
        if self.paused_until_event > 0 || accepted_again && !TELLS_REPEATED_CALLBACKS_APART {
            return;
        }
        self.record(job, &format!("attempt {attempt}: repeats {state:?}"));
        let text = self.callback_of(job, attempt, state);
        let cut = text.len();
        self.open_callback(text, cut, 0);
        self.settle();
    }

    /// Writes the first `cut` bytes of a callback on a new connection. After SIGTERM it may be refused.
    pub(super) fn open_callback(&mut self, text: String, cut: usize, tries: u32) {
        let Some(mut connection) = Connection::connect(self.node.address) else {
            if self.terminated_at.is_none() {
                self.fail(None, "a callback-back's connection is refused");
            }
            return;
        };
        connection.write(&text[..cut]);
        let rest = text[cut..].to_owned();
        self.callbacks.push(PendingCallback { connection, text, rest, tries });
    }

    /// Reads the response to a callback; keeps the callback while there is none, and retries it after SIGTERM.
    pub(super) fn receive_callback_response(&mut self, mut callback: PendingCallback) -> bool {
        let any = callback.connection.read();
        match callback.connection.message() {
            Some(message) if matches!(message.status(), 200 | 204) => {}
            Some(message) => self.fail(None, &format!("{:?} is answered {message:?}", callback.text)),
            None if callback.connection.is_open() => self.callbacks.push(callback),
            None if self.terminated_at.is_some() => {
                if callback.tries < 10 && !self.exited {
                    let cut = callback.text.len();
                    self.open_callback(callback.text, cut, callback.tries + 1);
                }
            }
            None => self.fail(None, &format!("{:?} is not answered", callback.text)),
        }
        any
    }
}
