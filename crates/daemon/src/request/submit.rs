//! Sends a call to its program's owner, wherever that is, and follows it to the end.

use std::hash::{DefaultHasher, Hash as _, Hasher as _};
use std::rc::Rc;
use std::time::Duration;

use dandelionfront_coordination::call::FeedReader;
use dandelionfront_coordination::ids::home_of_program;
use dandelionfront_coordination::record::StoredAnswer;
use dandelionfront_coordination::{
    Admission, Answer, CallEvent, CallFeed, CallRequest, Clock as _, Location, Payload, Refusal,
    RefusalKind, RunState,
};
use futures_util::future::{Either, select};
use log::debug;
use ntex::time::sleep;
use tokio::sync::oneshot;

use super::auth::KeyGuard;
use super::execute;
use crate::connection::forward::{ForwardError, RemoteCall};
use crate::crash::Step;
use crate::process::metrics::RetryReason;
use crate::process::{Control, Worker};

/// Pause between two tries to reach the owner.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Longest wait for an owner to begin its answer: it sends a first event at once.
const OWNER_SILENCE: Duration = Duration::from_secs(5);
/// Longest time without an event from the owner, which sends a keep-alive in between.
const EVENT_SILENCE: Duration = Duration::from_secs(5);

enum Source {
    /// Not connected to an owner.
    Detached,
    /// The owner is this node.
    Local(FeedReader),
    /// The owner is another node.
    Remote(Box<RemoteCall>),
    /// The call has ended.
    Ended,
}

/// Events of one call, surviving moves and losses of its owner.
pub struct CallStream {
    worker: Worker,
    request: CallRequest,
    guard: KeyGuard,
    source: Source,
    /// Whether an owner that is lost may have run the call.
    may_have_run: bool,
    give_up_at: Duration,
    delivered: Delivered,
    replayed: Delivered,
}

/// Parts of a stream that went to the caller, to recognise them when the call is joined again.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct Delivered {
    parts: usize,
    digest: u64,
}

impl Delivered {
    fn add(&mut self, part: &Payload) {
        let mut hasher = DefaultHasher::new();
        self.digest.hash(&mut hasher);
        part.0.hash(&mut hasher);
        self.digest = hasher.finish();
        self.parts += 1;
    }
}

impl CallStream {
    /// Creates the stream of `request`; nothing is sent before the first event is asked for.
    #[must_use]
    pub fn new(worker: Worker, request: CallRequest, guard: KeyGuard) -> Self {
        let give_up_at = worker.shared.clock.monotonic() + worker.shared.settings.owner_wait;
        Self {
            worker,
            request,
            guard,
            source: Source::Detached,
            may_have_run: false,
            give_up_at,
            delivered: Delivered::default(),
            replayed: Delivered::default(),
        }
    }

    /// Returns the program of the call.
    #[must_use]
    pub fn program(&self) -> &str {
        &self.request.program
    }

    /// Returns whether the caller reads a stream.
    #[must_use]
    pub fn wants_stream(&self) -> bool {
        self.request.stream
    }

    /// Returns the next event; [`CallEvent::Finished`] and [`CallEvent::Refused`] are the last.
    pub async fn next(&mut self) -> CallEvent {
        let mut guard = self.guard.clone();
        let event = {
            let ended = std::pin::pin!(guard.ended());
            let event = std::pin::pin!(self.next_unguarded());
            match select(ended, event).await {
                Either::Left((refusal, _)) => CallEvent::Refused(refusal),
                Either::Right((event, _)) => event,
            }
        };
        if !matches!(event, CallEvent::Delta(_)) {
            self.source = Source::Ended;
        }
        event
    }

    /// Waits for the outcome and drops the parts before it.
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

    async fn next_unguarded(&mut self) -> CallEvent {
        loop {
            let event = match &mut self.source {
                Source::Detached => match self.attach().await {
                    Ok(()) => continue,
                    Err(refusal) => return CallEvent::Refused(refusal),
                },
                Source::Local(reader) => Some(reader.next().await),
                Source::Remote(call) => call.next(EVENT_SILENCE).await,
                Source::Ended => return CallEvent::Refused(Refusal::outcome_unknown()),
            };
            match event {
                Some(CallEvent::Refused(refusal)) if refusal.kind == RefusalKind::NotOwner => {
                    self.may_have_run |= refusal.run != RunState::NotRun;
                    self.detach(RetryReason::OwnerMoved);
                }
                Some(CallEvent::Delta(part)) => match self.deliver(part) {
                    Ok(Some(part)) => return CallEvent::Delta(part),
                    Ok(None) => {}
                    Err(refusal) => return CallEvent::Refused(refusal),
                },
                Some(event) => return self.last_event(event),
                None => {
                    self.may_have_run = true;
                    self.detach(RetryReason::OwnerLost);
                }
            }
        }
    }

    /// Skips parts that the caller already has; fails when a repeated run differs from them.
    fn deliver(&mut self, part: Payload) -> Result<Option<Payload>, Refusal> {
        if self.replayed.parts == self.delivered.parts {
            self.delivered.add(&part);
            self.replayed = self.delivered;
            return Ok(Some(part));
        }
        self.replayed.add(&part);
        if self.replayed.parts == self.delivered.parts && self.replayed != self.delivered {
            return Err(interrupted());
        }
        Ok(None)
    }

    fn last_event(&self, event: CallEvent) -> CallEvent {
        match event {
            CallEvent::Finished(_) if self.replayed != self.delivered => {
                CallEvent::Refused(interrupted())
            }
            // An earlier owner may have run a repeatable call without a record of it.
            CallEvent::Refused(refusal) if self.may_have_run && self.request.repeatable => {
                CallEvent::Refused(Refusal { run: RunState::Unknown, ..refusal })
            }
            event => event,
        }
    }

    fn detach(&mut self, reason: RetryReason) {
        self.worker.shared.metrics.count_retry(reason);
        debug!("event=call_detached program={} reason={reason:?}", self.request.program);
        self.source = Source::Detached;
        self.replayed = Delivered::default();
        let settings = &self.worker.shared.settings;
        self.give_up_at = self.worker.shared.clock.monotonic() + settings.owner_wait;
    }

    async fn attach(&mut self) -> Result<(), Refusal> {
        let home = home_of_program(&self.request.program).ok_or_else(Refusal::program_unknown)?;
        loop {
            let location = self.worker.shared.control.locate(&home).await?;
            let failure = match location {
                Location::Local => match self.attach_local().await {
                    Err(refusal) if refusal.kind == RefusalKind::NotOwner => {
                        RetryReason::OwnerMoved
                    }
                    attached => return attached,
                },
                Location::Remote(address) => match self.attach_remote(&address).await {
                    Ok(()) => return Ok(()),
                    Err(reason) => reason,
                },
                Location::Unknown => RetryReason::OwnerUnreachable,
            };
            self.worker.shared.metrics.count_retry(failure);
            if self.worker.shared.clock.monotonic() >= self.give_up_at {
                return Err(self.owner_unreachable());
            }
            sleep(RETRY_PAUSE).await;
        }
    }

    async fn attach_local(&mut self) -> Result<(), Refusal> {
        self.source = Source::Local(admit_local(&self.worker, &self.request).await?);
        Ok(())
    }

    async fn attach_remote(&mut self, address: &str) -> Result<(), RetryReason> {
        let client = &self.worker.clients.peers;
        match RemoteCall::send(client, address, &self.request, OWNER_SILENCE).await {
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
        let run = if self.may_have_run { RunState::Unknown } else { RunState::NotRun };
        Refusal { run, ..Refusal::not_run(RefusalKind::OwnerUnreachable, message) }
    }
}

/// Admits a call on this node and starts its execution where it has to run.
///
/// # Errors
///
/// Refuses as [`dandelionfront_coordination::Owner::admit`] does.
pub async fn admit_local(worker: &Worker, request: &CallRequest) -> Result<FeedReader, Refusal> {
    let (reply, admitted) = oneshot::channel();
    // A task of its own: a caller that goes away must not strand an admitted call.
    ntex::rt::spawn(admit_and_run(worker.clone(), request.clone(), reply));
    admitted.await.unwrap_or_else(|_| Err(Refusal::outcome_unknown()))
}

async fn admit_and_run(
    worker: Worker,
    request: CallRequest,
    reply: oneshot::Sender<Result<FeedReader, Refusal>>,
) {
    execute::reach(request.repeatable, Step::Arrived);
    let result = match worker.shared.control.admit(request.clone()).await {
        Ok(Admission::Run(ticket)) => {
            let _ = reply.send(Ok(ticket.feed.reader()));
            return execute::run(worker, ticket, request).await;
        }
        Ok(Admission::Join(feed)) => Ok(feed.reader()),
        Ok(Admission::Recorded(stored)) => replay(&worker, stored).await,
        Err(refusal) => Err(refusal),
    };
    let _ = reply.send(result);
}

/// Returns a reader of a recorded answer.
async fn replay(worker: &Worker, stored: StoredAnswer) -> Result<FeedReader, Refusal> {
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
