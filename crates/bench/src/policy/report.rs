//! Tables of the policy runs.

use super::run::{Figures, quantile};

/// Columns of the table of runs, with the width of each.
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

/// Prints the head of the table of runs.
pub(crate) fn head() {
    let names: Vec<_> =
        COLUMNS.iter().map(|(name, width)| format!("{name:>width$}", width = *width)).collect();
    println!("{}", names.join(" "));
}

/// Prints one run.
pub(crate) fn row(deployment: &str, seed: u64, name: &str, f: &Figures) {
    let values = [
        deployment.to_owned(),
        seed.to_string(),
        name.to_owned(),
        format!("{:.2}", f.stall_total),
        format!("{:.3}", f.stall_p99),
        format!("{:.2}", f.batch),
        f.sent.to_string(),
        f.refused.to_string(),
        f.failed.to_string(),
        format!("{:.3}", f.first_p50),
        format!("{:.3}", f.first_p99),
        format!("{:.3}", f.total_p50),
        format!("{:.3}", f.total_p99),
        format!("{:.4}", f.lookup_p99),
        f.loads.to_string(),
        format!("{:.1}", f.goodput),
    ];
    let cells: Vec<_> = values
        .iter()
        .zip(COLUMNS)
        .map(|(value, (_, width))| format!("{value:>width$}", width = *width))
        .collect();
    println!("{}", cells.join(" "));
    for (error, count) in f.errors.iter().take(4) {
        println!("    {count} x {error}");
    }
    if f.violations > 0 {
        println!("    {} violations at engines", f.violations);
    }
}

/// Name of a ratio, how it is taken from the figures, and its goal.
type Ratio = (&'static str, fn(&Figures) -> f64, &'static str);

/// Prints the ratios adaptive/baseline: median and range over the seeds.
pub(crate) fn ratios(deployment: &str, pairs: &[(Figures, Figures)], batch_goal: &'static str) {
    let rows: [Ratio; 9] = [
        ("load stall, total", |f| f.stall_total, "at most 0.333"),
        ("load stall, p99", |f| f.stall_p99, "at most 0.333"),
        ("batch efficiency", |f| f.batch, batch_goal),
        ("first token, p50", |f| f.first_p50, ""),
        ("first token, p99", |f| f.first_p99, ""),
        ("total, p50", |f| f.total_p50, ""),
        ("total, p99", |f| f.total_p99, ""),
        ("answers", |f| f.answered as f64, ""),
        ("loads", |f| f.loads as f64, ""),
    ];
    println!(
        "{deployment}: adaptive/baseline over {} seeds, median (lowest to highest)",
        pairs.len()
    );
    for (name, figure, goal) in rows {
        let mut values: Vec<f64> =
            pairs.iter().map(|(adaptive, baseline)| figure(adaptive) / figure(baseline)).collect();
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
