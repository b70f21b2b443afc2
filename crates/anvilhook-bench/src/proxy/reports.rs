//! The report that the bench prints.

use std::fmt;

use serde::Serialize;

/// `LatencyRow` compares small answers that are not streamed, direct and proxied.
#[derive(Clone, Debug, Serialize)]
pub struct LatencyRow {
    /// The number of concurrent callers, each of which waits for its answer before its next call.
    pub callers: usize,
    /// Direct answers per second.
    pub direct_rps: f64,
    /// Proxied answers per second.
    pub proxied_rps: f64,
    /// Proxied answers per second of the instance's processor time.
    pub proxied_rps_per_core: f64,
    /// The median time of direct answers, in microseconds.
    pub direct_p50_us: u64,
    /// The median time of proxied answers, in microseconds.
    pub proxied_p50_us: u64,
    /// The 99th percentile of the time of direct answers, in microseconds.
    pub direct_p99_us: u64,
    /// The 99th percentile of the time of proxied answers, in microseconds.
    pub proxied_p99_us: u64,
}

/// `StreamRow` compares streamed events, direct and proxied.
#[derive(Clone, Debug, Serialize)]
pub struct StreamRow {
    /// The number of concurrent streams.
    pub streams: usize,
    /// Direct events per second.
    pub direct_events_per_s: f64,
    /// Proxied events per second.
    pub proxied_events_per_s: f64,
    /// Proxied events per second of the instance's processor time.
    pub proxied_events_per_s_per_core: f64,
}

/// `MemoryPoint` is the instance's memory at one number of open streams.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct MemoryPoint {
    /// The number of open streams.
    pub streams: usize,
    /// The resident memory, in bytes.
    pub resident_bytes: u64,
}

/// `MemoryRow` gives the memory that an open stream takes.
#[derive(Clone, Debug, Serialize)]
pub struct MemoryRow {
    /// The measured points.
    pub points: Vec<MemoryPoint>,
    /// The slope by least squares, in bytes per stream.
    pub bytes_per_stream: f64,
    /// The memory at 10,000 streams by the slope and its intercept, in megabytes.
    pub at_10000_streams_mb: f64,
}

impl MemoryRow {
    /// Fits a line through the points.
    ///
    /// ```
    /// use anvilhook_bench::proxy::{MemoryPoint, MemoryRow};
    ///
    /// let point = |streams, resident_bytes| MemoryPoint { streams, resident_bytes };
    /// let row = MemoryRow::new(vec![point(0, 5_000_000), point(1_000, 15_000_000)]);
    /// assert_eq!(row.bytes_per_stream, 10_000.0);
    /// assert_eq!(row.at_10000_streams_mb, 105.0);
    /// ```
    pub fn new(points: Vec<MemoryPoint>) -> Self {
        let count = points.len().max(1) as f64;
        let mean =
            |value: &dyn Fn(&MemoryPoint) -> f64| points.iter().map(value).sum::<f64>() / count;
        let mean_x = mean(&|point| point.streams as f64);
        let mean_y = mean(&|point| point.resident_bytes as f64);
        let covariance =
            mean(&|point| (point.streams as f64 - mean_x) * (point.resident_bytes as f64 - mean_y));
        let variance = mean(&|point| (point.streams as f64 - mean_x).powi(2));
        let slope = covariance / variance.max(f64::MIN_POSITIVE);
        let at_10000 = mean_y + slope * (10_000.0 - mean_x);
        Self { points, bytes_per_stream: slope, at_10000_streams_mb: at_10000 / 1_000_000.0 }
    }
}

/// `Report` holds all measurements of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// The figures of small answers that are not streamed.
    pub latencies: Vec<LatencyRow>,
    /// The figures of streamed events.
    pub streams: StreamRow,
    /// The memory of open streams.
    pub memory: MemoryRow,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:>7} {:>10} {:>11} {:>8} {:>16} {:>17} {:>16}",
            "callers",
            "direct/s",
            "proxied/s",
            "share",
            "direct p50/99 us",
            "proxied p50/99 us",
            "proxied/s a core"
        )?;
        for row in &self.latencies {
            let direct = format!("{}/{}", row.direct_p50_us, row.direct_p99_us);
            let proxied = format!("{}/{}", row.proxied_p50_us, row.proxied_p99_us);
            writeln!(
                f,
                "{:>7} {:>10.0} {:>11.0} {:>7.0}% {direct:>16} {proxied:>17} {:>16.0}",
                row.callers,
                row.direct_rps,
                row.proxied_rps,
                100.0 * row.proxied_rps / row.direct_rps,
                row.proxied_rps_per_core
            )?;
        }
        let StreamRow { streams, direct_events_per_s: direct, .. } = self.streams;
        writeln!(
            f,
            "events of {streams} streams: direct {direct:.0}/s, proxied {:.0}/s, {:.0}/s a core",
            self.streams.proxied_events_per_s, self.streams.proxied_events_per_s_per_core
        )?;
        for point in &self.memory.points {
            let megabytes = point.resident_bytes as f64 / 1_000_000.0;
            writeln!(f, "{:>7} open streams: {megabytes:.1} MB resident", point.streams)?;
        }
        writeln!(
            f,
            "{:.0} bytes a stream; 10,000 streams take {:.0} MB by the slope",
            self.memory.bytes_per_stream, self.memory.at_10000_streams_mb
        )
    }
}
