//! Series of measurements with least-squares fits.

use std::{path::Path, process::Command, time::Instant};

use anyhow::Context;
use serde::Serialize;

/// All series of a run; serialises to the file of `--json`.
#[derive(Serialize)]
pub(crate) struct Report {
    seed: u64,
    commit: String,
    series: Vec<Series>,
    #[serde(skip)]
    start: Instant,
}

/// Measured values by size, with the fitted line.
#[derive(Serialize)]
struct Series {
    name: String,
    /// Unit of the values.
    unit: &'static str,
    /// Singular name of the items that the sizes count.
    per: &'static str,
    sizes: Vec<f64>,
    values: Vec<f64>,
    slope: f64,
    intercept: f64,
}

impl Report {
    pub(crate) fn new(seed: u64) -> Self {
        let commit = commit();
        println!("seed {seed}, commit {commit}");
        Self { seed, commit, series: Vec::new(), start: Instant::now() }
    }

    /// Prints a heading with the time since the start of the run.
    pub(crate) fn section(&self, title: &str) {
        println!("\n{title} (after {:.0} s)", self.start.elapsed().as_secs_f64());
    }

    /// Adds a series of `(size, value)` points: fits a line and prints both.
    pub(crate) fn add(
        &mut self,
        name: impl Into<String>,
        unit: &'static str,
        per: &'static str,
        points: &[(f64, f64)],
    ) {
        let (slope, intercept) = fit_line(points);
        let series = Series {
            name: name.into(),
            unit,
            per,
            sizes: points.iter().map(|(size, _)| *size).collect(),
            values: points.iter().map(|(_, value)| *value).collect(),
            slope,
            intercept,
        };
        let points: Vec<_> =
            points.iter().map(|(size, value)| format!("{size:.0}: {value:.1}")).collect();
        println!(
            "  {:<52} {:>10.3} {unit}/{per}, {:.1} at 0  [{}]",
            series.name,
            slope,
            intercept,
            points.join(", ")
        );
        self.series.push(series);
    }

    pub(crate) fn write_json(&self, path: &Path) -> anyhow::Result<()> {
        let json = serde_json::to_vec_pretty(self)?;
        std::fs::write(path, json).with_context(|| format!("cannot write {}", path.display()))
    }
}

/// Returns slope and intercept of the least-squares line; the slope is 0 if all sizes are equal.
fn fit_line(points: &[(f64, f64)]) -> (f64, f64) {
    let n = points.len().max(1) as f64;
    let mean_size = points.iter().map(|(size, _)| size).sum::<f64>() / n;
    let mean_value = points.iter().map(|(_, value)| value).sum::<f64>() / n;
    let covariance: f64 =
        points.iter().map(|(size, value)| (size - mean_size) * (value - mean_value)).sum();
    let variance: f64 = points.iter().map(|(size, _)| (size - mean_size).powi(2)).sum();
    let slope = if variance > 0.0 { covariance / variance } else { 0.0 };
    (slope, mean_value - slope * mean_size)
}

/// Commit of the work tree in the current directory, marked if `crates` is modified.
fn commit() -> String {
    let git = |args: &[&str]| {
        let output = Command::new("git").args(args).output().ok()?;
        Some(String::from_utf8_lossy(&output.stdout).trim().to_owned())
    };
    match (git(&["rev-parse", "--short=12", "HEAD"]), git(&["status", "--porcelain", "crates"])) {
        (Some(commit), Some(changes)) if changes.is_empty() => commit,
        (Some(commit), _) => format!("{commit} with local changes"),
        (None, _) => "unknown".to_owned(),
    }
}
