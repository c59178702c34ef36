//! Periodic samples of the nodes' resource use, and detection of processes that exit unexpectedly.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::time::sleep;

use crate::environment::{Environment, NodeCrash, NodeSlot};
use crate::event_log::Event;
use crate::process_cost::{Sample, sample_cost};

/// Interval between two samples of a node.
const SAMPLING_INTERVAL: Duration = Duration::from_millis(500);

/// Processor time of every process that a node has had in the run, in seconds, by process id.
type CpuByProcess = HashMap<u32, f64>;

/// Samples all nodes at an interval of [`SAMPLING_INTERVAL`] until the task is aborted.
pub async fn sample_nodes(environment: Arc<Environment>, samples: Arc<Mutex<Vec<Sample>>>) {
    let mut cpu_by_node: Vec<CpuByProcess> = vec![CpuByProcess::new(); environment.node_count()];
    loop {
        for (number, cpu_by_process) in cpu_by_node.iter_mut().enumerate() {
            let sample = sample_node(&environment, number, cpu_by_process).await;
            samples.lock().extend(sample);
        }
        sleep(SAMPLING_INTERVAL).await;
    }
}

/// Returns the resource use of all processes of a node together, or `None` if the node has no process. The
/// processor time includes that of processes which have exited.
async fn sample_node(
    environment: &Environment,
    number: usize,
    cpu_by_process: &mut CpuByProcess,
) -> Option<Sample> {
    let mut slot = environment.slot(number).await;
    detect_exit(environment, number, &mut slot);
    let at_s = environment.log.now().as_secs_f64();
    let current = slot.node.as_ref().and_then(|node| node.child.id());
    let processes = slot.upgrade_processes.iter().copied().chain(current);
    let samples: Vec<Sample> =
        processes.filter_map(|process| sample_process(process, number, at_s, cpu_by_process)).collect();
    let cpu_s = cpu_by_process.values().sum();
    let total = samples.into_iter().reduce(add_memory_and_descriptors)?;
    Some(Sample { cpu_s, ..total })
}

/// Reports a crash and clears the slot of a node if its process has exited unexpectedly. A process that the
/// testbed stops is removed from its slot before it is stopped.
fn detect_exit(environment: &Environment, number: usize, slot: &mut NodeSlot) {
    if let Some(node) = slot.node.as_mut()
        && let Ok(Some(status)) = node.child.try_wait()
    {
        environment.report_crash(NodeCrash::unexpected_exit(node, status));
        environment.log.record(Event::NodeExited { node: number, killed: false });
        environment.router.close(number);
        slot.node = None;
    }
}

/// Samples a process and records its processor time. Returns `None` if the process has exited.
fn sample_process(process: u32, node: usize, at_s: f64, cpu_by_process: &mut CpuByProcess) -> Option<Sample> {
    let sample = sample_cost(process, node, at_s)?;
    cpu_by_process.insert(process, sample.cpu_s);
    Some(sample)
}

/// Returns the sum of the memory and of the descriptors of two samples.
fn add_memory_and_descriptors(sum: Sample, other: Sample) -> Sample {
    Sample {
        memory_mb: sum.memory_mb + other.memory_mb,
        descriptors: sum.descriptors + other.descriptors,
        ..sum
    }
}
