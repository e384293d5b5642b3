//! Starts a cluster of eight processes with a small deployment, and common checks.

use std::{net::SocketAddr, time::Duration};

use shallotdrum_fakes::expected_text;
use shallotdrum_harness::{
    Caller, CallerError, Cluster, ClusterConfig, Completion, Deployment, Operator, Targets,
    TargetsConfig, wait_until,
};
use shallotdrum_types::{AdapterRef, Revision};

/// Timeout for starts and other waits on a busy machine; no guarantee depends on it.
pub(crate) const START_LIMIT: Duration = Duration::from_secs(30);

/// Running cluster with targets and a manifest that is in force on all instances.
pub(crate) struct Setup {
    pub(crate) deployment: Deployment,
    pub(crate) cluster: Cluster,
    pub(crate) targets: Targets,
    pub(crate) caller: Caller,
    pub(crate) operator: Operator,
}

/// Starts eight instances, three of them control replicas, three engines and two services.
pub(crate) async fn start() -> Setup {
    start_with(ClusterConfig::new(env!("CARGO_BIN_EXE_shallotdrumd")), TargetsConfig::default())
        .await
}

pub(crate) async fn start_with(cfg: ClusterConfig, targets: TargetsConfig) -> Setup {
    let deployment = Deployment::registry().scaled(3, 2, 12);
    let cluster = Cluster::start(&deployment, cfg).await.unwrap();
    cluster.submit_manifest(&deployment, START_LIMIT).await.unwrap();
    let targets = Targets::start(&deployment, &targets, &cluster.entries()).await.unwrap();
    let caller = Caller::new(&deployment.key(0));
    let setup = Setup { deployment, cluster, targets, caller, operator: Operator::default() };
    for i in 0..setup.cluster.len() {
        setup.wait_serving(i, START_LIMIT).await;
    }
    setup
}

impl Setup {
    /// Requests a streamed completion and checks its text and model.
    pub(crate) async fn complete(
        &self,
        entry: SocketAddr,
        adapter: usize,
        version: u32,
        prompt: &str,
        max_tokens: u32,
    ) -> Result<Completion, CallerError> {
        let model = self.deployment.model(adapter, version);
        let response = self.caller.complete(entry, &model, prompt, max_tokens, true).await?;
        self.check_response(&response, adapter, version, prompt, max_tokens);
        Ok(response)
    }

    /// Panics unless the response is the complete text of the adapter and version.
    pub(crate) fn check_response(
        &self,
        response: &Completion,
        adapter: usize,
        version: u32,
        prompt: &str,
        max_tokens: u32,
    ) {
        let adapter_ref = AdapterRef {
            adapter: self.deployment.adapter(adapter).parse().unwrap(),
            version: version.to_string().parse().unwrap(),
        };
        let base = &self.deployment.base_model;
        let expected = expected_text(base, &adapter_ref, prompt, u64::from(max_tokens));
        assert_eq!(response.text, expected, "text of {adapter_ref}");
        assert_eq!(response.model, self.deployment.model(adapter, version));
    }

    /// Waits until an instance serves a completion and a lookup.
    pub(crate) async fn wait_serving(&self, i: usize, limit: Duration) -> Duration {
        let entry = self.cluster.entry(i);
        let poll = || async {
            self.complete(entry, 0, 1, "ready?", 1).await.map_err(|e| e.to_string())?;
            self.lookup(entry).await.map_err(|e| e.to_string())
        };
        let (_, time) = wait_until(&format!("instance {i} serves"), limit, poll).await.unwrap();
        time
    }

    /// Calls a repeatable method of the service.
    pub(crate) async fn lookup(&self, entry: SocketAddr) -> Result<(), CallerError> {
        let path = format!("/{}/status/7", self.deployment.service);
        self.caller.call(entry, hyper::Method::GET, &path, None, "").await.map(drop)
    }

    /// Waits until the revision is in force on every instance that has a session.
    pub(crate) async fn wait_in_force(&self, rpc: SocketAddr, revision: u64, limit: Duration) {
        self.operator.wait_for_revision(rpc, Revision(revision), limit).await.unwrap();
    }

    /// Index of the instance that owns the engines' group.
    pub(crate) async fn engine_owner(&self, rpc: SocketAddr) -> Option<usize> {
        self.owner_of(rpc, self.deployment.engine_pool.as_str()).await
    }

    /// Index of the instance that owns a pool's only group.
    pub(crate) async fn owner_of(&self, rpc: SocketAddr, pool: &str) -> Option<usize> {
        use shallotdrum_rpc::AdminApiClient;
        let groups = self.operator.client(rpc).unwrap().groups().await.ok()?;
        let owner = groups.iter().find(|group| group.group.pool.as_str() == pool)?.owner.clone()?;
        owner.as_str().strip_prefix("instance-")?.parse().ok()
    }

    /// Index of an instance that is no control replica and owns no group.
    pub(crate) async fn idle_instance(&self) -> usize {
        use shallotdrum_rpc::AdminApiClient;
        let groups =
            self.operator.client(self.cluster.rpc_addr(0)).unwrap().groups().await.unwrap();
        let owners: Vec<_> = groups.iter().filter_map(|group| group.owner.clone()).collect();
        (self.cluster.replicas()..self.cluster.len())
            .find(|i| owners.iter().all(|owner| owner.as_str() != format!("instance-{i}")))
            .expect("there are more instances than groups")
    }

    /// Waits for a control leader other than `without` and returns its index.
    pub(crate) async fn leader(&self, without: Option<usize>) -> usize {
        use shallotdrum_rpc::AdminApiClient;
        let poll = || async {
            for i in (0..self.cluster.replicas()).filter(|i| Some(*i) != without) {
                let client = self.operator.client(self.cluster.rpc_addr(i)).unwrap();
                let Ok(status) = client.replica_status().await else { continue };
                if status.is_leader {
                    return Ok(i);
                }
            }
            Err("no leader".to_owned())
        };
        wait_until("there is a leader", START_LIMIT, poll).await.unwrap().0
    }

    /// Panics if an engine saw an eviction of a serving adapter, a request for an adapter that is
    /// not loaded, or concurrent orders of two epochs, or if a call ran twice.
    pub(crate) fn check_targets(&self) {
        for engine in &self.targets.engines {
            assert_eq!(engine.stats().violations, [], "violations at an engine");
        }
        for service in &self.targets.services {
            assert!(service.stats().repeated_keys().is_empty(), "a call ran twice");
        }
    }
}
