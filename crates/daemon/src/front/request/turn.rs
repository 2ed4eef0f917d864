//! Turns of programs: reserves tokens of the budget, reads the history and stores the turn.

use std::rc::Rc;
use std::time::Instant;

use bytes::Bytes;
use dandelionfront_coordination::history::{HistoryNode, HistoryReads, HistoryRoom};
use dandelionfront_coordination::holdings::{Holding, HoldingError};
use dandelionfront_coordination::ids::BackendId;
use dandelionfront_coordination::ledger::ReserveError;
use dandelionfront_coordination::lending::TurnTokens;
use dandelionfront_coordination::request::RequestContext;
use dandelionfront_coordination::routing::{Route, ServiceSpec};
use dandelionfront_coordination::turns::{
    TURN_OUTPUT_MAX_BYTES, TextBytes, TurnError, TurnRecord, assemble_prompt, prompt_bytes,
    storing_max_bytes,
};
use dandelionfront_coordination::{Refusal, RefusalKind};

use crate::front::connection::caller::CallerRequest;
use crate::front::connection::peers::HistoryPeer;
use crate::front::connection::peers::tokens::{self, ReservedTokens};
use crate::front::process::FrontNode;

/// A running turn; on drop, its token reservation is settled at the number of delivered tokens.
pub struct RunningTurn {
    node: Rc<FrontNode>,
    request: String,
    /// Tokens reserved of the program's budget, if it has one.
    reserved: Option<ReservedTokens>,
    /// Tokens that the service's model engine generates per event.
    tokens_per_event: u64,
    delivered_events: u64,
    /// Backend server that ran the stored turn from which this one continues, if it is known.
    previous_server: Option<BackendId>,
    /// Whether the program's claim is released at the end of the turn, because it did not start.
    releases_claim: bool,
    /// Set until the turn is stored, if its route stores turns.
    pending: Option<PendingRecord>,
    /// What the request makes the process hold.
    holding: Rc<Holding>,
}

/// Content of a turn, stored once its stream is complete.
struct PendingRecord {
    team: String,
    /// Program of the turn, if it is part of one.
    program: Option<String>,
    /// Ids of the earlier turns, oldest first.
    chain: Vec<String>,
    input: Bytes,
    output: Vec<u8>,
}

/// A request with its history and token reservation.
pub struct PreparedRequest {
    /// Set if the request is a turn with a token budget or on a route that stores turns.
    pub turn: Option<RunningTurn>,
    /// Body to send, including the history.
    pub body: Bytes,
    /// Placement key; requests with equal keys often share a prompt and prefer the same backend
    /// server.
    pub placement_key: String,
    /// Whether the request is the first turn of a program with a budget.
    pub starts_program: bool,
}

/// Reads the history of a turn and reserves its tokens; leaves other requests unchanged.
pub async fn prepare(
    node: &Rc<FrontNode>,
    context: &RequestContext,
    route: &Route,
    service: Option<&ServiceSpec>,
    team: &str,
    request: &CallerRequest,
    deadline: Instant,
) -> Result<PreparedRequest, Refusal> {
    let body = &request.body;
    let program = context.program.as_ref();
    let mut placement_key = placement_key(context);
    let budget = program.and_then(|program| Some((program, program.budget_tokens?)));
    let is_turn = route.repeat.is_stream() && (budget.is_some() || route.keeps_turns);
    if !is_turn {
        let (turn, body, starts_program) = (None, body.clone(), false);
        return Ok(PreparedRequest { turn, body, placement_key, starts_program });
    }
    let tokens_per_event =
        service.and_then(|spec| spec.engine.as_ref()).map_or(1, |engine| engine.tokens_per_event);
    let mut turn = RunningTurn {
        node: Rc::clone(node),
        request: context.id.clone(),
        reserved: None,
        tokens_per_event,
        delivered_events: 0,
        previous_server: None,
        releases_claim: false,
        pending: None,
        holding: Rc::clone(&request.holding),
    };
    let (mut prompt, mut starts_program) = (body.clone(), false);
    if route.keeps_turns {
        let operation = read_history(node, context, team, request);
        let History { pending, prompt: full_prompt, server } =
            with_store_timeout(deadline, operation).await?;
        turn.previous_server = server;
        // All turns of a history share its first turn as the key.
        placement_key = pending.chain.first().unwrap_or(&context.id).clone();
        let held_bytes = storing_max_bytes(body.len()) as u64;
        let held = request.holding.grow(held_bytes, Instant::now());
        held.map_err(HoldingError::refusal)?;
        prompt = full_prompt;
        turn.pending = Some(pending);
    }
    if let Some((program, budget_tokens)) = budget {
        let tokens = TurnTokens {
            program: program.id.clone(),
            tokens_max: context.output_tokens_max,
            budget_tokens,
            is_continued: context.previous_turn.is_some(),
        };
        let operation = tokens::reserve(node, tokens, deadline);
        let operation = async { operation.await.map_err(|error| reservation_refusal(&error)) };
        let reserved = with_store_timeout(deadline, operation).await?;
        starts_program = reserved.is_first;
        turn.reserved = Some(reserved);
    }
    Ok(PreparedRequest { turn: Some(turn), body: prompt, placement_key, starts_program })
}

/// Returns the placement key: the affinity key, the program's id or the request's id, whichever is
/// set first. Requests with the same affinity key or program often have a common prompt.
fn placement_key(context: &RequestContext) -> String {
    let program = context.program.as_ref().map(|program| &program.id);
    let affinity = context.affinity.as_ref();
    affinity.or(program).unwrap_or(&context.id).clone()
}

/// Divisor of a request's remaining time; the quotient is the timeout of a store operation, after
/// which the request is refused.
const STORE_WAIT_DIVISOR: u32 = 2;

async fn with_store_timeout<T>(
    deadline: Instant,
    operation: impl Future<Output = Result<T, Refusal>>,
) -> Result<T, Refusal> {
    let timeout = deadline.saturating_duration_since(Instant::now()) / STORE_WAIT_DIVISOR;
    tokio::time::timeout(timeout, operation).await.unwrap_or_else(|_| {
        let message = "the store did not answer in time; retry later";
        Err(Refusal::not_run(RefusalKind::PlatformUnavailable, message))
    })
}

/// The earlier turns of a session.
struct History {
    /// Record of the new turn.
    pending: PendingRecord,
    /// Prompt with all inputs and outputs.
    prompt: Bytes,
    /// Backend server that ran the last turn, if it is known.
    server: Option<BackendId>,
}

async fn read_history(
    node: &FrontNode,
    context: &RequestContext,
    team: &str,
    request: &CallerRequest,
) -> Result<History, Refusal> {
    let CallerRequest { body, holding, .. } = request;
    let mut pending = PendingRecord {
        team: team.to_owned(),
        program: context.program.as_ref().map(|program| program.id.clone()),
        chain: Vec::new(),
        input: body.clone(),
        output: Vec::new(),
    };
    // Before the earlier turns are read.
    require_storable(node, &pending)?;
    let Some(previous) = &context.previous_turn else {
        return Ok(History { pending, prompt: body.clone(), server: None });
    };
    let started_at = Instant::now();
    let program = pending.program.as_deref();
    let history_node = program.and_then(|program| node.peers.history_node(node, program));
    let mut reads = HistoryReads::default();
    let asked = history_node.as_ref().map(|history_node| history_node as &dyn HistoryNode);
    let chain =
        node.turns.chain_from(team, previous, asked, &RequestRoom(holding), &mut reads).await;
    node.metrics.count_history_reads(reads);
    log::info!(
        "event=history_read request={} program={} previous_turn={previous} own={} node={} store={} \
         history_node={} complete={} elapsed_ms={}",
        context.id,
        program.unwrap_or("-"),
        reads.own,
        reads.node,
        reads.store,
        history_node.as_ref().map_or("-", HistoryPeer::member),
        chain.is_ok(),
        started_at.elapsed().as_millis(),
    );
    let chain = chain.map_err(|error| turn_refusal(&error))?;
    pending.chain = chain.iter().map(|(turn, _)| turn.clone()).collect();
    require_storable(node, &pending)?;
    let server = chain.last().and_then(|(_, turn)| turn.server.clone());
    // The turns are given up for the prompt, which is as large beside the new input.
    let prompt_bytes = prompt_bytes(&chain, body) as u64;
    holding.grow(prompt_bytes, Instant::now()).map_err(HoldingError::refusal)?;
    let prompt = assemble_prompt(&chain, body).into();
    holding.release(prompt_bytes - body.len() as u64, Instant::now());
    Ok(History { pending, prompt, server })
}

/// Room of a caller's request.
struct RequestRoom<'a>(&'a Holding);

impl HistoryRoom for RequestRoom<'_> {
    fn hold(&self, bytes: usize) -> bool {
        self.0.grow(bytes as u64, Instant::now()).is_ok()
    }
}

/// Refuses a turn that cannot be stored, whose answer would be broken off at its end.
fn require_storable(node: &FrontNode, pending: &PendingRecord) -> Result<(), Refusal> {
    let checked = node.turns.require_storable(&pending.chain, &pending.input);
    checked.map_err(|error| turn_refusal(&error))
}

fn turn_refusal(error: &TurnError) -> Refusal {
    let kind = match error {
        TurnError::Unknown { .. } => RefusalKind::TurnUnknown,
        TurnError::TooLarge { .. } => RefusalKind::TurnTooLarge,
        TurnError::NoRoom => RefusalKind::Overloaded,
        TurnError::Store { .. } | TurnError::IdTaken { .. } => RefusalKind::PlatformUnavailable,
    };
    Refusal::not_run(kind, error.to_string())
}

fn reservation_refusal(error: &ReserveError) -> Refusal {
    let kind = match error {
        ReserveError::BudgetSpent { .. } => RefusalKind::BudgetExhausted,
        ReserveError::Store { .. } | ReserveError::Contended => RefusalKind::PlatformUnavailable,
    };
    Refusal::not_run(kind, error.to_string())
}

impl RunningTurn {
    /// Releases the program's claim with the turn, because its first turn is refused; the program
    /// is new again when it returns.
    pub fn release_claim(&mut self) {
        self.releases_claim = true;
    }

    /// Records an event that is about to be sent to the caller; returns `false` if the turn's output
    /// would exceed [`TURN_OUTPUT_MAX_BYTES`] or the room for it, in which case it must not be sent.
    #[must_use]
    pub fn record_event(&mut self, data: &[u8]) -> bool {
        if let Some(pending) = &mut self.pending {
            let is_too_long = pending.output.len() + data.len() >= TURN_OUTPUT_MAX_BYTES;
            // The buffer, which grows by its own size, and what storing the turn takes.
            let held_bytes = (2 * data.len() + storing_max_bytes(data.len())) as u64;
            if is_too_long || self.holding.grow(held_bytes, Instant::now()).is_err() {
                return false;
            }
            pending.output.extend_from_slice(data);
            pending.output.push(b'\n');
        }
        self.delivered_events += 1;
        true
    }

    /// Returns the size of the new input, without the earlier turns, if the turn is stored.
    #[must_use]
    pub fn input_bytes(&self) -> Option<usize> {
        self.pending.as_ref().map(|pending| pending.input.len())
    }

    /// Returns the backend server that ran the stored turn from which this one continues, if it is
    /// known.
    #[must_use]
    pub fn previous_server(&self) -> Option<&BackendId> {
        self.previous_server.as_ref()
    }

    /// Stores a turn whose stream is complete, with the server that ran it if it is given; returns `false` if the store did not accept it in
    /// time, in which case the answer must stay incomplete.
    pub async fn persist(&mut self, server: Option<BackendId>, deadline: Instant) -> bool {
        let Some(pending) = self.pending.take() else { return true };
        log::info!(
            "event=turn_complete request={} chain={} input_bytes={} output_bytes={} events={}",
            self.request,
            pending.chain.len(),
            pending.input.len(),
            pending.output.len(),
            self.delivered_events,
        );
        let record = TurnRecord {
            team: pending.team,
            chain: pending.chain,
            input: TextBytes(pending.input.to_vec()),
            output: TextBytes(pending.output),
            server,
        };
        let record = Rc::new(record);
        let is_stored = self.node.persist_turn(&self.request, Rc::clone(&record), deadline).await;
        let program = pending.program.as_deref().filter(|_| is_stored);
        let history_node =
            program.and_then(|program| self.node.peers.history_node(&self.node, program));
        if let Some(history_node) = history_node {
            history_node.pass_on(&self.request, &record);
        }
        is_stored
    }
}

impl Drop for RunningTurn {
    fn drop(&mut self) {
        let Some(reserved) = self.reserved.take() else { return };
        let node = Rc::clone(&self.node);
        let delivered_tokens = self.delivered_events * self.tokens_per_event;
        let releases_claim = self.releases_claim;
        tokio::task::spawn_local(async move {
            reserved.end(&node, delivered_tokens, releases_claim).await;
        });
    }
}
