//! Open-loop load generator: arrivals do not depend on responses.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use hyper::Method;
use rand::{RngExt, SeedableRng, rngs::StdRng, seq::SliceRandom};
use shallotdrum_harness::{Caller, CallerError, Deployment};
use tokio::{
    task::JoinSet,
    time::{Instant, sleep_until},
};

/// Number of model requests per lookup.
const LOOKUP_EVERY: usize = 5;

/// Requested completion lengths in tokens, uniformly distributed.
const MAX_TOKENS: std::ops::RangeInclusive<u32> = 16..=96;

/// Mean of `MAX_TOKENS`.
pub(crate) const MEAN_TOKENS: f64 = 56.0;

/// Group of subscribers that send equal shares of the requests.
#[derive(Clone, Debug)]
pub(crate) struct SenderGroup {
    /// Whether the subscribers are reported as heavy.
    pub(crate) is_heavy: bool,
    /// Indices of the subscribers.
    pub(crate) subscribers: std::ops::Range<usize>,
    /// Model requests per second, summed over the group.
    pub(crate) rate: f64,
    /// Indices of the requested adapters; popularity ranks are assigned by shuffling.
    pub(crate) adapters: std::ops::Range<usize>,
}

/// Load of one run.
#[derive(Clone, Debug)]
pub(crate) struct LoadConfig {
    pub(crate) groups: Vec<SenderGroup>,
    /// Zipf exponent of adapter popularity.
    pub(crate) exponent: f64,
    /// Duration of the load before the measurement.
    pub(crate) warm_up: Duration,
    /// Duration of the measurement.
    pub(crate) measured: Duration,
    /// Whether popularity ranks are reassigned half-way through the measurement.
    pub(crate) has_popularity_shift: bool,
    pub(crate) seed: u64,
}

/// Scheduled request.
#[derive(Clone, Debug)]
pub(crate) struct Arrival {
    pub(crate) at: Duration,
    pub(crate) is_heavy: bool,
    subscriber: usize,
    entry: usize,
    kind: Kind,
}

#[derive(Clone, Debug)]
enum Kind {
    Completion { adapter: usize, tokens: u32, prompt: String },
    Lookup,
}

/// Outcome of one request; times are relative to the start of the load.
#[derive(Clone, Debug)]
pub(crate) struct RequestOutcome {
    /// Scheduled arrival.
    pub(crate) at: Duration,
    /// End of the response or the error.
    pub(crate) ended: Duration,
    pub(crate) is_heavy: bool,
    pub(crate) is_lookup: bool,
    pub(crate) result: Result<Latencies, RequestError>,
}

/// Latencies relative to the scheduled arrival.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Latencies {
    pub(crate) first_token: Duration,
    pub(crate) total: Duration,
}

/// Why a request has no complete response.
#[derive(Clone, Debug)]
pub(crate) enum RequestError {
    /// Not run, according to a problem document; holds its code.
    Refused(String),
    /// Any other error.
    Failed(String),
}

/// Generates the arrivals of a run, deterministically from the configuration.
pub(crate) fn arrivals(cfg: &LoadConfig, entries: usize) -> Vec<Arrival> {
    let mut all = Vec::new();
    for (i, group) in cfg.groups.iter().enumerate() {
        // Each group has its own generator, so that removing one does not change the others.
        let mut rng = StdRng::seed_from_u64(cfg.seed * 1000 + i as u64);
        all.extend(group_arrivals(cfg, group, entries, &mut rng));
    }
    all.sort_by_key(|arrival| arrival.at);
    all
}

fn group_arrivals(
    cfg: &LoadConfig,
    group: &SenderGroup,
    entries: usize,
    rng: &mut StdRng,
) -> Vec<Arrival> {
    let mut cumulative_popularity = cumulative_zipf(group.adapters.len(), cfg.exponent);
    cumulative_popularity.shrink_to_fit();
    let mut ranked: Vec<usize> = group.adapters.clone().collect();
    ranked.shuffle(rng);
    let mut shift_at = cfg.has_popularity_shift.then(|| cfg.warm_up + cfg.measured / 2);
    let mut arrivals = Vec::new();
    let mut elapsed = 0.0;
    for i in 1.. {
        // Exponential inter-arrival times give a Poisson process.
        elapsed -= (1.0 - rng.random::<f64>()).ln() / group.rate;
        let time = Duration::from_secs_f64(elapsed);
        if time >= cfg.warm_up + cfg.measured {
            break;
        }
        if shift_at.is_some_and(|shift| time >= shift) {
            ranked.shuffle(rng);
            shift_at = None;
        }
        let rank = cumulative_popularity.partition_point(|sum| *sum < rng.random::<f64>());
        let mut push = |kind| {
            arrivals.push(Arrival {
                at: time,
                is_heavy: group.is_heavy,
                subscriber: rng.random_range(group.subscribers.clone()),
                entry: rng.random_range(0..entries),
                kind,
            });
        };
        push(Kind::Completion {
            adapter: ranked[rank.min(ranked.len() - 1)],
            tokens: 0,
            prompt: format!("case {i}: summarise the history of the record and its renewals"),
        });
        if i % LOOKUP_EVERY == 0 {
            push(Kind::Lookup);
        }
    }
    for arrival in &mut arrivals {
        if let Kind::Completion { tokens, .. } = &mut arrival.kind {
            *tokens = rng.random_range(MAX_TOKENS);
        }
    }
    arrivals
}

fn cumulative_zipf(n: usize, exponent: f64) -> Vec<f64> {
    let mut sum = 0.0;
    let mut sums: Vec<f64> = (1..=n)
        .map(|rank| {
            sum += (rank as f64).powf(-exponent);
            sum
        })
        .collect();
    sums.iter_mut().for_each(|value| *value /= sum);
    sums
}

/// Sends all requests at their scheduled arrivals and waits for their outcomes.
pub(crate) async fn send(
    deployment: &Deployment,
    entries: &[SocketAddr],
    arrivals: Vec<Arrival>,
    start: Instant,
) -> Vec<RequestOutcome> {
    let caller = Caller::new(&deployment.key(0));
    let deployment = Arc::new(deployment.clone());
    let mut running = JoinSet::new();
    for arrival in arrivals {
        sleep_until(start + arrival.at).await;
        let caller = caller.with_key(&deployment.key(arrival.subscriber));
        let entry = entries[arrival.entry];
        let deployment = deployment.clone();
        running.spawn(async move { send_one(&deployment, &caller, entry, arrival, start).await });
    }
    running.join_all().await
}

async fn send_one(
    deployment: &Deployment,
    caller: &Caller,
    entry: SocketAddr,
    arrival: Arrival,
    start: Instant,
) -> RequestOutcome {
    let scheduled = start + arrival.at;
    let send_delay = Instant::now().saturating_duration_since(scheduled);
    let result = match &arrival.kind {
        Kind::Completion { adapter, tokens, prompt } => {
            let model = deployment.model(*adapter, 2);
            let response = caller.complete(entry, &model, prompt, *tokens, true).await;
            response.map(|response| Latencies {
                first_token: send_delay + response.first_token,
                total: send_delay + response.total,
            })
        }
        Kind::Lookup => {
            let path = format!("/{}/status/7", deployment.service);
            let response = caller.call(entry, Method::GET, &path, None, "").await;
            let total = scheduled.elapsed();
            response.map(|_| Latencies { first_token: total, total })
        }
    };
    RequestOutcome {
        at: arrival.at,
        ended: start.elapsed(),
        is_heavy: arrival.is_heavy,
        is_lookup: matches!(arrival.kind, Kind::Lookup),
        result: result.map_err(|error| classify(&error)),
    }
}

fn classify(error: &CallerError) -> RequestError {
    match error.is_not_run() {
        true => RequestError::Refused(error.code().unwrap_or("connect").to_owned()),
        false => RequestError::Failed(error.to_string()),
    }
}
