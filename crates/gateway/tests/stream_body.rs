//! Ends of relayed streams.

use bytes::Bytes;
use http_body_util::BodyExt;
use rstest::rstest;
use shallotdrum_gateway::{CallerLeft, StreamBody, StreamSender};

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
    let (sender, body) = StreamBody::channel(4);
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
    let (sender, mut body) = StreamBody::channel(1);
    sender.send(Bytes::from_static(b"id: 1\n\n")).await.unwrap();
    sender.complete();
    assert!(body.frame().await.unwrap().is_ok());
    assert!(body.frame().await.is_none());
    assert!(body.frame().await.is_none());
}

/// Guards against relaying to a caller that has left.
#[tokio::test]
async fn send_to_caller_that_left() {
    let (sender, body) = StreamBody::channel(1);
    drop(body);
    sender.closed().await;
    assert_eq!(sender.send(Bytes::new()).await, Err(CallerLeft));
}
