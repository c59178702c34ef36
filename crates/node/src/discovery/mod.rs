//! Discovery: the source of the existing workers, their addresses and their states.
//!
//! The node keeps an *endpoint watch* open, a request whose response is a stream of endpoint lists. Each list
//! is sent to the dispatch task as soon as it is read. This module never delays or reorders lists, and makes
//! no decisions based on them.
//!
//! - [`endpoint_list`]: messages of discovery and their translation into the identifiers of the dispatcher.
//! - [`list_parser`]: parser that finds the messages in the stream.
//! - [`endpoint_watch`]: a poll and the watch that it opens.
//! - [`watch_state`]: state machine that decides when to poll, and which polls and watches are current.
//! - [`watch_update`]: what the state machine reports.
//! - [`watch_timing`]: delays of polls.
//! - [`watcher`]: task that awaits the events of the state machine and reports to the dispatch task.

pub mod endpoint_list;
mod endpoint_watch;
mod list_parser;
mod watch_state;
mod watch_timing;
mod watch_update;
mod watcher;

pub use watch_timing::WatchTiming;
pub use watcher::EndpointWatcher;
