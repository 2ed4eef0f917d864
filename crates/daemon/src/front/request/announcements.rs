//! What backend servers say of themselves in their answers.

use std::time::Duration;

use dandelionfront_coordination::ranking::server_hash;
use dandelionfront_coordination::servers::{LeavingServer, ServerEntry};
use dandelionfront_platform::headers;
use http::{Response, StatusCode, header};
use hyper::body::Incoming;

use super::answer_head::ResponseKind;
use super::attempt::Attempts;

impl Attempts<'_> {
    /// Records what `server` says of itself in an answer: whether it is leaving, and its limit.
    ///
    /// An answer that another server or an earlier request may have produced is not considered.
    pub(super) fn note_announcements(
        &self,
        server: &ServerEntry,
        response: &Response<Incoming>,
        kind: &ResponseKind,
    ) {
        let is_from_server = match kind {
            ResponseKind::Valid => true,
            ResponseKind::NotRun(status) => *status != StatusCode::MISDIRECTED_REQUEST,
            ResponseKind::Invalid(_) => false,
        };
        if !is_from_server {
            return;
        }
        let request = &self.admitted.context.id;
        match headers::announces_leave(response.headers()) {
            Ok(false) => {}
            Ok(true) => {
                let leaving = LeavingServer {
                    id: server.id.clone(),
                    started_unix_ms: server.started_unix_ms,
                };
                self.node.peers.note_leaving(self.node, leaving, request);
            }
            Err(value) => log::info!(
                "event=leave_malformed request={request} server={} value={value:?} ignored=true",
                server.id,
            ),
        }
        match headers::named_limit_per_s(response.headers()) {
            Ok(limit_per_s) => self.note_limit(server, limit_per_s),
            Err(value) => log::info!(
                "event=limit_malformed request={request} server={} value={value:?} ignored=true",
                server.id,
            ),
        }
    }

    fn note_limit(&self, server: &ServerEntry, limit_per_s: Option<f64>) {
        if self.node.peers.note_limit(self.node, server_hash(&server.id), limit_per_s) {
            log::info!(
                "event=server_limit server={} limit_per_s={} source=answer request={}",
                server.id,
                limit_text(limit_per_s),
                self.admitted.context.id,
            );
        }
    }
}

/// Returns the delay in the `Retry-After` header of an answer, in seconds with fractions.
pub(super) fn retry_after(response: &Response<Incoming>) -> Option<Duration> {
    let value = response.headers().get(header::RETRY_AFTER)?.to_str().ok()?;
    Duration::try_from_secs_f64(value.trim().parse().ok()?).ok()
}

/// Formats a limit for the log.
pub(super) fn limit_text(limit_per_s: Option<f64>) -> String {
    limit_per_s.map_or("-".to_owned(), |limit| limit.to_string())
}
