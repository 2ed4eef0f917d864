//! Journal with group commit: one row per commit, at most one commit in flight per node.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use log::{debug, warn};
use serde::{Deserialize, Serialize};
use snafu::Snafu;
use tokio::sync::{Notify, oneshot};

use crate::clock::{Clock, millis};
use crate::ids::IncarnationId;
use crate::incarnation::Incarnation;
use crate::members::{Member, MemberState};
use crate::payload::{Body, Payload};
use crate::platform::{
    ObjectStore, Platform, PlatformError, PlatformResult, Row, Table, TableService, Transaction,
    TransactionOutcome, scan_all,
};
use crate::record::{Entry, Record};

/// Number of a commit within its incarnation, counted from 1 without gaps.
pub type CommitNumber = u64;

/// Records committed together, stored as one journal row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Commit {
    /// Records in order.
    pub entries: Vec<Entry>,
}

/// Settings of the journal.
#[derive(Debug, Clone)]
pub struct JournalSettings {
    /// Minimum time between the starts of two commits.
    pub commit_interval: Duration,
    /// Delay before a failed platform request is retried.
    pub retry_pause: Duration,
    /// Bodies larger than this are stored in the object store.
    pub inline_max_bytes: usize,
    /// Maximum number of records in one commit; a larger append is still committed alone.
    pub entries_max: usize,
}

impl Default for JournalSettings {
    fn default() -> Self {
        Self {
            commit_interval: Duration::from_millis(5),
            retry_pause: Duration::from_millis(100),
            inline_max_bytes: 16 * 1024,
            entries_max: 256,
        }
    }
}

/// Why records were not committed.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum JournalError {
    /// The node was fenced and can no longer commit.
    #[snafu(display("the node was fenced; repeat the request at another node"))]
    Fenced,
}

/// Counters of the journal.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct JournalStats {
    /// Successful commits, including flushes without records.
    pub commits: u64,
    /// Records in those commits.
    pub records: u64,
    /// Retries of platform requests that failed or whose response was lost.
    pub retries: u64,
    /// Time spent in those commits.
    pub commit_time: Duration,
}

struct PendingAppend {
    entries: Vec<Entry>,
    done: oneshot::Sender<Result<(), JournalError>>,
}

/// Completes when the appended records are committed or can no longer be committed.
pub type CommitTicket = oneshot::Receiver<Result<(), JournalError>>;

/// The journal of one incarnation of a node.
pub struct Journal {
    platform: Platform,
    clock: Rc<dyn Clock>,
    incarnation: Rc<Incarnation>,
    settings: JournalSettings,
    pending: RefCell<Vec<PendingAppend>>,
    commit_requested: Notify,
    in_flight: Cell<bool>,
    /// Whether [`Journal::run`] takes the next batch without waiting for a commit request.
    commit_due: Cell<bool>,
    stalled: Cell<bool>,
    next_number: Cell<CommitNumber>,
    region_commit_interval: Cell<Duration>,
    stats: Cell<JournalStats>,
    applier: RefCell<Option<Rc<dyn CommitApplier>>>,
    observer: RefCell<Option<CommitObserver>>,
}

/// Called with the duration of each successful commit.
pub type CommitObserver = Box<dyn Fn(Duration)>;

/// Receives committed records in order and exactly once, before their [`CommitTicket`]s complete.
pub trait CommitApplier {
    /// Applies the records of one commit.
    fn apply_commit(&self, commit: &Commit);
}

impl Journal {
    /// Creates a journal for `incarnation`; nothing is written before [`Journal::run`].
    #[must_use]
    pub fn new(
        platform: Platform,
        clock: Rc<dyn Clock>,
        incarnation: Rc<Incarnation>,
        settings: JournalSettings,
    ) -> Self {
        Self {
            platform,
            clock,
            incarnation,
            settings,
            pending: RefCell::default(),
            commit_requested: Notify::new(),
            in_flight: Cell::new(false),
            commit_due: Cell::new(false),
            stalled: Cell::new(false),
            next_number: Cell::new(1),
            region_commit_interval: Cell::default(),
            stats: Cell::default(),
            applier: RefCell::new(None),
            observer: RefCell::new(None),
        }
    }

    /// Sets the receiver of committed records.
    pub fn set_applier(&self, applier: Rc<dyn CommitApplier>) {
        *self.applier.borrow_mut() = Some(applier);
    }

    /// Sets the observer of commit durations.
    pub fn set_observer(&self, observer: CommitObserver) {
        *self.observer.borrow_mut() = Some(observer);
    }

    /// Returns the incarnation that writes this journal.
    #[must_use]
    pub fn incarnation(&self) -> &str {
        self.incarnation.id()
    }

    /// Returns the number of the next commit.
    #[must_use]
    pub fn next_number(&self) -> CommitNumber {
        self.next_number.get()
    }

    /// Returns the counters.
    #[must_use]
    pub fn stats(&self) -> JournalStats {
        self.stats.get()
    }

    /// Returns whether the commit in flight is being retried after a platform failure.
    #[must_use]
    pub fn is_stalled(&self) -> bool {
        self.stalled.get()
    }

    /// Queues records and requests a commit.
    ///
    /// The records of one append are committed together, and appends are committed in order.
    pub fn append(&self, entries: Vec<Entry>) -> CommitTicket {
        let (done, ticket) = oneshot::channel();
        if self.incarnation.is_fenced() {
            let _ = done.send(Err(JournalError::Fenced));
            return ticket;
        }
        self.pending.borrow_mut().push(PendingAppend { entries, done });
        self.commit_requested.notify_one();
        ticket
    }

    /// Queues records without requesting a commit; the next [`Journal::append`] or
    /// [`Journal::flush`] commits them.
    pub fn append_lazily(&self, entries: Vec<Entry>) {
        let (done, _) = oneshot::channel();
        if !self.incarnation.is_fenced() && !entries.is_empty() {
            self.pending.borrow_mut().push(PendingAppend { entries, done });
        }
    }

    /// Sets the minimum commit interval that keeps the region within its write rate; it applies if
    /// it is longer than [`JournalSettings::commit_interval`].
    pub fn set_region_commit_interval(&self, region_commit_interval: Duration) {
        self.region_commit_interval.set(region_commit_interval);
    }

    /// Waits until everything appended so far is committed or the node is fenced.
    pub async fn flush(&self) {
        if self.pending.borrow().is_empty() && !self.in_flight.get() {
            return;
        }
        // Appends are committed in order, so an empty append completes after all earlier ones.
        let _ = self.append(Vec::new()).await;
    }

    /// Commits queued records until the node is fenced.
    pub async fn run(&self) {
        while !self.incarnation.is_fenced() {
            if !self.commit_due.replace(false) {
                self.commit_requested.notified().await;
                self.commit_due.set(true);
            }
            let batch = self.take_batch();
            if batch.is_empty() {
                continue;
            }
            // Appends that did not fit into the batch go into the next commit.
            self.commit_due.set(!self.pending.borrow().is_empty());
            self.in_flight.set(true);
            let started = self.clock.monotonic();
            let result = self.commit(&batch).await;
            self.in_flight.set(false);
            let elapsed = self.clock.monotonic().saturating_sub(started);
            self.complete_batch(batch, &result, elapsed);
            let interval = self.settings.commit_interval.max(self.region_commit_interval.get());
            if let Some(pause) = interval.checked_sub(elapsed) {
                self.clock.sleep(pause).await;
            }
        }
        self.fail_pending();
    }

    fn take_batch(&self) -> Vec<PendingAppend> {
        let mut pending = self.pending.borrow_mut();
        let mut entries = 0;
        let fitting = pending
            .iter()
            .take_while(|item| {
                let first = entries == 0;
                entries += item.entries.len();
                first || entries <= self.settings.entries_max
            })
            .count();
        pending.drain(..fitting).collect()
    }

    fn complete_batch(
        &self,
        batch: Vec<PendingAppend>,
        result: &Result<Commit, JournalError>,
        elapsed: Duration,
    ) {
        if let Ok(commit) = result {
            let mut stats = self.stats.get();
            stats.commits += 1;
            stats.records += batch.iter().map(|item| item.entries.len() as u64).sum::<u64>();
            stats.commit_time += elapsed;
            self.stats.set(stats);
            let applier = self.applier.borrow().clone();
            if let Some(applier) = applier {
                applier.apply_commit(commit);
            }
            if let Some(observer) = self.observer.borrow().as_ref() {
                observer(elapsed);
            }
        }
        let result = result.as_ref().map(|_| ()).map_err(Clone::clone);
        for item in batch {
            let _ = item.done.send(result.clone());
        }
    }

    /// Fails all queued appends with [`JournalError::Fenced`].
    pub fn fail_pending(&self) {
        for item in self.pending.borrow_mut().drain(..) {
            let _ = item.done.send(Err(JournalError::Fenced));
        }
    }

    async fn commit(&self, batch: &[PendingAppend]) -> Result<Commit, JournalError> {
        let number = self.next_number.get();
        let mut entries: Vec<Entry> =
            batch.iter().flat_map(|item| item.entries.iter().cloned()).collect();
        self.spill(number, &mut entries).await?;
        let commit = Commit { entries };
        if commit.entries.is_empty() {
            return Ok(commit);
        }
        let value = serde_json::to_value(&commit).unwrap_or_default();
        let key = commit_key(self.incarnation.id(), number);
        loop {
            let transaction = Transaction::default()
                .require(Table::Nodes, self.incarnation.id(), self.incarnation.row_version())
                .require(Table::Journal, &key, 0)
                .put(Table::Journal, &key, value.clone());
            match self.platform.table.transact(&transaction).await {
                Ok(TransactionOutcome::Committed(_)) => break,
                Ok(TransactionOutcome::Conflict) => {
                    if self.resolve_conflict(&key, &value).await? {
                        break;
                    }
                }
                Err(error) => self.wait_before_retry(&error).await?,
            }
        }
        self.next_number.set(number + 1);
        self.stalled.set(false);
        Ok(commit)
    }

    /// Finds the cause of a conflict; returns whether an earlier attempt of the commit took effect.
    ///
    /// If only the version of the node's own row has changed, adopts that version. Otherwise marks
    /// the node as fenced and returns an error.
    async fn resolve_conflict(
        &self,
        key: &str,
        value: &serde_json::Value,
    ) -> Result<bool, JournalError> {
        loop {
            match self.read_back(key).await {
                Ok((Some(row), _)) if row.value == *value => return Ok(true),
                Ok((None, Some(member))) if !is_fenced_row(&member) => {
                    self.incarnation.set_row_version(member.version);
                    return Ok(false);
                }
                Ok(_) => {
                    warn!("event=fenced incarnation={}", self.incarnation.id());
                    self.incarnation.mark_fenced();
                    return Err(JournalError::Fenced);
                }
                Err(error) => self.wait_before_retry(&error).await?,
            }
        }
    }

    async fn read_back(&self, key: &str) -> PlatformResult<(Option<Row>, Option<Row>)> {
        let row = self.platform.table.get(Table::Journal, key).await?;
        let member = self.platform.table.get(Table::Nodes, self.incarnation.id()).await?;
        Ok((row, member))
    }

    async fn wait_before_retry(&self, error: &PlatformError) -> Result<(), JournalError> {
        debug!("event=commit_retry cause={error:?}");
        self.stalled.set(true);
        let mut stats = self.stats.get();
        stats.retries += 1;
        self.stats.set(stats);
        if self.incarnation.is_fenced() {
            return Err(JournalError::Fenced);
        }
        self.clock.sleep(self.settings.retry_pause).await;
        Ok(())
    }

    /// Moves the large bodies of a commit into one object.
    async fn spill(&self, number: CommitNumber, entries: &mut [Entry]) -> Result<(), JournalError> {
        let key = format!("bodies/{}/{number:012}", self.incarnation.id());
        let mut bytes = Vec::new();
        for entry in entries {
            if let Record::Finished { request, answer, .. } = &mut entry.record {
                for body in [request, &mut answer.body] {
                    spill_body(body, &key, self.settings.inline_max_bytes, &mut bytes);
                }
            }
        }
        if bytes.is_empty() {
            return Ok(());
        }
        while let Err(error) = self.platform.objects.put(&key, bytes.clone()).await {
            self.wait_before_retry(&error).await?;
        }
        Ok(())
    }
}

fn is_fenced_row(row: &Row) -> bool {
    serde_json::from_value::<Member>(row.value.clone())
        .is_ok_and(|member| member.state == MemberState::Fenced)
}

fn spill_body(body: &mut Body, key: &str, inline_max_bytes: usize, bytes: &mut Vec<u8>) {
    let Body::Inline(payload) = body else { return };
    if payload.0.len() <= inline_max_bytes {
        return;
    }
    let offset_bytes = bytes.len() as u64;
    let len_bytes = payload.0.len() as u64;
    bytes.append(&mut payload.0);
    *body = Body::Object { key: key.to_owned(), offset_bytes, len_bytes };
}

/// Returns the key of a journal row.
#[must_use]
pub fn commit_key(incarnation: &str, number: CommitNumber) -> String {
    format!("{incarnation}/{number:012}")
}

/// Reads the commits of `incarnation` in order, starting with number `first`.
///
/// # Errors
///
/// Fails when the platform cannot be read or a row is malformed.
pub async fn read_commits(
    table: &dyn TableService,
    incarnation: &IncarnationId,
    first: CommitNumber,
) -> PlatformResult<Vec<(CommitNumber, Commit)>> {
    let after = commit_key(incarnation, first.saturating_sub(1));
    let rows = scan_all(table, Table::Journal, &format!("{incarnation}/"), &after).await?;
    rows.into_iter().map(parse_commit).collect()
}

fn parse_commit(row: Row) -> PlatformResult<(CommitNumber, Commit)> {
    let malformed = |detail: String| PlatformError::Malformed { detail };
    let number = row
        .key
        .rsplit('/')
        .next()
        .and_then(|number| number.parse().ok())
        .ok_or_else(|| malformed(format!("journal key {}", row.key)))?;
    let commit = serde_json::from_value(row.value)
        .map_err(|error| malformed(format!("journal row {}: {error}", row.key)))?;
    Ok((number, commit))
}

/// Returns a stored body, reading it from the object store if it is not inline.
///
/// # Errors
///
/// Fails when the object store cannot be read or no longer holds the body.
pub async fn load_body(objects: &dyn ObjectStore, body: &Body) -> PlatformResult<Payload> {
    let (key, offset_bytes, len_bytes) = match body {
        Body::Inline(payload) => return Ok(payload.clone()),
        Body::Object { key, offset_bytes, len_bytes } => (key, *offset_bytes, *len_bytes),
    };
    let bytes = objects.get(key).await?.unwrap_or_default();
    let start = usize::try_from(offset_bytes).unwrap_or(usize::MAX);
    let end = start.saturating_add(usize::try_from(len_bytes).unwrap_or(usize::MAX));
    bytes.get(start..end).map(|slice| Payload(slice.to_vec())).ok_or_else(|| {
        PlatformError::Malformed { detail: format!("object {key} lacks bytes {start}..{end}") }
    })
}

/// Returns the current Unix time of `clock` in milliseconds.
#[must_use]
pub fn unix_ms(clock: &dyn Clock) -> u64 {
    millis(clock.unix())
}
