//! The load: clients that send each job at its intended moment.

mod clients;
mod job_request;

pub use clients::Clients;
