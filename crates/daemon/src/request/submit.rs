//! Sends a call to the owner of its program, on this or another node, and receives its events.

use std::hash::{DefaultHasher, Hash as _, Hasher as _};
use std::rc::Rc;
use std::time::Duration;

use dandelionfront_coordination::call::FeedReader;
use dandelionfront_coordination::ids::parse_program_id;
use dandelionfront_coordination::record::StoredAnswer;
use dandelionfront_coordination::{
    Admission, Answer, CallEvent, CallFeed, CallRequest, Clock as _, Location, Payload, Refusal,
    RefusalKind, RunState,
};
use futures_util::future::{Either, select};
use log::debug;
use ntex::time::sleep;
use tokio::sync::oneshot;

use super::auth::KeyWatcher;
use super::execute;
use crate::connection::forward::{ForwardError, RemoteCall};
use crate::crash::CrashPoint;
use crate::process::metrics::RetryReason;
use crate::process::{Control, Worker};

/// Delay between attempts to reach the owner.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// Timeout for the start of an owner's response, which begins before the call is admitted.
const OWNER_TIMEOUT: Duration = Duration::from_secs(5);
/// Idle timeout of the event stream from an owner, which sends keep-alive events.
const EVENT_TIMEOUT: Duration = Duration::from_secs(5);

/// Origin of the events of a call.
enum Source {
    /// No owner is connected yet, or the connection was lost.
    Disconnected,
    /// This node is the owner.
    Local(FeedReader),
    /// Another node is the owner.
    Remote(Box<RemoteCall>),
    /// The last event was returned.
    Ended,
}

/// Event stream of one call; reconnects when the owner of the program moves or fails.
pub struct CallStream {
    worker: Worker,
    request: CallRequest,
    key_watcher: KeyWatcher,
    source: Source,
    /// Whether an earlier owner may have run the call.
    may_have_run: bool,
    /// Monotonic time until which connecting to an owner is retried.
    deadline: Duration,
    /// Chunks passed to the caller.
    delivered: StreamPrefix,
    /// Chunks received from the owner since the last connection.
    received: StreamPrefix,
}

/// Number and digest of the first chunks of a stream; after a reconnection, used to check that the
/// new stream repeats the chunks that the caller already received.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct StreamPrefix {
    chunks: usize,
    digest: u64,
}

impl StreamPrefix {
    fn add(&mut self, chunk: &Payload) {
        let mut hasher = DefaultHasher::new();
        self.digest.hash(&mut hasher);
        chunk.0.hash(&mut hasher);
        self.digest = hasher.finish();
        self.chunks += 1;
    }
}

impl CallStream {
    /// Creates the stream of `request`; the request is sent by the first [`CallStream::next`].
    #[must_use]
    pub fn new(worker: Worker, request: CallRequest, key_watcher: KeyWatcher) -> Self {
        let deadline = worker.shared.clock.monotonic() + worker.shared.settings.owner_wait;
        Self {
            worker,
            request,
            key_watcher,
            source: Source::Disconnected,
            may_have_run: false,
            deadline,
            delivered: StreamPrefix::default(),
            received: StreamPrefix::default(),
        }
    }

    /// Returns the program of the call.
    #[must_use]
    pub fn program(&self) -> &str {
        &self.request.program
    }

    /// Returns whether the caller asked for a streamed answer.
    #[must_use]
    pub fn wants_stream(&self) -> bool {
        self.request.stream
    }

    /// Returns the next event; [`CallEvent::Finished`] and [`CallEvent::Refused`] end the stream.
    pub async fn next(&mut self) -> CallEvent {
        let mut key_watcher = self.key_watcher.clone();
        let event = {
            let invalidated = std::pin::pin!(key_watcher.invalidated());
            let event = std::pin::pin!(self.next_from_owner());
            match select(invalidated, event).await {
                Either::Left((refusal, _)) => CallEvent::Refused(refusal),
                Either::Right((event, _)) => event,
            }
        };
        if !matches!(event, CallEvent::Delta(_)) {
            self.source = Source::Ended;
        }
        event
    }

    /// Waits for the final result and discards the chunks before it.
    ///
    /// # Errors
    ///
    /// Returns the refusal that ended the call.
    pub async fn outcome(&mut self) -> Result<Answer, Refusal> {
        loop {
            match self.next().await {
                CallEvent::Delta(_) => {}
                CallEvent::Finished(answer) => return Ok(answer),
                CallEvent::Refused(refusal) => return Err(refusal),
            }
        }
    }

    async fn next_from_owner(&mut self) -> CallEvent {
        loop {
            let event = match &mut self.source {
                Source::Disconnected => match self.connect().await {
                    Ok(()) => continue,
                    Err(refusal) => return self.check_last_event(CallEvent::Refused(refusal)),
                },
                Source::Local(reader) => Some(reader.next().await),
                Source::Remote(call) => call.next(EVENT_TIMEOUT).await,
                Source::Ended => return CallEvent::Refused(Refusal::outcome_unknown()),
            };
            match event {
                Some(CallEvent::Refused(refusal)) if refusal.kind == RefusalKind::NotOwner => {
                    self.may_have_run |= refusal.run != RunState::NotRun;
                    self.disconnect(RetryReason::OwnerMoved);
                }
                Some(CallEvent::Delta(chunk)) => match self.deliver(chunk) {
                    Ok(Some(chunk)) => return CallEvent::Delta(chunk),
                    Ok(None) => {}
                    Err(refusal) => return CallEvent::Refused(refusal),
                },
                Some(event) => return self.check_last_event(event),
                None => {
                    self.may_have_run = true;
                    self.disconnect(RetryReason::OwnerLost);
                }
            }
        }
    }

    /// Skips chunks that the caller already received; fails when the repeated chunks differ.
    fn deliver(&mut self, chunk: Payload) -> Result<Option<Payload>, Refusal> {
        if self.received.chunks == self.delivered.chunks {
            self.delivered.add(&chunk);
            self.received = self.delivered;
            return Ok(Some(chunk));
        }
        self.received.add(&chunk);
        if self.received.chunks == self.delivered.chunks && self.received != self.delivered {
            return Err(interrupted());
        }
        Ok(None)
    }

    /// Replaces an answer by a refusal if the stream ended before it repeated all delivered chunks;
    /// sets the run state of a refused repeatable call to unknown if an earlier owner may have run
    /// it.
    fn check_last_event(&self, event: CallEvent) -> CallEvent {
        match event {
            CallEvent::Finished(_) if self.received != self.delivered => {
                CallEvent::Refused(interrupted())
            }
            // An earlier owner may have run a repeatable call without a record of it; the start of
            // a non-repeatable call is recorded before dispatch.
            CallEvent::Refused(refusal) if self.may_have_run && self.request.repeatable => {
                CallEvent::Refused(refusal.after_attempt(true))
            }
            event => event,
        }
    }

    fn disconnect(&mut self, reason: RetryReason) {
        self.worker.shared.metrics.count_retry(reason);
        debug!("event=call_detached program={} reason={reason:?}", self.request.program);
        self.source = Source::Disconnected;
        self.received = StreamPrefix::default();
        let settings = &self.worker.shared.settings;
        self.deadline = self.worker.shared.clock.monotonic() + settings.owner_wait;
    }

    async fn connect(&mut self) -> Result<(), Refusal> {
        let region_shard =
            parse_program_id(&self.request.program).ok_or_else(Refusal::program_unknown)?;
        loop {
            let location = self.worker.shared.control.locate(&region_shard).await;
            let location = location.map_err(|refusal| refusal.after_attempt(self.may_have_run))?;
            let failure = match location {
                Location::Local => match self.connect_local().await {
                    Err(refusal) if refusal.kind == RefusalKind::NotOwner => {
                        RetryReason::OwnerMoved
                    }
                    connected => return connected,
                },
                Location::Remote(address) => match self.connect_remote(&address).await {
                    Ok(()) => return Ok(()),
                    Err(reason) => reason,
                },
                Location::Unknown => RetryReason::OwnerUnreachable,
            };
            self.worker.shared.metrics.count_retry(failure);
            if self.worker.shared.clock.monotonic() >= self.deadline {
                return Err(self.owner_unreachable());
            }
            sleep(RETRY_DELAY).await;
        }
    }

    async fn connect_local(&mut self) -> Result<(), Refusal> {
        self.source = Source::Local(admit_local(&self.worker, &self.request).await?);
        Ok(())
    }

    async fn connect_remote(&mut self, address: &str) -> Result<(), RetryReason> {
        let client = &self.worker.clients.peers;
        match RemoteCall::send(client, address, &self.request, OWNER_TIMEOUT).await {
            Ok(call) => {
                self.source = Source::Remote(Box::new(call));
                Ok(())
            }
            Err(ForwardError::NeverSent) => Err(RetryReason::OwnerUnreachable),
            Err(ForwardError::Lost) => {
                self.may_have_run = true;
                Err(RetryReason::OwnerLost)
            }
        }
    }

    fn owner_unreachable(&self) -> Refusal {
        let message = "the program's owner cannot be reached; \
                       repeat the call with the same Idempotency-Key";
        Refusal::not_run(RefusalKind::OwnerUnreachable, message).after_attempt(self.may_have_run)
    }
}

/// Admits a call on this node and executes it unless it already runs or has finished.
///
/// # Errors
///
/// Refuses as documented at [`dandelionfront_coordination::Owner::admit`].
pub async fn admit_local(worker: &Worker, request: &CallRequest) -> Result<FeedReader, Refusal> {
    let (reply, admitted) = oneshot::channel();
    // Runs in a separate task, so that an admitted call completes even if its caller disconnects.
    ntex::rt::spawn(admit_and_run(worker.clone(), request.clone(), reply));
    admitted.await.unwrap_or_else(|_| Err(Refusal::outcome_unknown()))
}

async fn admit_and_run(
    worker: Worker,
    request: CallRequest,
    reply: oneshot::Sender<Result<FeedReader, Refusal>>,
) {
    execute::hit_crash_point(request.repeatable, CrashPoint::Arrived);
    let result = match worker.shared.control.admit(request.clone()).await {
        Ok(Admission::Run(ticket)) => {
            let _ = reply.send(Ok(ticket.feed.reader()));
            return execute::run(worker, ticket, request).await;
        }
        Ok(Admission::Join(feed)) => Ok(feed.reader()),
        Ok(Admission::Recorded(stored)) => read_recorded(&worker, stored).await,
        Err(refusal) => Err(refusal),
    };
    let _ = reply.send(result);
}

/// Returns a reader of a recorded answer.
async fn read_recorded(worker: &Worker, stored: StoredAnswer) -> Result<FeedReader, Refusal> {
    let StoredAnswer { status, content_type, body } = stored;
    let load = move |control: Rc<Control>| async move { control.load_body(&body).await };
    let body = worker.shared.control.run(load).await??;
    let feed = CallFeed::new();
    feed.close(Ok(Answer { status, content_type, body }));
    Ok(feed.reader())
}

fn interrupted() -> Refusal {
    Refusal::may_have_run(
        RefusalKind::BackendFailed,
        "the stream was interrupted and could not be continued; repeat the call with the same \
         Idempotency-Key to get the recorded answer",
    )
}
