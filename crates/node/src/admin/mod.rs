//! Admin address, which only operators use. It serves one command per connection.
//!
//! | module | responsibility |
//! | --- | --- |
//! | [`listener`] | accepts connections on a separate thread, and limits their number |
//! | [`connection`] | reads one command, waits for its result, and writes the response |
//! | [`service`] | executes commands in this process and in its peer |
//!
//! [`curlewusher_control::command`] defines the commands and the texts of the responses.

pub mod connection;
pub mod listener;
pub mod service;
