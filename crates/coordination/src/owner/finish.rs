//! Records the ends of attempts and reports the outcomes to their callers.

use futures_util::future::{Either, select};

use super::refusals::unrecorded_end;
use super::{AttemptEnd, CallTicket, Owner};
use crate::call::{Answer, CallRequest};
use crate::journal::unix_ms;
use crate::payload::Body;
use crate::record::{CloseReason, Record, StoredAnswer};
use crate::refusal::Refusal;

impl Owner {
    /// Records the end of an attempt and closes the feed.
    ///
    /// Calls `on_commit_end` before closing the feed if the commit succeeds, or fails because the
    /// node was fenced, within `end_commit_wait`. Does not call it if there is nothing to record.
    pub async fn finish(
        &self,
        ticket: &CallTicket,
        request: &CallRequest,
        end: AttemptEnd,
        on_commit_end: impl FnOnce(),
    ) {
        let (record, outcome) = Self::end_record(ticket, request, end);
        // An end without an answer is always marked, even if no backend server ran the call.
        if outcome.is_err() {
            self.mark_unrecorded_backends(&ticket.program);
        }
        if let Some(record) = record {
            let mut records = vec![record];
            records.extend(self.closing_record(request, &outcome));
            self.record_end(ticket, records, outcome, on_commit_end).await;
        } else {
            ticket.feed.close(outcome);
        }
        self.clear_running(&ticket.program);
    }

    /// Commits the end of an attempt. The feed is closed after the commit, or after
    /// `end_commit_wait` if the commit takes longer.
    async fn record_end(
        &self,
        ticket: &CallTicket,
        records: Vec<Record>,
        outcome: Result<Answer, Refusal>,
        on_commit_end: impl FnOnce(),
    ) {
        let commit = std::pin::pin!(self.wait_committed(self.append(&ticket.program, records)));
        let timeout = self.clock.sleep(self.settings.end_commit_wait);
        match select(commit, timeout).await {
            Either::Left((committed, _)) => {
                on_commit_end();
                ticket.feed.close(committed.and(outcome));
            }
            Either::Right(((), commit)) => {
                // The call stays marked as running until the commit ends: a retry before that joins
                // the closed feed and gets the refusal at once, a later one the recorded answer.
                ticket.feed.close(Err(unrecorded_end(outcome)));
                let _ = commit.await;
            }
        }
    }

    fn end_record(
        ticket: &CallTicket,
        request: &CallRequest,
        end: AttemptEnd,
    ) -> (Option<Record>, Result<Answer, Refusal>) {
        let call = ticket.key.clone();
        let is_start_recorded = ticket.dispatch_deadline.is_some();
        match end {
            AttemptEnd::Answered { answer, usage, backend } => {
                let stored = StoredAnswer {
                    status: answer.status,
                    content_type: answer.content_type.clone(),
                    body: Body::Inline(answer.body.clone()),
                };
                let request = Body::Inline(request.body.clone());
                let record = Record::Finished { call, request, answer: stored, usage, backend };
                (Some(record), Ok(answer))
            }
            AttemptEnd::NotSent(refusal) => {
                (is_start_recorded.then_some(Record::Cancelled { call }), Err(refusal))
            }
            AttemptEnd::Lost(refusal) if call.repeatable => {
                let charged_tokens = ticket.reserved_tokens;
                (is_start_recorded.then_some(Record::Failed { call, charged_tokens }), Err(refusal))
            }
            AttemptEnd::Lost(_) => {
                (Some(Record::InDoubt { call }), Err(Refusal::outcome_unknown()))
            }
        }
    }

    /// Returns the record that ends the program of an answered single call.
    fn closing_record(
        &self,
        request: &CallRequest,
        outcome: &Result<Answer, Refusal>,
    ) -> Option<Record> {
        (request.single && outcome.is_ok()).then(|| Record::Closed {
            reason: CloseReason::Ended,
            closed_unix_ms: unix_ms(&*self.clock),
        })
    }
}
