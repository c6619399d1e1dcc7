//! Processor time and memory of a process, from `/proc`.

use std::fs;

/// Clock ticks per second of processor time in `/proc`, 100 on Linux.
const TICKS_PER_SECOND: f64 = 100.0;

/// Returns the processor time of a process, in seconds.
pub(crate) fn cpu_seconds(id: u32) -> f64 {
    let stat = fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
    // The program name in parentheses may contain spaces.
    let rest = stat.rsplit(')').next().unwrap_or_default();
    let ticks: f64 = rest
        .split_whitespace()
        .skip(11)
        .take(2)
        .filter_map(|field| field.parse::<f64>().ok())
        .sum();
    ticks / TICKS_PER_SECOND
}

/// Returns the resident set size of a process, in bytes.
pub(crate) fn resident_bytes(id: u32) -> f64 {
    let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().next()?.parse::<f64>().ok());
    kib.unwrap_or(0.0) * 1_024.0
}
