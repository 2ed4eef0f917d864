//! Shards owned by this node: claiming, recovery from the journal, and release.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

use log::{info, warn};
use serde::{Deserialize, Serialize};

use crate::ids::{IncarnationId, ProgramId, RegionId, ShardId};
use crate::incarnation::Incarnation;
use crate::journal::{Commit, CommitNumber, Journal, read_commits};
use crate::members::{Segment, ShardRow, shard_key};
use crate::owner::Owner;
use crate::platform::{
    Platform, PlatformError, PlatformResult, Table, Transaction, TransactionOutcome, scan_all,
};
use crate::program::Program;

/// Maximum number of shard rows written in one transaction.
const TRANSACTION_ROWS_MAX: usize = 64;

/// Phase of a shard on this node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// Claimed in the table; programs are not recovered yet.
    Recovering,
    /// Serving calls.
    Serving,
    /// Waiting for running calls to end before the release.
    Draining,
}

#[derive(Debug, Clone)]
struct OwnedShard {
    row_version: u64,
    row: ShardRow,
    phase: Phase,
}

/// State of a shard at one position in its owner's journal.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Checkpoint {
    programs: Vec<Program>,
}

/// Commits read during one recovery, by incarnation and number of the first commit.
type CommitCache = HashMap<(IncarnationId, CommitNumber), Vec<(CommitNumber, Commit)>>;

/// The shards of one region: their owners, and the state of those that this node owns.
pub struct Shards {
    platform: Platform,
    incarnation: Rc<Incarnation>,
    journal: Rc<Journal>,
    owner: Rc<Owner>,
    region: RegionId,
    shard_count: u16,
    owned: RefCell<BTreeMap<ShardId, OwnedShard>>,
    owners: RefCell<HashMap<ShardId, IncarnationId>>,
}

impl Shards {
    /// Creates the node's view of the shards of `region`; the node owns none yet.
    #[must_use]
    pub fn new(
        platform: Platform,
        incarnation: Rc<Incarnation>,
        journal: Rc<Journal>,
        owner: Rc<Owner>,
        region: RegionId,
        shard_count: u16,
    ) -> Self {
        Self {
            platform,
            incarnation,
            journal,
            owner,
            region,
            shard_count,
            owned: RefCell::default(),
            owners: RefCell::default(),
        }
    }

    /// Returns the number of shards in the region.
    #[must_use]
    pub fn shard_count(&self) -> u16 {
        self.shard_count
    }

    /// Returns whether this node serves `shard`.
    #[must_use]
    pub fn is_serving(&self, shard: ShardId) -> bool {
        self.owned.borrow().get(&shard).is_some_and(|owned| owned.phase == Phase::Serving)
    }

    /// Returns the shards that this node serves.
    #[must_use]
    pub fn serving(&self) -> Vec<ShardId> {
        let owned = self.owned.borrow();
        let serving = owned.iter().filter(|(_, shard)| shard.phase == Phase::Serving);
        serving.map(|(shard, _)| *shard).collect()
    }

    /// Returns the number of shards that this node owns, in any phase.
    #[must_use]
    pub fn owned_count(&self) -> usize {
        self.owned.borrow().len()
    }

    /// Returns the last known owner of `shard`.
    #[must_use]
    pub fn owner_of(&self, shard: ShardId) -> Option<IncarnationId> {
        self.owners.borrow().get(&shard).cloned()
    }

    /// Returns the shard's epoch, sent to backend servers as the fencing number, if this node owns
    /// the shard.
    #[must_use]
    pub fn epoch(&self, shard: ShardId) -> Option<u64> {
        self.owned.borrow().get(&shard).map(|owned| owned.row.epoch)
    }

    /// Claims and releases shards to match `assignment`; returns whether every shard of the region
    /// now has its preferred owner, without checking the shards that this call claimed.
    ///
    /// `assignment` returns the preferred owner of a shard. `is_lost` returns whether an
    /// incarnation was fenced or removed, so that its shards can be claimed.
    ///
    /// # Errors
    ///
    /// Fails when the platform cannot be read or written; calling again resumes the work.
    pub async fn reconcile(
        &self,
        assignment: &dyn Fn(ShardId) -> Option<IncarnationId>,
        is_lost: &dyn Fn(&str) -> bool,
    ) -> PlatformResult<bool> {
        let rows = self.read_rows().await?;
        let own_id = self.incarnation.id();
        let mut converged = true;
        let mut claims = Vec::new();
        for shard in 0..self.shard_count {
            let preferred = assignment(shard);
            let wanted = preferred.as_deref() == Some(own_id);
            let (version, row) = rows.get(&shard).cloned().unwrap_or_default();
            let is_own_row = row.owner.as_deref() == Some(own_id);
            let is_owned = self.refresh_owned(shard, version, &row, is_own_row);
            if is_owned && !wanted && preferred.is_some() {
                self.set_phase(shard, Phase::Draining);
            }
            let is_claimable = row.owner.as_deref().is_none_or(is_lost);
            // A row that names this node while the shard is not in `owned` results from a claim
            // whose response was lost.
            if !is_owned && (is_own_row || wanted && is_claimable) {
                claims.push((shard, version, row));
            } else if row.owner != preferred {
                converged = false;
            }
        }
        self.update_owners(&rows);
        for batch in claims.chunks(TRANSACTION_ROWS_MAX) {
            converged &= self.claim(batch).await?;
        }
        self.recover_claimed().await?;
        converged &= self.release_drained().await?;
        Ok(converged)
    }

    /// Marks all owned shards for release, for a graceful shutdown.
    pub fn drain_all(&self) {
        for owned in self.owned.borrow_mut().values_mut() {
            owned.phase = Phase::Draining;
        }
    }

    /// Releases the draining shards that have no call in flight; returns whether all were released.
    ///
    /// # Errors
    ///
    /// Fails when the platform cannot be written; calling again resumes the work.
    pub async fn release_drained(&self) -> PlatformResult<bool> {
        let draining: Vec<ShardId> = {
            let owned = self.owned.borrow();
            let draining = owned.iter().filter(|(_, shard)| shard.phase == Phase::Draining);
            draining.map(|(shard, _)| *shard).collect()
        };
        if draining.is_empty() {
            return Ok(true);
        }
        let idle: Vec<ShardId> = draining
            .iter()
            .copied()
            .filter(|shard| !self.owner.has_running_calls(*shard))
            .collect();
        self.journal.flush().await;
        for batch in idle.chunks(TRANSACTION_ROWS_MAX) {
            self.release(batch).await?;
        }
        Ok(idle.len() == draining.len())
    }

    /// Writes checkpoints of all served shards, so that their next owner replays few commits.
    ///
    /// # Errors
    ///
    /// Fails when the platform cannot be written; shards not yet written keep their previous
    /// checkpoint.
    pub async fn checkpoint(&self) -> PlatformResult<()> {
        for shard in self.serving() {
            self.checkpoint_shard(shard).await?;
        }
        Ok(())
    }

    async fn read_rows(&self) -> PlatformResult<BTreeMap<ShardId, (u64, ShardRow)>> {
        let prefix = format!("{}/", self.region);
        let rows = scan_all(&*self.platform.table, Table::Shards, &prefix, &prefix).await?;
        let mut parsed = BTreeMap::new();
        for row in rows {
            let shard =
                row.key.strip_prefix(&prefix).and_then(|hex| u16::from_str_radix(hex, 16).ok());
            let value = serde_json::from_value(row.value);
            let (Some(shard), Ok(value)) = (shard, value) else {
                return Err(PlatformError::Malformed { detail: format!("shard row {}", row.key) });
            };
            parsed.insert(shard, (row.version, value));
        }
        Ok(parsed)
    }

    /// Updates an owned shard from its row; returns whether the shard is in `owned`.
    ///
    /// Until the owner is fenced, only the owner writes the row. A row that no longer names this
    /// node is therefore taken to mean that this node was fenced, unless its version is lower than
    /// the known one, which makes it a stale read.
    fn refresh_owned(
        &self,
        shard: ShardId,
        version: u64,
        row: &ShardRow,
        is_own_row: bool,
    ) -> bool {
        let mut owned = self.owned.borrow_mut();
        let Some(held) = owned.get_mut(&shard) else {
            return false;
        };
        if is_own_row {
            held.row_version = version;
            held.row = row.clone();
        } else if version >= held.row_version {
            warn!("event=shard_lost shard={shard}");
            self.incarnation.mark_fenced();
        }
        true
    }

    fn update_owners(&self, rows: &BTreeMap<ShardId, (u64, ShardRow)>) {
        let known = rows
            .iter()
            .filter_map(|(shard, (_, row))| Some((*shard, row.owner.clone()?)))
            .collect();
        *self.owners.borrow_mut() = known;
    }

    async fn claim(&self, batch: &[(ShardId, u64, ShardRow)]) -> PlatformResult<bool> {
        let mut transaction = Transaction::default().require(
            Table::Nodes,
            self.incarnation.id(),
            self.incarnation.row_version(),
        );
        let mut claimed = Vec::new();
        for (shard, version, row) in batch {
            let row = self.claimed_row(row);
            let key = shard_key(&self.region, *shard);
            transaction = transaction.require(Table::Shards, &key, *version).put(
                Table::Shards,
                &key,
                serde_json::to_value(&row).unwrap_or_default(),
            );
            claimed.push((*shard, row));
        }
        let TransactionOutcome::Committed(version) =
            self.platform.table.transact(&transaction).await?
        else {
            return Ok(false);
        };
        info!("event=shards_claimed count={}", claimed.len());
        let mut owned = self.owned.borrow_mut();
        let mut owners = self.owners.borrow_mut();
        for (shard, row) in claimed {
            owners.insert(shard, self.incarnation.id().to_owned());
            owned.insert(shard, OwnedShard { row_version: version, row, phase: Phase::Recovering });
        }
        Ok(true)
    }

    fn claimed_row(&self, row: &ShardRow) -> ShardRow {
        let own_id = self.incarnation.id();
        let mut row = row.clone();
        row.epoch += 1;
        row.owner = Some(own_id.to_owned());
        let open = row
            .segments
            .last()
            .is_some_and(|segment| segment.incarnation == own_id && segment.end_commit.is_none());
        if !open {
            row.segments.push(Segment {
                incarnation: own_id.to_owned(),
                first_commit: self.journal.next_number(),
                end_commit: None,
            });
        }
        row
    }

    async fn recover_claimed(&self) -> PlatformResult<()> {
        let recovering: Vec<(ShardId, ShardRow)> = {
            let owned = self.owned.borrow();
            let recovering = owned.iter().filter(|(_, shard)| shard.phase == Phase::Recovering);
            recovering.map(|(shard, owned)| (*shard, owned.row.clone())).collect()
        };
        let mut cache = CommitCache::new();
        for (shard, row) in recovering {
            let programs = self.replay(shard, &row, &mut cache).await?;
            if !programs.is_empty() {
                info!("event=shard_recovered shard={shard} programs={}", programs.len());
            }
            self.owner.insert_recovered(programs);
            self.set_phase(shard, Phase::Serving);
        }
        Ok(())
    }

    async fn replay(
        &self,
        shard: ShardId,
        row: &ShardRow,
        cache: &mut CommitCache,
    ) -> PlatformResult<Vec<Program>> {
        let mut programs: BTreeMap<ProgramId, Program> = BTreeMap::new();
        if let Some(key) = &row.checkpoint {
            for program in self.read_checkpoint(key).await?.programs {
                programs.insert(program.id.clone(), program);
            }
        }
        for segment in &row.segments {
            let source = (segment.incarnation.clone(), segment.first_commit);
            if !cache.contains_key(&source) {
                let commits = read_commits(&*self.platform.table, &source.0, source.1).await?;
                cache.insert(source.clone(), commits);
            }
            for (number, commit) in &cache[&source] {
                if segment.end_commit.is_none_or(|end| *number < end) {
                    apply_commit(&mut programs, shard, commit);
                }
            }
        }
        Ok(programs.into_values().collect())
    }

    async fn read_checkpoint(&self, key: &str) -> PlatformResult<Checkpoint> {
        let malformed = |detail: &str| PlatformError::Malformed {
            detail: format!("checkpoint {key}: {detail}"),
        };
        let bytes = self.platform.objects.get(key).await?.ok_or_else(|| malformed("missing"))?;
        serde_json::from_slice(&bytes).map_err(|error| malformed(&error.to_string()))
    }

    async fn checkpoint_shard(&self, shard: ShardId) -> PlatformResult<()> {
        // Commits are applied as they complete, so the programs read below include all commits
        // before this number.
        self.journal.flush().await;
        let first_commit = self.journal.next_number();
        let Some(owned) = self.owned.borrow().get(&shard).cloned() else {
            return Ok(());
        };
        if owned.row.is_checkpointed_at(first_commit) {
            return Ok(());
        }
        let programs = self.owner.programs_in_shard(shard);
        let mut row = owned.row.clone();
        row.checkpoint = self.put_checkpoint(shard, programs).await?;
        row.segments = vec![Segment {
            incarnation: self.incarnation.id().to_owned(),
            first_commit,
            end_commit: None,
        }];
        self.write_row(shard, owned.row_version, row).await?;
        Ok(())
    }

    async fn put_checkpoint(
        &self,
        shard: ShardId,
        programs: Vec<Program>,
    ) -> PlatformResult<Option<String>> {
        if programs.is_empty() {
            return Ok(None);
        }
        let key = format!(
            "checkpoints/{}/{shard:04x}/{}/{:012}",
            self.region,
            self.incarnation.id(),
            self.journal.next_number()
        );
        let bytes = serde_json::to_vec(&Checkpoint { programs }).unwrap_or_default();
        self.platform.objects.put(&key, bytes).await?;
        Ok(Some(key))
    }

    async fn write_row(&self, shard: ShardId, version: u64, row: ShardRow) -> PlatformResult<bool> {
        let key = shard_key(&self.region, shard);
        let transaction = Transaction::default().require(Table::Shards, &key, version).put(
            Table::Shards,
            &key,
            serde_json::to_value(&row).unwrap_or_default(),
        );
        let TransactionOutcome::Committed(version) =
            self.platform.table.transact(&transaction).await?
        else {
            warn!("event=shard_row_conflict shard={shard}");
            return Ok(false);
        };
        if let Some(owned) = self.owned.borrow_mut().get_mut(&shard) {
            owned.row_version = version;
            owned.row = row;
        }
        Ok(true)
    }

    async fn release(&self, batch: &[ShardId]) -> PlatformResult<()> {
        let mut transaction = Transaction::default();
        for shard in batch {
            let Some(owned) = self.owned.borrow().get(shard).cloned() else {
                continue;
            };
            let mut row = owned.row;
            row.owner = None;
            if let Some(segment) = row.segments.last_mut() {
                segment.end_commit = Some(self.journal.next_number());
            }
            row.segments.retain(|segment| Some(segment.first_commit) != segment.end_commit);
            let key = shard_key(&self.region, *shard);
            transaction = transaction.require(Table::Shards, &key, owned.row_version).put(
                Table::Shards,
                &key,
                serde_json::to_value(&row).unwrap_or_default(),
            );
        }
        if self.platform.table.transact(&transaction).await? == TransactionOutcome::Conflict {
            warn!("event=release_conflict shards={}", batch.len());
        }
        // Only the owner writes these rows until it is fenced, so this node does not own the shards
        // after a conflict, just as after a commit.
        for shard in batch {
            self.owned.borrow_mut().remove(shard);
            self.owners.borrow_mut().remove(shard);
            self.owner.remove_shard(*shard);
        }
        info!("event=shards_released count={}", batch.len());
        Ok(())
    }

    fn set_phase(&self, shard: ShardId, phase: Phase) {
        if let Some(owned) = self.owned.borrow_mut().get_mut(&shard) {
            owned.phase = phase;
        }
    }
}

fn apply_commit(programs: &mut BTreeMap<ProgramId, Program>, shard: ShardId, commit: &Commit) {
    for entry in commit.entries.iter().filter(|entry| entry.shard == shard) {
        if let Some(program) = programs.get_mut(&entry.program) {
            program.apply(&entry.record);
        } else if let Some(program) = Program::from_opened(&entry.program, &entry.record) {
            programs.insert(entry.program.clone(), program);
        }
    }
}
