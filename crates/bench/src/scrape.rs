//! Scrapes the metrics of all instances and sums them.

use std::{collections::BTreeMap, net::SocketAddr};

use anyhow::Context;
use http_body_util::BodyExt;
use hyper::Method;
use shallotdrum_harness::Caller;

/// Values by metric name, summed over instances and labels; histogram buckets by upper bound.
#[derive(Clone, Debug, Default)]
pub(crate) struct Scrape {
    values: BTreeMap<String, f64>,
    buckets: BTreeMap<String, Vec<(f64, f64)>>,
}

impl Scrape {
    /// Scrapes the metrics pages of all instances.
    pub(crate) async fn read(caller: &Caller, entries: &[SocketAddr]) -> anyhow::Result<Self> {
        let mut sum = Self::default();
        for entry in entries {
            let req = caller.request(*entry, Method::GET, "/metrics").body(Default::default())?;
            let res = caller.send(req).await.with_context(|| format!("metrics of {entry}"))?;
            let page = res.into_body().collect().await?.to_bytes();
            sum.add(&String::from_utf8_lossy(&page));
        }
        Ok(sum)
    }

    fn add(&mut self, page: &str) {
        for line in page.lines().filter(|line| !line.starts_with('#')) {
            let Some((series, value)) = line.rsplit_once(' ') else { continue };
            let Ok(value) = value.parse::<f64>() else { continue };
            let (name, labels) = series.split_once('{').unwrap_or((series, ""));
            let bound = labels.split("le=\"").nth(1).and_then(|rest| rest.split('"').next());
            match bound {
                None => *self.values.entry(name.to_owned()).or_default() += value,
                Some(bound) => {
                    let bound = bound.parse().unwrap_or(f64::INFINITY);
                    let buckets = self.buckets.entry(name.to_owned()).or_default();
                    match buckets.iter_mut().find(|(known, _)| *known == bound) {
                        Some((_, count)) => *count += value,
                        None => buckets.push((bound, value)),
                    }
                }
            }
        }
    }

    /// Sum of a metric; 0 if it is missing.
    pub(crate) fn value(&self, name: &str) -> f64 {
        self.values.get(name).copied().unwrap_or(0.0)
    }

    /// Increase of a metric since an earlier scrape.
    pub(crate) fn increase_since(&self, earlier: &Self, name: &str) -> f64 {
        self.value(name) - earlier.value(name)
    }

    /// Quantile of the observations since an earlier scrape, interpolated linearly within a bucket.
    pub(crate) fn quantile_since(&self, earlier: &Self, histogram: &str, quantile: f64) -> f64 {
        let name = format!("{histogram}_bucket");
        let Some(buckets) = self.buckets.get(&name) else { return 0.0 };
        let before = |bound: f64| {
            let earlier = earlier.buckets.get(&name)?;
            earlier.iter().find(|(known, _)| *known == bound).map(|(_, count)| *count)
        };
        let mut counts: Vec<_> = buckets
            .iter()
            .map(|(bound, count)| (*bound, count - before(*bound).unwrap_or(0.0)))
            .collect();
        counts.sort_by(|a, b| a.0.total_cmp(&b.0));
        let total = counts.last().map_or(0.0, |(_, count)| *count);
        let rank = quantile * total;
        let (mut low, mut below) = (0.0, 0.0);
        for (bound, count) in counts {
            if count >= rank && count > below {
                let high = if bound.is_finite() { bound } else { low };
                return low + (high - low) * (rank - below) / (count - below);
            }
            (low, below) = (bound, count);
        }
        0.0
    }
}
