//! Limits of backend servers, and permits for requests to them, granted by their keepers.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;

use dandelionfront_coordination::load::ServerHash;
use dandelionfront_coordination::server_limits::{ColdLimit, NamedLimit, PermitKeeper};
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;
use tokio::time::timeout;

use super::loads::{KEEPER_TIMEOUT, SILENT_KEEPER_PAUSE};
use super::{Message, Peers};
use crate::front::process::FrontNode;

/// Number of times that a keeper is asked for a permit before it is considered silent.
const QUERIES_MAX: usize = 2;
/// Time after which a permit is asked for again if the keeper did not answer, or if the node that
/// was asked does not consider itself the keeper.
const NO_KEEPER_PAUSE: Duration = Duration::from_millis(100);
/// Age up to which a keeper tells others that a server has no limit.
const ENDED_LIMIT_AGE_MAX: Duration = Duration::from_secs(10);

/// Subtracted from the time for which a server is cold when another node is told, so that nodes
/// that tell each other do not prolong it by the time that messages take.
const COLD_MARGIN: Duration = Duration::from_millis(100);

/// What the newest answer of a backend server that the sender knows said of its limit.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(super) struct ServerLimit {
    pub(super) server: ServerHash,
    /// Requests a second from all nodes together; `None` if the answer named no limit.
    per_s: Option<f64>,
    /// Age of the answer.
    age_ms: u32,
}

impl ServerLimit {
    fn new(server: ServerHash, named: NamedLimit, now: Duration) -> Self {
        let age = now.saturating_sub(named.answered_at);
        Self { server, per_s: named.per_s, age_ms: millis_u32(age) }
    }

    fn named(&self, now: Duration) -> NamedLimit {
        let age = Duration::from_millis(self.age_ms.into());
        NamedLimit { per_s: self.per_s, answered_at: now.saturating_sub(age) }
    }
}

/// A backend server that is cold, as told to another node.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(super) struct ColdServer {
    pub(super) server: ServerHash,
    /// Requests a second from all nodes together.
    pub(super) per_s: f64,
    /// Time for which the server is still cold, less [`COLD_MARGIN`].
    remaining_ms: u32,
}

impl ColdServer {
    fn new(server: ServerHash, cold: ColdLimit, now: Duration) -> Self {
        let remaining = cold.until.saturating_sub(now + COLD_MARGIN);
        Self { server, per_s: cold.per_s, remaining_ms: millis_u32(remaining) }
    }
}

/// A permit, or the time after which it may be asked for again.
type Permit = Result<(), Duration>;

#[derive(Debug, Default)]
struct PendingPermit {
    permit: Cell<Option<Permit>>,
    is_answered: Notify,
}

/// Permits that this node grants, and those that it has asked for.
#[derive(Debug, Default)]
pub(super) struct Permits {
    keeper: RefCell<PermitKeeper>,
    /// Queries by number; the request that waits for the permit holds the query.
    pending: RefCell<HashMap<u32, Weak<PendingPermit>>>,
    next_query: Cell<u32>,
}

impl Permits {
    fn begin_query(&self) -> (u32, Rc<PendingPermit>) {
        let query = self.next_query.get();
        self.next_query.set(query.wrapping_add(1));
        let pending = Rc::new(PendingPermit::default());
        self.pending.borrow_mut().insert(query, Rc::downgrade(&pending));
        (query, pending)
    }

    pub(super) fn apply(&self, query: u32, wait_ms: Option<u32>) {
        // A late reply finds no query; its permit is lost.
        let Some(pending) = self.pending.borrow_mut().remove(&query).and_then(|it| it.upgrade())
        else {
            return;
        };
        let permit = wait_ms.map_or(Ok(()), |wait| Err(Duration::from_millis(wait.into())));
        pending.permit.set(Some(permit));
        pending.is_answered.notify_one();
    }

    pub(super) fn prune(&self, now: Duration) {
        self.keeper.borrow_mut().prune(now);
        self.pending.borrow_mut().retain(|_, pending| pending.strong_count() > 0);
    }
}

impl Peers {
    /// Records what an answer to this node said of its server's limit, and tells the keeper;
    /// returns whether the limit has changed.
    pub fn note_limit(
        &self,
        node: &FrontNode,
        server: ServerHash,
        limit_per_s: Option<f64>,
    ) -> bool {
        let now = node.clock.monotonic_now();
        let named = NamedLimit { per_s: limit_per_s, answered_at: now };
        let is_changed = node.placement.borrow_mut().limits_mut().note(server, named);
        if is_changed || limit_per_s.is_some() {
            let keeper = self.keeper_of(node, server, now);
            if keeper != self.own_id()
                && let Ok(keeper) = keeper.parse()
            {
                self.send(keeper, &Message::ServerLimit(ServerLimit::new(server, named, now)));
            }
        }
        is_changed
    }

    /// Takes a permit for a request to a server that is cold or has named a limit.
    ///
    /// # Errors
    ///
    /// Returns the time after which a permit may be asked for again.
    pub async fn take_permit(&self, node: &FrontNode, server: ServerHash) -> Permit {
        let now = node.clock.monotonic_now();
        let (named, cold) = {
            let placement = node.placement.borrow();
            (placement.limits().named(server), placement.limits().cold(server, now))
        };
        let limit = named.map(|named| ServerLimit::new(server, named, now));
        if limit.is_none() && cold.is_none() {
            return Ok(());
        }
        let keeper = self.keeper_of(node, server, now);
        if keeper == self.own_id() {
            return self.grant(node, server, None, now);
        }
        let Ok(address) = keeper.parse() else { return Err(NO_KEEPER_PAUSE) };
        for _ in 0..QUERIES_MAX {
            let (query, pending) = self.permits.begin_query();
            let message = match (cold, limit) {
                (None, None) => return Ok(()),
                (None, Some(limit)) => Message::PermitQuery { query, limit },
                (Some(cold), named) => {
                    let cold = ColdServer::new(server, cold, now);
                    Message::ColdPermitQuery { query, cold, named }
                }
            };
            self.send(address, &message);
            let answered = timeout(KEEPER_TIMEOUT, pending.is_answered.notified()).await;
            self.permits.pending.borrow_mut().remove(&query);
            if let (Ok(()), Some(permit)) = (answered, pending.permit.get()) {
                return permit;
            }
        }
        log::info!("event=keeper_silent member={keeper} permit_of={server}");
        self.silent_keepers.borrow_mut().insert(keeper, now + SILENT_KEEPER_PAUSE);
        Err(NO_KEEPER_PAUSE)
    }

    /// Grants or refuses a permit as the keeper of `server`, at `asked_per_s` at most if the asking
    /// node holds the server for cold; this node may not know it yet or may just have let it end.
    fn grant(
        &self,
        node: &FrontNode,
        server: ServerHash,
        asked_per_s: Option<f64>,
        now: Duration,
    ) -> Permit {
        let in_force = node.placement.borrow().limits().in_force(server, now);
        match in_force.into_iter().chain(asked_per_s).reduce(f64::min) {
            Some(limit_per_s) => self.permits.keeper.borrow_mut().take(server, limit_per_s, now),
            None => Ok(()),
        }
    }

    /// Answers another node's query for a permit.
    ///
    /// A node that does not consider itself the keeper refuses, because the keeper may have spent
    /// the limit. It finds out whether the keeper answers, and takes over if not.
    pub(super) fn answer_permit_query(
        self: &Rc<Self>,
        node: &Rc<FrontNode>,
        sender: SocketAddr,
        query: u32,
        server: ServerHash,
        asked_per_s: Option<f64>,
    ) {
        let now = node.clock.monotonic_now();
        self.send_limit(node, sender, server, now);
        let permit = if self.keeper_of(node, server, now) == self.own_id() {
            self.grant(node, server, asked_per_s, now)
        } else {
            let (peers, node) = (Rc::clone(self), Rc::clone(node));
            tokio::task::spawn_local(async move {
                peers.refresh_loads(&node, &[server], None).await;
            });
            Err(NO_KEEPER_PAUSE)
        };
        let wait_ms = permit.err().map(millis_u32);
        self.send(sender, &Message::PermitReply { query, wait_ms });
    }

    /// Tells `receiver` the limits of `server`, or that the one that it named has ended.
    pub(super) fn send_limit(
        &self,
        node: &FrontNode,
        receiver: SocketAddr,
        server: ServerHash,
        now: Duration,
    ) {
        let placement = node.placement.borrow();
        if let Some(cold) = placement.limits().cold(server, now) {
            let cold = ColdServer::new(server, cold, now);
            if cold.remaining_ms > 0 {
                self.send(receiver, &Message::ServerCold(cold));
            }
        }
        let Some(named) = placement.limits().named(server) else { return };
        if named.per_s.is_some() || now < named.answered_at + ENDED_LIMIT_AGE_MAX {
            self.send(receiver, &Message::ServerLimit(ServerLimit::new(server, named, now)));
        }
    }
}

/// Records what another node knows of a server's limit.
pub(super) fn apply_limit(node: &FrontNode, sender: SocketAddr, limit: ServerLimit) {
    let named = limit.named(node.clock.monotonic_now());
    if !node.placement.borrow_mut().limits_mut().note(limit.server, named) {
        return;
    }
    let servers = node.servers.borrow();
    let server = servers.id_of(limit.server).map_or("-", String::as_str);
    let per_s = limit.per_s.map_or("-".to_owned(), |per_s| per_s.to_string());
    log::info!(
        "event=server_limit server={server} limit_per_s={per_s} source=node member={sender} \
         age_ms={}",
        limit.age_ms,
    );
}

/// Records that another node holds a server for cold.
pub(super) fn apply_cold(node: &FrontNode, sender: SocketAddr, cold: ColdServer) {
    let now = node.clock.monotonic_now();
    let until = now + Duration::from_millis(cold.remaining_ms.into());
    let limit = ColdLimit { per_s: cold.per_s, until };
    if !node.placement.borrow_mut().limits_mut().note_cold(cold.server, limit, now) {
        return;
    }
    let servers = node.servers.borrow();
    let server = servers.id_of(cold.server).map_or("-", String::as_str);
    log::info!(
        "event=server_cold server={server} limit_per_s={} cold_ms={} source=node member={sender}",
        cold.per_s,
        cold.remaining_ms,
    );
}

fn millis_u32(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}
