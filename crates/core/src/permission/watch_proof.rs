//! Proof by the messages of discovery of how current the endpoint list is.
//!
//! A heartbeat proves that the list lacks no change that discovery had when it made the heartbeat. The
//! heartbeat does not say when that was: it may have waited at discovery or on its way for any time. The time
//! is bounded from both sides:
//!
//! - Not later than the time at which the heartbeat was read.
//! - Not earlier than one [`HEARTBEAT_INTERVAL`] after the previous heartbeat of the watch was made. The chain
//!   begins with the poll that opened the watch: its answer was made after the poll was sent.
//!
//! [`WatchProof`] keeps the lower of both, so that heartbeats in quick succession gain nothing that could hide
//! the lateness of later ones. Whether a change restarts the interval or not, two heartbeats are at least one
//! interval apart, and the time of the change itself is unknown. A change therefore proves nothing, unless it lists a
//! worker that has started: discovery made that change, and all lines after it, after the start.
//!
//! The first interval of a watch is a whole one only if discovery times the heartbeats of each watch from its
//! opening. A discovery with one timer for all watches may send the first heartbeat right after the answer to
//! the poll, so that it proves no more than the poll. [`HeartbeatTiming`] is what the first heartbeats have
//! shown.

use crate::{ListEvidence, TimeSpan, Timestamp};

/// Time between two heartbeats of a watch, at least.
const HEARTBEAT_INTERVAL: TimeSpan = TimeSpan::from_secs(2);
/// Time by which a heartbeat that is on time may be early.
const MAX_EARLINESS: TimeSpan = TimeSpan::from_millis(50);
/// Time by which a heartbeat that is on time may be late.
const MAX_DELAY_ON_TIME: TimeSpan = TimeSpan::from_millis(100);

/// Way in which discovery times the heartbeats of a watch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum HeartbeatTiming {
    /// The heartbeats so far have shown neither of the others.
    Unknown,
    /// The first heartbeat follows the answer to the poll by one interval: it did so on a watch whose second
    /// heartbeat was on time as well.
    FromOpening,
    /// One timer serves all watches: a first heartbeat came before an interval had passed since its poll.
    Shared,
}

/// Interval between the poll that opened a watch and its first heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FirstInterval {
    /// No heartbeat has arrived.
    Open,
    /// The first heartbeat arrived at this time, as one that is timed from the opening. The second one decides.
    OnTime(Timestamp),
    /// The interval may be shorter than a whole one, so that it proves nothing.
    Uncounted,
    /// The interval is a whole one.
    Counted,
}

/// Proof of how current the endpoint list is, from the messages of the open watch.
pub(crate) struct WatchProof {
    timing: HeartbeatTiming,
    watch: Option<ProvenWatch>,
}

/// Times of a watch that its messages have shown.
struct ProvenWatch {
    polled_at: Timestamp,
    answered_at: Timestamp,
    first_interval: FirstInterval,
    /// Time before which discovery did not make the newest heartbeat, or the answer to the poll.
    made_at: Timestamp,
    /// Newest start of a worker that a change has reported. Later messages were made after it.
    newest_start: Timestamp,
}

impl WatchProof {
    /// Creates the proof of a process that has received nothing.
    pub(crate) fn new() -> Self {
        WatchProof { timing: HeartbeatTiming::Unknown, watch: None }
    }

    /// Records a message. Returns the time as of which it proves the list, or `None` if it belongs to no watch
    /// whose poll is known.
    pub(crate) fn record(&mut self, evidence: ListEvidence) -> Option<Timestamp> {
        match evidence {
            ListEvidence::PollAnswer { sent_at, read_at } => {
                self.watch = Some(ProvenWatch {
                    polled_at: sent_at,
                    answered_at: read_at,
                    first_interval: FirstInterval::Open,
                    made_at: sent_at,
                    newest_start: Timestamp::ORIGIN,
                });
                Some(sent_at)
            }
            ListEvidence::Heartbeat { read_at } => self.record_heartbeat(read_at),
            ListEvidence::WorkerStart { started_at } => {
                let watch = self.watch.as_mut()?;
                watch.newest_start = watch.newest_start.max(started_at);
                Some(watch.made_at.max(watch.newest_start))
            }
        }
    }

    /// Ends the proof of the present watch. Its further messages prove nothing.
    pub(crate) fn end_watch(&mut self) {
        self.watch = None;
    }

    /// Returns the maximum time, without lateness, from what the messages of the present watch prove to its next
    /// heartbeat, in addition to the duration of the poll.
    pub(crate) fn max_age_without_lateness(&self) -> TimeSpan {
        let first_interval = self.watch.as_ref().map(|watch| watch.first_interval);
        if first_interval == Some(FirstInterval::Counted) {
            HEARTBEAT_INTERVAL
        } else {
            HEARTBEAT_INTERVAL * 2
        }
    }

    fn record_heartbeat(&mut self, read_at: Timestamp) -> Option<Timestamp> {
        let watch = self.watch.as_mut()?;
        match watch.first_interval {
            FirstInterval::Open => {
                if !is_whole_interval(watch.polled_at, read_at) {
                    self.timing = HeartbeatTiming::Shared;
                }
                watch.first_interval = watch.classify_first_interval(self.timing, read_at);
                if watch.first_interval == FirstInterval::Counted {
                    watch.add_interval(read_at);
                }
            }
            FirstInterval::OnTime(first_at) => {
                watch.first_interval = FirstInterval::Uncounted;
                if is_on_time(first_at, read_at) {
                    self.timing = HeartbeatTiming::FromOpening;
                    watch.first_interval = FirstInterval::Counted;
                    let first_made_at = first_at.min(watch.polled_at + HEARTBEAT_INTERVAL);
                    watch.made_at = watch.made_at.max(first_made_at);
                }
                watch.add_interval(read_at);
            }
            FirstInterval::Uncounted | FirstInterval::Counted => watch.add_interval(read_at),
        }
        watch.made_at = watch.made_at.max(watch.newest_start).min(read_at);
        Some(watch.made_at)
    }
}

impl ProvenWatch {
    fn classify_first_interval(&self, timing: HeartbeatTiming, read_at: Timestamp) -> FirstInterval {
        let is_whole = is_whole_interval(self.answered_at, read_at);
        match timing {
            HeartbeatTiming::FromOpening if is_whole => FirstInterval::Counted,
            HeartbeatTiming::Unknown if is_on_time(self.answered_at, read_at) => {
                FirstInterval::OnTime(read_at)
            }
            _ => FirstInterval::Uncounted,
        }
    }

    /// Adds one interval to the time at which the newest message was made, up to its arrival.
    fn add_interval(&mut self, read_at: Timestamp) {
        self.made_at = read_at.min(self.made_at + HEARTBEAT_INTERVAL);
    }
}

/// Returns whether at least one heartbeat interval has passed between two times.
fn is_whole_interval(begin: Timestamp, end: Timestamp) -> bool {
    end + MAX_EARLINESS >= begin + HEARTBEAT_INTERVAL
}

/// Returns whether one heartbeat interval has passed between two times, up to the precision of timers.
fn is_on_time(begin: Timestamp, end: Timestamp) -> bool {
    is_whole_interval(begin, end) && end <= begin + HEARTBEAT_INTERVAL + MAX_DELAY_ON_TIME
}
