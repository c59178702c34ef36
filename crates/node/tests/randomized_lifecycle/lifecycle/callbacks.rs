//! Callbacks that scripted workers post, complete, redelivered or in two parts, and the responses to them.

use super::Lifecycle;
use crate::common::callback_request;
use crate::randomized_lifecycle::connection::Connection;
use crate::randomized_lifecycle::job_model::AttemptEnd;
use crate::randomized_lifecycle::worker_script::CallbackState;

/// Whether the node distinguishes a redelivered callback of an earlier attempt at a worker from a callback of
/// a later, accepted attempt at the same worker. Callbacks do not name their attempt.
const DISTINGUISHES_REDELIVERED_CALLBACKS: bool = true;

/// Way in which a worker writes a callback.
#[derive(Clone, Copy, Debug)]
pub(super) enum Delivery {
    /// Writes the callback the given number of times, each time on a new connection.
    Times(u8),
    /// Writes the callback in two parts, with another event between them.
    InTwoParts,
}

/// A callback whose response has not arrived.
pub(super) struct PendingCallback {
    pub(super) connection: Connection,
    /// Complete request, for a retry.
    pub(super) text: String,
    /// Part of the request that is not written yet.
    pub(super) rest: String,
    /// Number of retries of the callback so far.
    pub(super) retries: u32,
}

impl Lifecycle {
    /// Returns the request of a callback from the worker of an attempt.
    pub(super) fn build_callback(&self, job: usize, attempt: usize, state: CallbackState) -> String {
        let job_state = &self.jobs[job];
        let worker = &self.workers[job_state.attempts[attempt].worker].name;
        let fields = match state {
            CallbackState::Started => r#""state":"started""#.to_owned(),
            CallbackState::Running => r#""state":"running","share":0.5"#.to_owned(),
            CallbackState::Done => format!(r#""state":"done","result":"{}""#, job_state.result(attempt)),
            CallbackState::Failed => r#""state":"failed""#.to_owned(),
            CallbackState::Returned => r#""state":"returned""#.to_owned(),
            CallbackState::Lost => r#""state":"lost""#.to_owned(),
        };
        let body = format!(r#"{{"id":"{}","from":"{worker}",{fields}}}"#, job_state.id);
        callback_request(&body)
    }

    /// Posts a callback and records the state of the attempt that it reports.
    pub(super) fn send_callback(
        &mut self,
        job: usize,
        attempt: usize,
        state: CallbackState,
        delivery: Delivery,
    ) {
        let text = self.build_callback(job, attempt, state);
        let job_state = &mut self.jobs[job];
        match state {
            CallbackState::Started => job_state.attempts[attempt].started = true,
            CallbackState::Running => {}
            CallbackState::Done => {
                job_state.results.push(job_state.result(attempt));
                self.record_attempt_end(job, attempt, "done", true);
            }
            CallbackState::Failed => self.record_attempt_end(job, attempt, "failed", true),
            CallbackState::Lost => self.record_attempt_end(job, attempt, "lost", true),
            // The job did not run by this attempt, regardless of earlier records.
            CallbackState::Returned => {
                job_state.attempts[attempt].ended = Some(AttemptEnd { may_have_run: false });
            }
        }
        self.record(job, &format!("attempt {attempt}: the worker posts {state:?}, {delivery:?}"));
        let (times, written_length) = match delivery {
            Delivery::Times(times) => (times, text.len()),
            Delivery::InTwoParts => (1, text.len() / 2),
        };
        for _ in 0..times {
            self.open_callback(text.clone(), written_length, 0);
        }
    }

    /// Posts a callback again and waits for the response before the next event.
    pub(super) fn redeliver_callback(&mut self, job: usize, attempt: usize, state: CallbackState) {
        let attempts = &self.jobs[job].attempts;
        let worker = attempts[attempt].worker;
        let accepted_again =
            attempts[attempt + 1..].iter().any(|later| later.worker == worker && later.accepted);
        if self.paused_until_event > 0 || accepted_again && !DISTINGUISHES_REDELIVERED_CALLBACKS {
            return;
        }
        self.record(job, &format!("attempt {attempt}: the worker redelivers {state:?}"));
        let text = self.build_callback(job, attempt, state);
        let written_length = text.len();
        self.open_callback(text, written_length, 0);
        self.synchronize();
    }

    /// Writes the first `written_length` bytes of a callback on a new connection. The node may refuse the
    /// connection after SIGTERM.
    pub(super) fn open_callback(&mut self, text: String, written_length: usize, retries: u32) {
        let Some(mut connection) = Connection::connect(self.node.address) else {
            if self.terminated_at.is_none() {
                self.fail(None, "the node refused the connection of a callback");
            }
            return;
        };
        connection.write(&text[..written_length]);
        let rest = text[written_length..].to_owned();
        self.callbacks.push(PendingCallback { connection, text, rest, retries });
    }

    /// Reads the response to a callback. Keeps the callback while there is no response, and retries it if the
    /// node closes the connection after SIGTERM. Returns whether anything had arrived.
    pub(super) fn receive_callback_response(&mut self, mut callback: PendingCallback) -> bool {
        let received = callback.connection.read();
        match callback.connection.take_message() {
            Some(message) if matches!(message.status(), 200 | 204) => {}
            Some(message) => {
                self.fail(None, &format!("the node responded to {:?} with {message:?}", callback.text))
            }
            None if callback.connection.is_open() => self.callbacks.push(callback),
            None if self.terminated_at.is_some() => {
                if callback.retries < 10 && !self.exited {
                    let written_length = callback.text.len();
                    self.open_callback(callback.text, written_length, callback.retries + 1);
                }
            }
            None => self.fail(
                None,
                &format!("the node closed the connection without a response to {:?}", callback.text),
            ),
        }
        received
    }
}
