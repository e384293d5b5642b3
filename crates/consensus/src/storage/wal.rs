//! Write-ahead log: record format, encoding and replay.

use std::{
    fs,
    path::{Path, PathBuf},
    sync::Arc,
};

use serde::{Deserialize, Serialize};
use shallotdrum_types::{LogIndex, Term};

use super::{
    frame::{self, Frame},
    snapshot::Snapshot,
};
use crate::{
    Member, StartError,
    log::{Entry, Log},
};

/// Approximate frame size of a rewritten log, which bounds the memory used for encoding.
const REWRITE_FRAME_BYTES: usize = 4 << 20;

/// One record of the log file.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum Record {
    /// First record of a file: index and term of the entry before its first entry.
    Base { index: LogIndex, term: Term },
    /// Current term and vote; replaces all previous vote records.
    Vote { term: Term, vote: Option<Member> },
    /// Log entry; replaces all previous entries from its index on.
    Entry(Arc<Entry>),
}

impl Record {
    pub(super) fn approx_size(&self) -> usize {
        // Upper bound for base and vote records.
        const SMALL_RECORD_BYTES: usize = 160;
        match self {
            Record::Base { .. } | Record::Vote { .. } => SMALL_RECORD_BYTES,
            Record::Entry(entry) => entry.approx_size(),
        }
    }
}

/// State restored from a log file.
pub(super) struct Replayed {
    pub(super) term: Term,
    pub(super) vote: Option<Member>,
    pub(super) log: Log,
    /// Length of the valid part; the rest is a torn write.
    pub(super) valid_bytes: u64,
    pub(super) file_bytes: u64,
}

impl Replayed {
    /// Drops all entries, so that the log begins after a snapshot.
    pub(super) fn begin_at(&mut self, snapshot: &Snapshot) {
        self.log = Log::new(snapshot.index, snapshot.term);
        if snapshot.term > self.term {
            (self.term, self.vote) = (snapshot.term, None);
        }
    }

    /// Encodes the first records of a log file without entries.
    pub(super) fn encode_start(&self) -> Vec<u8> {
        let base = Record::Base { index: self.log.base(), term: self.log.base_term() };
        let vote = Record::Vote { term: self.term, vote: self.vote.clone() };
        frame::encode(&[base, vote][..])
    }
}

/// Path of the log file of a generation; each compaction starts a new one.
pub(super) fn path(dir: &Path, generation: u64) -> PathBuf {
    dir.join(format!("log-{generation:016}"))
}

/// Generation in the name of a log file; `None` for other files.
pub(super) fn generation(name: &str) -> Option<u64> {
    name.strip_prefix("log-")?.parse().ok()
}

/// Encodes the records as a sequence of frames.
pub(super) fn encode(records: &[Record]) -> Vec<Vec<u8>> {
    let mut frames = Vec::new();
    let mut start = 0;
    let mut total = 0;
    for (i, record) in records.iter().enumerate() {
        total += record.approx_size();
        if total >= REWRITE_FRAME_BYTES {
            frames.push(frame::encode(&records[start..=i]));
            (start, total) = (i + 1, 0);
        }
    }
    if start < records.len() {
        frames.push(frame::encode(&records[start..]));
    }
    frames
}

/// Reads a log file and applies its records in order.
pub(super) fn replay(path: &Path) -> Result<Replayed, StartError> {
    let file = fs::read(path).map_err(|e| StartError::io("read", path, e))?;
    let corrupt = |at: usize, reason| StartError::Corrupt {
        path: path.to_owned(),
        offset: at as u64,
        reason,
    };
    let mut replayed = Replayed {
        term: Term(0),
        vote: None,
        log: Log::default(),
        valid_bytes: 0,
        file_bytes: file.len() as u64,
    };
    let mut at = 0;
    loop {
        let (payload, end) = match frame::read(&file, at) {
            Frame::Complete(payload, end) => (payload, end),
            // The first frame is synced before the file is renamed, so it can't be torn.
            Frame::End | Frame::Torn if at == 0 => {
                return Err(corrupt(0, "the first record is unreadable"));
            }
            Frame::End | Frame::Torn => break,
            Frame::Corrupt => return Err(corrupt(at, "unreadable record")),
        };
        let records: Vec<Record> =
            frame::decode(payload).ok_or_else(|| corrupt(at, "unknown record format"))?;
        for (i, record) in records.into_iter().enumerate() {
            match record {
                Record::Base { index, term } if at == 0 && i == 0 => {
                    replayed.log = Log::new(index, term);
                }
                Record::Vote { term, vote } => (replayed.term, replayed.vote) = (term, vote),
                Record::Entry(entry)
                    if entry.index > replayed.log.base()
                        && entry.index <= replayed.log.last().next() =>
                {
                    replayed.log.truncate_and_append(entry);
                }
                Record::Base { .. } | Record::Entry(_) => {
                    return Err(corrupt(at, "record out of order"));
                }
            }
        }
        at = end;
    }
    replayed.valid_bytes = at as u64;
    Ok(replayed)
}
