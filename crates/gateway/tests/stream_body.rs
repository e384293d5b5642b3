//! Ends of relayed streams, and what is held for callers that read slowly.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use rstest::rstest;
use shallotdrum_gateway::{CallerLeft, HeldMemory, MAX_STREAM_BYTES, StreamBody, StreamSender};
use shallotdrum_telemetry::Metrics;
use tokio::time::{Instant, timeout};

/// Length of an event in the tests of the bounds.
const EVENT_BYTES: usize = 1024;

/// Time after which a sender that has not gone on counts as waiting.
const WAIT: Duration = Duration::from_millis(50);

/// Memory of an instance with this many bytes for bodies.
fn memory(bound: usize) -> HeldMemory {
    HeldMemory::new(8 * bound, Metrics::new().unwrap())
}

/// How the task that relays a stream ends.
#[derive(Clone, Copy, Debug)]
enum TaskEnd {
    Complete,
    Returns,
    Panics,
    Cancelled,
    RuntimeGone,
}

/// Sends some events and ends.
async fn relay(sender: StreamSender, events: usize, end: TaskEnd) {
    for _ in 0..events {
        sender.send(Bytes::from_static(b"id: 1\n\n")).await.unwrap();
    }
    match end {
        TaskEnd::Complete => sender.complete(),
        TaskEnd::Returns => {}
        TaskEnd::Panics => panic!("the relaying task fails"),
        TaskEnd::Cancelled | TaskEnd::RuntimeGone => std::future::pending().await,
    }
}

/// Reads a body to its end; returns the number of its parts, and whether it is complete.
async fn read(mut body: StreamBody) -> (usize, bool) {
    let mut parts = 0;
    while let Some(frame) = body.frame().await {
        match frame {
            Ok(_) => parts += 1,
            Err(_) => return (parts, false),
        }
    }
    (parts, true)
}

/// Guards against streams that end as complete because the task that relays them has ended.
#[rstest]
#[case::complete(TaskEnd::Complete, true)]
#[case::returns(TaskEnd::Returns, false)]
#[case::panics(TaskEnd::Panics, false)]
#[case::cancelled(TaskEnd::Cancelled, false)]
#[case::runtime_gone(TaskEnd::RuntimeGone, false)]
fn end_of_relaying_task(
    #[case] end: TaskEnd,
    #[case] is_complete: bool,
    #[values(0, 1, 4)] events: usize,
) {
    let build = || tokio::runtime::Builder::new_current_thread().build().unwrap();
    let (relaying, reading) = (build(), build());
    let (sender, body) = StreamBody::channel(&memory(MAX_STREAM_BYTES));
    let task = relaying.spawn(relay(sender, events, end));
    relaying.block_on(async {
        for _ in 0..4 {
            tokio::task::yield_now().await;
        }
        if matches!(end, TaskEnd::Cancelled) {
            task.abort();
            assert!(task.await.unwrap_err().is_cancelled());
        }
    });
    drop(relaying);
    assert_eq!(reading.block_on(read(body)), (events, is_complete));
}

/// Guards against the loss of events, or of the end, while the caller reads slowly.
#[tokio::test]
async fn end_with_full_buffer() {
    let (sender, mut body) = StreamBody::channel(&memory(MAX_STREAM_BYTES));
    sender.send(Bytes::from_static(b"id: 1\n\n")).await.unwrap();
    sender.complete();
    assert!(body.frame().await.unwrap().is_ok());
    assert!(body.frame().await.is_none());
    assert!(body.frame().await.is_none());
}

/// Guards against relaying to a caller that has left.
#[tokio::test]
async fn send_to_caller_that_left() {
    let (sender, body) = StreamBody::channel(&memory(MAX_STREAM_BYTES));
    drop(body);
    sender.closed().await;
    assert_eq!(sender.send(Bytes::new()).await, Err(CallerLeft));
}

fn event(n: usize) -> Bytes {
    Bytes::from(format!("id: {n}\n{:>1$}", "\n\n", EVENT_BYTES - format!("id: {n}\n").len()))
}

/// Sends events from `first` on until the sender has to wait; returns the number of the event that waits.
async fn fill(sender: &StreamSender, first: usize) -> usize {
    let mut n = first;
    while let Ok(sent) = timeout(WAIT, sender.send(event(n))).await {
        sent.unwrap();
        n += 1;
    }
    n
}

/// Guards against a stream that is not read on while its caller pauses, against one that takes more than its
/// part of the memory, and against lost or reordered events.
#[tokio::test]
async fn paused_caller_has_bounded_buffer() {
    let memory = memory(64 * MAX_STREAM_BYTES);
    let (sender, mut body) = StreamBody::channel(&memory);
    let waiting = fill(&sender, 0).await;
    assert_eq!(waiting, MAX_STREAM_BYTES / EVENT_BYTES);
    assert_eq!(memory.held(), MAX_STREAM_BYTES);
    assert_eq!(sender.pauses(), 1);
    let rest = tokio::spawn(async move {
        for n in waiting..2 * waiting {
            sender.send(event(n)).await.unwrap();
        }
        sender.complete();
    });
    for n in 0..2 * waiting {
        assert_eq!(body.frame().await.unwrap().unwrap().into_data().unwrap(), event(n));
        assert!(memory.held() <= MAX_STREAM_BYTES);
    }
    assert!(body.frame().await.is_none());
    rest.await.unwrap();
    assert_eq!(memory.held(), 0);
}

/// Guards against small events that take a multiple of what they count.
#[tokio::test]
async fn tiny_events_are_counted() {
    let (sender, _body) = StreamBody::channel(&memory(64 * MAX_STREAM_BYTES));
    let mut sent = 0;
    while timeout(WAIT, sender.send(Bytes::from_static(b"\n\n"))).await.is_ok() {
        sent += 1;
    }
    assert_eq!(sent, MAX_STREAM_BYTES / 256);
}

/// Guards against slow callers that take more than the memory for bodies together, and against others that
/// get nothing because of them.
#[tokio::test]
async fn many_paused_callers_share_bound() {
    const BOUND: usize = 4 * MAX_STREAM_BYTES;
    let memory = memory(BOUND);
    let mut streams = Vec::new();
    for _ in 0..8 {
        let (sender, body) = StreamBody::channel(&memory);
        let waiting = fill(&sender, 0).await;
        streams.push((sender, body, waiting));
    }
    println!("{} of {BOUND} bytes are held", memory.held());
    assert!(memory.held() > BOUND / 2 && memory.held() <= BOUND, "{}", memory.held());
    // A caller that reads gets on.
    let (sender, mut body) = StreamBody::channel(&memory);
    for n in 0..100 {
        timeout(WAIT, sender.send(event(n))).await.unwrap().unwrap();
        assert_eq!(body.frame().await.unwrap().unwrap().into_data().unwrap(), event(n));
    }
    // Memory that one stream gives back is used by another.
    let (first, second) = (streams.remove(0), streams.pop().unwrap());
    let sender = second.0;
    let going_on = tokio::spawn(async move { fill(&sender, second.2).await });
    tokio::task::yield_now().await;
    drop(first);
    assert!(going_on.await.unwrap() > second.2);
    drop((second.1, streams));
    assert_eq!(memory.held(), 0);
}

/// Guards against a relay that does not notice that its caller has left while the buffer is full, and against
/// memory that stays taken.
#[tokio::test]
async fn paused_caller_leaves() {
    let memory = memory(64 * MAX_STREAM_BYTES);
    let (sender, body) = StreamBody::channel(&memory);
    let waiting = fill(&sender, 0).await;
    let sent = tokio::spawn(async move { sender.send(event(waiting)).await });
    tokio::task::yield_now().await;
    drop(body);
    assert_eq!(timeout(WAIT, sent).await.unwrap().unwrap(), Err(CallerLeft));
    assert_eq!(memory.held(), 0);
}

/// Guards against a log line that calls a stream delivered although its caller left before it had read the
/// end.
#[rstest]
#[case::read(true)]
#[case::left(false)]
#[tokio::test]
async fn sender_learns_whether_end_was_read(#[case] is_read: bool) {
    let (sender, body) = StreamBody::channel(&memory(MAX_STREAM_BYTES));
    sender.send(event(0)).await.unwrap();
    let completed = tokio::spawn(sender.complete_and_wait(Instant::now() + 20 * WAIT));
    tokio::task::yield_now().await;
    match is_read {
        true => assert_eq!(read(body).await, (1, true)),
        false => drop(body),
    }
    assert_eq!(completed.await.unwrap(), is_read);
}

/// Guards against a target that is blamed for a caller that did not read: room that is given back at the
/// deadline let the relay go on, and find that the target had sent nothing until then.
#[tokio::test]
async fn expired_buffer_takes_no_events() {
    let memory = memory(64 * MAX_STREAM_BYTES);
    let (sender, _body) = StreamBody::channel(&memory);
    let waiting = fill(&sender, 0).await;
    let expired = tokio::spawn(sender.expire_at(Instant::now() + WAIT));
    let sent = timeout(4 * WAIT, sender.send(event(waiting))).await;
    assert!(sent.is_err(), "{sent:?}");
    expired.await.unwrap();
    assert_eq!(memory.held(), 0);
}

/// Guards against a caller that never reads on and holds memory for good, and against a stream that looks
/// complete to it.
#[rstest]
#[case::complete(true)]
#[case::broken(false)]
#[tokio::test]
async fn unread_events_expire(#[case] is_complete: bool) {
    let memory = memory(64 * MAX_STREAM_BYTES);
    let (sender, body) = StreamBody::channel(&memory);
    let expired = tokio::spawn(sender.expire_at(Instant::now() + WAIT));
    sender.send(event(0)).await.unwrap();
    match is_complete {
        true => sender.complete(),
        false => drop(sender),
    }
    expired.await.unwrap();
    assert_eq!(memory.held(), 0);
    assert_eq!(read(body).await, (0, false));
}

/// Guards against a stream that ends as complete although events were dropped: its target ends it at the
/// same moment at which the events that its caller has not read expire.
#[tokio::test]
async fn expired_stream_completed_late() {
    let memory = memory(64 * MAX_STREAM_BYTES);
    let (sender, body) = StreamBody::channel(&memory);
    sender.send(event(0)).await.unwrap();
    sender.expire_at(Instant::now()).await;
    sender.complete();
    assert_eq!(read(body).await, (0, false));
}
