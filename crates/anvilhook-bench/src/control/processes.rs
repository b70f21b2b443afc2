//! Reads the memory and processor time of this process from the kernel.

use std::fs;

/// The size of a page in `statm`, in bytes.
const PAGE_BYTES: u64 = 4_096;

/// The name of the threads that run the instances. The stand-in's threads have another name, so
/// that their processor time is not counted as the instances'.
pub(super) const CONTROL_THREAD: &str = "control";
/// The name of the peer links' threads.
const PEER_THREAD: &str = "anvilhook-peer";
/// The name of the stand-in's threads.
pub(super) const PLATFORM_THREAD: &str = "platform";

/// Returns the resident memory of this process, in bytes.
///
/// # Errors
///
/// Returns an error if the kernel does not report it.
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
/// Returns an error if the kernel does not list the threads.
pub(super) fn control_cpu_secs() -> eyre::Result<f64> {
    let mut nanos: u64 = 0;
    for task in fs::read_dir("/proc/self/task")? {
        let path = task?.path();
        // A thread may terminate after it was listed and before its files are read.
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
