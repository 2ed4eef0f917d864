//! Moves of sessions between backend servers, by cause.
//!
//! A turn that runs on another server than the turn before has its whole prompt prefilled there. A
//! node sees the moves between the turns that it sends itself, and those since a stored turn that
//! names its server; other turns of a session that arrive at different nodes are not compared.

use std::collections::HashMap;
use std::time::Duration;

use crate::ids::BackendId;
use crate::prompts::SharedPart;
use crate::ranking::Candidate;

/// Identifier of a session, a sequence of turns.
pub type SessionId = String;

/// Number of sessions kept in each of two generations; the older one is dropped when the newer one
/// is full.
const GENERATION_SESSIONS: usize = 1_024;

/// Cause of a session's move to another server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MoveCause {
    /// The previous server is no longer in the list.
    Left,
    /// The previous server is leaving; in a release, it is replaced by another one.
    Draining,
    /// The previous server refused this turn or was unreachable.
    Refused,
    /// The previous server is avoided after failures.
    Avoided,
    /// The previous server named a limit.
    Limited,
    /// The new server was added to the list and ranks first.
    Added,
    /// The number of hosts of the shared part changed, and the new server ranks first.
    HostsChanged,
    /// The new server ranks first as before; the session had moved from it.
    Returned,
    /// The previous server or all servers above the new one in rank are busier or slower.
    Overloaded,
}

impl MoveCause {
    /// Returns all causes.
    #[must_use]
    pub fn all() -> [Self; 9] {
        [
            Self::Left,
            Self::Draining,
            Self::Refused,
            Self::Avoided,
            Self::Limited,
            Self::Added,
            Self::HostsChanged,
            Self::Returned,
            Self::Overloaded,
        ]
    }

    /// Returns the name in logs and metrics.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::Left => "left",
            Self::Draining => "draining",
            Self::Refused => "refused",
            Self::Avoided => "avoided",
            Self::Limited => "limited",
            Self::Added => "added",
            Self::HostsChanged => "hosts_changed",
            Self::Returned => "returned",
            Self::Overloaded => "overloaded",
        }
    }
}

/// Move of a session to another server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SessionMove {
    /// Server of the previous turn.
    pub from: BackendId,
    /// Cause of the move.
    pub cause: MoveCause,
}

/// A turn that is sent to a server.
#[derive(Debug, Clone, Copy)]
pub struct PlacedTurn<'a> {
    /// Session of the turn.
    pub session: &'a str,
    /// Server that the turn is sent to.
    pub server: &'a str,
    /// Shared part of the prompt, if any.
    pub shared_part: Option<SharedPart>,
}

#[derive(Debug)]
struct LastTurn {
    server: BackendId,
    /// Number of hosts of the shared part, if any.
    hosts: Option<usize>,
    placed_at: Duration,
}

/// How a node knows the server of a session's last turn.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KnownBy {
    /// The node sent the turn itself.
    Memory,
    /// The stored turn names the server.
    History,
}

impl KnownBy {
    /// Returns the name in logs.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::Memory => "memory",
            Self::History => "history",
        }
    }
}

/// Server of a session's last turn.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LastServer {
    /// Server that ran the turn.
    pub id: BackendId,
    /// How it is known.
    pub known_by: KnownBy,
}

/// Servers of the last turns of recent sessions.
#[derive(Debug, Default)]
pub struct SessionMoves {
    recent: HashMap<SessionId, LastTurn>,
    older: HashMap<SessionId, LastTurn>,
    /// Times at which the servers in the list became known.
    added_at: HashMap<BackendId, Duration>,
}

impl SessionMoves {
    /// Records that a server is in the list.
    pub fn note_listed(&mut self, server: &str, now: Duration) {
        if !self.added_at.contains_key(server) {
            self.added_at.insert(server.to_owned(), now);
        }
    }

    /// Records that a server left the list.
    pub fn note_gone(&mut self, server: &str) {
        self.added_at.remove(server);
    }

    /// Returns the server of the session's last turn, if it is known.
    #[must_use]
    pub fn last_server(&self, session: &str) -> Option<&BackendId> {
        self.last(session).map(|last| &last.server)
    }

    /// Returns the server that the next turn of a session should stay at. `history` is the server
    /// that the stored turn names from which it continues; it replaces what this node remembers,
    /// because another node may have sent that turn.
    pub fn server_to_stay_at(
        &mut self,
        session: &str,
        history: Option<&BackendId>,
        now: Duration,
    ) -> Option<LastServer> {
        let remembered = self.last_server(session);
        let Some(server) = history.filter(|server| remembered != Some(*server)) else {
            return remembered.map(|id| LastServer { id: id.clone(), known_by: KnownBy::Memory });
        };
        self.insert(session, LastTurn { server: server.clone(), hosts: None, placed_at: now });
        Some(LastServer { id: server.clone(), known_by: KnownBy::History })
    }

    /// Records a turn. Returns the cause if it is sent to another server than the session's last
    /// turn; `known_cause` is the cause if it doesn't depend on the ranking, as when that
    /// server may not be chosen, and `ranked` the servers that may be.
    pub fn record(
        &mut self,
        turn: PlacedTurn<'_>,
        known_cause: Option<MoveCause>,
        ranked: &[Candidate<'_>],
        now: Duration,
    ) -> Option<SessionMove> {
        let last = self.last(turn.session).filter(|last| last.server != turn.server);
        let session_move = last.map(|last| SessionMove {
            from: last.server.clone(),
            cause: known_cause.unwrap_or_else(|| self.cause(&turn, last, ranked)),
        });
        let hosts = turn.shared_part.map(|part| part.hosts);
        let server = turn.server.to_owned();
        self.insert(turn.session, LastTurn { server, hosts, placed_at: now });
        session_move
    }

    fn insert(&mut self, session: &str, turn: LastTurn) {
        self.older.remove(session);
        self.recent.insert(session.to_owned(), turn);
        if self.recent.len() >= GENERATION_SESSIONS {
            self.older = std::mem::take(&mut self.recent);
        }
    }

    fn last(&self, session: &str) -> Option<&LastTurn> {
        self.recent.get(session).or_else(|| self.older.get(session))
    }

    fn cause(&self, turn: &PlacedTurn<'_>, last: &LastTurn, ranked: &[Candidate<'_>]) -> MoveCause {
        if ranked.first().is_none_or(|first| first.server.id != turn.server) {
            return MoveCause::Overloaded;
        }
        let added_at = self.added_at.get(turn.server).copied().unwrap_or_default();
        if added_at > last.placed_at {
            MoveCause::Added
        } else if turn.shared_part.map(|part| part.hosts) != last.hosts {
            MoveCause::HostsChanged
        } else {
            MoveCause::Returned
        }
    }
}
