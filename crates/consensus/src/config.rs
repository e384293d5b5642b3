//! Settings of a node and of its timers.

use std::{fmt, io, path::Path, path::PathBuf, sync::Arc, time::Duration};

use shallotdrum_types::InstanceId;

/// Called with the path of the file or folder before each sync; an error makes the sync fail.
pub type SyncHook = Arc<dyn Fn(&Path) -> io::Result<()> + Send + Sync>;

/// Called with the path of the file before each write; an error makes the write fail.
pub type WriteHook = Arc<dyn Fn(&Path) -> io::Result<()> + Send + Sync>;

/// Settings of a node; checked by `Node::start`.
#[derive(Clone)]
pub struct NodeConfig {
    /// Instance that the node runs on.
    pub id: InstanceId,
    /// Data folder for the log and the snapshots; created if missing.
    pub data_dir: PathBuf,
    /// Members of the first configuration, which is formed when all their data folders are empty.
    pub initial_members: Vec<InstanceId>,
    /// Heartbeat and election timing.
    pub timing: Timing,
    /// Number of applied entries between two snapshots; above zero.
    pub snapshot_every: u64,
    /// Entries kept in the log before the newest snapshot, for replicas and log readers that lag.
    pub retain_entries: u64,
    /// Moves the files of a damaged replica to a subfolder instead of refusing to start; the
    /// replica then fetches the state from the others as a new member.
    pub set_aside_damaged: bool,
    /// Fault injection for tests; `None` in production.
    pub before_sync: Option<SyncHook>,
    /// Fault injection for tests; `None` in production.
    pub before_write: Option<WriteHook>,
}

impl NodeConfig {
    /// Default settings for the given instance, data folder and initial members.
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
            before_write: None,
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

/// Heartbeat and election timing.
#[derive(Clone, Debug)]
pub struct Timing {
    /// Interval between heartbeats; at most half of `election_min`.
    pub heartbeat: Duration,
    /// Lower bound of the randomized election timeout; the leader lease is derived from it.
    pub election_min: Duration,
    /// Upper bound of the election timeout, after which a leader without quorum also steps down.
    pub election_max: Duration,
    /// Timeout of one message, including its response.
    pub call_timeout: Duration,
    /// Silence after which a voter gives way to a learner that has caught up, and after which a
    /// learner is given up; above `election_max`, so that a leader that stood still steps down
    /// before it takes the others for lost.
    pub replace_after: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            heartbeat: Duration::from_millis(100),
            // Six heartbeats, so that a few delayed messages don't trigger an election.
            election_min: Duration::from_millis(600),
            election_max: Duration::from_millis(1200),
            // Below `election_min`, so that one lost message doesn't make the lease expire.
            call_timeout: Duration::from_millis(400),
            // Half of the 4 s after which operators replace the next machine. The other half is for
            // the election that a lost leader needs, and for the two changes that follow.
            replace_after: Duration::from_secs(2),
        }
    }
}

impl Timing {
    /// Duration of the leader lease: `election_min` less a tenth to allow for clock drift.
    pub(crate) fn lease(&self) -> Duration {
        self.election_min - self.election_min / 10
    }
}
