//! The admin address: a second address, for operators alone, that takes one command a connection.
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
