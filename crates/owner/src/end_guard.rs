//! HTTP body wrapper that reports how the body ended.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};

/// How a body ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Ended {
    /// After its last frame.
    Complete,
    /// With an error.
    Failed,
    /// It was dropped before its end.
    Dropped,
}

/// HTTP body that calls `on_end` once.
pub(crate) struct EndGuard<B, F: FnMut(Ended)> {
    body: B,
    on_end: F,
    is_ended: bool,
}

impl<B: Body, F: FnMut(Ended)> EndGuard<B, F> {
    /// Wraps a body; `on_end` is called from `poll_frame` or `drop`.
    pub(crate) fn new(body: B, on_end: F) -> Self {
        Self { body, on_end, is_ended: false }
    }

    fn end(&mut self, ended: Ended) {
        if !self.is_ended {
            self.is_ended = true;
            (self.on_end)(ended);
        }
    }
}

impl<B, F> Body for EndGuard<B, F>
where
    B: Body<Data = Bytes> + Unpin,
    F: FnMut(Ended) + Unpin,
{
    type Data = Bytes;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, B::Error>>> {
        let frame = Pin::new(&mut self.body).poll_frame(cx);
        match &frame {
            Poll::Ready(None) => self.end(Ended::Complete),
            Poll::Ready(Some(Err(_))) => self.end(Ended::Failed),
            // hyper does not poll a body of known length again once it is complete.
            Poll::Ready(Some(Ok(_))) if self.body.is_end_stream() => self.end(Ended::Complete),
            Poll::Ready(Some(Ok(_))) | Poll::Pending => {}
        }
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl<B, F: FnMut(Ended)> Drop for EndGuard<B, F> {
    fn drop(&mut self) {
        if !self.is_ended {
            (self.on_end)(Ended::Dropped);
        }
    }
}
