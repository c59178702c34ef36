//! What a node's process costs, as the system reports it in `/proc`.

use serde::Serialize;

/// Positions of the processor times after the name in `/proc/PID/stat`, in clock ticks.
const USER_TIME_FIELD: usize = 11;
const SYSTEM_TIME_FIELD: usize = 12;
const KILOBYTES_PER_MEGABYTE: f64 = 1024.0;

/// What a node cost up to a moment.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Sample {
    /// Time since the beginning of the run, in seconds.
    pub at_s: f64,
    /// Number of the node.
    pub node: usize,
    /// Processor time of its process so far, in seconds.
    pub cpu_s: f64,
    /// Resident memory.
    pub memory_mb: f64,
    /// Open file descriptors.
    pub descriptors: usize,
}

/// Samples the cost of a process; none once it has exited.
pub fn sample_cost(process: u32, node: usize, at_s: f64) -> Option<Sample> {
    let cpu_s = processor_time_s(&read(process, "stat")?)?;
    let memory_mb = resident_kilobytes(&read(process, "status")?)? / KILOBYTES_PER_MEGABYTE;
    let descriptors = std::fs::read_dir(format!("/proc/{process}/fd")).ok()?.count();
    Some(Sample { at_s, node, cpu_s, memory_mb, descriptors })
}

fn read(process: u32, file: &str) -> Option<String> {
    std::fs::read_to_string(format!("/proc/{process}/{file}")).ok()
}

fn processor_time_s(stat: &str) -> Option<f64> {
    // The name of the process stands in brackets and may hold anything, brackets too.
    let fields: Vec<&str> = stat.rsplit(')').next()?.split_whitespace().collect();
    let user: f64 = fields.get(USER_TIME_FIELD)?.parse().ok()?;
    let system: f64 = fields.get(SYSTEM_TIME_FIELD)?.parse().ok()?;
    Some((user + system) / rustix::param::clock_ticks_per_second() as f64)
}

fn resident_kilobytes(status: &str) -> Option<f64> {
    status.lines().find_map(|line| line.strip_prefix("VmRSS:")?.split_whitespace().next()?.parse().ok())
}
