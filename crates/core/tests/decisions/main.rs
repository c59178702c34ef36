//! Decisions of a dispatcher. Each test covers one behaviour, and each module one concern.

#[path = "../common/mod.rs"]
mod common;

mod admission;
mod affinity;
mod deadlines;
mod ejection;
mod endpoint_lease;
mod estimates;
mod gossip;
mod hedging;
mod interface;
mod migration;
mod placement;
mod poll_schedule;
mod pre_send;
mod retries;
mod slow_start;
