//! Reads bodies of backend servers' answers up to a deadline.

use std::time::Instant;

use bytes::Bytes;
use dandelionfront_coordination::servers::ServerEntry;
use http_body_util::BodyExt as _;
use hyper::body::Body as _;
use tokio::time::timeout_at;

use super::answer_head::Framing;
use super::exchange::{Exchange, OpenBody};
use crate::front::connection::ended;
use crate::front::process::FrontNode;

/// Body of a backend server's answer, which is read from its exchange.
pub(super) struct AnswerBody<'e> {
    exchange: &'e mut Exchange,
    deadline: Instant,
}

impl<'e> AnswerBody<'e> {
    /// Creates a reader of the body of `exchange`, which must end before `deadline`.
    pub(super) fn new(exchange: &'e mut Exchange, deadline: Instant) -> Self {
        Self { exchange, deadline }
    }

    /// Returns the maximum size of what has not been read, in bytes; [`u64::MAX`] if it is unknown.
    pub(super) fn rest_max_bytes(&mut self) -> u64 {
        let body = self.exchange.body_mut();
        body.and_then(|body| body.incoming.size_hint().upper()).unwrap_or(u64::MAX)
    }

    /// Reads the next chunk; returns `None` at the end of the body.
    ///
    /// # Errors
    ///
    /// Returns the cause if the body cannot be read further, the deadline has passed, or the end of
    /// the connection may not be the end of the body.
    pub(super) async fn next_chunk(
        &mut self,
        node: &FrontNode,
        server: &ServerEntry,
    ) -> Result<Option<Bytes>, String> {
        loop {
            let Some(body) = self.exchange.body_mut() else {
                return Err("its connection was lost".to_owned());
            };
            match timeout_at(self.deadline.into(), body.incoming.frame()).await {
                Ok(Some(Ok(frame))) => {
                    // Trailers are not forwarded, because they contain nothing for the caller.
                    if let Ok(data) = frame.into_data() {
                        return Ok(Some(data));
                    }
                }
                Ok(Some(Err(error))) => {
                    self.exchange.note_lost();
                    return Err(error.to_string());
                }
                Ok(None) => return self.confirm_end(node, server).await.map(|()| None),
                Err(_) => return Err("the deadline passed".to_owned()),
            }
        }
    }

    /// Records that the server has completed its answer.
    pub(super) fn note_completed(&mut self) {
        self.exchange.note_completed();
    }

    /// The system closes the connections of a process that ends, as the process itself does at the
    /// end of an unframed answer.
    async fn confirm_end(&mut self, node: &FrontNode, server: &ServerEntry) -> Result<(), String> {
        let Some(OpenBody { framing, upload, .. }) = self.exchange.end_body() else {
            return Ok(());
        };
        let Framing::Unframed { via } = framing else { return Ok(()) };
        if !upload.is_sent() {
            self.exchange.note_lost();
            return Err("it ended before its request was sent".to_owned());
        }
        let runs_on = ended::runs_on(node, server, via);
        if timeout_at(self.deadline.into(), runs_on).await.unwrap_or(false) {
            return Ok(());
        }
        self.exchange.note_lost();
        Err("its server may have ended with the connection".to_owned())
    }
}
