//! Open-loop load: arrivals that do not depend on answers, and what became of each.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use hyper::Method;
use rand::{RngExt, SeedableRng, rngs::StdRng, seq::SliceRandom};
use shallotdrum_harness::{Caller, CallerError, Deployment};
use tokio::{
    task::JoinSet,
    time::{Instant, sleep_until},
};

/// Every this many model requests, one lookup arrives as well.
const LOOKUP_EVERY: usize = 5;

/// Tokens of an answer, uniformly from this range.
const MAX_TOKENS: std::ops::RangeInclusive<u32> = 16..=96;

/// Mean of `MAX_TOKENS`.
pub(crate) const MEAN_TOKENS: f64 = 56.0;

/// Subscribers that send the same share of requests each.
#[derive(Clone, Debug)]
pub(crate) struct Senders {
    /// Whether they count as heavy.
    pub(crate) is_heavy: bool,
    /// Numbers of the subscribers.
    pub(crate) subscribers: std::ops::Range<usize>,
    /// Model requests in a second, of all together.
    pub(crate) rate: f64,
    /// Adapters that they use, most popular first before shuffling.
    pub(crate) adapters: std::ops::Range<usize>,
}

/// Load of a run.
#[derive(Clone, Debug)]
pub(crate) struct LoadConfig {
    pub(crate) senders: Vec<Senders>,
    /// Exponent of the Zipf popularity.
    pub(crate) exponent: f64,
    /// Time before the measured time.
    pub(crate) warm_up: Duration,
    /// Measured time.
    pub(crate) measured: Duration,
    /// Assigns all popularity ranks anew half-way through the measured time.
    pub(crate) shifts: bool,
    pub(crate) seed: u64,
}

/// One request that will be sent.
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

/// What became of a request.
#[derive(Clone, Debug)]
pub(crate) struct Done {
    /// Intended time of arrival.
    pub(crate) at: Duration,
    /// Time of the end of the answer.
    pub(crate) ended: Duration,
    pub(crate) is_heavy: bool,
    pub(crate) is_lookup: bool,
    pub(crate) result: Result<Times, Lost>,
}

/// Latencies, from the intended time of arrival.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Times {
    pub(crate) first_token: Duration,
    pub(crate) total: Duration,
}

/// Request without a whole answer.
#[derive(Clone, Debug)]
pub(crate) enum Lost {
    /// Not run, as a problem document says.
    Refused(String),
    /// Anything else.
    Failed(String),
}

/// Makes the arrivals of a run; they depend on the seed only.
pub(crate) fn arrivals(cfg: &LoadConfig, entries: usize) -> Vec<Arrival> {
    let mut all = Vec::new();
    for (i, senders) in cfg.senders.iter().enumerate() {
        // Groups have generators of their own, so that leaving one out does not change others.
        let mut rng = StdRng::seed_from_u64(cfg.seed * 1000 + i as u64);
        all.extend(arrivals_of(cfg, senders, entries, &mut rng));
    }
    all.sort_by_key(|arrival| arrival.at);
    all
}

fn arrivals_of(
    cfg: &LoadConfig,
    senders: &Senders,
    entries: usize,
    rng: &mut StdRng,
) -> Vec<Arrival> {
    let mut popularity = cumulative_zipf(senders.adapters.len(), cfg.exponent);
    popularity.shrink_to_fit();
    let mut ranked: Vec<usize> = senders.adapters.clone().collect();
    ranked.shuffle(rng);
    let mut shift_at = cfg.shifts.then(|| cfg.warm_up + cfg.measured / 2);
    let mut arrivals = Vec::new();
    let mut at = 0.0;
    for i in 1.. {
        // Exponential gaps make the arrivals a Poisson process.
        at -= (1.0 - rng.random::<f64>()).ln() / senders.rate;
        let time = Duration::from_secs_f64(at);
        if time >= cfg.warm_up + cfg.measured {
            break;
        }
        if shift_at.is_some_and(|shift| time >= shift) {
            ranked.shuffle(rng);
            shift_at = None;
        }
        let rank = popularity.partition_point(|sum| *sum < rng.random::<f64>());
        let mut push = |kind| {
            arrivals.push(Arrival {
                at: time,
                is_heavy: senders.is_heavy,
                subscriber: rng.random_range(senders.subscribers.clone()),
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

/// Sends all arrivals at their times and waits for what becomes of them.
pub(crate) async fn send(
    deployment: &Deployment,
    entries: &[SocketAddr],
    arrivals: Vec<Arrival>,
    start: Instant,
) -> Vec<Done> {
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
) -> Done {
    let intended = start + arrival.at;
    let late = Instant::now().saturating_duration_since(intended);
    let result = match &arrival.kind {
        Kind::Completion { adapter, tokens, prompt } => {
            let model = deployment.model(*adapter, 2);
            let answer = caller.complete(entry, &model, prompt, *tokens, true).await;
            answer.map(|answer| Times {
                first_token: late + answer.first_token,
                total: late + answer.total,
            })
        }
        Kind::Lookup => {
            let path = format!("/{}/status/7", deployment.service);
            let answer = caller.call(entry, Method::GET, &path, None, "").await;
            let total = intended.elapsed();
            answer.map(|_| Times { first_token: total, total })
        }
    };
    Done {
        at: arrival.at,
        ended: start.elapsed(),
        is_heavy: arrival.is_heavy,
        is_lookup: matches!(arrival.kind, Kind::Lookup),
        result: result.map_err(|error| lost(&error)),
    }
}

fn lost(error: &CallerError) -> Lost {
    match error.is_not_run() {
        true => Lost::Refused(error.code().unwrap_or("connect").to_owned()),
        false => Lost::Failed(error.to_string()),
    }
}
