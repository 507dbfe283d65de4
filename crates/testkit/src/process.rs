//! What a process of a test uses.

use std::path::{Path, PathBuf};

/// Largest resident memory of a process so far, in bytes.
///
/// # Panics
/// If the process has ended.
#[must_use]
pub fn peak_memory(pid: u32) -> u64 {
    let text = std::fs::read_to_string(path(pid, "status")).expect("the process runs");
    let line = text.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let kilobytes = line.and_then(|line| line.trim().strip_suffix(" kB")?.parse::<u64>().ok());
    kilobytes.expect("the system tells the peak of a process's memory") * 1_024
}

/// Number of open file descriptors of a process.
///
/// # Panics
/// If the process has ended.
#[must_use]
pub fn open_descriptors(pid: u32) -> usize {
    std::fs::read_dir(path(pid, "fd")).expect("the process runs").count()
}

fn path(pid: u32, name: &str) -> PathBuf {
    Path::new("/proc").join(pid.to_string()).join(name)
}
