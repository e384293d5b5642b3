//! Bodies that arrive in parts.

use bytes::{Bytes, BytesMut};
use rstest::rstest;
use shallotdrum_gateway::CollectedBody;

/// Length of the bodies.
const BODY_BYTES: usize = 4 * 1024 * 1024;

/// Guards against small parts that each keep the buffer alive that they were read into, and against a
/// buffer that doubles for the last byte of a large body.
#[rstest]
#[case::bytes(1)]
#[case::small(700)]
#[case::large(256 * 1024)]
fn held_small_parts(#[case] part_bytes: usize) {
    let mut collected = CollectedBody::default();
    let mut expected = Vec::new();
    while expected.len() < BODY_BYTES {
        let mut read = BytesMut::zeroed(part_bytes + 8);
        read.fill(expected.len() as u8);
        let part: Bytes = read.freeze().slice(..part_bytes);
        expected.extend_from_slice(&part);
        collected.push(part);
        assert_eq!(collected.len(), expected.len());
        // A quarter on top of what has arrived, once that is more than the first steps.
        let limit = (2 * expected.len()).min(expected.len() + BODY_BYTES / 4 + part_bytes);
        assert!(collected.held() <= limit.max(64), "{} of {limit}", collected.held());
    }
    assert!(!collected.is_empty());
    assert_eq!(collected.into_bytes(), expected);
}

/// Guards against copying a body that arrives in one part.
#[test]
fn into_bytes_single_part() {
    let part = Bytes::from(vec![7; 100]);
    let mut collected = CollectedBody::default();
    collected.push(Bytes::new());
    collected.push(part.clone());
    assert_eq!(collected.into_bytes().as_ptr(), part.as_ptr());
}
