//! CPU time and memory of a process, read from `/proc`.

use std::{fs, time::Duration};

use anyhow::Context;

/// CPU time of all live threads of a process, with nanosecond precision; excludes exited threads.
pub(crate) fn process_cpu(pid: u32) -> anyhow::Result<Duration> {
    let dir = format!("/proc/{pid}/task");
    let mut total = 0;
    for task in fs::read_dir(&dir).with_context(|| dir.clone())? {
        // The thread may have exited since the directory was read.
        let Ok(text) = fs::read_to_string(task?.path().join("schedstat")) else { continue };
        total += first_number(&text);
    }
    Ok(Duration::from_nanos(total))
}

/// CPU time of the current thread.
pub(crate) fn thread_cpu() -> anyhow::Result<Duration> {
    let text = fs::read_to_string("/proc/thread-self/schedstat")?;
    Ok(Duration::from_nanos(first_number(&text)))
}

/// Resident memory of a process, in bytes.
pub(crate) fn resident(pid: u32) -> anyhow::Result<f64> {
    let path = format!("/proc/{pid}/status");
    let text = fs::read_to_string(&path).with_context(|| path.clone())?;
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    Ok(first_number(line.context("no `VmRSS` line in the process status")?) as f64 * 1024.0)
}

fn first_number(text: &str) -> u64 {
    text.split_whitespace().next().and_then(|word| word.parse().ok()).unwrap_or(0)
}
