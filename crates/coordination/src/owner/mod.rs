//! Owner of programs: admits calls in order and records their starts and outcomes.

mod finish;
mod refusals;
mod table;
mod types;

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::{Either, select};
use tokio::sync::Notify;

use crate::call::{CallFeed, CallRequest};
use crate::clock::Clock;
use crate::ids::{ProgramId, ShardId, shard_of_program};
use crate::journal::{Commit, CommitApplier, CommitTicket, Journal, JournalError, unix_ms};
use crate::program::{CallPhase, Decision, Program, program_closed};
use crate::record::{CallKey, CloseReason, Entry, Record, StoredAnswer};
use crate::refusal::{Refusal, RefusalKind};
use refusals::{attempt_not_ended, budget_exhausted, platform_unavailable, sequence_ahead};
use table::{OwnedProgram, ProgramTable, RunningCall};

pub use table::UnreleasedProgram;
pub use types::{Admission, AttemptEnd, CallTicket, OwnerSettings, ProgramSpec};

impl CommitApplier for Owner {
    fn apply_commit(&self, commit: &Commit) {
        for entry in &commit.entries {
            self.table.apply(&entry.program, &entry.record, self.clock.monotonic());
        }
    }
}

/// Next step of an admission; `Wait` ends when the program changes or at the given monotonic time,
/// if there is one.
enum Step {
    Run { attempt: u32 },
    Recorded(StoredAnswer),
    Join(Arc<CallFeed>),
    Wait(Rc<Notify>, Option<Duration>),
}

/// Programs whose shards this node owns.
pub struct Owner {
    journal: Rc<Journal>,
    clock: Rc<dyn Clock>,
    settings: OwnerSettings,
    table: ProgramTable,
}

impl Owner {
    /// Creates an owner of no programs.
    #[must_use]
    pub fn new(journal: Rc<Journal>, clock: Rc<dyn Clock>, settings: OwnerSettings) -> Self {
        Self { journal, clock, settings, table: ProgramTable::default() }
    }

    /// Returns the number of programs in memory.
    #[must_use]
    pub fn program_count(&self) -> usize {
        self.table.len()
    }

    /// Returns the recorded state of a program, which must belong to `team` if one is given.
    #[must_use]
    pub fn program(&self, id: &str, team: Option<&str>) -> Option<Program> {
        self.table.with(id, |owned| {
            let matches = team.is_none_or(|team| team == owned.program.team);
            matches.then(|| owned.program.clone())
        })?
    }

    /// Opens a program and waits until it is recorded.
    ///
    /// # Errors
    ///
    /// Refuses when the parent is not an open program of the team, the journal is stalled, or the
    /// node was fenced.
    pub async fn open(&self, id: ProgramId, spec: ProgramSpec) -> Result<(), Refusal> {
        if let Some(parent) = &spec.parent {
            let parent =
                self.program(parent, Some(&spec.team)).ok_or_else(Refusal::program_unknown)?;
            if parent.closed.is_some() {
                return Err(program_closed());
            }
        }
        if self.journal.is_stalled() {
            return Err(platform_unavailable());
        }
        let record = self.opened_record(&spec, false);
        self.wait_committed(self.append(&id, vec![record])).await
    }

    /// Ends a program and its sub-agents and waits until this is recorded.
    ///
    /// Also cancels their repeatable running calls. Returns the ids of the program and all its
    /// sub-agents, including those that had already ended.
    ///
    /// # Errors
    ///
    /// Refuses when the program does not belong to the team, the journal is stalled, or the node
    /// was fenced.
    pub async fn close(
        &self,
        id: &str,
        team: Option<&str>,
        reason: CloseReason,
    ) -> Result<Vec<ProgramId>, Refusal> {
        self.program(id, team).ok_or_else(Refusal::program_unknown)?;
        if self.journal.is_stalled() {
            return Err(platform_unavailable());
        }
        let subtree = self.table.subtree(id);
        let closed_unix_ms = unix_ms(&*self.clock);
        let mut entries = Vec::new();
        for program in &subtree {
            let reason = if program == id { reason } else { CloseReason::ParentEnded };
            entries.extend(entry(program, Record::Closed { reason, closed_unix_ms }));
        }
        self.wait_committed(self.journal.append(entries)).await?;
        self.table.cancel_running(&subtree);
        Ok(subtree)
    }

    /// Returns ended programs for which model engines may still hold cached state.
    #[must_use]
    pub fn unreleased(&self) -> Vec<UnreleasedProgram> {
        self.table.unreleased()
    }

    /// Notes that backend servers without a recorded answer may hold cached state for the program.
    pub fn mark_unrecorded_backends(&self, program: &str) {
        self.table.update(program, |owned| owned.has_unrecorded_backends = true);
    }

    /// Records that model engines no longer hold cached state for these programs.
    pub fn mark_released(&self, programs: &[ProgramId]) {
        let entries = programs.iter().filter_map(|program| entry(program, Record::Released));
        self.journal.append_lazily(entries.collect());
    }

    /// Returns open programs that have had no call since `before`, a monotonic time.
    #[must_use]
    pub fn idle_since(&self, before: Duration) -> Vec<ProgramId> {
        self.table.idle_since(before)
    }

    /// Admits a call: waits for its predecessor, reserves its tokens, and records the start unless
    /// the call is repeatable and no budget applies.
    ///
    /// # Errors
    ///
    /// Refuses a call that is out of order, over budget, in doubt or in conflict with an earlier
    /// call, whose program is unknown or ended, or whose start cannot be recorded.
    pub async fn admit(&self, request: &CallRequest) -> Result<Admission, Refusal> {
        let digest = request.digest();
        let deadline = self.clock.monotonic() + self.settings.order_wait;
        loop {
            match self.next_step(request, &digest)? {
                Step::Recorded(answer) => return Ok(Admission::Recorded(answer)),
                Step::Join(feed) => return Ok(Admission::Join(feed)),
                Step::Run { attempt } => return self.start(request, digest, attempt).await,
                Step::Wait(..) if self.clock.monotonic() >= deadline => {
                    return Err(self.overdue_refusal(request));
                }
                Step::Wait(changed, until) => self.wait_change(&changed, until, deadline).await,
            }
        }
    }

    /// Returns the programs of a shard, for its checkpoint.
    #[must_use]
    pub fn programs_in_shard(&self, shard: ShardId) -> Vec<Program> {
        self.table.programs_in_shard(shard)
    }

    /// Returns whether any call of `shard` is running.
    #[must_use]
    pub fn has_running_calls(&self, shard: ShardId) -> bool {
        self.table.has_running_calls(shard)
    }

    /// Inserts recovered programs and records an end for each attempt that has none.
    ///
    /// Such an attempt is recorded as failed if it is repeatable and as in doubt otherwise. Its
    /// program starts no call for one dispatch window, in which the previous owner may still send
    /// the attempt.
    pub fn insert_recovered(&self, programs: Vec<Program>) {
        let blocked_until = self.clock.monotonic() + self.settings.dispatch_window;
        let mut entries = Vec::new();
        for program in programs {
            let id = program.id.clone();
            let end_record = recovery_end_record(&program);
            let mut owned = OwnedProgram::new(program, self.clock.monotonic());
            owned.has_unrecorded_backends = true;
            if let Some(record) = end_record {
                owned.blocked_until = Some(blocked_until);
                entries.extend(entry(&id, record));
            }
            self.table.insert(owned);
        }
        if !entries.is_empty() {
            drop(self.journal.append(entries));
        }
    }

    /// Removes the programs of a shard that this node no longer owns.
    pub fn remove_shard(&self, shard: ShardId) {
        self.table.remove_shard(shard);
    }

    /// Removes released programs that ended before `closed_before_unix_ms`.
    pub fn expire(&self, closed_before_unix_ms: u64) {
        self.table.expire(closed_before_unix_ms);
    }

    fn next_step(&self, request: &CallRequest, digest: &str) -> Result<Step, Refusal> {
        self.ensure_single_call_program(request);
        let step = self.table.with(&request.program, |owned| self.step_of(owned, request, digest));
        step.unwrap_or_else(|| Err(Refusal::program_unknown()))
    }

    fn step_of(
        &self,
        owned: &OwnedProgram,
        request: &CallRequest,
        digest: &str,
    ) -> Result<Step, Refusal> {
        if let Some(running) = &owned.running
            && owned.program.team == request.team
            && running.key.sequence == request.sequence
        {
            return join_running(running, request, digest, &owned.changed);
        }
        match owned.program.decide(request, digest) {
            Decision::Refuse(refusal) => Err(refusal),
            Decision::Recorded(answer) => Ok(Step::Recorded(answer)),
            Decision::Wait => Ok(Step::Wait(Rc::clone(&owned.changed), None)),
            Decision::Run { attempt } => Ok(self.run_or_wait(owned, attempt)),
        }
    }

    fn run_or_wait(&self, owned: &OwnedProgram, attempt: u32) -> Step {
        let blocked_until = owned.blocked_until.filter(|until| self.clock.monotonic() < *until);
        if owned.running.is_some() || blocked_until.is_some() {
            return Step::Wait(Rc::clone(&owned.changed), blocked_until);
        }
        Step::Run { attempt }
    }

    async fn wait_change(&self, changed: &Notify, until: Option<Duration>, deadline: Duration) {
        let now = self.clock.monotonic();
        let wake = until.unwrap_or(deadline).min(deadline).saturating_sub(now);
        let changed = std::pin::pin!(changed.notified());
        select(changed, self.clock.sleep(wake)).await;
    }

    /// Returns the refusal of a call that has waited for `order_wait`.
    fn overdue_refusal(&self, request: &CallRequest) -> Refusal {
        let has_attempt = |owned: &OwnedProgram| owned.program.has_attempt(request);
        if self.table.with(&request.program, has_attempt) == Some(true) {
            attempt_not_ended()
        } else {
            sequence_ahead()
        }
    }

    async fn start(
        &self,
        request: &CallRequest,
        digest: String,
        attempt: u32,
    ) -> Result<Admission, Refusal> {
        let key = CallKey {
            sequence: request.sequence,
            attempt,
            idempotency_key: request.idempotency_key.clone(),
            digest,
            repeatable: request.repeatable,
            route: request.route.clone(),
        };
        let reserved_tokens = request.tokens_max();
        let has_budget = self.check_budget(&request.program, reserved_tokens)?;
        let records_start = has_budget || !request.repeatable;
        if records_start && self.journal.is_stalled() {
            return Err(platform_unavailable());
        }
        let feed = CallFeed::new();
        self.set_running(
            &request.program,
            &key,
            &feed,
            if has_budget { reserved_tokens } else { 0 },
        );
        let mut ticket = CallTicket {
            program: request.program.clone(),
            key,
            feed,
            dispatch_deadline: None,
            reserved_tokens,
            incarnation: self.journal.incarnation().to_owned(),
            fencing_number: 0,
        };
        if records_start {
            let commit_started = self.clock.monotonic();
            self.record_start(&ticket).await?;
            ticket.dispatch_deadline = Some(commit_started + self.settings.dispatch_window);
        }
        Ok(Admission::Run(ticket))
    }

    async fn record_start(&self, ticket: &CallTicket) -> Result<(), Refusal> {
        let record =
            Record::Started { call: ticket.key.clone(), reserved_tokens: ticket.reserved_tokens };
        let commit = self.append(&ticket.program, vec![record]);
        let timeout = self.clock.sleep(self.settings.start_commit_wait);
        let refusal = match select(commit, timeout).await {
            Either::Left((Ok(Ok(())), _)) => return Ok(()),
            Either::Left(_) => Refusal::not_owner(),
            Either::Right(_) => platform_unavailable(),
        };
        // The call stays marked as running, so that a retry cannot start before the cancellation
        // is committed.
        let cancelled = Record::Cancelled { call: ticket.key.clone() };
        drop(self.append(&ticket.program, vec![cancelled]));
        ticket.feed.close(Err(refusal.clone()));
        Err(refusal)
    }

    /// Creates the implicit program of a single call; its opening is committed with the call's
    /// first record.
    fn ensure_single_call_program(&self, request: &CallRequest) {
        if !request.single || self.table.contains(&request.program) {
            return;
        }
        let spec = ProgramSpec { team: request.team.clone(), parent: None, budget_tokens: None };
        let record = self.opened_record(&spec, true);
        if let Some(program) = Program::from_opened(&request.program, &record) {
            let mut owned = OwnedProgram::new(program, self.clock.monotonic());
            owned.pending_opening = Some(record);
            self.table.insert(owned);
        }
    }

    fn opened_record(&self, spec: &ProgramSpec, single: bool) -> Record {
        Record::Opened {
            team: spec.team.clone(),
            parent: spec.parent.clone(),
            budget_tokens: spec.budget_tokens,
            single,
            opened_unix_ms: unix_ms(&*self.clock),
        }
    }

    /// Checks that `tokens` fit into the budgets of the program and its ancestors; returns whether
    /// any of them has a budget.
    fn check_budget(&self, id: &str, tokens: u64) -> Result<bool, Refusal> {
        let mut has_budget = false;
        let mut current = Some(id.to_owned());
        while let Some(ancestor) = current {
            let Some(program) = self.program(&ancestor, None) else {
                break;
            };
            if let Some(budget) = program.budget_tokens {
                has_budget = true;
                let remaining = budget.saturating_sub(self.table.subtree_spent_tokens(&ancestor));
                if tokens > remaining {
                    return Err(budget_exhausted(&ancestor, remaining, tokens));
                }
            }
            current = program.parent;
        }
        Ok(has_budget)
    }

    fn append(&self, program: &str, records: Vec<Record>) -> CommitTicket {
        let opened = self.table.update(program, |owned| owned.pending_opening.take()).flatten();
        let records = opened.into_iter().chain(records);
        self.journal.append(records.filter_map(|record| entry(program, record)).collect())
    }

    /// Waits until the appended records are committed; refuses if the node was fenced first.
    async fn wait_committed(&self, ticket: CommitTicket) -> Result<(), Refusal> {
        match ticket.await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(JournalError::Fenced)) | Err(_) => Err(Refusal::may_have_run(
                RefusalKind::NotOwner,
                "the program moved to another node; repeat the call with the same Idempotency-Key",
            )),
        }
    }

    fn set_running(
        &self,
        program: &str,
        key: &CallKey,
        feed: &Arc<CallFeed>,
        unrecorded_tokens: u64,
    ) {
        let now = self.clock.monotonic();
        self.table.update(program, |owned| {
            owned.used_at = now;
            owned.running =
                Some(RunningCall { key: key.clone(), feed: Arc::clone(feed), unrecorded_tokens });
        });
    }

    fn clear_running(&self, program: &str) {
        let now = self.clock.monotonic();
        self.table.update(program, |owned| {
            owned.running = None;
            owned.used_at = now;
            owned.changed.notify_waiters();
        });
    }
}

fn join_running(
    running: &RunningCall,
    request: &CallRequest,
    digest: &str,
    changed: &Rc<Notify>,
) -> Result<Step, Refusal> {
    if running.key.idempotency_key != request.idempotency_key {
        return Ok(Step::Wait(Rc::clone(changed), None));
    }
    if running.key.digest != digest {
        return Err(Refusal::not_run(
            RefusalKind::IdempotencyMismatch,
            "the Idempotency-Key was used for another request; send a fresh key",
        ));
    }
    Ok(Step::Join(Arc::clone(&running.feed)))
}

/// Returns the record that ends the attempt in flight at the previous owner, if there was one.
fn recovery_end_record(program: &Program) -> Option<Record> {
    let call =
        program.calls.values().find(|call| matches!(call.phase, CallPhase::Started { .. }))?;
    let CallPhase::Started { reserved_tokens } = call.phase else {
        return None;
    };
    let key = call.key.clone();
    Some(if key.repeatable {
        Record::Failed { call: key, charged_tokens: reserved_tokens }
    } else {
        Record::InDoubt { call: key }
    })
}

fn entry(program: &str, record: Record) -> Option<Entry> {
    let shard = shard_of_program(program)?;
    Some(Entry { shard, program: program.to_owned(), record })
}
