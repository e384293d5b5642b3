//! Handling of messages from other replicas.
//!
//! Architecture Invariant: the state that a response acknowledges is durable before the response is
//! returned. A refused message changes at most the term and the known leader of a running replica,
//! not its log.

use std::sync::Arc;

use shallotdrum_telemetry::event;
use shallotdrum_types::{LogIndex, Term};
use tokio::time::Instant;

use super::{
    Shared,
    core::{Core, IncomingSnapshot, RoleState},
    election,
};
use crate::{
    Member, StateMachine,
    message::{
        AppendRequest, ChunkRequest, Envelope, Refusal, Request, Response, ResponseEnvelope,
    },
    storage::WriteSeq,
};

impl<S: StateMachine> Shared<S> {
    /// Decodes and handles a message.
    pub(super) async fn handle_message(self: &Arc<Self>, message: &[u8]) -> ResponseEnvelope {
        let response = match Envelope::decode(message) {
            Ok(envelope) => self.dispatch(envelope).await,
            Err(e) => {
                event!(self.log, MESSAGE_REFUSED; "error" => %e);
                Err(Refusal::Malformed(e.to_string()))
            }
        };
        let core = self.core();
        let is_halted = core.is_stopped || self.has_failed();
        let response = if is_halted { Err(Refusal::Stopped) } else { response };
        ResponseEnvelope { from: Some(self.local.clone()), term: core.term, response }
    }

    /// Checks the addressing of a message and passes it to its handler.
    async fn dispatch(self: &Arc<Self>, envelope: Envelope) -> Result<Response, Refusal> {
        let Envelope { from, to, to_disk, cluster, request } = envelope;
        if to != self.local.id {
            return Err(Refusal::WrongInstance(to));
        }
        match to_disk {
            Some(disk) if disk != self.local.disk => return Err(Refusal::WrongDisk),
            None if !matches!(request, Request::Probe { .. }) => return Err(Refusal::WrongDisk),
            _ => (),
        }
        {
            let core = self.core();
            if core.is_stopped {
                return Err(Refusal::Stopped);
            }
            let own = core.membership().map(|m| m.cluster);
            if own.zip(cluster).is_some_and(|(own, other)| own != other) {
                return Err(Refusal::WrongCluster);
            }
        }
        match request {
            Request::Probe { initial_members } => Ok(self.handle_probe(&from, &initial_members)),
            Request::Vote(request) => self.handle_vote(&from, &request).await,
            Request::Append(request) => {
                let (seq, response) = self.handle_append(&from, request)?;
                self.wait_durable(seq).await.map_err(|_| Refusal::Stopped)?;
                Ok(response)
            }
            Request::Chunk(request) => {
                let (seq, response) = self.handle_chunk(&from, request)?;
                self.wait_durable(seq).await.map_err(|_| Refusal::Stopped)?;
                Ok(response)
            }
            Request::Campaign { term } => {
                let is_from_leader = {
                    let core = self.core();
                    core.term == term && core.leader.as_ref() == Some(&from.id)
                };
                if !is_from_leader {
                    return Err(Refusal::StaleTerm);
                }
                let shared = self.clone();
                self.spawn("campaign", async move { election::campaign(&shared, true).await });
                Ok(Response::Campaigning)
            }
        }
    }

    /// Accepts the sender as leader of the term and restarts the election timer.
    fn accept_leader(
        &self,
        core: &mut Core<S::Reply>,
        from: &Member,
        term: Term,
    ) -> Result<(), Refusal> {
        if core.is_stopped {
            return Err(Refusal::Stopped);
        }
        if term < core.term {
            return Err(Refusal::StaleTerm);
        }
        if term == core.term && matches!(core.role, RoleState::Leader(_)) {
            return Err(Refusal::Conflict);
        }
        core.step_down(term);
        core.leader_contact = Some(Instant::now());
        if core.last_leader.as_ref() != Some(from) {
            core.last_leader = Some(from.clone());
        }
        core.reset_election_timer();
        if core.leader.as_ref() != Some(&from.id) {
            core.leader = Some(from.id.clone());
            event!(self.log, LEADER_FOLLOWED; "leader" => %from, "term" => %term);
            self.publish(core);
        }
        Ok(())
    }

    /// Appends entries; the response may be sent once the returned write is durable.
    fn handle_append(
        &self,
        from: &Member,
        request: AppendRequest,
    ) -> Result<(WriteSeq, Response), Refusal> {
        let AppendRequest { term, prev, prev_term, commit, mut entries } = request;
        let mut core = self.core();
        self.accept_leader(&mut core, from, term)?;
        core.catch_up_index.get_or_insert(commit);
        let base = core.log.base();
        let matched = LogIndex(prev.0 + entries.len() as u64);
        if prev >= base && core.log.term(prev) != Some(prev_term) {
            if prev <= core.commit {
                return Err(Refusal::Conflict);
            }
            let next = core.first_possible_conflict(prev);
            return Ok((core.writer.latest(), Response::Mismatch { next }));
        }
        // Entries up to the base are committed, so they match the leader's.
        let is_known = |e: &_| is_known(&core, e);
        let new = entries.iter().position(|e| !is_known(e)).unwrap_or(entries.len());
        entries.drain(..new);
        if entries.first().is_some_and(|e| e.index <= core.commit) {
            return Err(Refusal::Conflict);
        }
        if !entries.is_empty() {
            core.append(entries);
        }
        let commit = commit.min(matched);
        if commit > core.commit {
            core.commit = commit;
            self.apply_wake.notify_one();
        }
        core.update_caught_up();
        self.publish(&core);
        // Also covers entries of previous messages that got no response.
        Ok((core.writer.latest(), Response::Matched { index: matched }))
    }

    /// Receives a chunk of a snapshot, and installs the snapshot once it is complete.
    fn handle_chunk(
        self: &Arc<Self>,
        from: &Member,
        request: ChunkRequest,
    ) -> Result<(WriteSeq, Response), Refusal> {
        let mut core = self.core();
        self.accept_leader(&mut core, from, request.term)?;
        let seq = core.writer.latest();
        if request.index <= core.commit {
            return Ok((seq, Response::Installed));
        }
        let received = |offset| Ok((seq, Response::Received { offset }));
        let is_same = |i: &IncomingSnapshot| {
            i.from == *from && i.index == request.index && i.checksum == request.checksum
        };
        match &core.incoming {
            Some(incoming) if incoming.is_installing => return received(request.offset),
            Some(incoming) if is_same(incoming) => (),
            _ => {
                core.incoming = Some(IncomingSnapshot {
                    from: from.clone(),
                    index: request.index,
                    checksum: request.checksum,
                    data: Vec::new(),
                    is_installing: false,
                });
            }
        }
        let Some(incoming) = &mut core.incoming else { return received(0) };
        if request.offset != incoming.data.len() as u64 {
            return received(incoming.data.len() as u64);
        }
        incoming.data.extend_from_slice(&request.data);
        let offset = incoming.data.len() as u64;
        if offset < request.total_bytes {
            return received(offset);
        }
        if crc32fast::hash(&incoming.data) != incoming.checksum {
            event!(self.log, SNAPSHOT_CORRUPT; "index" => %request.index);
            core.incoming = None;
            return received(0);
        }
        incoming.is_installing = true;
        let data = std::mem::take(&mut incoming.data);
        // Runs in a separate task, because a timeout of the sender must not cancel it.
        self.spawn("install", self.clone().install(request, data.into()));
        received(offset)
    }
}

/// Whether the log already contains the entry.
fn is_known<R>(core: &Core<R>, entry: &crate::log::Entry) -> bool {
    entry.index <= core.log.base() || core.log.term(entry.index) == Some(entry.term)
}

impl<R> Core<R> {
    /// First entry that may conflict with the leader's log, given that the one at `prev` does.
    ///
    /// Skips all entries of the conflicting term, instead of using one message for each of them.
    fn first_possible_conflict(&self, prev: LogIndex) -> LogIndex {
        let Some(term) = self.log.term(prev) else { return self.log.last().next() };
        let mut index = prev;
        while index > self.commit.next() && self.log.term(LogIndex(index.0 - 1)) == Some(term) {
            index = LogIndex(index.0 - 1);
        }
        index
    }
}
