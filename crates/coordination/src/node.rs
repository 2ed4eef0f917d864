//! Ties the parts together: registration, the head poll, shard assignment, fencing, planned stop.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::{Either, select};
use log::{debug, info, warn};
use tokio::sync::{Notify, watch};

use crate::clock::Clock;
use crate::ids::{IncarnationId, ShardId};
use crate::incarnation::Incarnation;
use crate::journal::{Journal, JournalSettings};
use crate::members::{HEAD_KEY, Head, Member, MemberRow, MemberState, preferred_owner};
use crate::owner::{Owner, OwnerSettings};
use crate::platform::{
    Platform, PlatformError, PlatformResult, Table, TableService, Transaction, TransactionOutcome,
    scan_all,
};
use crate::shards::Shards;

/// Settings of a node.
#[derive(Debug, Clone)]
pub struct NodeSettings {
    /// Time between two reads of the head row.
    pub head_poll_interval: Duration,
    /// Number of shards per region; the same on all nodes.
    pub shard_count: u16,
    /// Time between two checkpoints of the shards served.
    pub checkpoint_interval: Duration,
    /// Time for which ended programs stay readable.
    pub retention: Duration,
    /// Journal bounds.
    pub journal: JournalSettings,
    /// Owner time bounds.
    pub owner: OwnerSettings,
}

impl Default for NodeSettings {
    fn default() -> Self {
        Self {
            head_poll_interval: Duration::from_secs(1),
            shard_count: 256,
            checkpoint_interval: Duration::from_secs(60),
            retention: Duration::from_secs(900),
            journal: JournalSettings::default(),
            owner: OwnerSettings::default(),
        }
    }
}

/// Where a program is served.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Location {
    /// On this node.
    Local,
    /// On the member with this forward address.
    Remote(String),
    /// No owner is known yet.
    Unknown,
}

/// One node of the fleet: its membership, shards, journal and programs.
pub struct Node {
    platform: Platform,
    clock: Rc<dyn Clock>,
    settings: NodeSettings,
    identity: RefCell<Member>,
    incarnation: Rc<Incarnation>,
    journal: Rc<Journal>,
    owner: Rc<Owner>,
    shards: Shards,
    head: watch::Sender<Head>,
    head_read_at: Cell<Option<Duration>>,
    members: RefCell<Vec<MemberRow>>,
    members_version: Cell<Option<u64>>,
    settled: Cell<bool>,
    nudge: Notify,
}

impl Node {
    /// Creates a node that is not registered yet; `identity` must be in state `Live`.
    #[must_use]
    pub fn new(
        platform: Platform,
        clock: Rc<dyn Clock>,
        identity: Member,
        settings: NodeSettings,
    ) -> Rc<Self> {
        let incarnation = Rc::new(Incarnation::new(identity.id.clone()));
        let journal = Rc::new(Journal::new(
            Rc::clone(&platform.table),
            Rc::clone(&platform.objects),
            Rc::clone(&clock),
            Rc::clone(&incarnation),
            settings.journal.clone(),
        ));
        let owner = Rc::new(Owner::new(
            Rc::clone(&journal),
            Rc::clone(&clock),
            settings.owner.clone(),
        ));
        journal.set_applier(Rc::clone(&owner) as _);
        let shards = Shards::new(
            platform.clone(),
            Rc::clone(&incarnation),
            Rc::clone(&journal),
            Rc::clone(&owner),
            identity.region.clone(),
            settings.shard_count,
        );
        Rc::new(Self {
            platform,
            clock,
            settings,
            identity: RefCell::new(identity),
            incarnation,
            journal,
            owner,
            shards,
            head: watch::Sender::default(),
            head_read_at: Cell::default(),
            members: RefCell::default(),
            members_version: Cell::default(),
            settled: Cell::new(false),
            nudge: Notify::new(),
        })
    }

    /// Returns the programs served by this node.
    #[must_use]
    pub fn owner(&self) -> &Owner {
        &self.owner
    }

    /// Returns the node's journal.
    #[must_use]
    pub fn journal(&self) -> &Journal {
        &self.journal
    }

    /// Returns the node's shards.
    #[must_use]
    pub fn shards(&self) -> &Shards {
        &self.shards
    }

    /// Returns the node's incarnation.
    #[must_use]
    pub fn incarnation(&self) -> &Incarnation {
        &self.incarnation
    }

    /// Returns the members as last read, fenced ones included.
    #[must_use]
    pub fn members(&self) -> Vec<Member> {
        self.members
            .borrow()
            .iter()
            .map(|row| row.member.clone())
            .collect()
    }

    /// Returns the head row as last read, and its changes.
    #[must_use]
    pub fn head(&self) -> watch::Receiver<Head> {
        self.head.subscribe()
    }

    /// Returns the time since the head row was last read.
    #[must_use]
    pub fn head_age(&self) -> Option<Duration> {
        let read_at = self.head_read_at.get()?;
        Some(self.clock.monotonic().saturating_sub(read_at))
    }

    /// Returns whether the node is registered and its shards are settled.
    #[must_use]
    pub fn is_settled(&self) -> bool {
        self.settled.get()
    }

    /// Returns where calls for `shard` are served.
    #[must_use]
    pub fn locate(&self, shard: ShardId) -> Location {
        if self.shards.is_serving(shard) {
            return Location::Local;
        }
        let members = self.members.borrow();
        let live = || members.iter().map(|row| &row.member);
        let recorded = self.shards.owner_of(shard).and_then(|owner| {
            live().find(|member| member.id == owner && member.state != MemberState::Fenced)
        });
        let region = &self.identity.borrow().region;
        let target = recorded.or_else(|| preferred_owner(live(), region, shard));
        match target {
            Some(member) if member.id != self.incarnation.id() => {
                Location::Remote(member.forward_address.clone())
            }
            _ => Location::Unknown,
        }
    }

    /// Registers the node in the table.
    ///
    /// # Errors
    ///
    /// Fails when the platform cannot be reached; calling again is safe.
    pub async fn register(&self) -> PlatformResult<()> {
        let identity = self.identity.borrow().clone();
        while !self
            .write_member(&identity, self.incarnation.row_version())
            .await?
        {
            if let Some(row) = self.platform.table.get(Table::Nodes, &identity.id).await? {
                self.incarnation.set_row_version(row.version);
                break;
            }
        }
        info!(
            "event=registered incarnation={} zone={}",
            identity.id, identity.zone
        );
        Ok(())
    }

    /// Commits the journal and follows the fleet until the node is fenced.
    pub async fn run(self: &Rc<Self>) {
        let journal = std::pin::pin!(self.journal.run());
        let control = std::pin::pin!(self.follow());
        select(journal, control).await;
    }

    /// Asks for a poll of the head row without waiting for its interval.
    pub fn nudge(&self) {
        self.settled.set(false);
        self.nudge.notify_one();
    }

    /// Reads the head row and brings membership and shards up to date.
    ///
    /// # Errors
    ///
    /// Fails when the platform cannot be reached; the next call continues.
    pub async fn poll(&self) -> PlatformResult<()> {
        let head = read_head(&*self.platform.table).await?.1;
        self.head_read_at.set(Some(self.clock.monotonic()));
        let members_version = head.members_version;
        self.head.send_if_modified(|known| {
            *known != head && {
                *known = head;
                true
            }
        });
        if self.members_version.get() != Some(members_version) {
            self.read_members().await?;
            self.members_version.set(Some(members_version));
            self.settled.set(false);
        }
        if !self.settled.get() {
            let settled = self.reconcile().await?;
            self.settled.set(settled);
        }
        Ok(())
    }

    /// Marks `target` as fenced, so that it can commit nothing more.
    ///
    /// Returns whether the member is now fenced.
    ///
    /// # Errors
    ///
    /// Fails when the platform cannot be reached; calling again is safe.
    pub async fn fence(&self, target: &IncarnationId) -> PlatformResult<bool> {
        let row = self
            .members
            .borrow()
            .iter()
            .find(|row| row.member.id == *target)
            .cloned();
        let Some(row) = row else { return Ok(true) };
        if row.member.state == MemberState::Fenced {
            return Ok(true);
        }
        let fenced = Member {
            state: MemberState::Fenced,
            ..row.member
        };
        let done = self.write_member(&fenced, row.version).await?;
        if done {
            warn!("event=member_fenced incarnation={target}");
        }
        self.nudge();
        Ok(done)
    }

    /// Announces the planned stop; other members claim the shards as they are released.
    ///
    /// # Errors
    ///
    /// Fails when the platform cannot be reached; calling again is safe.
    pub async fn announce_leaving(&self) -> PlatformResult<()> {
        let leaving = Member {
            state: MemberState::Leaving,
            ..self.identity.borrow().clone()
        };
        *self.identity.borrow_mut() = leaving.clone();
        loop {
            if self
                .write_member(&leaving, self.incarnation.row_version())
                .await?
            {
                break;
            }
            self.refresh_own_row().await?;
            if self.incarnation.is_fenced() {
                return Ok(());
            }
        }
        self.nudge();
        Ok(())
    }

    /// Returns whether all shards were handed over.
    #[must_use]
    pub fn is_released(&self) -> bool {
        self.shards.held_count() == 0
    }

    /// Removes the node's row after its shards were handed over.
    ///
    /// # Errors
    ///
    /// Fails when the platform cannot be reached.
    pub async fn deregister(&self) -> PlatformResult<()> {
        let (version, head) = read_head(&*self.platform.table).await?;
        let head = Head {
            members_version: head.members_version + 1,
            ..head
        };
        let transaction = Transaction::default()
            .require(Table::Head, HEAD_KEY, version)
            .put(
                Table::Head,
                HEAD_KEY,
                serde_json::to_value(head).unwrap_or_default(),
            )
            .delete(Table::Nodes, self.incarnation.id());
        self.platform.table.transact(&transaction).await?;
        Ok(())
    }

    async fn follow(&self) {
        let mut checkpoint_at = self.clock.monotonic() + self.settings.checkpoint_interval;
        while !self.incarnation.is_fenced() {
            if let Err(error) = self.poll().await {
                debug!("event=poll_failed cause={error:?}");
            }
            if self.clock.monotonic() >= checkpoint_at {
                self.housekeep().await;
                checkpoint_at = self.clock.monotonic() + self.settings.checkpoint_interval;
            }
            let nudged = std::pin::pin!(self.nudge.notified());
            let pause = self.clock.sleep(self.settings.head_poll_interval);
            if let Either::Left(_) = select(nudged, pause).await {
                debug!("event=poll_nudged");
            }
        }
    }

    async fn housekeep(&self) {
        let retention_ms = crate::clock::millis(self.settings.retention);
        let now_ms = crate::journal::unix_ms(&*self.clock);
        self.owner.expire(now_ms.saturating_sub(retention_ms));
        if let Err(error) = self.shards.checkpoint().await {
            warn!("event=checkpoint_failed cause={error:?}");
        }
    }

    async fn reconcile(&self) -> PlatformResult<bool> {
        let members = self.members();
        let region = self.identity.borrow().region.clone();
        let assignment =
            |shard| preferred_owner(&members, &region, shard).map(|member| member.id.clone());
        let is_free = |incarnation: &str| {
            members
                .iter()
                .find(|member| member.id == incarnation)
                .is_none_or(|member| member.state == MemberState::Fenced)
        };
        self.shards.reconcile(&assignment, &is_free).await
    }

    async fn read_members(&self) -> PlatformResult<()> {
        let rows = scan_all(&*self.platform.table, Table::Nodes, "", "").await?;
        let mut members = Vec::with_capacity(rows.len());
        for row in rows {
            let member: Member =
                serde_json::from_value(row.value).map_err(|error| PlatformError::Malformed {
                    detail: format!("node row {}: {error}", row.key),
                })?;
            members.push(MemberRow {
                version: row.version,
                member,
            });
        }
        *self.members.borrow_mut() = members;
        self.refresh_own_row().await
    }

    async fn refresh_own_row(&self) -> PlatformResult<()> {
        let own = self
            .platform
            .table
            .get(Table::Nodes, self.incarnation.id())
            .await?;
        let state = own.as_ref().and_then(|row| {
            serde_json::from_value::<Member>(row.value.clone())
                .ok()
                .map(|member| member.state)
        });
        match (own, state) {
            (Some(row), Some(state)) if state != MemberState::Fenced => {
                self.incarnation.set_row_version(row.version);
            }
            _ => self.incarnation.mark_fenced(),
        }
        Ok(())
    }

    /// Writes a member row and raises the membership version; returns whether it took effect.
    async fn write_member(&self, member: &Member, expected: u64) -> PlatformResult<bool> {
        let (head_version, head) = read_head(&*self.platform.table).await?;
        let head = Head {
            members_version: head.members_version + 1,
            ..head
        };
        let transaction = Transaction::default()
            .require(Table::Head, HEAD_KEY, head_version)
            .require(Table::Nodes, &member.id, expected)
            .put(
                Table::Head,
                HEAD_KEY,
                serde_json::to_value(head).unwrap_or_default(),
            )
            .put(
                Table::Nodes,
                &member.id,
                serde_json::to_value(member).unwrap_or_default(),
            );
        match self.platform.table.transact(&transaction).await? {
            TransactionOutcome::Committed(version) => {
                if member.id == self.incarnation.id() {
                    self.incarnation.set_row_version(version);
                }
                Ok(true)
            }
            TransactionOutcome::Conflict => Ok(false),
        }
    }
}

/// Reads the head row with its version; an absent row reads as the default.
///
/// # Errors
///
/// Fails when the platform cannot be read or the row is malformed.
pub async fn read_head(table: &dyn TableService) -> PlatformResult<(u64, Head)> {
    let Some(row) = table.get(Table::Head, HEAD_KEY).await? else {
        return Ok((0, Head::default()));
    };
    let head = serde_json::from_value(row.value).map_err(|error| PlatformError::Malformed {
        detail: format!("head row: {error}"),
    })?;
    Ok((row.version, head))
}
