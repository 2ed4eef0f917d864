//! Handles one request: admits it, tries backend servers and forwards the answer.

mod admission;
mod announcements;
mod answer_body;
mod answer_head;
mod attempt;
mod body;
mod choice;
mod exchange;
mod in_flight;
mod outbound;
mod outcome;
mod sent;
mod stream;
mod turn;

use std::io;
use std::rc::Rc;
use std::time::Instant;

use ntex::http::Request;

pub use self::admission::refusal_of_head;
pub use self::answer_head::AnswerFault;

use self::admission::RefusedRequest;
use crate::front::connection::Responder;
use crate::front::connection::caller::CallerRequest;
use crate::front::process::FrontNode;

/// Serves a request and logs its outcome.
///
/// # Errors
///
/// Fails when no complete answer could be sent; the caller's connection must then be closed.
pub async fn serve(
    node: &Rc<FrontNode>,
    request: &CallerRequest,
    responder: &mut Responder<'_>,
) -> io::Result<()> {
    let admitted = match admission::admit(node, request).await {
        Ok(admitted) => admitted,
        Err(refused) => {
            return refuse(node, &request.head, request.arrived_at, responder, &refused).await;
        }
    };
    let labels = admitted.labels();
    responder.set_deadline(admitted.deadline);
    match attempt::run(node, admitted, responder).await {
        Ok(()) => Ok(()),
        Err(attempt::Failure::Refused(refusal)) if !responder.is_head_sent() => {
            let refused = RefusedRequest { labels, refusal };
            refuse(node, &request.head, request.arrived_at, responder, &refused).await
        }
        Err(failure) => {
            let error = match failure {
                attempt::Failure::Refused(refusal) => io::Error::other(refusal.to_string()),
                attempt::Failure::CallerGone(error) => error,
            };
            log::info!("event=broken_off request={} cause=\"{error}\"", labels.id);
            node.metrics.answers_broken_off.inc();
            Err(error)
        }
    }
}

/// Sends and logs the refusal of a request whose head arrived at `arrived_at`.
///
/// # Errors
///
/// Fails when the refusal could not be sent completely.
pub async fn refuse(
    node: &FrontNode,
    head: &Request,
    arrived_at: Instant,
    responder: &mut Responder<'_>,
    refused: &RefusedRequest,
) -> io::Result<()> {
    let RefusedRequest { labels, refusal } = refused;
    node.metrics.count_refusal(refusal.kind);
    log::info!(
        "event=refused request={} program={} team={} fingerprint={} path={} kind={} status={} \
         version={} config_age_ms={} elapsed_ms={} message=\"{refusal}\"",
        labels.id,
        labels.program.as_deref().unwrap_or("-"),
        labels.team.as_deref().unwrap_or("-"),
        labels.keys.map_or("-".to_owned(), |keys| format!("{:016x}", keys.exact)),
        head.path(),
        refusal.kind.label(),
        refusal.kind.http_status(),
        node.table().version(),
        node.config_age_ms(),
        arrived_at.elapsed().as_millis(),
    );
    responder.refuse(&labels.id, refusal).await
}
