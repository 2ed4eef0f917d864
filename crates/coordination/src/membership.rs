//! Membership of the fleet: registration, polling of the member rows, and fencing.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use log::{info, warn};
use tokio::sync::watch;

use crate::clock::{Clock, millis};
use crate::detector::observers;
use crate::ids::IncarnationId;
use crate::incarnation::Incarnation;
use crate::members::{HEAD_KEY, Head, Member, MemberState};
use crate::platform::{
    PlatformError, PlatformResult, Table, TableService, Transaction, TransactionOutcome, scan_all,
};

/// Window of the fencing rate limit.
const FENCE_WINDOW: Duration = Duration::from_secs(10);
/// The number of members fenced in one window is at most the number of unfenced members divided by
/// this, rounded up.
const FENCE_DIVISOR: usize = 4;

/// A node's view of the fleet's members, as recorded in the table.
pub struct Membership {
    table: Rc<dyn TableService>,
    clock: Rc<dyn Clock>,
    incarnation: Rc<Incarnation>,
    own_member: RefCell<Member>,
    head: watch::Sender<Head>,
    head_read_at: Cell<Option<Duration>>,
    members: RefCell<Rc<Vec<Member>>>,
    row_versions: RefCell<HashMap<IncarnationId, u64>>,
    members_version: Cell<Option<u64>>,
}

impl Membership {
    /// Creates the view of a node that is not registered yet.
    #[must_use]
    pub fn new(
        table: Rc<dyn TableService>,
        clock: Rc<dyn Clock>,
        incarnation: Rc<Incarnation>,
        own_member: Member,
    ) -> Self {
        Self {
            table,
            clock,
            incarnation,
            own_member: RefCell::new(own_member),
            head: watch::Sender::default(),
            head_read_at: Cell::default(),
            members: RefCell::default(),
            row_versions: RefCell::default(),
            members_version: Cell::default(),
        }
    }

    /// Returns this node's own member row as last read or written; [`Self::announce_leaving`]
    /// changes it before the write.
    #[must_use]
    pub fn own_member(&self) -> Member {
        self.own_member.borrow().clone()
    }

    /// Returns the members as last read, including fenced ones.
    #[must_use]
    pub fn members(&self) -> Rc<Vec<Member>> {
        Rc::clone(&self.members.borrow())
    }

    /// Returns a receiver of the head row, which holds the row as last read.
    #[must_use]
    pub fn head(&self) -> watch::Receiver<Head> {
        self.head.subscribe()
    }

    /// Returns the time since the head row was last read, or `None` before the first read.
    #[must_use]
    pub fn head_age(&self) -> Option<Duration> {
        let read_at = self.head_read_at.get()?;
        Some(self.clock.monotonic().saturating_sub(read_at))
    }

    /// Registers the node in the table.
    ///
    /// # Errors
    ///
    /// Fails when the platform cannot be reached; calling again is safe.
    pub async fn register(&self) -> PlatformResult<()> {
        let own_member = self.own_member();
        while !self.write_member(&own_member, self.incarnation.row_version(), None).await? {
            if let Some(row) = self.table.get(Table::Nodes, &own_member.id).await? {
                self.incarnation.set_row_version(row.version);
                break;
            }
        }
        info!("event=registered incarnation={} zone={}", own_member.id, own_member.zone);
        Ok(())
    }

    /// Reads the head row and, if the members changed, their rows; returns whether they changed.
    ///
    /// If the call succeeds without marking the incarnation as fenced, the node was not fenced when
    /// the call started. The lease on limit shares relies on this.
    ///
    /// # Errors
    ///
    /// Fails when the platform cannot be reached; the next call reads the rows this one missed.
    pub async fn poll(&self) -> PlatformResult<bool> {
        let head = read_head(&*self.table).await?.1;
        self.head_read_at.set(Some(self.clock.monotonic()));
        let members_version = Some(head.members_version);
        self.head.send_if_modified(|known| {
            let changed = *known != head;
            *known = head;
            changed
        });
        if self.members_version.get() == members_version {
            return Ok(false);
        }
        self.read_members().await?;
        self.members_version.set(members_version);
        Ok(true)
    }

    /// Marks `target` as fenced, so that it cannot commit anything more.
    ///
    /// Returns whether the member is now fenced or already removed. Fencing is rate limited, so
    /// that a short network partition cannot cause most of the fleet to be fenced.
    ///
    /// # Errors
    ///
    /// Fails when the platform cannot be reached; calling again is safe.
    pub async fn fence(&self, target: &IncarnationId) -> PlatformResult<bool> {
        let members = self.members();
        let Some(member) = members.iter().find(|member| member.id == *target) else {
            return Ok(true);
        };
        if member.state == MemberState::Fenced {
            return Ok(true);
        }
        let unfenced = members.iter().filter(|member| member.state != MemberState::Fenced).count();
        let version = self.row_versions.borrow().get(target).copied().unwrap_or(0);
        let fenced = Member { state: MemberState::Fenced, ..member.clone() };
        let done = self.write_member(&fenced, version, Some(unfenced)).await?;
        if done {
            warn!("event=member_fenced incarnation={target}");
        }
        Ok(done)
    }

    /// Assigns a new reclaimer for this node's limit shares if the current one is not live.
    ///
    /// # Errors
    ///
    /// Fails when the platform cannot be reached; calling again is safe.
    pub async fn assign_reclaimer(&self) -> PlatformResult<()> {
        let own = self.own_member();
        let members = self.members();
        let candidates = observers(&members, &own);
        let live = |id: &str| {
            members.iter().any(|member| member.id == id && member.state == MemberState::Live)
        };
        if own.reclaimer.as_deref().is_some_and(live) {
            return Ok(());
        }
        let chosen = candidates.iter().find(|member| member.state == MemberState::Live);
        let reclaimer = chosen.map(|member| member.id.clone());
        if reclaimer == own.reclaimer || own.state != MemberState::Live {
            return Ok(());
        }
        let updated = Member { reclaimer, ..own };
        if self.write_member(&updated, self.incarnation.row_version(), None).await? {
            *self.own_member.borrow_mut() = updated;
        }
        Ok(())
    }

    /// Marks this node as leaving; other members claim its shards as it releases them.
    ///
    /// # Errors
    ///
    /// Fails when the platform cannot be reached; calling again is safe.
    pub async fn announce_leaving(&self) -> PlatformResult<()> {
        let leaving = Member { state: MemberState::Leaving, ..self.own_member() };
        *self.own_member.borrow_mut() = leaving.clone();
        while !self.write_member(&leaving, self.incarnation.row_version(), None).await? {
            self.read_members().await?;
            if self.incarnation.is_fenced() {
                break;
            }
        }
        Ok(())
    }

    /// Deletes member rows, such as this node's own after a planned stop.
    ///
    /// # Errors
    ///
    /// Fails when the platform cannot be reached; calling again is safe.
    pub async fn remove(&self, gone: &[IncarnationId]) -> PlatformResult<()> {
        loop {
            let (version, head) = read_head(&*self.table).await?;
            let head = Head { members_version: head.members_version + 1, ..head };
            let mut transaction = Transaction::default()
                .require(Table::Head, HEAD_KEY, version)
                .put(Table::Head, HEAD_KEY, serde_json::to_value(head).unwrap_or_default());
            for id in gone {
                transaction = transaction.delete(Table::Nodes, id);
            }
            if self.table.transact(&transaction).await? != TransactionOutcome::Conflict {
                return Ok(());
            }
        }
    }

    async fn read_members(&self) -> PlatformResult<()> {
        let rows = scan_all(&*self.table, Table::Nodes, "", "").await?;
        let mut members = Vec::with_capacity(rows.len());
        let mut row_versions = HashMap::with_capacity(rows.len());
        for row in rows {
            let member: Member = serde_json::from_value(row.value).map_err(|error| {
                PlatformError::Malformed { detail: format!("node row {}: {error}", row.key) }
            })?;
            row_versions.insert(row.key, row.version);
            members.push(member);
        }
        self.update_own_member(&members, &row_versions);
        *self.members.borrow_mut() = Rc::new(members);
        *self.row_versions.borrow_mut() = row_versions;
        Ok(())
    }

    /// Adopts this node's own row, or marks the node as fenced if the row is fenced or absent.
    fn update_own_member(&self, members: &[Member], row_versions: &HashMap<IncarnationId, u64>) {
        let own_id = self.incarnation.id();
        let own = members.iter().find(|member| member.id == own_id);
        match (own, row_versions.get(own_id)) {
            (Some(own), Some(version)) if own.state != MemberState::Fenced => {
                self.incarnation.set_row_version(*version);
                // `announce_leaving` changes the state before the row is written, so the row read
                // may still have the previous state.
                if self.own_member.borrow().state == own.state {
                    *self.own_member.borrow_mut() = own.clone();
                }
            }
            _ => {
                if self.own_member.borrow().state == MemberState::Live {
                    warn!("event=fenced incarnation={own_id}");
                }
                self.incarnation.mark_fenced();
            }
        }
    }

    /// Writes a member row and increments `members_version` in one transaction; returns whether it
    /// committed.
    ///
    /// For a write that fences another member, `unfenced_count` is the number of unfenced members.
    /// Such a write is rate limited, and it does not commit if this node's own row has changed, for
    /// example because this node was fenced.
    async fn write_member(
        &self,
        member: &Member,
        expected: u64,
        unfenced_count: Option<usize>,
    ) -> PlatformResult<bool> {
        let (head_version, head) = read_head(&*self.table).await?;
        let mut head = Head { members_version: head.members_version + 1, ..head };
        let is_own = member.id == self.incarnation.id();
        let mut transaction = Transaction::default()
            .require(Table::Head, HEAD_KEY, head_version)
            .require(Table::Nodes, &member.id, expected);
        if let Some(unfenced) = unfenced_count {
            if !count_fencing(&mut head, millis(self.clock.unix()), unfenced) {
                warn!("event=fencing_put_off target={}", member.id);
                return Ok(false);
            }
            transaction = transaction.require(
                Table::Nodes,
                self.incarnation.id(),
                self.incarnation.row_version(),
            );
        }
        let transaction = transaction
            .put(Table::Head, HEAD_KEY, serde_json::to_value(head).unwrap_or_default())
            .put(Table::Nodes, &member.id, serde_json::to_value(member).unwrap_or_default());
        match self.table.transact(&transaction).await? {
            TransactionOutcome::Committed(version) => {
                if is_own {
                    self.incarnation.set_row_version(version);
                }
                Ok(true)
            }
            TransactionOutcome::Conflict => Ok(false),
        }
    }
}

/// Counts one fencing in the head row; returns whether the rate limit allows it.
fn count_fencing(head: &mut Head, now_unix_ms: u64, unfenced: usize) -> bool {
    if now_unix_ms.saturating_sub(head.fence_window_unix_ms) > millis(FENCE_WINDOW) {
        head.fence_window_unix_ms = now_unix_ms;
        head.fence_count = 0;
    }
    let allowed = unfenced.div_ceil(FENCE_DIVISOR).max(1);
    head.fence_count += 1;
    head.fence_count as usize <= allowed
}

/// Reads the head row and its version; returns version 0 and the default if the row is absent.
///
/// # Errors
///
/// Fails when the platform cannot be read or the row is malformed.
pub async fn read_head(table: &dyn TableService) -> PlatformResult<(u64, Head)> {
    let Some(row) = table.get(Table::Head, HEAD_KEY).await? else {
        return Ok((0, Head::default()));
    };
    let head = serde_json::from_value(row.value)
        .map_err(|error| PlatformError::Malformed { detail: format!("head row: {error}") })?;
    Ok((row.version, head))
}
