//! Handles one request: admits it, tries backend servers and forwards the answer.

mod admission;
mod announcements;
mod answer_body;
mod answer_head;
mod attempt;
mod body;
mod choice;
mod in_flight;
mod outbound;
mod outcome;
mod sent;
mod stream;
mod turn;

use std::io;
use std::rc::Rc;

use dandelionfront_coordination::Refusal;

pub use self::answer_head::AnswerFault;

use self::admission::{RefusedRequest, RequestLabels};
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
        Err(RefusedRequest { labels, refusal }) => {
            return refuse(node, request, responder, &labels, &refusal).await;
        }
    };
    let labels = admitted.labels();
    responder.set_deadline(admitted.deadline);
    match attempt::run(node, admitted, responder).await {
        Ok(()) => Ok(()),
        Err(attempt::Failure::Refused(refusal)) if !responder.is_head_sent() => {
            refuse(node, request, responder, &labels, &refusal).await
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

async fn refuse(
    node: &FrontNode,
    request: &CallerRequest,
    responder: &mut Responder<'_>,
    labels: &RequestLabels,
    refusal: &Refusal,
) -> io::Result<()> {
    node.metrics.count_refusal(refusal.kind);
    log::info!(
        "event=refused request={} program={} team={} fingerprint={} path={} kind={} status={} \
         version={} config_age_ms={} elapsed_ms={} message=\"{refusal}\"",
        labels.id,
        labels.program.as_deref().unwrap_or("-"),
        labels.team.as_deref().unwrap_or("-"),
        labels.keys.map_or("-".to_owned(), |keys| format!("{:016x}", keys.exact)),
        request.head.path(),
        refusal.kind.label(),
        refusal.kind.http_status(),
        node.table().version(),
        node.config_age_ms(),
        request.arrived_at.elapsed().as_millis(),
    );
    responder.refuse(&labels.id, refusal).await
}
