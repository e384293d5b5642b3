//! Checksummed frames, of which all files of a replica consist.
//!
//! Architecture Invariant: the log writer syncs a frame before it writes the next one, so only the
//! last frame of a log file can be torn. A readable frame after an unreadable one proves
//! corruption, and so does a last frame of full length with wrong content: a torn write leaves a
//! short file or zeroed sectors, not other bytes.

use serde::{Deserialize, Serialize};

/// Marks the start of a frame, to find further frames after a corrupt one.
const MAGIC: [u8; 4] = *b"sdF1";

/// Header: magic, payload length, payload checksum, and a checksum of these three; little-endian.
const HEADER_BYTES: usize = 16;

/// Larger payload lengths are corrupt; frames stay smaller even with a command of maximum size.
const MAX_PAYLOAD_BYTES: usize = 1100 << 20;

/// Smallest unit of a disk write.
const SECTOR_BYTES: usize = 512;

/// Result of reading a frame.
pub(super) enum Frame<'a> {
    /// Valid frame: its payload and the offset after it.
    Complete(&'a [u8], usize),
    /// End of the file.
    End,
    /// The last frame, partly written before a crash.
    Torn,
    /// Unreadable for another reason than a torn write.
    Corrupt,
}

/// Encodes a value as a frame.
pub(super) fn encode<T: Serialize + ?Sized>(value: &T) -> Vec<u8> {
    let start = vec![0; HEADER_BYTES];
    // Encoding into a growing buffer fails only for types that files don't contain.
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

/// Decodes a payload; `None` if it is invalid or has trailing bytes.
pub(super) fn decode<T: for<'a> Deserialize<'a>>(payload: &[u8]) -> Option<T> {
    match postcard::take_from_bytes(payload) {
        Ok((value, [])) => Some(value),
        _ => None,
    }
}

/// Reads the frame at the offset.
pub(super) fn read(file: &[u8], at: usize) -> Frame<'_> {
    if at == file.len() {
        return Frame::End;
    }
    if let Some((payload, end)) = read_complete(file, at) {
        return Frame::Complete(payload, end);
    }
    let is_last = !find_magic(file, at + 1).any(|p| read_complete(file, p).is_some());
    if is_last && is_partly_written(file, at) { Frame::Torn } else { Frame::Corrupt }
}

/// Whether the frame extends beyond the end of the file, or contains sectors that were never
/// written, however few of their bytes belong to it.
fn is_partly_written(file: &[u8], at: usize) -> bool {
    let rest = &file[at..];
    let is_short = match parse_header(rest) {
        Some((payload_len, _)) => payload_len > rest.len() - HEADER_BYTES,
        None => rest.len() < HEADER_BYTES,
    };
    let (first, sectors) = rest.split_at(rest.len().min(SECTOR_BYTES - at % SECTOR_BYTES));
    let is_zeroed = |s: &[u8]| s.iter().all(|b| *b == 0);
    // A frame begins with its magic, so it has no zeros at its start. Short runs of zeros also occur in
    // the middle and at the end of valid frames.
    let zeros_at_end = rest.iter().rev().take_while(|b| **b == 0).count();
    is_short
        || is_zeroed(first)
        || sectors.chunks(SECTOR_BYTES).any(is_zeroed)
        || zeros_at_end >= HEADER_BYTES
}

/// Offsets of the magic bytes, starting the search at `from`.
fn find_magic(file: &[u8], from: usize) -> impl Iterator<Item = usize> {
    file[from..].windows(MAGIC.len()).enumerate().filter_map(move |(i, w)| {
        let is_magic = w == MAGIC;
        is_magic.then_some(from + i)
    })
}

/// Payload length and payload checksum, if the header is valid.
fn parse_header(bytes: &[u8]) -> Option<(usize, u32)> {
    let header = bytes.get(..HEADER_BYTES)?;
    let u32_at =
        |i: usize| u32::from_le_bytes([header[i], header[i + 1], header[i + 2], header[i + 3]]);
    let payload_len = u32_at(4) as usize;
    let is_valid = header[..4] == MAGIC
        && crc32fast::hash(&header[..12]) == u32_at(12)
        && payload_len <= MAX_PAYLOAD_BYTES;
    is_valid.then_some((payload_len, u32_at(8)))
}

/// Payload of the frame and the offset after it, if both checksums match.
fn read_complete(file: &[u8], at: usize) -> Option<(&[u8], usize)> {
    let (payload_len, checksum) = parse_header(&file[at..])?;
    let start = at + HEADER_BYTES;
    let payload = file.get(start..start + payload_len)?;
    (crc32fast::hash(payload) == checksum).then_some((payload, start + payload_len))
}
