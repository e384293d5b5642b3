//! Metrics of the loads of owned groups from the weight store.

use std::{
    collections::BTreeSet,
    sync::{Mutex, PoisonError},
    time::Duration,
};

use prometheus::{GaugeVec, Opts, Registry};
use shallotdrum_types::GroupId;

/// Number of groups with metrics of their own. An instance owns some ten groups; six gauges for each
/// of 200 take about 100 KB of the metrics page.
pub const MAX_GROUP_LABELS: usize = 200;

/// Loads from the weight store of a group whose limit on them is learned.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StoreLoadValues {
    /// Number of loads that may be in flight.
    pub limit: usize,
    /// Loads in flight.
    pub in_flight: usize,
    /// Loads in flight whose orders have had no response for a response timeout.
    pub unanswered: usize,
    /// Observed rate of completed loads per second.
    pub rate: f64,
    /// Shortest time of a load.
    pub shortest: Option<Duration>,
    /// Median time of the latest loads.
    pub median: Option<Duration>,
}

pub(crate) struct StoreLoadMetrics {
    limit: GaugeVec,
    in_flight: GaugeVec,
    unanswered: GaugeVec,
    rate: GaugeVec,
    shortest: GaugeVec,
    median: GaugeVec,
    /// Groups that have metrics.
    groups: Mutex<BTreeSet<GroupId>>,
}

impl StoreLoadMetrics {
    pub(crate) fn register(registry: &Registry) -> Result<Self, prometheus::Error> {
        let gauge = |name: &str, help: &str| {
            let metric = GaugeVec::new(Opts::new(name, help), &["group"])?;
            registry.register(Box::new(metric.clone()))?;
            Ok::<_, prometheus::Error>(metric)
        };
        Ok(Self {
            limit: gauge(
                "shallotdrum_store_load_limit",
                "Learned limit on the loads of an owned group from the weight store",
            )?,
            in_flight: gauge(
                "shallotdrum_store_loads",
                "Loads of an owned group from the weight store in flight",
            )?,
            unanswered: gauge(
                "shallotdrum_store_loads_unanswered",
                "Loads among them whose orders have had no response for 250 ms",
            )?,
            rate: gauge(
                "shallotdrum_store_load_rate",
                "Loads from the weight store per second while the limit is reached",
            )?,
            shortest: gauge(
                "shallotdrum_store_load_shortest_seconds",
                "Shortest time of a load from the weight store in 30 s",
            )?,
            median: gauge(
                "shallotdrum_store_load_median_seconds",
                "Median time of the latest 8 loads from the weight store",
            )?,
            groups: Mutex::default(),
        })
    }

    pub(crate) fn set(&self, groups: &[(GroupId, StoreLoadValues)]) {
        let mut known = self.groups.lock().unwrap_or_else(PoisonError::into_inner);
        let groups = &groups[..groups.len().min(MAX_GROUP_LABELS)];
        let current: BTreeSet<GroupId> = groups.iter().map(|(group, _)| group.clone()).collect();
        for group in known.difference(&current) {
            self.set_group(group, None);
        }
        for (group, values) in groups {
            self.set_group(group, Some(values));
        }
        *known = current;
    }

    fn set_group(&self, group: &GroupId, values: Option<&StoreLoadValues>) {
        let seconds = |time: Option<Duration>| time.map(|time| time.as_secs_f64());
        let gauges = [
            (&self.limit, values.map(|v| v.limit as f64)),
            (&self.in_flight, values.map(|v| v.in_flight as f64)),
            (&self.unanswered, values.map(|v| v.unanswered as f64)),
            (&self.rate, values.map(|v| v.rate)),
            (&self.shortest, values.and_then(|v| seconds(v.shortest))),
            (&self.median, values.and_then(|v| seconds(v.median))),
        ];
        let group = group.to_string();
        for (gauge, value) in gauges {
            match value {
                Some(value) => gauge.with_label_values(&[&group]).set(value),
                // A group without a value has no series, which is no error.
                None => drop(gauge.remove_label_values(&[&group])),
            }
        }
    }
}
