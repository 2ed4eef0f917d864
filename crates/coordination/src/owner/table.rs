//! In-memory table of the owned programs, their running calls, and state not yet recorded.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::Notify;

use crate::call::CallFeed;
use crate::ids::{BackendId, ProgramId, ShardId, shard_of_program};
use crate::program::Program;
use crate::record::{CallKey, Record};
use crate::refusal::{Refusal, RefusalKind};

/// Call in flight.
#[derive(Debug)]
pub(super) struct RunningCall {
    /// Identity of the call and the attempt.
    pub key: CallKey,
    /// Output of the call.
    pub feed: Arc<CallFeed>,
    /// Tokens reserved by a start that is not recorded yet.
    pub unrecorded_tokens: u64,
}

/// A program and the state that is kept only in memory.
#[derive(Debug)]
pub(super) struct OwnedProgram {
    /// Recorded state.
    pub program: Program,
    /// Call in flight; at most one per program.
    pub running: Option<RunningCall>,
    /// Notified of each committed record and of the end of the running call.
    pub changed: Rc<Notify>,
    /// Monotonic time before which no call may start, because the previous owner may still send the
    /// attempt that it started.
    pub blocked_until: Option<Duration>,
    /// Whether backend servers other than those with recorded answers may hold cached state for the
    /// program.
    pub has_unrecorded_backends: bool,
    /// Opening of an implicit program, to be committed with the program's next record.
    pub pending_opening: Option<Record>,
    /// Monotonic time of the last start or end of a call.
    pub used_at: Duration,
}

/// An ended program for which model engines may still hold cached state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnreleasedProgram {
    /// Id of the program.
    pub program: ProgramId,
    /// Backend servers that answered its calls.
    pub backends: Vec<BackendId>,
    /// Whether backend servers other than `backends` may hold cached state for it.
    pub has_unrecorded_backends: bool,
}

impl OwnedProgram {
    pub fn new(program: Program, now: Duration) -> Self {
        Self {
            program,
            running: None,
            changed: Rc::new(Notify::new()),
            blocked_until: None,
            has_unrecorded_backends: false,
            pending_opening: None,
            used_at: now,
        }
    }

    fn spent_tokens(&self) -> u64 {
        let unrecorded = self.running.as_ref().map_or(0, |running| running.unrecorded_tokens);
        self.program.spent_tokens.saturating_add(unrecorded)
    }

    fn is_in_shard(&self, shard: ShardId) -> bool {
        shard_of_program(&self.program.id) == Some(shard)
    }

    /// Updates the running call after `record` was committed.
    fn update_running(&mut self, record: &Record) {
        match record {
            Record::Started { .. } => {
                if let Some(running) = &mut self.running {
                    running.unrecorded_tokens = 0;
                }
            }
            Record::Cancelled { call } => {
                self.running.take_if(|running| running.key == *call);
            }
            _ => {}
        }
    }
}

/// Programs by id, and the ids of their direct sub-agents.
#[derive(Debug, Default)]
pub(super) struct ProgramTable {
    owned_programs: RefCell<HashMap<ProgramId, OwnedProgram>>,
    children: RefCell<HashMap<ProgramId, Vec<ProgramId>>>,
}

impl ProgramTable {
    pub fn len(&self) -> usize {
        self.owned_programs.borrow().len()
    }

    pub fn contains(&self, id: &str) -> bool {
        self.owned_programs.borrow().contains_key(id)
    }

    /// Calls `read` with a program, if the table contains it.
    pub fn with<R>(&self, id: &str, read: impl FnOnce(&OwnedProgram) -> R) -> Option<R> {
        self.owned_programs.borrow().get(id).map(read)
    }

    /// Calls `change` with a program, if the table contains it.
    pub fn update<R>(&self, id: &str, change: impl FnOnce(&mut OwnedProgram) -> R) -> Option<R> {
        self.owned_programs.borrow_mut().get_mut(id).map(change)
    }

    pub fn insert(&self, owned: OwnedProgram) {
        if let Some(parent) = &owned.program.parent {
            let mut children = self.children.borrow_mut();
            children.entry(parent.clone()).or_default().push(owned.program.id.clone());
        }
        self.owned_programs.borrow_mut().insert(owned.program.id.clone(), owned);
    }

    /// Applies a committed record; inserts the program if the record opens it.
    pub fn apply(&self, id: &str, record: &Record, now: Duration) {
        if !self.contains(id)
            && let Some(program) = Program::from_opened(id, record)
        {
            self.insert(OwnedProgram::new(program, now));
        }
        self.update(id, |owned| {
            owned.program.apply(record);
            owned.update_running(record);
            owned.changed.notify_waiters();
        });
    }

    /// Returns `id` and the ids of all its descendants, parents before their sub-agents.
    pub fn subtree(&self, id: &str) -> Vec<ProgramId> {
        let children = self.children.borrow();
        let mut subtree = vec![id.to_owned()];
        let mut position = 0;
        while position < subtree.len() {
            if let Some(sub_agents) = children.get(&subtree[position]) {
                subtree.extend(sub_agents.iter().cloned());
            }
            position += 1;
        }
        subtree
    }

    /// Returns the tokens charged to `id` and all its descendants, including reservations.
    pub fn subtree_spent_tokens(&self, id: &str) -> u64 {
        let owned_programs = self.owned_programs.borrow();
        self.subtree(id)
            .iter()
            .filter_map(|id| owned_programs.get(id))
            .map(OwnedProgram::spent_tokens)
            .sum()
    }

    /// Cancels the repeatable running calls by closing their feeds; the others run to completion.
    pub fn cancel_running(&self, programs: &[ProgramId]) {
        let owned_programs = self.owned_programs.borrow();
        let calls = programs.iter().filter_map(|id| owned_programs.get(id)?.running.as_ref());
        for call in calls.filter(|call| call.key.repeatable) {
            call.feed.close(Err(Refusal::may_have_run(
                RefusalKind::Cancelled,
                "the program was ended while the call ran; open a new program",
            )));
        }
    }

    pub fn unreleased(&self) -> Vec<UnreleasedProgram> {
        let owned_programs = self.owned_programs.borrow();
        let ended = owned_programs.values().filter(|owned| {
            owned.program.closed.is_some() && !owned.program.released && owned.running.is_none()
        });
        ended
            .map(|owned| UnreleasedProgram {
                program: owned.program.id.clone(),
                backends: owned.program.backends.iter().cloned().collect(),
                has_unrecorded_backends: owned.has_unrecorded_backends,
            })
            .collect()
    }

    pub fn idle_since(&self, before: Duration) -> Vec<ProgramId> {
        let owned_programs = self.owned_programs.borrow();
        let idle = owned_programs.values().filter(|owned| {
            owned.program.closed.is_none() && owned.running.is_none() && owned.used_at < before
        });
        idle.map(|owned| owned.program.id.clone()).collect()
    }

    pub fn programs_in_shard(&self, shard: ShardId) -> Vec<Program> {
        let owned_programs = self.owned_programs.borrow();
        let of_shard = owned_programs.values().filter(|owned| owned.is_in_shard(shard));
        of_shard.map(|owned| owned.program.clone()).collect()
    }

    pub fn has_running_calls(&self, shard: ShardId) -> bool {
        let owned_programs = self.owned_programs.borrow();
        owned_programs.values().any(|owned| owned.running.is_some() && owned.is_in_shard(shard))
    }

    pub fn remove_shard(&self, shard: ShardId) {
        self.owned_programs.borrow_mut().retain(|_, owned| !owned.is_in_shard(shard));
        self.children.borrow_mut().retain(|id, _| shard_of_program(id) != Some(shard));
    }

    pub fn expire(&self, closed_before_unix_ms: u64) {
        self.owned_programs.borrow_mut().retain(|_, owned| {
            owned.running.is_some()
                || !owned.program.released
                || owned.program.closed.is_none_or(|(_, closed)| closed >= closed_before_unix_ms)
        });
    }
}
