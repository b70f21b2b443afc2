//! What this process uses, as the kernel counts it.

use std::fs;

/// The size of a page as `statm` counts it, in bytes.
const PAGE_BYTES: u64 = 4_096;

/// The names of the threads that do the instances' work. The stand-in's threads are named otherwise,
/// so that its work does not count as theirs.
pub(super) const CONTROL_THREAD: &str = "control";
/// The name of the peer links' threads.
const PEER_THREAD: &str = "anvilhook-peer";
/// The name of the stand-in's threads.
pub(super) const PLATFORM_THREAD: &str = "platform";

/// Returns the resident memory of this process, in bytes.
///
/// # Errors
///
/// If the kernel does not tell.
pub(super) fn resident_bytes() -> eyre::Result<u64> {
    let statm = fs::read_to_string("/proc/self/statm")?;
    let pages = statm.split_whitespace().nth(1).and_then(|field| field.parse::<u64>().ok());
    let pages = pages.ok_or_else(|| eyre::eyre!("no resident size in /proc/self/statm"))?;
    Ok(pages * PAGE_BYTES)
}

/// Returns the processor time that the instances' threads have used, in seconds.
///
/// # Errors
///
/// If the kernel does not tell.
pub(super) fn control_cpu_secs() -> eyre::Result<f64> {
    let mut nanos: u64 = 0;
    for task in fs::read_dir("/proc/self/task")? {
        let path = task?.path();
        // A thread may end between the listing and the reading.
        let (Ok(name), Ok(schedstat)) =
            (fs::read_to_string(path.join("comm")), fs::read_to_string(path.join("schedstat")))
        else {
            continue;
        };
        if [CONTROL_THREAD, PEER_THREAD].contains(&name.trim()) {
            let spent = schedstat.split_whitespace().next().and_then(|field| field.parse().ok());
            nanos += spent.unwrap_or(0);
        }
    }
    Ok(nanos as f64 / 1e9)
}
