//! Processor time and memory of a process, from `/proc`.

use std::{fs, time::Duration};

use anyhow::Context;

/// Processor time of all threads that still exist, in nanoseconds precision.
pub(crate) fn process_cpu(pid: u32) -> anyhow::Result<Duration> {
    let folder = format!("/proc/{pid}/task");
    let mut total = 0;
    for task in fs::read_dir(&folder).with_context(|| folder.clone())? {
        // A thread may end in between.
        let Ok(text) = fs::read_to_string(task?.path().join("schedstat")) else { continue };
        total += first_number(&text);
    }
    Ok(Duration::from_nanos(total))
}

/// Processor time of this thread.
pub(crate) fn thread_cpu() -> anyhow::Result<Duration> {
    let text = fs::read_to_string("/proc/thread-self/schedstat")?;
    Ok(Duration::from_nanos(first_number(&text)))
}

/// Resident memory in bytes.
pub(crate) fn resident(pid: u32) -> anyhow::Result<f64> {
    let path = format!("/proc/{pid}/status");
    let text = fs::read_to_string(&path).with_context(|| path.clone())?;
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    Ok(first_number(line.context("no VmRSS line")?) as f64 * 1024.0)
}

fn first_number(text: &str) -> u64 {
    text.split_whitespace().next().and_then(|word| word.parse().ok()).unwrap_or(0)
}
