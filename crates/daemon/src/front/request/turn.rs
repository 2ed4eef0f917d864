//! Turns of programs: their token budget and their kept history.

use std::rc::Rc;
use std::time::Instant;

use bytes::Bytes;
use dandelionfront_coordination::ledger::ReserveError;
use dandelionfront_coordination::request::RequestContext;
use dandelionfront_coordination::routing::{Route, ServiceSpec};
use dandelionfront_coordination::turns::{TextBytes, TurnError, TurnRecord, assemble};
use dandelionfront_coordination::{Refusal, RefusalKind};

use crate::front::process::FrontNode;

/// A turn whose most tokens are reserved; settles what was delivered when dropped.
pub struct OpenTurn {
    node: Rc<FrontNode>,
    request: String,
    /// Program whose budget holds the turn, and the tokens reserved.
    reserved: Option<(String, u64)>,
    tokens_per_event: u64,
    delivered_events: u64,
    kept: Option<KeptTurn>,
}

struct KeptTurn {
    team: String,
    chain: Vec<String>,
    input: Bytes,
    output: Vec<u8>,
}

/// A turn's part in the request that is sent.
pub struct Opened {
    /// Set when the turn has a budget or is kept.
    pub turn: Option<OpenTurn>,
    /// Body to send.
    pub body: Bytes,
    /// Key of its placement.
    pub placement_key: String,
    /// Whether the turn begins a program.
    pub begins: bool,
}

/// Reads the history of a turn and reserves its tokens; other requests pass unchanged.
pub async fn open(
    node: &Rc<FrontNode>,
    context: &RequestContext,
    route: &Route,
    service: Option<&ServiceSpec>,
    team: &str,
    body: &Bytes,
    ends_at: Instant,
) -> Result<Opened, Refusal> {
    let program = context.program.as_ref();
    let mut placement_key = placement_key(context);
    let budget = program.and_then(|program| Some((program, program.budget_tokens?)));
    let is_turn = route.repeat.is_stream() && (budget.is_some() || route.keeps_turns);
    if !is_turn {
        let (turn, body, begins) = (None, body.clone(), false);
        return Ok(Opened { turn, body, placement_key, begins });
    }
    let tokens_per_event =
        service.and_then(|spec| spec.engine.as_ref()).map_or(1, |engine| engine.tokens_per_event);
    let mut turn = OpenTurn {
        node: Rc::clone(node),
        request: context.id.clone(),
        reserved: None,
        tokens_per_event,
        delivered_events: 0,
        kept: None,
    };
    let (mut prompt, mut begins) = (body.clone(), false);
    if route.keeps_turns {
        let work = read_history(node, context, team, body);
        let (kept, whole) = within(ends_at, work).await?;
        placement_key = kept.chain.first().unwrap_or(&context.id).clone();
        prompt = whole;
        turn.kept = Some(kept);
    }
    if let Some((program, budget_tokens)) = budget {
        let most = context.output_tokens_max;
        let work = node.ledgers.reserve(&program.id, most, budget_tokens);
        let work = async { work.await.map_err(|error| refuse_reservation(&error)) };
        begins = within(ends_at, work).await?;
        turn.reserved = Some((program.id.clone(), most));
    }
    Ok(Opened { turn: Some(turn), body: prompt, placement_key, begins })
}

/// Returns the key that requests with a common prompt share.
fn placement_key(context: &RequestContext) -> String {
    let program = context.program.as_ref().map(|program| &program.id);
    let affinity = context.affinity.as_ref();
    affinity.or(program).unwrap_or(&context.id).clone()
}

/// Part of the remaining time that the store may use before a request is refused.
const STORE_SHARE: u32 = 2;

async fn within<T>(
    ends_at: Instant,
    work: impl Future<Output = Result<T, Refusal>>,
) -> Result<T, Refusal> {
    let longest = ends_at.saturating_duration_since(Instant::now()) / STORE_SHARE;
    tokio::time::timeout(longest, work).await.unwrap_or_else(|_| {
        let message = "the store did not answer in time; retry later";
        Err(Refusal::not_run(RefusalKind::PlatformUnavailable, message))
    })
}

async fn read_history(
    node: &FrontNode,
    context: &RequestContext,
    team: &str,
    body: &Bytes,
) -> Result<(KeptTurn, Bytes), Refusal> {
    let mut kept = KeptTurn {
        team: team.to_owned(),
        chain: Vec::new(),
        input: body.clone(),
        output: Vec::new(),
    };
    let Some(previous) = &context.previous_turn else { return Ok((kept, body.clone())) };
    let chain = node.turns.chain(team, previous).await.map_err(|error| {
        let kind = match error {
            TurnError::Unknown { .. } => RefusalKind::TurnUnknown,
            TurnError::Store { .. } => RefusalKind::PlatformUnavailable,
        };
        Refusal::not_run(kind, error.to_string())
    })?;
    kept.chain = chain.iter().map(|(turn, _)| turn.clone()).collect();
    Ok((kept, assemble(&chain, body).into()))
}

fn refuse_reservation(error: &ReserveError) -> Refusal {
    let kind = match error {
        ReserveError::BudgetSpent { .. } => RefusalKind::BudgetExhausted,
        ReserveError::Store { .. } | ReserveError::Contended => RefusalKind::PlatformUnavailable,
    };
    Refusal::not_run(kind, error.to_string())
}

impl OpenTurn {
    /// Records an event that was handed to the caller.
    pub fn note_event(&mut self, data: &[u8]) {
        self.delivered_events += 1;
        if let Some(kept) = &mut self.kept {
            kept.output.extend_from_slice(data);
            kept.output.push(b'\n');
        }
    }

    /// Keeps a turn whose stream ended whole; returns whether its answer may end.
    pub async fn keep(&mut self, ends_at: Instant) -> bool {
        let Some(kept) = self.kept.take() else { return true };
        let record = TurnRecord {
            team: kept.team,
            chain: kept.chain,
            input: TextBytes(kept.input.to_vec()),
            output: TextBytes(kept.output),
        };
        self.node.keep_turn(&self.request, Rc::new(record), ends_at).await
    }
}

impl Drop for OpenTurn {
    fn drop(&mut self) {
        let Some((program, tokens_max)) = self.reserved.take() else { return };
        let node = Rc::clone(&self.node);
        let delivered_tokens = self.delivered_events * self.tokens_per_event;
        tokio::task::spawn_local(async move {
            node.ledgers.settle(&program, tokens_max, delivered_tokens).await;
        });
    }
}
