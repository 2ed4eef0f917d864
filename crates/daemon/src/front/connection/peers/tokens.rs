//! Tokens of programs' budgets, lent by the keeper of a program to the nodes that its turns reach.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};

use dandelionfront_coordination::ledger::ReserveError;
use dandelionfront_coordination::lending::{LoanEnd, LoanId, LoanReply, LoanRequest, TurnTokens};
use dandelionfront_coordination::load::budget_keeper_of;
use dandelionfront_coordination::protocol::Capability;
use tokio::sync::Notify;
use tokio::time::timeout;

use super::loads::SILENT_KEEPER_PAUSE;
use super::{Message, Peers};
use crate::front::process::FrontNode;

/// Maximum wait for a keeper's first reply to one query.
const FIRST_REPLY_TIMEOUT: Duration = Duration::from_millis(12);
/// Time after which a keeper that uses the store is asked again, because its reply may be lost.
const STORE_REPLY_TIMEOUT: Duration = Duration::from_millis(100);
/// Number of unanswered queries after which a keeper is considered silent.
const QUERIES_MAX: usize = 2;
/// Time after which the return of tokens is sent again.
const RETURN_REPEAT_DELAY: Duration = Duration::from_millis(200);
/// Maximum length of a program's identifier in a query; nodes claim for longer ones themselves.
const PROGRAM_MAX_BYTES: usize = 1024;

#[derive(Debug, Default)]
struct PendingLoan {
    reply: Cell<Option<LoanReply>>,
    is_answered: Notify,
}

/// Loans that this node has asked for.
#[derive(Debug, Default)]
pub(super) struct Loans {
    /// Queries by loan; the request that waits for the reply holds the query.
    pending: RefCell<HashMap<LoanId, Weak<PendingLoan>>>,
    /// Nodes that do not lend, and the times until which they are not asked again.
    not_lending: RefCell<HashMap<String, Duration>>,
}

impl Loans {
    pub(super) fn apply(&self, loan: LoanId, reply: LoanReply) {
        let pending = self.pending.borrow().get(&loan).and_then(Weak::upgrade);
        // A late reply finds no query; the loan was returned when the query was given up.
        let Some(pending) = pending else { return };
        pending.reply.set(Some(reply));
        pending.is_answered.notify_one();
    }

    pub(super) fn prune(&self, now: Duration) {
        self.pending.borrow_mut().retain(|_, pending| pending.strong_count() > 0);
        self.not_lending.borrow_mut().retain(|_, until| now < *until);
    }
}

/// Tokens reserved for a turn.
#[derive(Debug)]
pub struct ReservedTokens {
    program: String,
    tokens_max: u64,
    /// Whether the turn is the program's first.
    pub is_first: bool,
    /// Loan and its lender; `None` if this node's own claim covers the turn.
    loan: Option<(LoanId, SocketAddr)>,
}

impl ReservedTokens {
    /// Ends the turn, which delivered `delivered_tokens`, and releases the program's claim if
    /// `releases_claim` is set.
    pub async fn end(self, node: &FrontNode, delivered_tokens: u64, releases_claim: bool) {
        if let Some((loan, lender)) = self.loan {
            let end = LoanEnd { loan, delivered_tokens, releases_claim };
            return node.peers.return_tokens(lender, end).await;
        }
        node.ledgers.end_turn(&self.program, self.tokens_max, delivered_tokens).await;
        if releases_claim {
            node.ledgers.release_unused(&self.program).await;
        }
    }
}

/// Loan that is asked for; on drop, it is returned unless the reply has settled it.
struct AskedLoan {
    peers: Rc<Peers>,
    lender: SocketAddr,
    loan: LoanId,
    is_settled: bool,
}

impl Drop for AskedLoan {
    fn drop(&mut self) {
        self.peers.loans.pending.borrow_mut().remove(&self.loan);
        if self.is_settled {
            return;
        }
        let (peers, lender) = (Rc::clone(&self.peers), self.lender);
        let end = LoanEnd { loan: self.loan, delivered_tokens: 0, releases_claim: false };
        tokio::task::spawn_local(async move { peers.return_tokens(lender, end).await });
    }
}

/// Reserves the tokens of a turn: from this node's claim, from the keeper's, or by a claim of this
/// node's own if the keeper does not lend.
///
/// # Errors
///
/// Fails when the budget does not cover the turn, when the store fails, or when the row is
/// contended.
pub async fn reserve(
    node: &FrontNode,
    turn: TurnTokens,
    deadline: Instant,
) -> Result<ReservedTokens, ReserveError> {
    let reserved = |turn: TurnTokens, is_first, loan| {
        let TurnTokens { program, tokens_max, .. } = turn;
        ReservedTokens { program, tokens_max, is_first, loan }
    };
    if node.ledgers.reserve_claimed(&turn.program, turn.tokens_max) {
        return Ok(reserved(turn, false, None));
    }
    if let Some((keeper, lender)) = node.peers.lender_of(node, &turn.program) {
        let lent_for = deadline.saturating_duration_since(Instant::now());
        let lent_for_ms = u32::try_from(lent_for.as_millis()).unwrap_or(u32::MAX);
        let request = LoanRequest { loan: rand::random(), turn: turn.clone(), lent_for_ms };
        let budget_tokens = turn.budget_tokens;
        match node.peers.borrow_tokens(node, &keeper, lender, &request).await {
            Some(LoanReply::Lent { is_first }) => {
                return Ok(reserved(turn, is_first, Some((request.loan, lender))));
            }
            Some(LoanReply::Spent { committed_tokens }) => {
                return Err(ReserveError::BudgetSpent { committed_tokens, budget_tokens });
            }
            Some(LoanReply::Contended) => return Err(ReserveError::Contended),
            // This node may reach the store.
            Some(LoanReply::Pending | LoanReply::StoreFailed | LoanReply::Declined) | None => {}
        }
    }
    let is_first = node.lender.reserve(&turn).await?;
    Ok(reserved(turn, is_first, None))
}

impl Peers {
    /// Returns the node whose claim covers turns of `program`; `None` if it is this node.
    fn lender_of(&self, node: &FrontNode, program: &str) -> Option<(String, SocketAddr)> {
        if program.len() > PROGRAM_MAX_BYTES {
            return None;
        }
        let not_lending = self.loans.not_lending.borrow();
        self.keeper_of_program(node, program, Capability::LentTokens, &not_lending)
    }

    /// Returns the keeper of `program` among this node and the nodes that report, answer, know
    /// `capability` and are not `paused`; `None` if it is this node.
    pub(super) fn keeper_of_program(
        &self,
        node: &FrontNode,
        program: &str,
        capability: Capability,
        paused: &HashMap<String, Duration>,
    ) -> Option<(String, SocketAddr)> {
        let now = node.clock.monotonic_now();
        let own_id = self.own_id();
        let limiter = node.limiter.borrow();
        let silent = self.silent_keepers.borrow();
        let is_skipped = |member: &str| {
            let until = [silent.get(member), paused.get(member)];
            until.into_iter().flatten().any(|until| now < *until)
        };
        let others = limiter.members(now).filter(|(member, is_reporting)| {
            *is_reporting && !is_skipped(member) && self.knows(member, capability)
        });
        let others = others.map(|(member, _)| member.as_str());
        let keeper = budget_keeper_of(program, others.chain([own_id.as_str()]))?;
        let address = keeper.parse().ok().filter(|_| keeper != own_id)?;
        Some((keeper.to_owned(), address))
    }

    /// Asks the keeper of a program for tokens; `None` if it does not answer.
    async fn borrow_tokens(
        self: &Rc<Self>,
        node: &FrontNode,
        keeper: &str,
        lender: SocketAddr,
        request: &LoanRequest,
    ) -> Option<LoanReply> {
        let asked_at = Instant::now();
        let mut asked =
            AskedLoan { peers: Rc::clone(self), lender, loan: request.loan, is_settled: false };
        let reply = self.ask_lender(lender, request).await;
        asked.is_settled = reply.is_some();
        if reply.is_none_or(|reply| reply == LoanReply::Declined) {
            let until = node.clock.monotonic_now() + SILENT_KEEPER_PAUSE;
            self.loans.not_lending.borrow_mut().insert(keeper.to_owned(), until);
        }
        let result = reply.map_or("silent", LoanReply::label);
        node.metrics.tokens_borrowed.with_label_values(&[result]).inc();
        log::info!(
            "event=tokens_borrowed program={} loan={} keeper={keeper} tokens={} budget={} \
             result={result} elapsed_ms={}",
            request.turn.program,
            request.loan,
            request.turn.tokens_max,
            request.turn.budget_tokens,
            asked_at.elapsed().as_millis(),
        );
        reply
    }

    async fn ask_lender(&self, lender: SocketAddr, request: &LoanRequest) -> Option<LoanReply> {
        let pending = Rc::new(PendingLoan::default());
        self.loans.pending.borrow_mut().insert(request.loan, Rc::downgrade(&pending));
        let mut reply_timeout = FIRST_REPLY_TIMEOUT;
        let mut unanswered = 0;
        while unanswered < QUERIES_MAX {
            self.send(lender, &Message::TokensQuery(request.clone()));
            unanswered += 1;
            while timeout(reply_timeout, pending.is_answered.notified()).await.is_ok() {
                match pending.reply.take() {
                    Some(LoanReply::Pending) => {
                        unanswered = 0;
                        reply_timeout = STORE_REPLY_TIMEOUT;
                    }
                    Some(reply) => return Some(reply),
                    None => {}
                }
            }
        }
        None
    }

    /// Tells `lender` the end of a loan, twice because a datagram may be lost.
    async fn return_tokens(&self, lender: SocketAddr, end: LoanEnd) {
        self.send(lender, &Message::TokensReturned(end));
        tokio::time::sleep(RETURN_REPEAT_DELAY).await;
        self.send(lender, &Message::TokensReturned(end));
    }
}

/// Answers another node's request for tokens.
pub(super) fn answer_query(node: &Rc<FrontNode>, sender: SocketAddr, request: LoanRequest) {
    let loan = request.loan;
    let send = |reply| node.peers.send(sender, &Message::TokensReply { loan, reply });
    if node.stop.is_stopping() && !node.lender.knows(loan) {
        return send(LoanReply::Declined);
    }
    let reply = node.lender.begin(&request);
    send(reply.unwrap_or(LoanReply::Pending));
    if reply == Some(LoanReply::Pending) {
        let node = Rc::clone(node);
        tokio::task::spawn_local(async move {
            let reply = node.lender.reserve_loan(&request).await;
            node.peers.send(sender, &Message::TokensReply { loan, reply });
        });
    }
}

/// Ends a loan of this node.
pub(super) fn apply_end(node: &Rc<FrontNode>, end: LoanEnd) {
    let node = Rc::clone(node);
    tokio::task::spawn_local(async move { node.lender.end_loan(end).await });
}
