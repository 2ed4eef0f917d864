//! Exchange of heartbeats, suspicion of failed members, and leases on limit shares.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::{Either, LocalBoxFuture, join_all, select};
use futures_util::stream::{FuturesUnordered, StreamExt as _};
use log::debug;

use crate::clock::{Clock, millis};
use crate::detector::{Detector, DetectorSettings, OBSERVER_QUORUM, observers};
use crate::ids::{ConfigVersion, IncarnationId};
use crate::members::{Member, MemberState};
use crate::peers::{Heartbeat, HeartbeatReply, PeerError, Peers};

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

/// Outcome of a heartbeat.
struct SentHeartbeat {
    observer: IncarnationId,
    peer_address: String,
    sent_at: Duration,
    reply: Result<HeartbeatReply, PeerError>,
}

/// Heartbeats whose replies have not arrived yet, at most one to each observer.
#[derive(Default)]
struct Unanswered {
    observers: HashSet<IncarnationId>,
    replies: FuturesUnordered<LocalBoxFuture<'static, SentHeartbeat>>,
}

/// Heartbeat exchange of one node.
pub struct Heartbeats {
    peers: Rc<dyn Peers>,
    clock: Rc<dyn Clock>,
    interval: Duration,
    detector: RefCell<Detector>,
    unanswered: RefCell<Unanswered>,
    observation: RefCell<Option<Rc<Observation>>>,
    lease_granted_at: RefCell<HashMap<IncarnationId, Duration>>,
    share_lease_expiry: Cell<Duration>,
    sent: Cell<u64>,
}

impl Heartbeats {
    /// Creates the exchange; nothing is sent before [`Heartbeats::send_heartbeats`].
    #[must_use]
    pub fn new(peers: Rc<dyn Peers>, clock: Rc<dyn Clock>, settings: DetectorSettings) -> Self {
        let interval = settings.interval;
        let detector = Detector::new(settings, clock.monotonic());
        Self {
            peers,
            clock,
            interval,
            unanswered: RefCell::default(),
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

    /// Sends a heartbeat to each observer and handles replies for one heartbeat interval.
    ///
    /// An observer that has not answered the heartbeat before gets no further one yet; it does not
    /// delay those to other observers. `on_newer` is called with each configuration of a reply that
    /// is newer than `config_version` and those before it.
    pub async fn send_heartbeats(
        &self,
        own: &Member,
        members: &Rc<Vec<Member>>,
        config_version: ConfigVersion,
        on_newer: impl Fn(NewerConfig),
    ) {
        let mut round_end = self.clock.sleep(self.interval);
        let heartbeat = Heartbeat { from: own.id.clone(), config_version };
        let observation = self.observation(own, members);
        let mut unanswered = self.unanswered.take();
        for observer in &observation.own_observers {
            if unanswered.observers.insert(observer.id.clone()) {
                unanswered.replies.push(self.send_heartbeat(observer, &heartbeat));
            }
        }
        let mut newest = config_version;
        while !unanswered.replies.is_empty() {
            match select(unanswered.replies.next(), &mut round_end).await {
                Either::Left((sent, _)) => {
                    let Some(sent) = sent else { continue };
                    unanswered.observers.remove(&sent.observer);
                    let Some(config) = self.handle_reply(own, sent) else { continue };
                    if config.version > newest {
                        newest = config.version;
                        on_newer(config);
                    }
                }
                Either::Right(_) => {
                    self.unanswered.replace(unanswered);
                    return;
                }
            }
        }
        round_end.await;
    }

    fn send_heartbeat(
        &self,
        observer: &Member,
        heartbeat: &Heartbeat,
    ) -> LocalBoxFuture<'static, SentHeartbeat> {
        self.sent.set(self.sent.get() + 1);
        let sent_at = self.clock.monotonic();
        let (peers, heartbeat) = (Rc::clone(&self.peers), heartbeat.clone());
        let (observer, peer_address) = (observer.id.clone(), observer.peer_address.clone());
        Box::pin(async move {
            let reply = peers.heartbeat(&peer_address, &heartbeat).await;
            SentHeartbeat { observer, peer_address, sent_at, reply }
        })
    }

    /// Extends this node's share lease if the reply grants one; returns the configuration of the
    /// peer.
    fn handle_reply(&self, own: &Member, sent: SentHeartbeat) -> Option<NewerConfig> {
        match sent.reply {
            Ok(reply) => {
                // Only the reclaimer waits for the lease that it granted to expire, so the leases
                // granted by other observers are ignored.
                if own.reclaimer.as_deref() == Some(&reply.from) {
                    // The lease starts at the send time, so that it expires here before the peer
                    // that granted it considers it expired.
                    self.extend_share_lease(sent.sent_at + Duration::from_millis(reply.promise_ms));
                }
                let version = reply.config_version;
                Some(NewerConfig { version, peer_address: sent.peer_address })
            }
            Err(error) => {
                debug!("event=heartbeat_lost peer={} cause={error:?}", sent.observer);
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
