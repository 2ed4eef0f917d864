//! Refusals returned by an owner.

use crate::call::Answer;
use crate::refusal::{Refusal, RefusalKind, RunState};

/// Creates the refusal of a call that may exceed the remaining budget of `program`.
pub(super) fn budget_exhausted(program: &str, remaining: u64, needed: u64) -> Refusal {
    Refusal::not_run(
        RefusalKind::BudgetExhausted,
        format!(
            "the call may need {needed} tokens and the budget of {program} has {remaining} left; \
             lower max_tokens, shorten the prompt, or open a program with a larger budget"
        ),
    )
}

/// Creates the refusal of a call that waited too long for its predecessor.
pub(super) fn sequence_ahead() -> Refusal {
    Refusal::not_run(
        RefusalKind::SequenceAhead,
        "the predecessor of this Program-Sequence has not finished; \
         send the calls in order or wait for the earlier answer",
    )
}

/// Creates the refusal of a call that waited too long for the end of its own earlier attempt.
pub(super) fn attempt_not_ended() -> Refusal {
    Refusal::may_have_run(
        RefusalKind::PlatformUnavailable,
        "an earlier attempt of the call is not recorded as ended yet; \
         repeat it with the same Idempotency-Key after the pause",
    )
}

/// Creates the refusal for an attempt whose end could not be recorded in time.
pub(super) fn unrecorded_end(outcome: Result<Answer, Refusal>) -> Refusal {
    let run = match outcome {
        Ok(_) => RunState::Ran,
        Err(refusal) => refusal.run,
    };
    let message = "the call has ended and cannot be recorded now; \
                   repeat it with the same Idempotency-Key after the pause to get its answer";
    Refusal { run, ..Refusal::not_run(RefusalKind::PlatformUnavailable, message) }
}

/// Creates the refusal of a request that cannot be recorded now.
pub(super) fn platform_unavailable() -> Refusal {
    Refusal::not_run(
        RefusalKind::PlatformUnavailable,
        "the call cannot be recorded now and was not started; repeat it after the pause",
    )
}
