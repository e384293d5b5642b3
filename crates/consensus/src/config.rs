//! Settings of a node.

use std::{fmt, io, path::Path, path::PathBuf, sync::Arc, time::Duration};

use shallotdrum_types::InstanceId;

/// Called with the file's path before each sync; an error makes the sync fail.
pub type SyncHook = Arc<dyn Fn(&Path) -> io::Result<()> + Send + Sync>;

/// Settings of a node.
#[derive(Clone)]
pub struct NodeConfig {
    /// This instance.
    pub id: InstanceId,
    /// Folder of the log and the snapshots; created if missing.
    pub data_dir: PathBuf,
    /// Members that form the first configuration when all their folders are empty.
    pub initial_members: Vec<InstanceId>,
    /// Intervals of heartbeats and elections.
    pub timing: Timing,
    /// Applied entries between two snapshots.
    pub snapshot_every: u64,
    /// Entries kept in the log behind the newest snapshot, for replicas and followers that lag.
    pub retain_entries: u64,
    /// Moves a damaged log aside instead of refusing to start; the replica then learns the state
    /// from the others as a new member.
    pub set_aside_damaged: bool,
    /// Storage fault hook for tests.
    pub before_sync: Option<SyncHook>,
}

impl NodeConfig {
    /// Settings with defaults for everything but identity and place.
    pub fn new(id: InstanceId, data_dir: PathBuf, initial_members: Vec<InstanceId>) -> Self {
        Self {
            id,
            data_dir,
            initial_members,
            timing: Timing::default(),
            // Replaying 10,000 entries takes well under a second.
            snapshot_every: 10_000,
            // About nine days at 1,100 configuration changes a day.
            retain_entries: 10_000,
            set_aside_damaged: false,
            before_sync: None,
        }
    }
}

impl fmt::Debug for NodeConfig {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("NodeConfig")
            .field("id", &self.id)
            .field("data_dir", &self.data_dir)
            .field("initial_members", &self.initial_members)
            .field("timing", &self.timing)
            .field("snapshot_every", &self.snapshot_every)
            .field("retain_entries", &self.retain_entries)
            .field("set_aside_damaged", &self.set_aside_damaged)
            .finish_non_exhaustive()
    }
}

/// Intervals of heartbeats and elections.
#[derive(Clone, Debug)]
pub struct Timing {
    /// Interval between a leader's messages to each replica.
    pub heartbeat: Duration,
    /// Shortest silence of the leader before a replica campaigns; also the leader's lease.
    pub election_min: Duration,
    /// Longest silence before a replica campaigns, and before a leader without quorum steps down.
    pub election_max: Duration,
    /// Bound on the wait for one answer.
    pub call_timeout: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            heartbeat: Duration::from_millis(100),
            // Six heartbeats: a few delayed messages don't cost the leader its role.
            election_min: Duration::from_millis(600),
            election_max: Duration::from_millis(1200),
            // Below `election_min`, so that one lost message doesn't end the leader's lease.
            call_timeout: Duration::from_millis(400),
        }
    }
}

impl Timing {
    /// Lease of a leader, shortened by a tenth for clocks that run at different rates.
    pub(crate) fn lease(&self) -> Duration {
        self.election_min - self.election_min / 10
    }
}
