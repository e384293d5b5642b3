//! The leader's task for each other replica: replication, heartbeats and snapshot transfer.

use std::sync::Arc;

use shallotdrum_telemetry::event;
use shallotdrum_types::{InstanceId, LogIndex, Term};
use tokio::time::Instant;

use super::{
    Shared,
    core::{Core, Progress, RoleState},
};
use crate::{
    Member, StateMachine,
    message::{
        APPEND_BATCH_BYTES, Answer, AppendRequest, ChunkRequest, Refusal, Request, Response,
        SNAPSHOT_CHUNK_BYTES,
    },
    storage::Snapshot,
};

/// State of a peer task.
#[derive(Default)]
struct Peer {
    transfer: Option<Transfer>,
    /// Last refusal; the same one is logged once.
    refusal: Option<Refusal>,
}

/// A snapshot on its way to the replica.
struct Transfer {
    snapshot: Arc<Snapshot>,
    checksum: u32,
    offset: u64,
}

impl<S: StateMachine> Shared<S> {
    /// Starts a task for each member that has none.
    pub(super) fn start_peers(self: &Arc<Self>, core: &mut Core<S::Reply>) {
        let Some(membership) = core.membership().cloned() else { return };
        let term = core.term;
        let Some(leading) = core.leading() else { return };
        for member in membership.members().filter(|m| m.id != self.me.id) {
            if leading.peers.insert(member.id.clone()) {
                self.spawn("peer", run(self.clone(), member.id.clone(), term));
            }
        }
        self.wake_peers();
    }

    /// Commits what a quorum has stored, if an entry of the leader's own term is included.
    pub(super) fn advance_commit(&self, core: &mut Core<S::Reply>) {
        let Some(stored) = core.quorum_stored() else { return };
        // Entries of earlier terms are committed only together with one of the present term;
        // counting replicas alone doesn't protect them from a later leader.
        if core.is_stopped || stored <= core.commit || core.log.term(stored) != Some(core.term) {
            return;
        }
        core.commit = stored;
        self.apply_wake.notify_one();
        self.publish(core);
    }
}

/// Sends to one replica until the term ends or the replica is removed.
async fn run<S: StateMachine>(shared: Arc<Shared<S>>, id: InstanceId, term: Term) {
    let heartbeat = shared.cfg.timing.heartbeat;
    let mut wake = shared.peer_wake.subscribe();
    let mut peer = Peer::default();
    let mut is_reachable = true;
    loop {
        wake.mark_unchanged();
        let Some((member, request)) = next_message(&shared, &id, term, &mut peer.transfer) else {
            return;
        };
        let sent = Instant::now();
        let outcome = shared.ask_instance(&id, Some(&member), request).await;
        if is_reachable != outcome.is_ok() {
            is_reachable = outcome.is_ok();
            let reason = outcome.as_ref().err().map_or("", String::as_str);
            event!(shared.log, PEER_REACHABILITY; "is_reachable" => is_reachable, "peer" => %id, "reason" => reason);
        }
        let next_heartbeat = tokio::time::sleep_until(sent + heartbeat);
        let Ok(answer) = outcome else {
            next_heartbeat.await;
            continue;
        };
        if process(&shared, &member, term, sent, answer, &mut peer) {
            continue;
        }
        tokio::select! {
            () = next_heartbeat => (),
            _ = wake.changed() => (),
        }
    }
}

/// Composes the next message; `None` ends the task.
fn next_message<S: StateMachine>(
    shared: &Shared<S>,
    id: &InstanceId,
    term: Term,
    transfer: &mut Option<Transfer>,
) -> Option<(Member, Request)> {
    let mut core = shared.core();
    core.check_leader(term).ok()?;
    let Some(member) = core.member_to_reach(id) else {
        core.leading()?.peers.remove(id);
        return None;
    };
    let next = core.log.last().next();
    let progress = core.leading()?.progress.entry(member.clone()).or_insert(Progress {
        next,
        matched: LogIndex(0),
        acked: None,
    });
    let prev = LogIndex(progress.next.0 - 1);
    if let Some(prev_term) = core.log.term(prev) {
        *transfer = None;
        let entries = core.log.batch(prev, APPEND_BATCH_BYTES);
        let commit = core.commit;
        let append = AppendRequest { term, prev, prev_term, commit, entries };
        return Some((member, Request::Append(append)));
    }
    // The log doesn't reach back to the replica's state. A log with a base above 0 has a snapshot.
    let transfer = match transfer {
        Some(transfer) => transfer,
        None => {
            let snapshot = core.snapshot.clone()?;
            event!(shared.log, SNAPSHOT_SENDING; "peer" => %member, "index" => %snapshot.index, "bytes" => snapshot.data.len());
            let checksum = crc32fast::hash(&snapshot.data);
            transfer.insert(Transfer { snapshot, checksum, offset: 0 })
        }
    };
    Some((member, Request::Chunk(transfer.chunk(term))))
}

impl Transfer {
    fn chunk(&self, term: Term) -> ChunkRequest {
        let snapshot = &self.snapshot;
        let start = self.offset as usize;
        let end = snapshot.data.len().min(start + SNAPSHOT_CHUNK_BYTES);
        ChunkRequest {
            term,
            index: snapshot.index,
            index_term: snapshot.term,
            membership: snapshot.membership.clone(),
            total_bytes: snapshot.data.len() as u64,
            checksum: self.checksum,
            offset: self.offset,
            data: snapshot.data.slice(start..end),
        }
    }
}

/// Evaluates an answer; returns whether to send the next message at once.
fn process<S: StateMachine>(
    shared: &Arc<Shared<S>>,
    member: &Member,
    term: Term,
    sent: Instant,
    answer: Answer,
    peer: &mut Peer,
) -> bool {
    let mut core = shared.core();
    if answer.term > core.term {
        event!(shared.log, LEADER_SUPERSEDED; "peer" => %member.id, "term" => %answer.term);
        core.step_down(answer.term);
        shared.publish(&core);
        return false;
    }
    if core.check_leader(term).is_err() {
        return false;
    }
    let last = core.log.last();
    let Some(leading) = core.leading() else { return false };
    if let Some(from) = &answer.from {
        leading.observed.insert(from.id.clone(), from.disk);
    }
    let response = match answer.response {
        Ok(response) if answer.from.as_ref() == Some(member) => response,
        Err(Refusal::WrongDisk) | Ok(_) => return false,
        Err(refusal) => {
            if peer.refusal.as_ref() != Some(&refusal) {
                event!(shared.log, MESSAGE_REFUSED_BY_PEER; "refusal" => %refusal, "peer" => %member.id);
            }
            peer.refusal = Some(refusal);
            return false;
        }
    };
    let Some(progress) = leading.progress.get_mut(member) else { return false };
    peer.refusal = None;
    progress.acked = progress.acked.max(Some(sent));
    let continues = match response {
        Response::Matched { index } => {
            progress.matched = progress.matched.max(index.min(last));
            progress.next = progress.matched.next();
            progress.next <= last
        }
        Response::Mismatch { next } => {
            let is_lower = next < progress.next;
            progress.next = next.min(progress.next).max(progress.matched.next());
            is_lower
        }
        Response::Received { offset } => {
            let Some(transfer) = &mut peer.transfer else { return false };
            // No progress: the replica is still storing the snapshot.
            let is_new = offset != transfer.offset;
            transfer.offset = offset.min(transfer.snapshot.data.len() as u64);
            is_new
        }
        Response::Installed => {
            let Some(transfer) = peer.transfer.take() else { return false };
            progress.matched = progress.matched.max(transfer.snapshot.index);
            progress.next = progress.matched.next();
            progress.next <= last
        }
        Response::Probe { .. } | Response::Vote { .. } | Response::Campaigning => false,
    };
    shared.advance_commit(&mut core);
    shared.acks.send_modify(|n| *n += 1);
    continues
}

impl<R> Core<R> {
    /// The folder of the instance to send to: the one that it answered with, if it is a member;
    /// otherwise the newest.
    fn member_to_reach(&self, id: &InstanceId) -> Option<Member> {
        let RoleState::Leader(leading) = &self.role else { return None };
        let membership = self.membership()?;
        let candidates = [membership.learner(id), membership.voter(id)];
        let observed = leading.observed.get(id);
        let mut candidates = candidates.into_iter().flatten();
        let first = candidates.clone().next();
        candidates.find(|m| Some(&m.disk) == observed).or(first).cloned()
    }
}
