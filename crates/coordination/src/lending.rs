//! Tokens of a program's budget that one node lends to others.
//!
//! The turns of a program reach many nodes. One of them, the program's keeper, claims tokens in the
//! row and lends them to the others for a turn each, so that a turn that moves needs no write of
//! its own. All nodes choose the keeper by rendezvous hashing. Nodes that disagree on it each claim
//! in the row, so the budget holds whoever lends.
//!
//! A loan counts as a turn of the keeper until it is returned. It is returned once at most, by the
//! id that the borrower chose, however often the messages arrive; one that is not returned in time
//! counts as spent in full. A keeper that is killed leaves its claim in the row, which covers all
//! that it lent.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock::Clock;
use crate::ledger::{Ledgers, ReserveError};
use crate::rows::RowStoreError;

/// Identifier of a loan, drawn at random by the borrower.
pub type LoanId = u64;

/// Time beyond the one asked for after which a loan counts as spent.
const LOAN_MARGIN: Duration = Duration::from_secs(2);
/// Time for which an ended loan is known, so that late copies of its messages have no effect.
const ENDED_LOAN_KEPT: Duration = Duration::from_secs(30);
/// Number of times that a reservation is repeated because turns that have ended elsewhere may be
/// about to be reported.
const RETURN_ROUNDS_MAX: u32 = 2;
/// Time in which the ends of turns at other nodes become known.
const RETURN_WAIT: Duration = Duration::from_millis(35);
/// Status with which the store refuses calls because of its rate limit.
const RATE_LIMITED: u16 = 429;
/// Reply to a request that the lender's claim covers; the program has begun.
const FROM_MEMORY: LoanReply = LoanReply::Lent { is_first: false };

/// Tokens that a turn needs of its program's budget.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TurnTokens {
    /// Identifier of the program.
    pub program: String,
    /// Maximum number of tokens of the turn.
    pub tokens_max: u64,
    /// Budget of the program.
    pub budget_tokens: u64,
    /// Whether the turn goes on from an earlier one of the program.
    pub is_continued: bool,
}

/// Request for the tokens of one turn.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanRequest {
    /// Identifier of the loan.
    pub loan: LoanId,
    /// The tokens.
    pub turn: TurnTokens,
    /// Time until the turn ends at the latest.
    pub lent_for_ms: u32,
}

/// End of a loan.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct LoanEnd {
    /// Identifier of the loan.
    pub loan: LoanId,
    /// Tokens that the turn has delivered.
    pub delivered_tokens: u64,
    /// Whether the program is new again, because its first turn was refused.
    pub releases_claim: bool,
}

/// Reply to a [`LoanRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum LoanReply {
    /// The lender needs the store and replies again.
    Pending,
    /// The tokens are lent.
    Lent {
        /// Whether the turn is the program's first.
        is_first: bool,
    },
    /// The budget does not cover the turn.
    Spent {
        /// Tokens delivered or reserved.
        committed_tokens: u64,
    },
    /// The row is contended, or the store refuses writes because of its rate limit.
    Contended,
    /// The lender cannot use the store.
    StoreFailed,
    /// The node does not lend.
    Declined,
}

impl LoanReply {
    /// Returns the name of the reply in logs and metrics.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::Pending => "pending",
            Self::Lent { .. } => "lent",
            Self::Spent { .. } => "spent",
            Self::Contended => "contended",
            Self::StoreFailed => "store_failed",
            Self::Declined => "declined",
        }
    }
}

impl From<Result<bool, ReserveError>> for LoanReply {
    fn from(reserved: Result<bool, ReserveError>) -> Self {
        match reserved {
            Ok(is_first) => Self::Lent { is_first },
            Err(ReserveError::BudgetSpent { committed_tokens, .. }) => {
                Self::Spent { committed_tokens }
            }
            Err(
                ReserveError::Contended
                | ReserveError::Store { source: RowStoreError::Refused { status: RATE_LIMITED } },
            ) => Self::Contended,
            Err(ReserveError::Store { .. }) => Self::StoreFailed,
        }
    }
}

#[derive(Debug)]
struct Loan {
    program: String,
    tokens_max: u64,
    state: LoanState,
    /// Whether the tokens are reserved; still set while the end of the loan is recorded.
    holds_tokens: bool,
    /// Time at which an open loan counts as spent, or an ended one is forgotten.
    expires_at: Duration,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LoanState {
    /// The tokens are not reserved yet.
    Reserving,
    /// The tokens are reserved for the borrower.
    Open { is_first: bool },
    /// The loan was returned, refused or counted as spent.
    Ended(LoanReply),
}

/// Loans of a node to others, from its own claims.
pub struct Lender {
    ledgers: Rc<Ledgers>,
    clock: Rc<dyn Clock>,
    loans: RefCell<HashMap<LoanId, Loan>>,
}

impl Lender {
    /// Creates a lender without loans that reserves tokens in `ledgers`.
    #[must_use]
    pub fn new(ledgers: Rc<Ledgers>, clock: Rc<dyn Clock>) -> Self {
        Self { ledgers, clock, loans: RefCell::default() }
    }

    /// Reserves the tokens of a turn like [`Ledgers::reserve`], but gives other nodes time to
    /// return tokens before it finds the budget spent; returns whether the turn is the program's
    /// first.
    ///
    /// # Errors
    ///
    /// Fails like [`Ledgers::reserve`].
    pub async fn reserve(&self, turn: &TurnTokens) -> Result<bool, ReserveError> {
        for _ in 0..RETURN_ROUNDS_MAX {
            let reserved = self.reserve_at_once(turn).await;
            let Err(ReserveError::BudgetSpent { committed_tokens, .. }) = reserved else {
                return reserved;
            };
            let lent_tokens = self.lent_tokens(&turn.program);
            let least_tokens = committed_tokens.saturating_sub(lent_tokens);
            if lent_tokens == 0 || least_tokens.saturating_add(turn.tokens_max) > turn.budget_tokens
            {
                return reserved;
            }
            self.clock.sleep(RETURN_WAIT).await;
        }
        self.reserve_at_once(turn).await
    }

    async fn reserve_at_once(&self, turn: &TurnTokens) -> Result<bool, ReserveError> {
        let TurnTokens { program, tokens_max, budget_tokens, is_continued } = turn;
        if *is_continued {
            return self.ledgers.reserve_continued(program, *tokens_max, *budget_tokens).await;
        }
        self.ledgers.reserve(program, *tokens_max, *budget_tokens).await
    }

    /// Returns whether `loan` was begun or returned.
    #[must_use]
    pub fn knows(&self, loan: LoanId) -> bool {
        self.loans.borrow().contains_key(&loan)
    }

    /// Begins a loan; [`LoanReply::Pending`] if it needs the store and [`Self::reserve_loan`] must
    /// be called. `None` if that was called before and has not ended.
    pub fn begin(&self, request: &LoanRequest) -> Option<LoanReply> {
        if let Some(known) = self.loans.borrow().get(&request.loan) {
            return match known.state {
                LoanState::Reserving => None,
                LoanState::Open { is_first } => Some(LoanReply::Lent { is_first }),
                LoanState::Ended(reply) => Some(reply),
            };
        }
        let TurnTokens { program, tokens_max, .. } = &request.turn;
        let is_covered = self.ledgers.reserve_claimed(program, *tokens_max);
        let state = if is_covered {
            self.log(request, "memory", FROM_MEMORY);
            LoanState::Open { is_first: false }
        } else {
            LoanState::Reserving
        };
        let lent_for = Duration::from_millis(request.lent_for_ms.into());
        let loan = Loan {
            program: program.clone(),
            tokens_max: *tokens_max,
            state,
            holds_tokens: is_covered,
            expires_at: self.clock.monotonic() + lent_for + LOAN_MARGIN,
        };
        self.loans.borrow_mut().insert(request.loan, loan);
        Some(if is_covered { FROM_MEMORY } else { LoanReply::Pending })
    }

    /// Reserves the tokens of a loan for which [`Self::begin`] returned [`LoanReply::Pending`].
    pub async fn reserve_loan(&self, request: &LoanRequest) -> LoanReply {
        let reply: LoanReply = self.reserve(&request.turn).await.into();
        self.log(request, "store", reply);
        let is_wanted = self.finish_reserving(request.loan, reply);
        if !is_wanted && matches!(reply, LoanReply::Lent { .. }) {
            let TurnTokens { program, tokens_max, .. } = &request.turn;
            self.ledgers.end_turn(program, *tokens_max, 0).await;
            return LoanReply::Declined;
        }
        reply
    }

    /// Returns whether the borrower still waits for the loan.
    fn finish_reserving(&self, loan: LoanId, reply: LoanReply) -> bool {
        let mut loans = self.loans.borrow_mut();
        let Some(loan) = loans.get_mut(&loan) else { return false };
        let is_wanted = loan.state == LoanState::Reserving;
        if is_wanted {
            loan.holds_tokens = matches!(reply, LoanReply::Lent { .. });
            loan.state = match reply {
                LoanReply::Lent { is_first } => LoanState::Open { is_first },
                reply => LoanState::Ended(reply),
            };
        }
        is_wanted
    }

    /// Ends a loan; ignores one that has ended.
    ///
    /// A loan that is not known has ended, was made by an earlier process, or its request is still
    /// on the way and will be declined.
    pub async fn end_loan(&self, end: LoanEnd) {
        let Some((program, tokens_max)) = self.close(end.loan) else { return };
        self.ledgers.end_turn(&program, tokens_max, end.delivered_tokens).await;
        self.mark_recorded(end.loan);
        if end.releases_claim {
            self.ledgers.release_unused(&program).await;
        }
    }

    /// Marks a loan as ended; returns its program and tokens if it was open.
    fn close(&self, loan: LoanId) -> Option<(String, u64)> {
        let ended = LoanState::Ended(LoanReply::Declined);
        let forgotten_at = self.clock.monotonic() + ENDED_LOAN_KEPT;
        let mut loans = self.loans.borrow_mut();
        let known = loans.entry(loan).or_insert_with(|| Loan {
            program: String::new(),
            tokens_max: 0,
            state: ended,
            holds_tokens: false,
            expires_at: forgotten_at,
        });
        let before = std::mem::replace(&mut known.state, ended);
        if !matches!(before, LoanState::Ended(_)) {
            known.expires_at = known.expires_at.max(forgotten_at);
        }
        matches!(before, LoanState::Open { .. }).then(|| (known.program.clone(), known.tokens_max))
    }

    /// Counts loans that were not returned in time as spent, and forgets those that ended long ago.
    pub async fn expire(&self) {
        for loan in self.overdue() {
            let Some((program, tokens_max)) = self.close(loan) else { continue };
            log::info!("event=loan_overdue program={program} loan={loan} tokens={tokens_max}");
            self.ledgers.end_turn(&program, tokens_max, tokens_max).await;
            self.mark_recorded(loan);
        }
    }

    fn mark_recorded(&self, loan: LoanId) {
        if let Some(loan) = self.loans.borrow_mut().get_mut(&loan) {
            loan.holds_tokens = false;
        }
    }

    /// Forgets loans that ended long ago; returns the open ones that were not returned in time.
    fn overdue(&self) -> Vec<LoanId> {
        let now = self.clock.monotonic();
        let mut loans = self.loans.borrow_mut();
        loans.retain(|_, loan| now < loan.expires_at || !matches!(loan.state, LoanState::Ended(_)));
        let is_overdue =
            |loan: &Loan| now >= loan.expires_at && matches!(loan.state, LoanState::Open { .. });
        loans.iter().filter(|(_, loan)| is_overdue(loan)).map(|(id, _)| *id).collect()
    }

    /// Returns the number of loans that are not returned.
    #[must_use]
    pub fn open_count(&self) -> usize {
        let loans = self.loans.borrow();
        loans.values().filter(|loan| !matches!(loan.state, LoanState::Ended(_))).count()
    }

    /// Returns the tokens of `program` that are lent or whose return is not recorded yet.
    fn lent_tokens(&self, program: &str) -> u64 {
        let loans = self.loans.borrow();
        let lent = loans.values().filter(|loan| loan.holds_tokens && loan.program == program);
        lent.map(|loan| loan.tokens_max).sum()
    }

    fn log(&self, request: &LoanRequest, source: &str, reply: LoanReply) {
        let LoanRequest { loan, turn, .. } = request;
        log::info!(
            "event=tokens_lent program={} loan={loan} keeper={} tokens={} budget={} claim_left={} \
             source={source} result={}",
            turn.program,
            self.ledgers.claimant(),
            turn.tokens_max,
            turn.budget_tokens,
            self.ledgers.unused_tokens(&turn.program),
            reply.label(),
        );
    }
}
