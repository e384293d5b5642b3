//! Identity of replicas, and cluster configurations.

use std::{fmt, fmt::Write as _};

use serde::{Deserialize, Serialize};
use shallotdrum_types::InstanceId;

/// Defines a random 128-bit identifier, shown as hexadecimal digits.
macro_rules! random_id {
    ($(#[$meta:meta])* pub struct $name:ident;) => {
        $(#[$meta])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(u128);

        impl $name {
            pub(crate) fn random() -> Self {
                Self(rand::random())
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:032x}", self.0)
            }
        }
    };
}

random_id! {
    /// Identifies a data folder; a folder that is created again gets a new id.
    pub struct DiskId;
}

random_id! {
    /// Identifies a cluster; generated at its bootstrap.
    pub struct ClusterId;
}

/// A replica: an instance together with its data folder.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Member {
    /// Instance that runs the replica.
    pub id: InstanceId,
    /// Data folder of the replica.
    pub disk: DiskId,
}

impl fmt::Display for Member {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.id, self.disk)
    }
}

/// Configuration of a cluster, replicated as a log entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// Cluster that the configuration belongs to.
    pub cluster: ClusterId,
    /// Replicas that vote and count towards the quorum.
    pub voters: Vec<Member>,
    /// Non-voting replicas; the leader promotes them to voters once they are up to date.
    pub learners: Vec<Member>,
}

impl Membership {
    /// Number of voters that form a majority.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Voters, then learners.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.voters.iter().chain(&self.learners)
    }

    pub(crate) fn is_voter(&self, member: &Member) -> bool {
        self.voters.contains(member)
    }

    pub(crate) fn voter(&self, id: &InstanceId) -> Option<&Member> {
        self.voters.iter().find(|m| m.id == *id)
    }

    pub(crate) fn learner(&self, id: &InstanceId) -> Option<&Member> {
        self.learners.iter().find(|m| m.id == *id)
    }

    /// Copy without any replica of the instance.
    pub(crate) fn without(&self, id: &InstanceId) -> Self {
        let mut next = self.clone();
        next.voters.retain(|m| m.id != *id);
        next.learners.retain(|m| m.id != *id);
        next
    }

    /// Copy without the replica as a voter.
    pub(crate) fn without_voter(&self, member: &Member) -> Self {
        let mut next = self.clone();
        next.voters.retain(|m| m != member);
        next
    }

    /// Copy without the replica as a learner.
    pub(crate) fn without_learner(&self, member: &Member) -> Self {
        let mut next = self.clone();
        next.learners.retain(|m| m != member);
        next
    }

    /// Copy with the replica as the only learner of its instance.
    pub(crate) fn with_learner(&self, member: Member) -> Self {
        let mut next = self.clone();
        next.learners.retain(|m| m.id != member.id);
        next.learners.push(member);
        next
    }

    /// Next configuration on the way to promote an up-to-date learner to a voter.
    ///
    /// Replacing a voter in a single step would allow disjoint quorums. A voter of the same
    /// instance with an older data folder is therefore removed in a separate step first.
    pub(crate) fn promote(&self, member: &Member) -> Self {
        if let Some(previous) = self.voter(&member.id) {
            return self.without_voter(previous);
        }
        let mut next = self.without_learner(member);
        next.voters.push(member.clone());
        next.voters.sort();
        next
    }
}

impl fmt::Display for Membership {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut separator = "";
        for m in &self.voters {
            write!(f, "{separator}{m}")?;
            separator = ", ";
        }
        for m in &self.learners {
            write!(f, "{separator}{m} (learner)")?;
            separator = ", ";
        }
        f.write_char('.')
    }
}
