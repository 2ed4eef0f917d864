//! Bodies of requests to backend servers, which show whether they have been sent.

use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};

use bytes::Bytes;
use http::{Extensions, Request};
use hyper::body::{Body, Frame, SizeHint};

/// Size of the parts in which a body is passed to its connection, which takes the next one once it has
/// room.
const PART_MAX_BYTES: usize = 16 * 1024;

/// Body of a request.
#[derive(Debug)]
pub struct Upload {
    rest: Bytes,
    progress: UploadProgress,
}

/// Whether a body has been sent; clones belong to the same body.
#[derive(Debug, Clone, Default)]
pub struct UploadProgress(Arc<AtomicBool>);

impl UploadProgress {
    /// Returns the progress of the request that an answer with these extensions belongs to; one that
    /// is not known counts as not sent.
    #[must_use]
    pub fn of(extensions: &Extensions) -> Self {
        extensions.get().cloned().unwrap_or_default()
    }

    /// Returns whether the connection has taken the whole body. An answer that ends before, with the
    /// connection, may be a part of one: its server has not read the request, and what it closes its
    /// connection with looks like the end of an answer.
    #[must_use]
    pub fn is_sent(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

impl Upload {
    /// Returns a request with its body as an upload, and the progress of that.
    #[must_use]
    pub fn of(request: Request<Bytes>) -> (Request<Self>, UploadProgress) {
        let progress = UploadProgress::default();
        progress.0.store(request.body().is_empty(), Ordering::Relaxed);
        let upload = |rest| Self { rest, progress: progress.clone() };
        (request.map(upload), progress)
    }
}

impl Body for Upload {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.rest.is_empty() {
            return Poll::Ready(None);
        }
        let part_bytes = self.rest.len().min(PART_MAX_BYTES);
        let part = self.rest.split_to(part_bytes);
        self.progress.0.store(self.rest.is_empty(), Ordering::Relaxed);
        Poll::Ready(Some(Ok(Frame::data(part))))
    }

    fn is_end_stream(&self) -> bool {
        self.rest.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.rest.len() as u64)
    }
}
