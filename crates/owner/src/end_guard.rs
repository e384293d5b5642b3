//! Body that reports how it ended.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};

/// Body that calls a function once: with `true` when it ended whole, with `false` when it broke
/// or was dropped before its end.
pub(crate) struct EndGuard<B, F: FnMut(bool)> {
    body: B,
    on_end: F,
    is_ended: bool,
}

impl<B: Body, F: FnMut(bool)> EndGuard<B, F> {
    /// Wraps a body.
    pub(crate) fn new(body: B, on_end: F) -> Self {
        Self { body, on_end, is_ended: false }
    }

    fn end(&mut self, is_whole: bool) {
        if !self.is_ended {
            self.is_ended = true;
            (self.on_end)(is_whole);
        }
    }
}

impl<B, F> Body for EndGuard<B, F>
where
    B: Body<Data = Bytes> + Unpin,
    F: FnMut(bool) + Unpin,
{
    type Data = Bytes;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, B::Error>>> {
        let frame = Pin::new(&mut self.body).poll_frame(cx);
        match &frame {
            Poll::Ready(None) => self.end(true),
            Poll::Ready(Some(Err(_))) => self.end(false),
            // hyper does not poll again once a body of known length is complete.
            Poll::Ready(Some(Ok(_))) if self.body.is_end_stream() => self.end(true),
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

impl<B, F: FnMut(bool)> Drop for EndGuard<B, F> {
    fn drop(&mut self) {
        if !self.is_ended {
            (self.on_end)(false);
        }
    }
}
