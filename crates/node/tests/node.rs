//! Tests of the program as a process, with scripted clients, workers and discovery.

mod cancellations;
mod client_connections;
mod command_line;
mod common;
mod configuration;
mod cpu_time;
mod delivery;
mod endpoint_lease;
mod endpoint_watch;
mod job_requests;
mod memory;
mod migration;
mod operation;
mod outputs;
mod randomized_lifecycle;
mod scale;
mod send_permits;
mod shutdown;
mod versions;
mod worker_connections;
