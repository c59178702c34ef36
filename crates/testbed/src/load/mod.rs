//! Load of a run: clients that send each job at its intended time.

mod clients;
mod job_request;

pub use clients::Clients;
