//! Peer task, which the leader runs for each other replica: replication, heartbeats and snapshot
//! transfer.

use std::sync::Arc;

use shallotdrum_telemetry::event;
use shallotdrum_types::{InstanceId, LogIndex, Term};
use tokio::time::Instant;

use super::{
    LARGE_PAYLOAD_BYTES, Shared,
    core::{Core, Progress, RoleState},
};
use crate::{
    Member, StateMachine,
    message::{
        APPEND_BATCH_BYTES, AppendRequest, ChunkRequest, Refusal, Request, Response,
        ResponseEnvelope, SNAPSHOT_CHUNK_BYTES,
    },
    storage::Snapshot,
};

/// State of a peer task.
#[derive(Default)]
struct PeerState {
    transfer: Option<SnapshotTransfer>,
    /// Last refusal, so that repeated ones are logged once.
    refusal: Option<Refusal>,
}

/// Snapshot that is being sent to the replica.
struct SnapshotTransfer {
    snapshot: Arc<Snapshot>,
    checksum: u32,
    offset: u64,
}

impl<S: StateMachine> Shared<S> {
    /// Starts a peer task for each other member that has none.
    pub(super) fn start_peers(self: &Arc<Self>, core: &mut Core<S::Reply>) {
        let Some(membership) = core.membership().cloned() else { return };
        let term = core.term;
        let Some(leader_state) = core.leader_state() else { return };
        for member in membership.members().filter(|m| m.id != self.local.id) {
            if leader_state.peers.insert(member.id.clone()) {
                self.spawn("peer", run(self.clone(), member.id.clone(), term));
            }
        }
        self.wake_peers();
    }

    /// Advances the commit index to what a quorum has stored, if that entry is of the current term.
    pub(super) fn advance_commit(&self, core: &mut Core<S::Reply>) {
        let Some(stored) = core.quorum_matched() else { return };
        // Entries of previous terms are committed only together with one of the current term: even
        // if a quorum has stored them, a later leader may still overwrite them.
        if core.is_stopped || stored <= core.commit || core.log.term(stored) != Some(core.term) {
            return;
        }
        core.commit = stored;
        self.apply_wake.notify_one();
        self.publish(core);
    }
}

/// Sends messages to one replica until the term ends or the replica is removed.
async fn run<S: StateMachine>(shared: Arc<Shared<S>>, id: InstanceId, term: Term) {
    let heartbeat = shared.cfg.timing.heartbeat;
    let mut wake = shared.peer_wake.subscribe();
    let mut peer = PeerState::default();
    let mut is_reachable = true;
    loop {
        wake.mark_unchanged();
        let Some((member, request)) = next_message(&shared, &id, term, &mut peer.transfer) else {
            return;
        };
        let sent = Instant::now();
        let outcome = shared.transfer(&member, request, term).await;
        if is_reachable != outcome.is_ok() {
            is_reachable = outcome.is_ok();
            let reason = outcome.as_ref().err().map_or("", String::as_str);
            event!(shared.log, PEER_REACHABILITY; "is_reachable" => is_reachable, "peer" => %id, "reason" => reason);
        }
        let next_heartbeat = tokio::time::sleep_until(sent + heartbeat);
        let Ok(envelope) = outcome else {
            next_heartbeat.await;
            continue;
        };
        if handle_response(&shared, &member, term, sent, envelope, &mut peer) {
            continue;
        }
        tokio::select! {
            () = next_heartbeat => (),
            _ = wake.changed() => (),
        }
    }
}

impl<S: StateMachine> Shared<S> {
    /// Sends a message to a replica; beside a large one it sends heartbeats, since the replica would
    /// otherwise start an election before the message has arrived.
    async fn transfer(
        &self,
        member: &Member,
        request: Request,
        term: Term,
    ) -> Result<ResponseEnvelope, String> {
        let is_large = request.payload_bytes() >= LARGE_PAYLOAD_BYTES;
        let call = self.call_instance(&member.id, Some(member), request);
        if !is_large {
            return call.await;
        }
        tokio::select! {
            outcome = call => outcome,
            () = self.send_heartbeats(member, term) => {
                Err("no response to heartbeats beside a large message".to_owned())
            }
        }
    }

    /// Sends heartbeats to a replica until it has not responded for `election_max`.
    async fn send_heartbeats(&self, member: &Member, term: Term) {
        let timing = &self.cfg.timing;
        let mut last_contact = Instant::now();
        while last_contact.elapsed() < timing.election_max {
            tokio::time::sleep(timing.heartbeat).await;
            let heartbeat = {
                let core = self.core();
                if core.check_leader(term).is_err() {
                    return;
                }
                // The base is committed, so that a replica that lacks the entry only says so.
                let (prev, prev_term) = (core.log.base(), core.log.base_term());
                AppendRequest { term, prev, prev_term, commit: core.commit, entries: Vec::new() }
            };
            let sent = Instant::now();
            let request = Request::Append(heartbeat);
            let Ok(envelope) = self.call_instance(&member.id, Some(member), request).await else {
                continue;
            };
            last_contact = sent;
            let mut core = self.core();
            if accept_response(self, &mut core, member, term, sent, envelope).is_ok() {
                self.acks.send_modify(|n| *n += 1);
            }
        }
    }
}

/// Builds the next message; `None` ends the task.
fn next_message<S: StateMachine>(
    shared: &Shared<S>,
    id: &InstanceId,
    term: Term,
    transfer: &mut Option<SnapshotTransfer>,
) -> Option<(Member, Request)> {
    let mut core = shared.core();
    core.check_leader(term).ok()?;
    let Some(member) = core.select_member(id) else {
        core.leader_state()?.peers.remove(id);
        return None;
    };
    let next = core.log.last().next();
    let progress = core.leader_state()?.progress.entry(member.clone()).or_insert(Progress {
        next,
        matched: LogIndex(0),
        acked_sent_at: None,
        since: Instant::now(),
    });
    let prev = LogIndex(progress.next.0 - 1);
    if let Some(prev_term) = core.log.term(prev) {
        *transfer = None;
        let entries = core.log.batch(prev, APPEND_BATCH_BYTES);
        let commit = core.commit;
        let append = AppendRequest { term, prev, prev_term, commit, entries };
        return Some((member, Request::Append(append)));
    }
    // The entry is compacted, so the replica needs a snapshot. A log with a base above 0 has one.
    let transfer = match transfer {
        Some(transfer) => transfer,
        None => {
            let snapshot = core.snapshot.clone()?;
            event!(shared.log, SNAPSHOT_SENDING; "peer" => %member, "index" => %snapshot.index, "bytes" => snapshot.data.len());
            let checksum = crc32fast::hash(&snapshot.data);
            transfer.insert(SnapshotTransfer { snapshot, checksum, offset: 0 })
        }
    };
    Some((member, Request::Chunk(transfer.chunk(term))))
}

impl SnapshotTransfer {
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

/// Why a response says nothing about the log of a replica.
enum Unusable {
    /// The replica refused the message.
    Refused(Refusal),
    /// The term has ended, or another replica or data folder responded.
    Obsolete,
}

/// Checks a response and records the contact with the replica.
fn accept_response<S: StateMachine>(
    shared: &Shared<S>,
    core: &mut Core<S::Reply>,
    member: &Member,
    term: Term,
    sent: Instant,
    envelope: ResponseEnvelope,
) -> Result<Response, Unusable> {
    if envelope.term > core.term {
        event!(shared.log, LEADER_SUPERSEDED; "peer" => %member.id, "term" => %envelope.term);
        core.step_down(envelope.term);
        shared.publish(core);
        return Err(Unusable::Obsolete);
    }
    core.check_leader(term).map_err(|_| Unusable::Obsolete)?;
    let leader_state = core.leader_state().ok_or(Unusable::Obsolete)?;
    if let Some(from) = &envelope.from {
        leader_state.observed_disks.insert(from.id.clone(), from.disk);
    }
    let response = match envelope.response {
        Ok(response) if envelope.from.as_ref() == Some(member) => response,
        Err(Refusal::WrongDisk) | Ok(_) => return Err(Unusable::Obsolete),
        Err(refusal) => return Err(Unusable::Refused(refusal)),
    };
    let progress = leader_state.progress.get_mut(member).ok_or(Unusable::Obsolete)?;
    progress.acked_sent_at = progress.acked_sent_at.max(Some(sent));
    Ok(response)
}

/// Handles a response; returns whether to send the next message immediately.
fn handle_response<S: StateMachine>(
    shared: &Arc<Shared<S>>,
    member: &Member,
    term: Term,
    sent: Instant,
    envelope: ResponseEnvelope,
    peer: &mut PeerState,
) -> bool {
    let mut core = shared.core();
    let response = match accept_response(shared, &mut core, member, term, sent, envelope) {
        Ok(response) => response,
        Err(Unusable::Obsolete) => return false,
        Err(Unusable::Refused(refusal)) => {
            if peer.refusal.as_ref() != Some(&refusal) {
                event!(shared.log, MESSAGE_REFUSED_BY_PEER; "refusal" => %refusal, "peer" => %member.id);
            }
            peer.refusal = Some(refusal);
            return false;
        }
    };
    peer.refusal = None;
    let last = core.log.last();
    let Some(leader_state) = core.leader_state() else { return false };
    let Some(progress) = leader_state.progress.get_mut(member) else { return false };
    let send_now = match response {
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
            // An unchanged offset means that the replica is still writing the snapshot.
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
    send_now
}

impl<R> Core<R> {
    /// Member to address at an instance: the one with the data folder that it last responded with,
    /// else the learner, else the voter.
    fn select_member(&self, id: &InstanceId) -> Option<Member> {
        let RoleState::Leader(leader_state) = &self.role else { return None };
        let membership = self.membership()?;
        let candidates = [membership.learner(id), membership.voter(id)];
        let observed = leader_state.observed_disks.get(id);
        let mut candidates = candidates.into_iter().flatten();
        let first = candidates.clone().next();
        candidates.find(|m| Some(&m.disk) == observed).or(first).cloned()
    }
}
