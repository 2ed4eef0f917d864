//! A node of the fleet: combines membership, heartbeats, shards, journal, programs and limits.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::{Either, join4, select};
use log::{debug, warn};
use tokio::sync::Notify;

use crate::clock::{Clock, millis};
use crate::config::ConfigSnapshot;
use crate::detector::DetectorSettings;
use crate::heartbeat::{Heartbeats, NewerConfig, SHARE_LEASE};
use crate::ids::{ConfigVersion, IncarnationId, RegionShard};
use crate::incarnation::Incarnation;
use crate::journal::{Journal, JournalSettings, unix_ms};
use crate::limits::{LimitSettings, ShareLimiter};
use crate::members::{Member, MemberState, preferred_owner};
use crate::membership::Membership;
use crate::owner::{Owner, OwnerSettings};
use crate::peers::{Heartbeat, HeartbeatReply, Peers};
use crate::platform::{Platform, PlatformResult};
use crate::shards::Shards;

/// Minimum time for which the row of a fenced member is kept.
const FENCED_ROW_AGE: Duration = Duration::from_secs(120);

/// Settings of a node.
#[derive(Debug, Clone)]
pub struct NodeSettings {
    /// Time between two reads of the head row.
    pub head_poll_interval: Duration,
    /// Journal writes per second allowed for all nodes of a region together.
    pub region_writes_per_s: u32,
    /// Number of shards per region; the same on all nodes.
    pub shard_count: u16,
    /// Time between two checkpoints of the shards that the node serves.
    pub checkpoint_interval: Duration,
    /// Minimum time for which ended programs stay readable.
    pub retention: Duration,
    /// Settings of the journal.
    pub journal: JournalSettings,
    /// Settings of the owner of programs.
    pub owner: OwnerSettings,
    /// Settings of failure detection.
    pub detector: DetectorSettings,
    /// Settings of the team limits.
    pub limits: LimitSettings,
}

impl Default for NodeSettings {
    fn default() -> Self {
        Self {
            head_poll_interval: Duration::from_secs(1),
            region_writes_per_s: 240,
            shard_count: 256,
            checkpoint_interval: Duration::from_secs(60),
            retention: Duration::from_secs(900),
            journal: JournalSettings::default(),
            owner: OwnerSettings::default(),
            detector: DetectorSettings::default(),
            limits: LimitSettings::default(),
        }
    }
}

/// Location of the owner of a program.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Location {
    /// On this node.
    Local,
    /// On the member with this forward address.
    Remote(String),
    /// Not on this node, and no other member is known as the owner.
    Unknown,
}

/// Provides the configuration in force and receives reports of newer versions.
pub trait ConfigWatcher {
    /// Returns the configuration in force.
    fn current(&self) -> Arc<ConfigSnapshot>;

    /// Handles the report of a newer version at a peer.
    fn on_newer_version(&self, newer: NewerConfig);
}

/// One node of the fleet.
pub struct Node {
    clock: Rc<dyn Clock>,
    settings: NodeSettings,
    incarnation: Rc<Incarnation>,
    membership: Membership,
    heartbeats: Rc<Heartbeats>,
    journal: Rc<Journal>,
    owner: Rc<Owner>,
    shards: Shards,
    limits: ShareLimiter,
    shards_reconciled: Cell<bool>,
    prepared_version: Cell<ConfigVersion>,
    poll_requested: Notify,
}

impl Node {
    /// Creates a node that is not registered yet; `own_member` must be in state `Live`.
    #[must_use]
    pub fn new(
        platform: Platform,
        clock: Rc<dyn Clock>,
        peers: Rc<dyn Peers>,
        own_member: Member,
        settings: NodeSettings,
    ) -> Rc<Self> {
        let incarnation = Rc::new(Incarnation::new(own_member.id.clone()));
        let table = Rc::clone(&platform.table);
        let journal = Rc::new(Journal::new(
            platform.clone(),
            Rc::clone(&clock),
            Rc::clone(&incarnation),
            settings.journal.clone(),
        ));
        let owner =
            Rc::new(Owner::new(Rc::clone(&journal), Rc::clone(&clock), settings.owner.clone()));
        journal.set_applier(Rc::clone(&owner) as _);
        let shards = Shards::new(
            platform,
            Rc::clone(&incarnation),
            Rc::clone(&journal),
            Rc::clone(&owner),
            own_member.region.clone(),
            settings.shard_count,
        );
        let heartbeats = Rc::new(Heartbeats::new(
            Rc::clone(&peers),
            Rc::clone(&clock),
            settings.detector.clone(),
        ));
        let limits = ShareLimiter::new(
            Rc::clone(&table),
            Rc::clone(&clock),
            peers,
            Rc::clone(&incarnation),
            Rc::clone(&heartbeats),
            settings.limits.clone(),
        );
        let membership =
            Membership::new(table, Rc::clone(&clock), Rc::clone(&incarnation), own_member);
        Rc::new(Self {
            clock,
            settings,
            incarnation,
            membership,
            heartbeats,
            journal,
            owner,
            shards,
            limits,
            shards_reconciled: Cell::new(false),
            prepared_version: Cell::new(0),
            poll_requested: Notify::new(),
        })
    }

    /// Returns the owner of the programs that this node serves.
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

    /// Returns the fleet's members.
    #[must_use]
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Returns the team limits.
    #[must_use]
    pub fn limits(&self) -> &ShareLimiter {
        &self.limits
    }

    /// Returns whether each shard of the region has its preferred owner and
    /// [`ShareLimiter::prepare`] is complete for `version`.
    #[must_use]
    pub fn is_converged(&self, version: ConfigVersion) -> bool {
        self.shards_reconciled.get() && self.prepared_version.get() == version
    }

    /// Replies to a heartbeat from another member.
    #[must_use]
    pub fn answer_heartbeat(
        &self,
        heartbeat: &Heartbeat,
        version: ConfigVersion,
    ) -> HeartbeatReply {
        let members = self.membership.members();
        self.heartbeats.answer(&self.membership.own_member(), &members, heartbeat, version)
    }

    /// Returns whether this node suspects `target`.
    #[must_use]
    pub fn is_suspect(&self, target: &str) -> bool {
        self.heartbeats.is_suspect(target)
    }

    /// Returns where calls for programs of this region and shard are served.
    ///
    /// A node does not track the owners of shards in other regions. For those it returns the
    /// preferred owner, which knows the actual owner while the shard is moving. The preferred owner
    /// is also returned for a shard of this region whose owner is unknown, fenced or removed.
    #[must_use]
    pub fn locate(&self, region_shard: &RegionShard) -> Location {
        let is_own_region = region_shard.region == self.membership.own_member().region;
        if is_own_region && self.shards.is_serving(region_shard.shard) {
            return Location::Local;
        }
        let members = self.membership.members();
        let not_fenced = |id: IncarnationId| {
            members.iter().find(|member| member.id == id && member.state != MemberState::Fenced)
        };
        let recorded =
            self.shards.owner_of(region_shard.shard).filter(|_| is_own_region).and_then(not_fenced);
        let preferred =
            || preferred_owner(members.iter(), &region_shard.region, region_shard.shard);
        match recorded.or_else(preferred) {
            Some(member) if member.id != self.incarnation.id() => {
                Location::Remote(member.forward_address.clone())
            }
            _ => Location::Unknown,
        }
    }

    /// Runs the node, which must be registered, until it is fenced.
    pub async fn run(&self, config: &dyn ConfigWatcher) {
        let work = std::pin::pin!(join4(
            self.journal.run(),
            self.run_polling(config),
            self.run_heartbeats(config),
            self.run_fencing(),
        ));
        let fenced = std::pin::pin!(self.incarnation.fenced());
        select(fenced, work).await;
        self.journal.fail_pending();
    }

    /// Requests an immediate poll of the head row and a reconciliation of the shards.
    pub fn request_poll(&self) {
        self.shards_reconciled.set(false);
        self.poll_requested.notify_one();
    }

    /// Starts a planned stop: hands over the limit shares and marks the shards for release.
    ///
    /// # Errors
    ///
    /// Fails when the platform cannot be reached; calling again is safe.
    pub async fn leave(&self) -> PlatformResult<()> {
        self.membership.announce_leaving().await?;
        self.limits.hand_over(&self.membership.members()).await?;
        // Shards are released even without a successor, so that the last node of a fleet can stop.
        self.shards.drain_all();
        self.request_poll();
        Ok(())
    }

    /// Returns whether the node has released all its shards.
    #[must_use]
    pub fn has_released_all_shards(&self) -> bool {
        self.shards.owned_count() == 0
    }

    /// Deletes the node's row; to be called once its shards are released.
    ///
    /// # Errors
    ///
    /// Fails when the platform cannot be reached.
    pub async fn deregister(&self) -> PlatformResult<()> {
        self.membership.remove(&[self.incarnation.id().to_owned()]).await
    }

    /// Polls the head row, keeps membership and shards up to date and runs periodic maintenance.
    async fn run_polling(&self, config: &dyn ConfigWatcher) {
        let mut checkpoint_at = self.clock.monotonic() + self.settings.checkpoint_interval;
        loop {
            if let Err(error) = self.poll(config).await {
                debug!("event=poll_failed cause={error:?}");
            }
            if self.clock.monotonic() >= checkpoint_at {
                self.run_maintenance().await;
                checkpoint_at = self.clock.monotonic() + self.settings.checkpoint_interval;
            }
            let requested = std::pin::pin!(self.poll_requested.notified());
            let pause = self.clock.sleep(self.settings.head_poll_interval);
            if let Either::Left(_) = select(requested, pause).await {
                debug!("event=poll_nudged");
            }
        }
    }

    async fn poll(&self, config: &dyn ConfigWatcher) -> PlatformResult<()> {
        let started_at = self.clock.monotonic();
        let changed = self.membership.poll().await?;
        if self.incarnation.is_fenced() {
            return Ok(());
        }
        self.heartbeats.extend_share_lease(started_at + SHARE_LEASE);
        if changed {
            self.journal.set_region_commit_interval(self.region_commit_interval());
            self.shards_reconciled.set(false);
            self.membership.assign_reclaimer().await?;
        }
        if !self.shards_reconciled.get() {
            let reconciled = self.reconcile().await?;
            self.shards_reconciled.set(reconciled);
        }
        let members = self.membership.members();
        let config = config.current();
        let prepared = !changed && self.prepared_version.get() == config.version();
        if !prepared && self.limits.prepare(&config, &members).await? {
            self.prepared_version.set(config.version());
        }
        self.limits.reclaim(&members).await
    }

    /// Returns the interval between commits that keeps the region within its write rate.
    fn region_commit_interval(&self) -> Duration {
        let region = self.membership.own_member().region;
        let members = self.membership.members();
        let is_unfenced_in_region =
            |member: &&Member| member.region == region && member.state != MemberState::Fenced;
        let count = members.iter().filter(is_unfenced_in_region).count();
        let nodes = u32::try_from(count).unwrap_or(u32::MAX);
        Duration::from_secs(1) * nodes / self.settings.region_writes_per_s.max(1)
    }

    async fn reconcile(&self) -> PlatformResult<bool> {
        let members = self.membership.members();
        let region = self.membership.own_member().region;
        let assignment =
            |shard| preferred_owner(members.iter(), &region, shard).map(|member| member.id.clone());
        let is_lost = |incarnation: &str| {
            members
                .iter()
                .find(|member| member.id == incarnation)
                .is_none_or(|member| member.state == MemberState::Fenced)
        };
        self.shards.reconcile(&assignment, &is_lost).await
    }

    /// Sends heartbeats, one each interval.
    async fn run_heartbeats(&self, config: &dyn ConfigWatcher) {
        loop {
            let (own, members) = (self.membership.own_member(), self.membership.members());
            let version = config.current().version();
            self.heartbeats.update_observed(&own, &members);
            let on_newer = |newer| config.on_newer_version(newer);
            self.heartbeats.send_heartbeats(&own, &members, version, on_newer).await;
        }
    }

    /// Fences the members that a quorum of their observers suspects.
    async fn run_fencing(&self) {
        loop {
            let (own, members) = (self.membership.own_member(), self.membership.members());
            for suspect in self.heartbeats.confirmed_suspects(&own, &members).await {
                match self.membership.fence(&suspect).await {
                    Ok(_) => self.request_poll(),
                    Err(error) => warn!("event=fencing_failed target={suspect} cause={error:?}"),
                }
            }
            self.clock.sleep(self.settings.detector.interval).await;
        }
    }

    async fn run_maintenance(&self) {
        let retention_ms = millis(self.settings.retention);
        self.owner.expire(unix_ms(&*self.clock).saturating_sub(retention_ms));
        if let Err(error) = self.shards.checkpoint().await {
            warn!("event=checkpoint_failed cause={error:?}");
        }
        if let Err(error) = self.remove_fenced().await {
            warn!("event=removal_failed cause={error:?}");
        }
    }

    /// Deletes the rows of members that this node has known to be fenced for at least
    /// `FENCED_ROW_AGE`.
    ///
    /// Only the live member with the lowest id does so.
    async fn remove_fenced(&self) -> PlatformResult<()> {
        let members = self.membership.members();
        let expired = self.limits.fenced_for(FENCED_ROW_AGE, &members);
        let live = members.iter().filter(|member| member.state == MemberState::Live);
        let first = live.map(|member| member.id.as_str()).min();
        if expired.is_empty() || first != Some(self.incarnation.id()) {
            return Ok(());
        }
        self.membership.remove(&expired).await
    }
}
