//! Reads bodies of backend servers' answers up to a deadline.

use std::time::Instant;

use bytes::Bytes;
use dandelionfront_coordination::servers::ServerEntry;
use http::response::Parts;
use http_body_util::BodyExt as _;
use hyper::body::{Body as _, Incoming};
use tokio::time::timeout_at;

use super::answer_head::Framing;
use crate::front::connection::ended;
use crate::front::process::FrontNode;
use crate::upload::UploadProgress;

/// Body of a backend server's answer.
#[derive(Debug)]
pub struct AnswerBody {
    incoming: Incoming,
    framing: Framing,
    /// Progress of the request.
    upload: UploadProgress,
    deadline: Instant,
}

impl AnswerBody {
    /// Creates a reader of a body that must end before `deadline`.
    #[must_use]
    pub fn new(head: &Parts, incoming: Incoming, framing: Framing, deadline: Instant) -> Self {
        Self { incoming, framing, upload: UploadProgress::of(&head.extensions), deadline }
    }

    /// Returns the maximum size of what has not been read, in bytes; [`u64::MAX`] if it is unknown.
    #[must_use]
    pub fn rest_max_bytes(&self) -> u64 {
        self.incoming.size_hint().upper().unwrap_or(u64::MAX)
    }

    /// Reads the next chunk; returns `None` at the end of the body.
    ///
    /// # Errors
    ///
    /// Returns the cause if the body cannot be read further, the deadline has passed, or the end of
    /// the connection may not be the end of the body.
    pub async fn next_chunk(
        &mut self,
        node: &FrontNode,
        server: &ServerEntry,
    ) -> Result<Option<Bytes>, String> {
        loop {
            match timeout_at(self.deadline.into(), self.incoming.frame()).await {
                Ok(Some(Ok(frame))) => {
                    // Trailers are not forwarded, because they contain nothing for the caller.
                    if let Ok(data) = frame.into_data() {
                        return Ok(Some(data));
                    }
                }
                Ok(Some(Err(error))) => return Err(error.to_string()),
                Ok(None) => return self.confirm_end(node, server).await.map(|()| None),
                Err(_) => return Err("the deadline passed".to_owned()),
            }
        }
    }

    /// The system closes the connections of a process that ends, as the process itself does at the
    /// end of an unframed answer.
    async fn confirm_end(&self, node: &FrontNode, server: &ServerEntry) -> Result<(), String> {
        let Framing::Unframed { via } = self.framing else { return Ok(()) };
        if !self.upload.is_sent() {
            return Err("it ended before its request was sent".to_owned());
        }
        let runs_on = ended::runs_on(node, server, via);
        if timeout_at(self.deadline.into(), runs_on).await.unwrap_or(false) {
            return Ok(());
        }
        Err("its server may have ended with the connection".to_owned())
    }
}
