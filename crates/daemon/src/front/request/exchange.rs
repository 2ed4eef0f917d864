//! A request at a backend server, from its sending until it is known what became of it.
//!
//! Whatever ends the handling of a request (its caller leaves, its deadline passes) ends its
//! exchange too, by dropping it. Its server may still run the request, and may end with it; so an
//! exchange that is dropped before its outcome is known goes on without the handling.

use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use dandelionfront_coordination::crashes::{
    AbandonedRequest, LostRequest, RequestKeys, server_run,
};
use dandelionfront_coordination::request::RequestId;
use dandelionfront_coordination::routing::RepeatPolicy;
use dandelionfront_coordination::servers::ServerEntry;
use http::response::Parts;
use http::{Request, Response};
use hyper::body::Incoming;
use tokio::task::spawn_local;
use tokio::time::timeout_at;

use super::admission::Admitted;
use super::answer_body::AnswerBody;
use super::answer_head::{self, AnswerHead, Framing, ResponseKind};
use super::in_flight::InFlightGuard;
use crate::front::connection::backend::{BackendConnection, SendOutcome};
use crate::front::connection::ended;
use crate::front::process::FrontNode;
use crate::upload::UploadProgress;

/// Time for which a stream, or a request that may be repeated, is observed after its handling has
/// ended. Its caller may send it again, and most servers drop it once its connection closes.
const OBSERVED_BRIEFLY_MAX: Duration = Duration::from_millis(300);
/// Maximum number of requests that may be repeated, other than streams, that are observed for as long
/// as they may run all the same. One that completes clears all its copies.
const OBSERVED_WHOLE_MAX: usize = 1;
/// Maximum number of requests that are observed after their handling has ended.
const OBSERVED_MAX: usize = 16;

/// The sending of a request, up to the head of its answer.
type Sending = Pin<Box<dyn Future<Output = (BackendConnection, SendOutcome)>>>;

/// What is known of the outcome of a request at a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Outcome {
    /// Nothing: the server may run it.
    Open,
    /// Its connection was lost, and it is not known whether its server has ended.
    Lost,
    /// All: it has not run, has completed, or its server has ended.
    Known,
}

/// A request that was sent to a server.
#[derive(Debug, Clone)]
struct SentRequest {
    id: RequestId,
    keys: RequestKeys,
    server: ServerEntry,
    /// Node through which the connection goes.
    via: Option<SocketAddr>,
    is_reused: bool,
    sent_at: Instant,
    repeat: RepeatPolicy,
    /// Longest time for which its route lets it run.
    run_max: Duration,
}

/// Body of an answer that has not been read to its end.
pub(super) struct OpenBody {
    pub(super) incoming: Incoming,
    pub(super) framing: Framing,
    /// Progress of the request.
    pub(super) upload: UploadProgress,
}

/// A request at a backend server, until it is known what became of it.
pub(super) struct Exchange {
    node: Rc<FrontNode>,
    sent: SentRequest,
    sending: Option<Sending>,
    connection: Option<BackendConnection>,
    /// Rest of the answer's body.
    body: Option<OpenBody>,
    outcome: Outcome,
    in_flight: Option<InFlightGuard>,
    /// Whether the handling of the request has ended.
    is_abandoned: bool,
}

impl Exchange {
    /// Sends `request` on `connection`; nothing is written before [`Self::response`] is polled.
    pub(super) fn begin(
        node: &Rc<FrontNode>,
        admitted: &Admitted,
        server: &ServerEntry,
        mut connection: BackendConnection,
        request: Request<Bytes>,
        in_flight: InFlightGuard,
    ) -> Self {
        let sent = SentRequest {
            id: admitted.context.id.clone(),
            keys: admitted.keys,
            server: server.clone(),
            via: connection.via,
            is_reused: connection.is_reused,
            sent_at: Instant::now(),
            repeat: admitted.route.repeat,
            run_max: admitted.route.timeout,
        };
        let sending: Sending = Box::pin(async move {
            let outcome = connection.send(request).await;
            (connection, outcome)
        });
        Self {
            node: Rc::clone(node),
            sent,
            sending: Some(sending),
            connection: None,
            body: None,
            outcome: Outcome::Open,
            in_flight: Some(in_flight),
            is_abandoned: false,
        }
    }

    /// Waits for the head of the answer; must not be called again after it has arrived.
    pub(super) async fn response(&mut self) -> SendOutcome {
        let Some(sending) = &mut self.sending else {
            return SendOutcome::Lost("its answer was already read".to_owned());
        };
        let (connection, outcome) = sending.await;
        self.sending = None;
        self.connection = Some(connection);
        match &outcome {
            SendOutcome::Answered(_) => {}
            SendOutcome::NotSent(_) => self.outcome = Outcome::Known,
            SendOutcome::Lost(_) => self.note_lost(),
        }
        outcome
    }

    /// Returns the node through which the connection goes.
    pub(super) fn via(&self) -> Option<SocketAddr> {
        self.sent.via
    }

    /// Returns the time at which the request was sent.
    pub(super) fn sent_at(&self) -> Instant {
        self.sent.sent_at
    }

    /// Returns whether the connection was used for an earlier request.
    pub(super) fn is_reused(&self) -> bool {
        self.sent.is_reused
    }

    /// Returns the connection, once the head of the answer has arrived.
    pub(super) fn connection_mut(&mut self) -> Option<&mut BackendConnection> {
        self.connection.as_mut()
    }

    /// Takes the connection out for further requests.
    pub(super) fn take_connection(&mut self) -> Option<BackendConnection> {
        self.connection.take()
    }

    /// Takes over the body of the answer; returns the head.
    pub(super) fn begin_body(&mut self, response: Response<Incoming>, framing: Framing) -> Parts {
        let (head, incoming) = response.into_parts();
        let upload = UploadProgress::of(&head.extensions);
        self.body = Some(OpenBody { incoming, framing, upload });
        head
    }

    /// Returns the body of the answer, unless it has ended.
    pub(super) fn body_mut(&mut self) -> Option<&mut OpenBody> {
        self.body.as_mut()
    }

    /// Takes out the body, which has ended.
    pub(super) fn end_body(&mut self) -> Option<OpenBody> {
        self.body.take()
    }

    /// Records that the server has not run the request.
    pub(super) fn note_not_run(&mut self) {
        self.outcome = Outcome::Known;
    }

    /// Records that the connection was lost.
    pub(super) fn note_lost(&mut self) {
        self.outcome = Outcome::Lost;
        self.close();
    }

    /// Records that the server has completed its answer.
    pub(super) fn note_completed(&mut self) {
        self.outcome = Outcome::Known;
        self.body = None;
        self.node.peers.note_completed(&self.node, self.sent.keys);
    }

    /// Closes the connection, so that the outcome is not observed any further.
    pub(super) fn close(&mut self) {
        self.sending = None;
        self.body = None;
        self.connection = None;
    }

    /// Finds out whether the process of a server that gave no complete answer has ended, and if so,
    /// reports the request as lost.
    pub(super) async fn check_ended(&mut self) -> bool {
        let has_ended = self.sent.check_ended(&self.node).await;
        self.outcome = if has_ended { Outcome::Known } else { Outcome::Open };
        has_ended
    }

    /// Observes the outcome without the handling of the request, for a limited time.
    async fn observe(mut self) {
        let mut whole = None;
        let time_max = match self.sent.repeat {
            RepeatPolicy::AtMostOnce => self.sent.run_max,
            RepeatPolicy::Idempotent if self.node.observed_whole.get() < OBSERVED_WHOLE_MAX => {
                whole = Some(self.node.observed_whole.track());
                self.sent.run_max
            }
            // A stream may go on at another server, beside which this one must not.
            RepeatPolicy::Idempotent | RepeatPolicy::Stream | RepeatPolicy::ResumableStream => {
                OBSERVED_BRIEFLY_MAX
            }
        };
        let until = Instant::now() + time_max;
        let _active = self.node.observed.track();
        self.node.metrics.abandoned.observed.inc();
        // What is open after this time is abandoned when `self` is dropped.
        let is_over = timeout_at(until.into(), self.follow(until)).await.is_ok();
        log::info!(
            "event=abandoned_request_observed request={} server={} fingerprint={:016x} \
             time_max_ms={} is_over={is_over} outcome={:?}",
            self.sent.id,
            self.sent.server.id,
            self.sent.keys.exact,
            time_max.as_millis(),
            self.outcome,
        );
        drop(whole);
    }

    /// Follows the request to the end of its answer.
    async fn follow(&mut self, until: Instant) {
        let (node, server) = (Rc::clone(&self.node), self.sent.server.clone());
        if self.sending.is_some() {
            let SendOutcome::Answered(response) = self.response().await else { return };
            let head = AnswerHead::read(&response, &self.sent.id, self.sent.via);
            match answer_head::classify(&response, head) {
                ResponseKind::NotRun(_) => return self.note_not_run(),
                ResponseKind::Invalid(_) => return,
                ResponseKind::Valid => self.begin_body(response, head.framing),
            };
        }
        let mut body = AnswerBody::new(self, until);
        loop {
            match body.next_chunk(&node, &server).await {
                Ok(Some(_)) => {}
                Ok(None) => return body.note_completed(),
                Err(_) => return,
            }
        }
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        match self.outcome {
            Outcome::Known => {}
            Outcome::Lost => {
                let (node, sent) = (Rc::clone(&self.node), self.sent.clone());
                spawn_local(async move {
                    if !sent.check_ended(&node).await {
                        sent.abandon(&node);
                    }
                });
            }
            Outcome::Open => {
                let is_observable = self.sending.is_some() || self.body.is_some();
                let is_suspect = || self.node.crashes.borrow().is_suspect(self.sent.keys);
                if !self.is_abandoned
                    && is_observable
                    && self.node.observed.get() < OBSERVED_MAX
                    && is_suspect()
                {
                    let observed = Self {
                        node: Rc::clone(&self.node),
                        sent: self.sent.clone(),
                        sending: self.sending.take(),
                        connection: self.connection.take(),
                        body: self.body.take(),
                        outcome: Outcome::Open,
                        in_flight: self.in_flight.take(),
                        is_abandoned: true,
                    };
                    spawn_local(observed.observe());
                } else {
                    self.sent.abandon(&self.node);
                }
            }
        }
    }
}

impl SentRequest {
    /// Finds out whether the server's process has ended, and if so, reports the request as lost,
    /// unless the server left in order.
    async fn check_ended(&self, node: &Rc<FrontNode>) -> bool {
        let Self { server, via, keys, .. } = self;
        let sent_before_ms = u32::try_from(self.sent_at.elapsed().as_millis()).unwrap_or(u32::MAX);
        if !ended::has_ended(node, server, *via).await {
            return false;
        }
        let is_leaving = node.servers.borrow().is_leaving(server);
        log::info!(
            "event=server_ended server={} address={} started_unix_ms={} request={} \
             fingerprint={:016x} sent_before_ms={sent_before_ms} is_leaving={is_leaving} via={}",
            server.id,
            server.address,
            server.started_unix_ms,
            self.id,
            keys.exact,
            via.map_or("-".to_owned(), |via| via.to_string()),
        );
        node.note_server_ended(server);
        if !is_leaving {
            let server = server_run(server);
            let lost = LostRequest { server, request: *keys, age_ms: 0, sent_before_ms };
            node.peers.note_lost(node, lost);
        }
        true
    }

    /// Leaves the request to the ends of its server that are noticed later.
    fn abandon(&self, node: &Rc<FrontNode>) {
        let now = node.clock.monotonic_now();
        let abandoned = AbandonedRequest {
            server: self.server.clone(),
            request: self.keys,
            sent_at: now.saturating_sub(self.sent_at.elapsed()),
            run_max: self.run_max,
        };
        node.peers.note_abandoned(node, &self.id, abandoned);
    }
}
