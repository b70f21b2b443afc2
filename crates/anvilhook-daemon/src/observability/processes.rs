//! Reads the processor time and memory of a process from `/proc`.

use std::fmt;

use prometheus_client::collector::Collector;
use prometheus_client::encoding::{DescriptorEncoder, EncodeMetric};
use prometheus_client::metrics::counter::ConstCounter;
use prometheus_client::metrics::gauge::ConstGauge;
use prometheus_client::registry::Unit;

/// The ticks per second in `/proc/PID/stat`, which the kernel's interface fixes at 100.
const TICKS_PER_S: f64 = 100.0;

/// The indices of user and system time among the fields after the command's name in
/// `/proc/PID/stat`.
const UTIME_FIELD: usize = 11;
const STIME_FIELD: usize = 12;

/// `ProcessUsage` is the processor time and memory that a process uses.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ProcessUsage {
    /// Processor time of all threads since the start, in user and kernel mode, in seconds.
    pub cpu_seconds: f64,
    /// Resident memory, in bytes.
    pub resident_bytes: u64,
}

/// Reads the usage of this process. Returns `None` if `/proc` does not provide it.
///
/// ```
/// let usage = anvilhook_daemon::observability::read_process_usage().unwrap();
/// assert!(usage.resident_bytes > 0);
/// ```
pub fn read_process_usage() -> Option<ProcessUsage> {
    read_usage_of(std::process::id())
}

/// Reads the usage of the process with the given id. Returns `None` if `/proc` does not provide it.
pub fn read_usage_of(pid: u32) -> Option<ProcessUsage> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    Some(ProcessUsage {
        cpu_seconds: parse_cpu_seconds(&stat)?,
        resident_bytes: parse_resident_bytes(&status)?,
    })
}

fn parse_cpu_seconds(stat: &str) -> Option<f64> {
    // The command's name is in parentheses and may itself contain spaces and parentheses.
    let (_, after_name) = stat.rsplit_once(')')?;
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let utime: f64 = fields.get(UTIME_FIELD)?.parse().ok()?;
    let stime: f64 = fields.get(STIME_FIELD)?.parse().ok()?;
    Some((utime + stime) / TICKS_PER_S)
}

fn parse_resident_bytes(status: &str) -> Option<u64> {
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kibibytes: u64 = line.split_whitespace().next()?.parse().ok()?;
    Some(kibibytes * 1_024)
}

/// `ProcessCollector` reads the usage of this process each time that metrics are scraped.
#[derive(Debug)]
pub struct ProcessCollector;

impl Collector for ProcessCollector {
    fn encode(&self, mut encoder: DescriptorEncoder<'_>) -> Result<(), fmt::Error> {
        let Some(usage) = read_process_usage() else {
            return Ok(());
        };
        let cpu = ConstCounter::new(usage.cpu_seconds);
        let metric = encoder.encode_descriptor(
            "process_cpu",
            "Processor time used since the start of the process",
            Some(&Unit::Seconds),
            prometheus_client::metrics::MetricType::Counter,
        )?;
        cpu.encode(metric)?;

        let resident = ConstGauge::new(i64::try_from(usage.resident_bytes).unwrap_or(i64::MAX));
        let metric = encoder.encode_descriptor(
            "process_resident_memory",
            "Resident memory of the process",
            Some(&Unit::Bytes),
            prometheus_client::metrics::MetricType::Gauge,
        )?;
        resident.encode(metric)
    }
}
