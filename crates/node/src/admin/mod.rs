//! The admin address: an address for operators alone, which serves one command per connection.
//!
//! | module | job |
//! | --- | --- |
//! | [`listener`] | accepts connections, on a thread of its own, and limits their number |
//! | [`connection`] | reads one command, has it carried out, and writes the response |
//! | [`service`] | carries commands out, in this process and in the other one of its node |
//!
//! The commands themselves and the texts of the responses are in [`curlewusher_control::command`].

pub mod connection;
pub mod listener;
pub mod service;
