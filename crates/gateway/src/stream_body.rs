//! Body of a relayed stream.
//!
//! Architecture Invariant: the body ends as complete only if its sender says so; one whose sender is
//! dropped for any other reason ends with an error.

use std::{
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll},
};

use bytes::Bytes;
use http_body::{Body, Frame};
use tokio::sync::mpsc;

/// HTTP body that yields complete events as they arrive.
#[derive(Debug)]
pub struct StreamBody {
    rx: mpsc::Receiver<Bytes>,
    is_complete: Arc<AtomicBool>,
    has_ended: bool,
}

/// Sends the events of a `StreamBody`.
#[derive(Debug)]
pub struct StreamSender {
    tx: mpsc::Sender<Bytes>,
    is_complete: Arc<AtomicBool>,
}

/// Error of a stream that was interrupted and can't be resumed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the stream was interrupted")]
pub struct StreamBroken;

/// Error of sending to a caller that has left.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the caller has left")]
pub struct CallerLeft;

impl StreamBody {
    /// Creates a body that buffers this many parts, and its sender.
    pub fn channel(capacity: usize) -> (StreamSender, Self) {
        let (tx, rx) = mpsc::channel(capacity);
        let is_complete = Arc::new(AtomicBool::new(false));
        let sender = StreamSender { tx, is_complete: is_complete.clone() };
        (sender, Self { rx, is_complete, has_ended: false })
    }
}

impl StreamSender {
    /// Sends complete events; waits while the buffer is full.
    pub async fn send(&self, events: Bytes) -> Result<(), CallerLeft> {
        self.tx.send(events).await.map_err(|_| CallerLeft)
    }

    /// Resolves when the caller has left.
    pub async fn closed(&self) {
        self.tx.closed().await;
    }

    /// Ends the body as complete, after the events that were sent.
    pub fn complete(self) {
        self.is_complete.store(true, Ordering::Release);
    }
}

impl Body for StreamBody {
    type Data = Bytes;
    type Error = StreamBroken;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamBroken>>> {
        if self.has_ended {
            return Poll::Ready(None);
        }
        match self.rx.poll_recv(cx) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(Some(events)) => Poll::Ready(Some(Ok(Frame::data(events)))),
            Poll::Ready(None) => {
                self.has_ended = true;
                match self.is_complete.load(Ordering::Acquire) {
                    true => Poll::Ready(None),
                    false => Poll::Ready(Some(Err(StreamBroken))),
                }
            }
        }
    }
}
