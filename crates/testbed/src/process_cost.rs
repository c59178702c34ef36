//! Resource use of a node's process, as the operating system reports it in `/proc`.

use serde::Serialize;

/// Index of the user processor time, in clock ticks, among the fields after the process name in
/// `/proc/PID/stat`.
const USER_TIME_FIELD: usize = 11;
/// Index of the system processor time, in clock ticks, among the fields after the process name in
/// `/proc/PID/stat`.
const SYSTEM_TIME_FIELD: usize = 12;
/// Number of kilobytes in a megabyte, as `/proc` counts them.
const KILOBYTES_PER_MEGABYTE: f64 = 1024.0;

/// Resource use at one time of a process of a node, or of all of the node's processes together.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Sample {
    /// Time of the sample since the beginning of the run, in seconds.
    pub at_s: f64,
    /// Index of the node.
    pub node: usize,
    /// Processor time used so far, in seconds. The sum over a node includes processes that have exited.
    pub cpu_s: f64,
    /// Resident memory, in MB.
    pub memory_mb: f64,
    /// Number of open file descriptors.
    pub descriptors: usize,
}

/// Samples the resource use of a process. Returns `None` once the process has exited.
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
    // The name of the process is in parentheses and may contain any character, parentheses included.
    let fields: Vec<&str> = stat.rsplit(')').next()?.split_whitespace().collect();
    let user: f64 = fields.get(USER_TIME_FIELD)?.parse().ok()?;
    let system: f64 = fields.get(SYSTEM_TIME_FIELD)?.parse().ok()?;
    Some((user + system) / rustix::param::clock_ticks_per_second() as f64)
}

fn resident_kilobytes(status: &str) -> Option<f64> {
    status.lines().find_map(|line| line.strip_prefix("VmRSS:")?.split_whitespace().next()?.parse().ok())
}
