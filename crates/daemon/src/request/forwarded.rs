//! Handlers for calls and program requests that other nodes forward to this node, the owner.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use dandelionfront_coordination::call::FeedReader;
use dandelionfront_coordination::{CallEvent, CallRequest, Refusal};
use futures_util::FutureExt as _;
use futures_util::future::LocalBoxFuture;
use futures_util::stream::unfold;
use ntex::time::timeout;
use ntex::util::Bytes;
use ntex::web::{self, HttpResponse, types::Json, types::State};

use super::answer::sse_event;
use super::submit::admit_local;
use crate::connection::forward::{
    CALL_PATH, KEEP_ALIVE_EVENT, PROGRAM_PATH, ProgramReply, ProgramRequest,
};
use crate::consts::EVENT_STREAM;
use crate::process::Worker;

/// Interval between keep-alive events on an otherwise idle event stream.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Registers the handlers of the forward listener.
pub fn routes(config: &mut web::ServiceConfig) {
    config
        .service(web::resource(CALL_PATH).route(web::post().to(forwarded_call)))
        .service(web::resource(PROGRAM_PATH).route(web::post().to(forwarded_program)));
}

/// State of the event stream of a forwarded call.
enum Stage {
    Admitting(LocalBoxFuture<'static, Result<FeedReader, Refusal>>),
    Streaming(FeedReader),
    Ended,
}

/// Executes or joins a call and streams its events.
async fn forwarded_call(worker: State<Rc<Worker>>, call: Json<CallRequest>) -> HttpResponse {
    let worker = (**worker).clone();
    let call = call.into_inner();
    let admission = async move { admit_local(&worker, &call).await }.boxed_local();
    // The response starts before the call is admitted, so that the forwarding node knows that the
    // owner is alive.
    let events = unfold(Stage::Admitting(admission), |stage| async move {
        let (bytes, stage) = next_event(stage).await?;
        Some((Ok::<_, Infallible>(bytes), stage))
    });
    HttpResponse::Ok().content_type(EVENT_STREAM).streaming(Box::pin(events))
}

async fn next_event(stage: Stage) -> Option<(Bytes, Stage)> {
    Some(match stage {
        Stage::Admitting(mut admission) => match timeout(KEEP_ALIVE_INTERVAL, &mut admission).await
        {
            Ok(Ok(reader)) => (keep_alive_event(), Stage::Streaming(reader)),
            Ok(Err(refusal)) => (encode(&CallEvent::Refused(refusal)), Stage::Ended),
            Err(()) => (keep_alive_event(), Stage::Admitting(admission)),
        },
        Stage::Streaming(mut reader) => match timeout(KEEP_ALIVE_INTERVAL, reader.next()).await {
            Ok(chunk @ CallEvent::Delta(_)) => (encode(&chunk), Stage::Streaming(reader)),
            Ok(last) => (encode(&last), Stage::Ended),
            Err(()) => (keep_alive_event(), Stage::Streaming(reader)),
        },
        Stage::Ended => return None,
    })
}

async fn forwarded_program(
    worker: State<Rc<Worker>>,
    request: Json<ProgramRequest>,
) -> HttpResponse {
    let reply = serve_program_request(&worker, request.into_inner()).await;
    HttpResponse::Ok().json(&reply)
}

/// Executes a program request on this node.
pub async fn serve_program_request(worker: &Worker, request: ProgramRequest) -> ProgramReply {
    let control = &worker.shared.control;
    let reply: Result<ProgramReply, Refusal> = match request {
        ProgramRequest::Open(spec) => control.open_program(spec).await.map(ProgramReply::Opened),
        ProgramRequest::Get { id, team } => {
            control.program(id, team).await.map(|program| ProgramReply::State(Box::new(program)))
        }
        ProgramRequest::Close { id, team, reason } => {
            control.close_program(id, team, reason).await.map(ProgramReply::Closed)
        }
    };
    reply.unwrap_or_else(ProgramReply::Refused)
}

fn encode(call_event: &CallEvent) -> Bytes {
    sse_event(&serde_json::to_string(call_event).unwrap_or_default())
}

fn keep_alive_event() -> Bytes {
    Bytes::from(format!("event: {KEEP_ALIVE_EVENT}\ndata: {{}}\n\n"))
}
