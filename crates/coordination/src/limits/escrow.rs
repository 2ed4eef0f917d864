//! Rate limiter that splits each team's limit into shares. A node spends only the shares that it
//! holds, so the total over all nodes stays within the limit; `moves` transfers shares to other
//! nodes.

mod moves;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use log::{debug, info};
use rand::seq::SliceRandom as _;

use super::held::HeldShare;
use super::reclaim::LostMembers;
use super::shares::{LimitRow, holder_count, preferred_holders};
use crate::clock::{Clock, millis};
use crate::config::ConfigSnapshot;
use crate::config::objects::Limit;
use crate::heartbeat::Heartbeats;
use crate::ids::{IncarnationId, TeamId};
use crate::incarnation::Incarnation;
use crate::members::{Member, MemberState};
use crate::peers::{Peers, TakeReply};
use crate::platform::{
    PlatformError, PlatformResult, Row, Table, TableService, Transaction, TransactionOutcome,
    scan_all,
};
use crate::refusal::{Refusal, RefusalKind};

/// Maximum number of rows created in one transaction.
const CREATE_BATCH: usize = 64;
/// Maximum number of rounds in which a request asks the holders for a token.
const ACQUIRE_ROUNDS_MAX: usize = 8;

/// Settings of a [`ShareLimiter`].
#[derive(Debug, Clone)]
pub struct LimitSettings {
    /// Maximum time for which a request waits for a token to accrue.
    pub token_wait: Duration,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self { token_wait: Duration::from_millis(500) }
    }
}

#[derive(Debug, Clone, Default)]
struct KnownRow {
    version: u64,
    row: LimitRow,
}

/// Spends a node's shares of the team limits and requests tokens from other holders.
pub struct ShareLimiter {
    table: Rc<dyn TableService>,
    clock: Rc<dyn Clock>,
    peers: Rc<dyn Peers>,
    incarnation: Rc<Incarnation>,
    heartbeats: Rc<Heartbeats>,
    settings: LimitSettings,
    rows: RefCell<HashMap<TeamId, KnownRow>>,
    held: RefCell<HashMap<TeamId, HeldShare>>,
    lost_members: LostMembers,
    /// Whether [`Self::hand_over`] was called; this node spends no tokens afterwards.
    handed_over: Cell<bool>,
}

impl ShareLimiter {
    /// Creates a limiter that holds no shares.
    #[must_use]
    pub fn new(
        table: Rc<dyn TableService>,
        clock: Rc<dyn Clock>,
        peers: Rc<dyn Peers>,
        incarnation: Rc<Incarnation>,
        heartbeats: Rc<Heartbeats>,
        settings: LimitSettings,
    ) -> Self {
        Self {
            table,
            clock,
            peers,
            incarnation,
            heartbeats,
            settings,
            rows: RefCell::default(),
            held: RefCell::default(),
            lost_members: LostMembers::default(),
            handed_over: Cell::new(false),
        }
    }

    /// Returns the number of teams whose limit row is known to this node.
    #[must_use]
    pub fn known_teams(&self) -> usize {
        self.rows.borrow().len()
    }

    /// Takes one token of `team` from this node's share or that of another holder. If none is
    /// available, waits for one that accrues within [`LimitSettings::token_wait`].
    ///
    /// # Errors
    ///
    /// Returns [`RefusalKind::RateLimited`] with the time until the next token if the team exceeds
    /// its rate and burst, and [`RefusalKind::LimitUnavailable`] if no reachable holder has a share
    /// that it can spend.
    pub async fn acquire(
        &self,
        team: &TeamId,
        limit: &Limit,
        members: &[Member],
    ) -> Result<(), Refusal> {
        let deadline = self.clock.monotonic() + self.settings.token_wait;
        let mut next_token = None;
        for _ in 0..ACQUIRE_ROUNDS_MAX {
            let wait = match self.ask_holders(team, limit, members).await {
                TakeReply::Taken => return Ok(()),
                TakeReply::Empty { wait_ms } => Some(Duration::from_millis(wait_ms)),
                TakeReply::NotHolder => None,
            };
            next_token = wait.or(next_token);
            // If no holder could answer, they are asked again after a short pause.
            let pause = wait.unwrap_or(self.settings.token_wait / 4);
            if self.clock.monotonic() + pause > deadline {
                break;
            }
            self.clock.sleep(pause).await;
        }
        Err(next_token.map_or_else(limit_unavailable, |wait| rate_limited(team, limit, wait)))
    }

    /// Takes one token from this node's own share, for itself or for another node.
    ///
    /// `row_version` is the version of the limit row known to the requesting node. If this node
    /// knows only an older one, it reloads the row first.
    pub async fn take_own(
        &self,
        team: &TeamId,
        row_version: u64,
        limit: &Limit,
        members: &[Member],
    ) -> TakeReply {
        let known = self.rows.borrow().get(team).map(|known| known.version);
        if known.is_none_or(|known| known < row_version)
            && let Err(error) = self.load(team, limit, members).await
        {
            debug!("event=limit_unreadable team={team} cause={error:?}");
        }
        self.spend(team, limit)
    }

    /// Loads the limit rows of all teams, creates missing rows of teams whose most preferred holder
    /// is this node, and transfers this node's surplus shares to other holders. Returns whether
    /// every row is known and no surplus share is left.
    ///
    /// Rows are prepared before a team's first request, so that spending tokens does not depend on
    /// the table.
    ///
    /// # Errors
    ///
    /// Fails when the platform cannot be read or written; the call can be repeated.
    pub async fn prepare(
        &self,
        config: &ConfigSnapshot,
        members: &[Member],
    ) -> PlatformResult<bool> {
        if self.teams_without_row(config).next().is_some() {
            for row in scan_all(&*self.table, Table::Limits, "", "").await? {
                let (team, known) = parse_row(row)?;
                self.adopt(team, known);
            }
        }
        let missing: Vec<(TeamId, LimitRow)> = self
            .teams_without_row(config)
            .filter_map(|(team, limit)| {
                Some((team.clone(), self.initial_row(team, limit, members)?))
            })
            .collect();
        for batch in missing.chunks(CREATE_BATCH) {
            self.create_rows(batch).await?;
        }
        self.transfer_surplus_shares(config, members).await?;
        Ok(self.teams_without_row(config).next().is_none()
            && self.surplus_shares(config).is_empty())
    }

    /// Returns the limited teams whose limit row is not known to this node.
    fn teams_without_row<'a>(
        &'a self,
        config: &'a ConfigSnapshot,
    ) -> impl Iterator<Item = (&'a TeamId, &'a Limit)> {
        let teams = config.objects().team.keys();
        let limited = teams.filter_map(|team| Some((team, config.team_limit(team)?)));
        limited.filter(|(team, _)| !self.rows.borrow().contains_key(*team))
    }

    /// Reloads a team's limit row if the known version is older than `row_version`.
    ///
    /// # Errors
    ///
    /// Fails when the platform cannot be read.
    pub async fn refresh(&self, team: &TeamId, row_version: u64) -> PlatformResult<()> {
        let known = self.rows.borrow().get(team).map_or(0, |known| known.version);
        if known < row_version
            && let Some(row) = self.table.get(Table::Limits, team).await?
        {
            let (team, known) = parse_row(row)?;
            self.adopt(team, known);
        }
        Ok(())
    }

    /// Tries this node's share and then the other holders, each at most once.
    async fn ask_holders(&self, team: &TeamId, limit: &Limit, members: &[Member]) -> TakeReply {
        let mut best = self.take_own(team, 0, limit, members).await;
        let row_version = self.rows.borrow().get(team).map_or(0, |known| known.version);
        let mut stale = false;
        for address in self.other_holders(team, members) {
            if best == TakeReply::Taken {
                return best;
            }
            match self.peers.take(&address, team, row_version).await {
                Ok(TakeReply::NotHolder) => stale = true,
                Ok(reply) => best = sooner(best, reply),
                Err(error) => {
                    debug!("event=take_lost team={team} cause={error:?}");
                    stale = true;
                }
            }
        }
        if stale && best != TakeReply::Taken {
            let _ = self.load(team, limit, members).await;
        }
        best
    }

    fn spend(&self, team: &str, limit: &Limit) -> TakeReply {
        let mut held = self.held.borrow_mut();
        let Some(share) = held.get_mut(team) else { return TakeReply::NotHolder };
        let now = self.clock.monotonic();
        match share.take(limit, now, self.heartbeats.share_lease_expiry()) {
            Ok(()) => {
                let (parts, tokens) = (share.parts(), share.tokens());
                debug!("event=limit_token_taken team={team} parts={parts} tokens_left={tokens:.3}");
                TakeReply::Taken
            }
            Err(Some(wait)) => TakeReply::Empty { wait_ms: millis(wait).saturating_add(1) },
            Err(None) => TakeReply::NotHolder,
        }
    }

    /// Returns the peer addresses of the other holders in random order.
    ///
    /// If the row is not known, returns the address of the member that should create it.
    fn other_holders(&self, team: &str, members: &[Member]) -> Vec<String> {
        let own_id = self.incarnation.id();
        let rows = self.rows.borrow();
        let holders: Vec<IncarnationId> = match rows.get(team) {
            Some(known) => known.row.shares.iter().map(|share| share.holder.clone()).collect(),
            None => preferred_holders(members, team).into_iter().take(1).collect(),
        };
        let not_fenced = members.iter().filter(|member| member.state != MemberState::Fenced);
        let mut addresses: Vec<String> = not_fenced
            .filter(|member| member.id != own_id && holders.contains(&member.id))
            .map(|member| member.peer_address.clone())
            .collect();
        addresses.shuffle(&mut rand::rng());
        addresses
    }

    /// Loads a team's limit row. If this node is the most preferred holder, it creates a missing
    /// row and takes over a share whose holder is no longer a member.
    async fn load(&self, team: &TeamId, limit: &Limit, members: &[Member]) -> PlatformResult<()> {
        let Some(row) = self.table.get(Table::Limits, team).await? else {
            return match self.initial_row(team, limit, members) {
                Some(row) => self.write_row(team, 0, row).await.map(drop),
                None => Ok(()),
            };
        };
        let (_, known) = parse_row(row)?;
        self.adopt(team.clone(), known.clone());
        let own_id = self.incarnation.id();
        if preferred_holders(members, team).first().map(String::as_str) != Some(own_id) {
            return Ok(());
        }
        match self.departed_holder(&known.row, members).await? {
            Some(departed) => self.transfer(team, known, &departed, own_id).await.map(drop),
            None => Ok(()),
        }
    }

    /// Replaces the known row with a newer one. A new share starts full only if no row of the team
    /// was known before; otherwise its tokens may already have been spent.
    fn adopt(&self, team: TeamId, known: KnownRow) {
        let mut rows = self.rows.borrow_mut();
        let first_seen = !rows.contains_key(&team);
        if rows.get(&team).is_some_and(|old| old.version >= known.version) {
            return;
        }
        let now = self.clock.monotonic();
        let mut held = self.held.borrow_mut();
        match known.row.share(self.incarnation.id()) {
            Some(share) if !self.handed_over.get() => {
                held.entry(team.clone())
                    .and_modify(|held| held.resize(share, now))
                    .or_insert_with(|| HeldShare::new(share, first_seen, now));
            }
            _ => drop(held.remove(&team)),
        }
        rows.insert(team, known);
    }

    /// Returns the initial limit row of a team if this node is its most preferred holder.
    fn initial_row(&self, team: &str, limit: &Limit, members: &[Member]) -> Option<LimitRow> {
        let mut holders = preferred_holders(members, team);
        if holders.first().map(String::as_str) != Some(self.incarnation.id()) {
            return None;
        }
        holders.truncate(holder_count(limit));
        Some(LimitRow::split(&holders))
    }

    /// Creates rows in one transaction. After a conflict none of them is created; each is loaded at
    /// its first use or by the next [`ShareLimiter::prepare`].
    async fn create_rows(&self, batch: &[(TeamId, LimitRow)]) -> PlatformResult<()> {
        let mut transaction = Transaction::default().require(
            Table::Nodes,
            self.incarnation.id(),
            self.incarnation.row_version(),
        );
        for (team, row) in batch {
            let value = serde_json::to_value(row).unwrap_or_default();
            transaction =
                transaction.require(Table::Limits, team, 0).put(Table::Limits, team, value);
        }
        if let TransactionOutcome::Committed(version) = self.table.transact(&transaction).await? {
            info!("event=limits_split teams={}", batch.len());
            for (team, row) in batch {
                self.adopt(team.clone(), KnownRow { version, row: row.clone() });
            }
        }
        Ok(())
    }

    /// Writes a row if it has the expected version; returns whether the write took effect.
    async fn write_row(&self, team: &TeamId, expected: u64, row: LimitRow) -> PlatformResult<bool> {
        let transaction = Transaction::default()
            .require(Table::Nodes, self.incarnation.id(), self.incarnation.row_version())
            .require(Table::Limits, team, expected)
            .put(Table::Limits, team, serde_json::to_value(&row).unwrap_or_default());
        if let TransactionOutcome::Committed(version) = self.table.transact(&transaction).await? {
            // Also logged for transfers.
            info!("event=limit_split team={team} holders={}", row.shares.len());
            self.adopt(team.clone(), KnownRow { version, row });
            return Ok(true);
        }
        if let Some(row) = self.table.get(Table::Limits, team).await? {
            // The row or this node's member row has changed; the next call is based on the current
            // row.
            let (team, known) = parse_row(row)?;
            self.adopt(team, known);
        }
        Ok(false)
    }
}

/// Returns the reply with the earlier token; `known` must not be [`TakeReply::Taken`].
fn sooner(known: TakeReply, other: TakeReply) -> TakeReply {
    match (&known, &other) {
        (TakeReply::Empty { wait_ms: first }, TakeReply::Empty { wait_ms: second }) => {
            TakeReply::Empty { wait_ms: *first.min(second) }
        }
        (_, TakeReply::NotHolder) => known,
        _ => other,
    }
}

fn parse_row(row: Row) -> PlatformResult<(TeamId, KnownRow)> {
    let parsed = serde_json::from_value(row.value).map_err(|error| PlatformError::Malformed {
        detail: format!("limit row {}: {error}", row.key),
    })?;
    Ok((row.key, KnownRow { version: row.version, row: parsed }))
}

fn rate_limited(team: &str, limit: &Limit, wait: Duration) -> Refusal {
    Refusal::not_run(
        RefusalKind::RateLimited,
        format!(
            "team {team} is over its rate of {} requests a second and burst of {}; \
             send fewer requests or repeat this one after the pause",
            limit.rate_per_s, limit.burst
        ),
    )
    .retry_after_ms(millis(wait).max(1))
}

fn limit_unavailable() -> Refusal {
    Refusal::not_run(
        RefusalKind::LimitUnavailable,
        "the nodes that hold the team's limit cannot be reached; repeat the request after the pause",
    )
}
