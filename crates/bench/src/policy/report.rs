//! Tables of the policy benchmark.

use super::run::{RunStats, quantile};

/// Column names and widths of the table of runs.
const COLUMNS: &[(&str, usize)] = &[
    ("deployment", 12),
    ("seed", 4),
    ("run", 18),
    ("stall s", 9),
    ("p99 s", 7),
    ("batch", 6),
    ("sent", 6),
    ("refused", 7),
    ("failed", 6),
    ("first50", 7),
    ("first99", 7),
    ("total50", 7),
    ("total99", 7),
    ("look99", 7),
    ("loads", 5),
    ("good/s", 7),
];

/// Prints the header of the table of runs.
pub(crate) fn print_header() {
    let names: Vec<_> =
        COLUMNS.iter().map(|(name, width)| format!("{name:>width$}", width = *width)).collect();
    println!("{}", names.join(" "));
}

/// Prints one run: a table row, its most frequent errors and its violations.
pub(crate) fn print_row(deployment: &str, seed: u64, name: &str, stats: &RunStats) {
    let values = [
        deployment.to_owned(),
        seed.to_string(),
        name.to_owned(),
        format!("{:.2}", stats.stall_total),
        format!("{:.3}", stats.stall_p99),
        format!("{:.2}", stats.batch),
        stats.sent.to_string(),
        stats.refused.to_string(),
        stats.failed.to_string(),
        format!("{:.3}", stats.first_p50),
        format!("{:.3}", stats.first_p99),
        format!("{:.3}", stats.total_p50),
        format!("{:.3}", stats.total_p99),
        format!("{:.4}", stats.lookup_p99),
        stats.loads.to_string(),
        format!("{:.1}", stats.goodput),
    ];
    let cells: Vec<_> = values
        .iter()
        .zip(COLUMNS)
        .map(|(value, (_, width))| format!("{value:>width$}", width = *width))
        .collect();
    println!("{}", cells.join(" "));
    for (error, count) in stats.errors.iter().take(4) {
        println!("    {count} x {error}");
    }
    if stats.violations > 0 {
        println!("    {} protocol violations at engines", stats.violations);
    }
}

/// Name of a ratio, the compared value, and the goal or an empty text.
type Ratio = (&'static str, fn(&RunStats) -> f64, &'static str);

/// Prints the adaptive/baseline ratios: median and range over the seeds.
pub(crate) fn print_ratios(
    deployment: &str,
    pairs: &[(RunStats, RunStats)],
    batch_goal: &'static str,
) {
    let rows: [Ratio; 9] = [
        ("load stall, total", |f| f.stall_total, "at most 0.333"),
        ("load stall, p99", |f| f.stall_p99, "at most 0.333"),
        ("batch efficiency", |f| f.batch, batch_goal),
        ("first token, p50", |f| f.first_p50, ""),
        ("first token, p99", |f| f.first_p99, ""),
        ("total, p50", |f| f.total_p50, ""),
        ("total, p99", |f| f.total_p99, ""),
        ("responses", |f| f.answered as f64, ""),
        ("loads", |f| f.loads as f64, ""),
    ];
    println!(
        "{deployment}: adaptive/baseline over {} seeds, median (lowest to highest)",
        pairs.len()
    );
    for (name, value, goal) in rows {
        let mut values: Vec<f64> =
            pairs.iter().map(|(adaptive, baseline)| value(adaptive) / value(baseline)).collect();
        let median = quantile(&mut values, 0.5);
        let (low, high) = (values.first(), values.last());
        println!(
            "  {name:<20} {median:>7.3} ({:.3} to {:.3}) {}",
            low.copied().unwrap_or(f64::NAN),
            high.copied().unwrap_or(f64::NAN),
            if goal.is_empty() { String::new() } else { format!("  goal: {goal}") },
        );
    }
}
