//! Exchange of heartbeats, suspicion of failed members, and leases on limit shares.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;
use log::debug;

use crate::clock::{Clock, millis};
use crate::detector::{Detector, DetectorSettings, OBSERVER_QUORUM, observers};
use crate::ids::{ConfigVersion, IncarnationId};
use crate::members::{Member, MemberState};
use crate::peers::{Heartbeat, HeartbeatReply, Peers};

/// Duration of the lease on a node's limit shares, which are not reclaimed before it has expired.
///
/// The lease is renewed by each heartbeat reply from the node's reclaimer and by each successful
/// membership poll.
pub const SHARE_LEASE: Duration = Duration::from_secs(3);

/// Newer configuration reported by a peer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NewerConfig {
    /// Version in force at the peer.
    pub version: ConfigVersion,
    /// Peer address from which to fetch the configuration.
    pub peer_address: String,
}

/// Observers of this node and the members observed by it, computed from `members`.
struct Observation {
    members: Rc<Vec<Member>>,
    own_observers: Vec<Member>,
    observed: Vec<IncarnationId>,
}

impl Observation {
    fn new(own: &Member, members: &Rc<Vec<Member>>) -> Self {
        let observes = |target: &&Member| {
            target.id != own.id
                && target.state != MemberState::Fenced
                && observers(members, target).iter().any(|observer| observer.id == own.id)
        };
        Self {
            members: Rc::clone(members),
            own_observers: observers(members, own).into_iter().cloned().collect(),
            observed: members.iter().filter(observes).map(|member| member.id.clone()).collect(),
        }
    }
}

/// Heartbeat exchange of one node.
pub struct Heartbeats {
    peers: Rc<dyn Peers>,
    clock: Rc<dyn Clock>,
    detector: RefCell<Detector>,
    observation: RefCell<Option<Rc<Observation>>>,
    lease_granted_at: RefCell<HashMap<IncarnationId, Duration>>,
    share_lease_expiry: Cell<Duration>,
    sent: Cell<u64>,
}

impl Heartbeats {
    /// Creates the exchange; nothing is sent before [`Heartbeats::send_heartbeats`].
    #[must_use]
    pub fn new(peers: Rc<dyn Peers>, clock: Rc<dyn Clock>, settings: DetectorSettings) -> Self {
        let detector = Detector::new(settings, clock.monotonic());
        Self {
            peers,
            clock,
            detector: RefCell::new(detector),
            observation: RefCell::default(),
            lease_granted_at: RefCell::default(),
            share_lease_expiry: Cell::default(),
            sent: Cell::default(),
        }
    }

    /// Returns the monotonic time at which this node's share lease expires.
    ///
    /// The node may spend its limit shares until then.
    #[must_use]
    pub fn share_lease_expiry(&self) -> Duration {
        self.share_lease_expiry.get()
    }

    /// Extends this node's share lease to `until` unless it already expires later.
    pub fn extend_share_lease(&self, until: Duration) {
        self.share_lease_expiry.set(self.share_lease_expiry.get().max(until));
    }

    /// Returns the number of heartbeats sent.
    #[must_use]
    pub fn sent(&self) -> u64 {
        self.sent.get()
    }

    /// Replies to a heartbeat; grants a share lease unless the sender is known to be fenced.
    pub fn answer(
        &self,
        own: &Member,
        members: &[Member],
        heartbeat: &Heartbeat,
        config_version: ConfigVersion,
    ) -> HeartbeatReply {
        let fenced = members
            .iter()
            .any(|member| member.id == heartbeat.from && member.state == MemberState::Fenced);
        let lease = if fenced { Duration::ZERO } else { SHARE_LEASE };
        if !fenced {
            let now = self.clock.monotonic();
            self.detector.borrow_mut().record_heartbeat(&heartbeat.from, now);
            self.lease_granted_at.borrow_mut().insert(heartbeat.from.clone(), now);
        }
        HeartbeatReply { from: own.id.clone(), config_version, promise_ms: millis(lease) }
    }

    /// Returns the monotonic time at which this node last granted `member` a lease on its shares.
    #[must_use]
    pub fn lease_granted_at(&self, member: &str) -> Option<Duration> {
        self.lease_granted_at.borrow().get(member).copied()
    }

    /// Returns whether this node suspects `member`.
    #[must_use]
    pub fn is_suspect(&self, member: &str) -> bool {
        self.detector.borrow().is_suspect(member, self.clock.monotonic())
    }

    /// Sends a heartbeat to each observer.
    ///
    /// Returns the newest configuration reported in the replies, if newer than `config_version`.
    pub async fn send_heartbeats(
        &self,
        own: &Member,
        members: &Rc<Vec<Member>>,
        config_version: ConfigVersion,
    ) -> Option<NewerConfig> {
        let heartbeat = Heartbeat { from: own.id.clone(), config_version };
        let observation = self.observation(own, members);
        let sends = observation
            .own_observers
            .iter()
            .map(|observer| self.send_heartbeat(own, observer, &heartbeat));
        let replies = join_all(sends).await;
        let newer = replies.into_iter().flatten().filter(|newer| newer.version > config_version);
        newer.max_by_key(|newer| newer.version)
    }

    async fn send_heartbeat(
        &self,
        own: &Member,
        observer: &Member,
        heartbeat: &Heartbeat,
    ) -> Option<NewerConfig> {
        let sent_at = self.clock.monotonic();
        self.sent.set(self.sent.get() + 1);
        match self.peers.heartbeat(&observer.peer_address, heartbeat).await {
            Ok(reply) => {
                // Only the reclaimer waits for the lease that it granted to expire, so the leases
                // granted by other observers are ignored.
                if own.reclaimer.as_deref() == Some(&reply.from) {
                    // The lease starts at the send time, so that it expires here before the peer
                    // that granted it considers it expired.
                    self.extend_share_lease(sent_at + Duration::from_millis(reply.promise_ms));
                }
                let version = reply.config_version;
                Some(NewerConfig { version, peer_address: observer.peer_address.clone() })
            }
            Err(error) => {
                debug!("event=heartbeat_lost peer={} cause={error:?}", observer.id);
                None
            }
        }
    }

    /// Updates the set of members that this node observes.
    pub fn update_observed(&self, own: &Member, members: &Rc<Vec<Member>>) {
        let observation = self.observation(own, members);
        self.detector.borrow_mut().set_observed(&observation.observed, self.clock.monotonic());
    }

    /// Returns the observation for `members`, reusing the cached one if `members` is unchanged.
    fn observation(&self, own: &Member, members: &Rc<Vec<Member>>) -> Rc<Observation> {
        let mut known = self.observation.borrow_mut();
        match &*known {
            Some(observation) if Rc::ptr_eq(&observation.members, members) => {
                Rc::clone(observation)
            }
            _ => Rc::clone(known.insert(Rc::new(Observation::new(own, members)))),
        }
    }

    /// Returns the suspects that a quorum of their observers confirms.
    pub async fn confirmed_suspects(&self, own: &Member, members: &[Member]) -> Vec<IncarnationId> {
        let suspects = self.detector.borrow().suspects(self.clock.monotonic());
        let mut confirmed = Vec::new();
        for suspect in suspects {
            let Some(target) = members.iter().find(|member| member.id == suspect) else { continue };
            if self.is_confirmed(own, members, target).await {
                confirmed.push(suspect);
            }
        }
        confirmed
    }

    async fn is_confirmed(&self, own: &Member, members: &[Member], target: &Member) -> bool {
        let observing = observers(members, target);
        let quorum = OBSERVER_QUORUM.min(observing.len());
        let others = observing.iter().filter(|member| member.id != own.id);
        let requests = others.map(|other| self.peers.suspects(&other.peer_address, &target.id));
        let agreeing =
            join_all(requests).await.into_iter().filter(|reply| matches!(reply, Ok(true)));
        // This node suspects the target too.
        1 + agreeing.count() >= quorum
    }
}
