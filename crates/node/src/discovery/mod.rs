//! Discovery: where this node learns which workers exist, at which addresses and in which state.
//!
//! The node keeps an *endpoint watch* open, a request whose response is a stream of endpoint lists. Each list
//! goes to the dispatch task as soon as it is read; nothing here holds a list back, reorders lists or decides
//! by them.
//!
//! - [`endpoint_list`]: the messages of discovery and their translation into the dispatcher's numbers.
//! - [`list_parser`]: finds the messages in the stream.
//! - [`endpoint_watch`]: one poll and the watch that it opens.
//! - [`watch_state`]: the state machine: when to poll, and which polls and watches count.
//! - [`watch_timing`]: the delays of its polls.
//! - [`watcher`]: the task that waits for the events of that state and reports to the dispatch task.

pub mod endpoint_list;
mod endpoint_watch;
mod list_parser;
mod watch_state;
mod watch_timing;
mod watcher;

pub use watch_timing::WatchTiming;
pub use watcher::EndpointWatcher;
