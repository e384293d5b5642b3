//! Checksummed frames, the unit of every file.
//!
//! Architecture Invariant: the log writer syncs one frame before it starts the next. Of several
//! frames in a log file, only the last can therefore be torn; a readable frame after an
//! unreadable one proves damage. The same holds for a last frame that is complete but wrong: a
//! torn write leaves a short file or sectors of zeros, not other bytes.

use serde::{Deserialize, Serialize};

/// Marks the start of a frame; makes frames findable behind a damaged one.
const MAGIC: [u8; 4] = *b"sdF1";

/// Magic, payload length, payload checksum, checksum of these three; little-endian.
const HEADER_BYTES: usize = 16;

/// Frames, even with a command of full size, are smaller; larger lengths are damage.
const MAX_PAYLOAD_BYTES: usize = 1100 << 20;

/// Smallest unit that disks write.
const SECTOR_BYTES: usize = 512;

/// What stands at a position of a file.
pub(super) enum Frame<'a> {
    /// A complete frame: its payload and the position after it.
    Whole(&'a [u8], usize),
    /// End of the file.
    End,
    /// The last frame, written in part.
    Torn,
    /// Unreadable for another reason than an interrupted write.
    Damaged,
}

/// Encodes a value as a frame.
pub(super) fn encode<T: Serialize + ?Sized>(value: &T) -> Vec<u8> {
    let start = vec![0; HEADER_BYTES];
    // Encoding into a growing buffer fails only for types that no file contains.
    let mut buf = postcard::to_extend(value, start).expect("file types are encodable");
    let payload_len = u32::try_from(buf.len() - HEADER_BYTES).expect("frame below 4 GiB");
    let checksum = crc32fast::hash(&buf[HEADER_BYTES..]);
    buf[..4].copy_from_slice(&MAGIC);
    buf[4..8].copy_from_slice(&payload_len.to_le_bytes());
    buf[8..12].copy_from_slice(&checksum.to_le_bytes());
    let header_checksum = crc32fast::hash(&buf[..12]);
    buf[12..16].copy_from_slice(&header_checksum.to_le_bytes());
    buf
}

/// Decodes a frame's payload completely.
pub(super) fn decode<T: for<'a> Deserialize<'a>>(payload: &[u8]) -> Option<T> {
    match postcard::take_from_bytes(payload) {
        Ok((value, [])) => Some(value),
        _ => None,
    }
}

/// Reads the frame at the position.
pub(super) fn read(file: &[u8], at: usize) -> Frame<'_> {
    if at == file.len() {
        return Frame::End;
    }
    if let Some((payload, end)) = whole(file, at) {
        return Frame::Whole(payload, end);
    }
    let is_last = !find_magic(file, at + 1).any(|p| whole(file, p).is_some());
    if is_last && is_partly_written(file, at) { Frame::Torn } else { Frame::Damaged }
}

/// Whether the file ends before the frame does, or sectors of it were never written.
fn is_partly_written(file: &[u8], at: usize) -> bool {
    let rest = &file[at..];
    let is_short = match header(rest) {
        Some((payload_len, _)) => payload_len > rest.len() - HEADER_BYTES,
        None => rest.len() < HEADER_BYTES,
    };
    let (first, sectors) = rest.split_at(rest.len().min(SECTOR_BYTES - at % SECTOR_BYTES));
    // Shorter runs of zeros also occur in complete frames.
    let is_blank = |s: &[u8]| s.len() >= HEADER_BYTES && s.iter().all(|b| *b == 0);
    is_short || is_blank(first) || sectors.chunks(SECTOR_BYTES).any(is_blank)
}

/// Positions of the magic bytes from the given one on.
fn find_magic(file: &[u8], from: usize) -> impl Iterator<Item = usize> {
    file[from..].windows(MAGIC.len()).enumerate().filter_map(move |(i, w)| {
        let is_magic = w == MAGIC;
        is_magic.then_some(from + i)
    })
}

/// Payload length and checksum that a valid header states.
fn header(bytes: &[u8]) -> Option<(usize, u32)> {
    let header = bytes.get(..HEADER_BYTES)?;
    let word =
        |i: usize| u32::from_le_bytes([header[i], header[i + 1], header[i + 2], header[i + 3]]);
    let payload_len = word(4) as usize;
    let is_valid = header[..4] == MAGIC
        && crc32fast::hash(&header[..12]) == word(12)
        && payload_len <= MAX_PAYLOAD_BYTES;
    is_valid.then_some((payload_len, word(8)))
}

/// The payload of a readable frame and the position after it.
fn whole(file: &[u8], at: usize) -> Option<(&[u8], usize)> {
    let (payload_len, checksum) = header(&file[at..])?;
    let start = at + HEADER_BYTES;
    let payload = file.get(start..start + payload_len)?;
    (crc32fast::hash(payload) == checksum).then_some((payload, start + payload_len))
}
