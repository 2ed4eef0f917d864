//! Finished turns of programs that one node keeps in memory for the others.
//!
//! The turns of a program reach many nodes, and each of them needs all earlier turns. One node, the
//! program's history node, is told each turn that the store has accepted; all nodes choose it by
//! rendezvous hashing. A node that lacks earlier turns asks there first and reads only what is still
//! missing from the store.
//!
//! A stored turn never changes, so a copy is as good as the row. The copies are a bounded cache:
//! nothing is acknowledged because of them, and what is lost or evicted is read from the store.
//! Whether a turn exists is decided by the store alone.

use std::collections::HashSet;
use std::rc::Rc;

use async_trait::async_trait;
use serde::{Deserialize, Serialize};

use crate::ids::{BackendId, TeamId};
use crate::request::RequestId;
use crate::turns::{TextBytes, TurnRecord, Turns};

/// Maximum size of a turn that is passed on, of a query and of a reply.
pub const SHARED_MAX_BYTES: usize = 32 * 1024;
/// Upper bound of the bytes that encode the lengths in a message and its other numbers.
const MESSAGE_OVERHEAD_BYTES: usize = 32;
/// Upper bound of the bytes that encode the length of a field.
const LENGTH_BYTES: usize = 3;

fn encoded_bytes<'a>(ids: impl Iterator<Item = &'a RequestId>) -> usize {
    ids.map(|id| id.len() + LENGTH_BYTES).sum()
}

/// A finished turn that the store has accepted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SharedTurn {
    /// Request id of the turn.
    pub turn: RequestId,
    /// Team of the turn.
    pub team: TeamId,
    /// Request ids of the earlier turns, oldest first.
    pub chain: Vec<RequestId>,
    /// New input of the turn.
    pub input: Vec<u8>,
    /// Data of the events in the turn's answer, each followed by a line feed.
    pub output: Vec<u8>,
    /// Backend server that ran the turn, if it is known.
    pub server: Option<BackendId>,
}

impl SharedTurn {
    /// Returns a stored turn in the form in which nodes tell it; `None` if it is too large.
    #[must_use]
    pub fn new(turn: &str, record: &TurnRecord) -> Option<Self> {
        let contents_bytes = record.input.0.len() + record.output.0.len();
        if contents_bytes > SHARED_MAX_BYTES {
            return None;
        }
        let shared = Self {
            turn: turn.to_owned(),
            team: record.team.clone(),
            chain: record.chain.clone(),
            input: record.input.0.clone(),
            output: record.output.0.clone(),
            server: record.server.clone(),
        };
        (shared.size_bytes() + MESSAGE_OVERHEAD_BYTES <= SHARED_MAX_BYTES).then_some(shared)
    }

    /// Returns the turn's request id and its record.
    #[must_use]
    pub fn into_record(self) -> (RequestId, Rc<TurnRecord>) {
        let Self { turn, team, chain, input, output, server } = self;
        let record =
            TurnRecord { team, chain, input: TextBytes(input), output: TextBytes(output), server };
        (turn, Rc::new(record))
    }

    /// Returns an upper bound of the encoded size.
    fn size_bytes(&self) -> usize {
        let ids = [&self.turn, &self.team].into_iter().chain(&self.chain).chain(&self.server);
        let contents = self.input.len() + self.output.len();
        encoded_bytes(ids) + contents + 3 * LENGTH_BYTES
    }
}

/// Part of the answer to a query for turns.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TurnsFound {
    /// Turns that the node holds.
    pub turns: Vec<SharedTurn>,
    /// Turns that it does not hold, or that are too large for a message.
    pub absent: Vec<RequestId>,
}

/// Returns the answer of a node to a query for turns of `team`, in parts that each fit a message.
#[must_use]
pub fn answer_query(turns: &Turns, team: &str, wanted: &[RequestId]) -> Vec<TurnsFound> {
    let (mut parts, mut part, mut part_bytes) =
        (Vec::new(), TurnsFound::default(), MESSAGE_OVERHEAD_BYTES);
    for turn in wanted {
        let record = turns.cached(turn).filter(|record| record.team == team);
        let shared = record.and_then(|record| SharedTurn::new(turn, &record));
        let bytes = shared.as_ref().map_or(turn.len() + LENGTH_BYTES, SharedTurn::size_bytes);
        if part_bytes + bytes > SHARED_MAX_BYTES && part_bytes > MESSAGE_OVERHEAD_BYTES {
            parts.push(std::mem::take(&mut part));
            part_bytes = MESSAGE_OVERHEAD_BYTES;
        }
        part_bytes += bytes;
        match shared {
            Some(shared) => part.turns.push(shared),
            None => part.absent.push(turn.clone()),
        }
    }
    parts.push(part);
    parts
}

/// Turns that a node asks of a program's history node.
#[derive(Debug)]
pub struct Recall {
    team: TeamId,
    missing: HashSet<RequestId>,
    is_answered: bool,
    recalled: Recalled,
}

/// What a history node said of the turns that it was asked for.
#[derive(Debug, Default)]
pub struct Recalled {
    /// Turns that it holds.
    pub found: Vec<(RequestId, Rc<TurnRecord>)>,
    /// Turns that it does not hold.
    pub absent: Vec<RequestId>,
}

impl Recall {
    /// Begins to ask for `turns` of `team`.
    #[must_use]
    pub fn new(team: &str, turns: &[RequestId]) -> Self {
        Self {
            team: team.to_owned(),
            missing: turns.iter().cloned().collect(),
            is_answered: false,
            recalled: Recalled::default(),
        }
    }

    /// Applies a part of an answer; turns that were not asked for, or that belong to another team,
    /// are ignored.
    pub fn apply(&mut self, part: TurnsFound) {
        self.is_answered = true;
        for shared in part.turns {
            if shared.team == self.team && self.missing.remove(&shared.turn) {
                self.recalled.found.push(shared.into_record());
            }
        }
        for turn in part.absent {
            if self.missing.remove(&turn) {
                self.recalled.absent.push(turn);
            }
        }
    }

    /// Returns the turns to name in the next query: those that were not answered yet, as many as fit
    /// a message. It is empty once all are answered.
    #[must_use]
    pub fn missing(&self) -> Vec<RequestId> {
        let mut bytes = MESSAGE_OVERHEAD_BYTES + self.team.len();
        let fits = |turn: &&RequestId| {
            bytes += turn.len() + LENGTH_BYTES;
            bytes <= SHARED_MAX_BYTES
        };
        self.missing.iter().take_while(fits).cloned().collect()
    }

    /// Returns whether nothing was answered.
    #[must_use]
    pub fn is_silent(&self) -> bool {
        !self.is_answered
    }

    /// Returns what was answered.
    #[must_use]
    pub fn finish(self) -> Recalled {
        self.recalled
    }
}

/// The history node of a program, as seen by a node that lacks earlier turns.
#[async_trait(?Send)]
pub trait HistoryNode {
    /// Asks for `turns` of `team`; what is neither found nor absent was not answered in time.
    async fn recall(&self, team: &str, turns: &[RequestId]) -> Recalled;

    /// Passes on a turn that the store has accepted; nobody waits for its arrival.
    fn pass_on(&self, turn: &str, record: &TurnRecord);
}

/// Memory for the earlier turns of a request.
pub trait HistoryRoom {
    /// Holds `bytes` more; returns `false` if there is no room for them.
    fn hold(&self, bytes: usize) -> bool;
}

/// Room without a limit.
#[derive(Debug)]
pub struct UnlimitedRoom;

impl HistoryRoom for UnlimitedRoom {
    fn hold(&self, _bytes: usize) -> bool {
        true
    }
}

/// Number of turns by the place from which a node read them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct HistoryReads {
    /// In this node's memory.
    pub own: usize,
    /// From the history node.
    pub node: usize,
    /// From the store.
    pub store: usize,
}
