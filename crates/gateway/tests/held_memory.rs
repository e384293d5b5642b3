//! Bound on the memory of bodies.

use bytes::Bytes;
use shallotdrum_gateway::HeldMemory;
use shallotdrum_telemetry::Metrics;

const BOUND: usize = 1024 * 1024;

/// Size up to which a body is small.
const SMALL: usize = 16 * 1024;

fn memory() -> HeldMemory {
    HeldMemory::new(8 * BOUND, Metrics::new().unwrap())
}

/// Guards against bodies that take more memory than there is, and against small ones that find none because
/// of a few large ones.
#[test]
fn large_bodies_leave_room_for_small_ones() {
    let memory = memory();
    let mut large = memory.begin();
    large.grow_to(BOUND / 2, SMALL).unwrap();
    large.grow_to(BOUND / 4 * 3, SMALL).unwrap();
    assert!(large.grow_to(BOUND / 4 * 3 + 1, SMALL).is_err());
    let mut small = Vec::new();
    loop {
        let mut body = memory.begin();
        match body.grow_to(SMALL, SMALL) {
            Ok(()) => small.push(body),
            Err(_) => break,
        }
    }
    assert_eq!(small.len(), BOUND / 4 / SMALL);
    assert_eq!(memory.held(), BOUND);
    small.pop();
    assert!(memory.begin().grow_to(SMALL, SMALL).is_ok());
    drop((large, small));
    assert_eq!(memory.held(), 0);
}

/// Guards against a body that no longer counts while a request still holds it.
#[test]
fn body_counts_until_last_clone() {
    let memory = memory();
    let mut held = memory.begin();
    held.grow_to(5, SMALL).unwrap();
    let body = held.attach(Bytes::from_static(b"12345"));
    let sent = body.slice(1..);
    drop(body);
    assert_eq!((memory.held(), &sent[..]), (5, &b"2345"[..]));
    drop(sent);
    assert_eq!(memory.held(), 0);
}
