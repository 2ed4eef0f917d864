//! Reads bodies of backend servers' answers up to a deadline.

use std::time::Instant;

use bytes::Bytes;
use dandelionfront_coordination::servers::ServerEntry;
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use tokio::time::timeout_at;

use super::inbound::Framing;
use crate::front::connection::ended;
use crate::front::process::FrontNode;

/// Body of a backend server's answer.
#[derive(Debug)]
pub struct AnswerBody {
    incoming: Incoming,
    framing: Framing,
    deadline: Instant,
}

impl AnswerBody {
    /// Creates a reader of a body that must end before `deadline`.
    #[must_use]
    pub fn new(incoming: Incoming, framing: Framing, deadline: Instant) -> Self {
        Self { incoming, framing, deadline }
    }

    /// Reads the next chunk; returns `None` at the end of the body.
    ///
    /// # Errors
    ///
    /// Returns the cause if the body cannot be read further, the deadline has passed, or the
    /// process of `server` has ended with the connection that marks the end of the body.
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
        if self.framing == Framing::Unframed && ended::has_ended(node, server).await {
            return Err("its server ended with the connection".to_owned());
        }
        Ok(())
    }
}
