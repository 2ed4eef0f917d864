//! Transfer of shares between holders: surplus shares, shares of fenced members, and all shares of
//! a node before a planned stop.

use std::time::Duration;

use log::{debug, info};

use super::{KnownRow, ShareLimiter, parse_row};
use crate::config::ConfigSnapshot;
use crate::ids::{IncarnationId, TeamId};
use crate::limits::held::HeldShare;
use crate::limits::shares::{LimitRow, holder_count, preferred_holders};
use crate::members::Member;
use crate::platform::{PlatformResult, Table, scan_all};

impl ShareLimiter {
    /// Transfers this node's surplus shares, which arise when a burst is lowered, to other holders.
    pub(super) async fn transfer_surplus_shares(
        &self,
        config: &ConfigSnapshot,
        members: &[Member],
    ) -> PlatformResult<()> {
        for (team, known, recipient) in self.surplus_shares(config) {
            // This node must stop spending before the recipient may spend the share.
            let held = self.held.borrow_mut().remove(&team);
            let mut row = known.row;
            if held.as_ref().is_some_and(HeldShare::is_unspent) {
                row.transfer_unspent(self.incarnation.id(), &recipient);
            } else {
                row.transfer(self.incarnation.id(), &recipient);
            }
            if !self.write_row(&team, known.version, row).await? {
                self.keep(&team, held);
                continue;
            }
            self.notify_recipient(&recipient, &team, members).await;
        }
        Ok(())
    }

    /// Holds a share again whose transfer failed because its row had changed.
    fn keep(&self, team: &TeamId, held: Option<HeldShare>) {
        let rows = self.rows.borrow();
        let share = rows.get(team).and_then(|known| known.row.share(self.incarnation.id()));
        if let (Some(share), Some(mut held)) = (share, held)
            && !self.handed_over.get()
        {
            held.resize(share, self.clock.monotonic());
            self.held.borrow_mut().insert(team.clone(), held);
        }
    }

    /// Notifies `recipient` of a transferred share. If the message is lost, the next token request
    /// also makes the recipient reload the row.
    async fn notify_recipient(&self, recipient: &str, team: &TeamId, members: &[Member]) {
        let version = self.rows.borrow().get(team).map_or(0, |known| known.version);
        if let Some(member) = members.iter().find(|member| member.id == recipient)
            && let Err(error) = self.peers.limit_moved(&member.peer_address, team, version).await
        {
            debug!("event=limit_notice_lost team={team} cause={error:?}");
        }
    }

    /// Returns this node's shares beyond the current holder count, each with its recipient.
    pub(super) fn surplus_shares(
        &self,
        config: &ConfigSnapshot,
    ) -> Vec<(TeamId, KnownRow, IncarnationId)> {
        let own_id = self.incarnation.id();
        let rows = self.rows.borrow();
        let surplus = rows.iter().filter_map(|(team, known)| {
            let recipient =
                known.row.surplus_recipient(own_id, holder_count(config.team_limit(team)?))?;
            Some((team.clone(), known.clone(), recipient.clone()))
        });
        surplus.collect()
    }

    /// Transfers to this node the shares of those fenced members that it must reclaim, once their
    /// leases have expired.
    ///
    /// # Errors
    ///
    /// Fails when the platform cannot be read or written; the call can be repeated.
    pub async fn reclaim(&self, members: &[Member]) -> PlatformResult<()> {
        let now = self.clock.monotonic();
        self.lost_members.observe(members, now);
        let own_id = self.incarnation.id();
        let reclaimable = self.lost_members.reclaimable_by(own_id, members, &self.heartbeats, now);
        if reclaimable.is_empty() {
            return Ok(());
        }
        let mut complete = true;
        for row in scan_all(&*self.table, Table::Limits, "", "").await? {
            let (team, known) = parse_row(row)?;
            let mut holders = reclaimable.iter().filter(|holder| known.row.share(holder).is_some());
            let Some(holder) = holders.next() else { continue };
            // Each call transfers at most one share per row; the next call finds the rest.
            complete &= holders.next().is_none();
            info!("event=limit_reclaimed team={team} from={holder}");
            complete &= self.transfer(&team, known.clone(), holder, own_id).await?;
        }
        if complete {
            self.lost_members.mark_reclaimed(reclaimable);
        }
        Ok(())
    }

    /// Returns the members that this node has seen as fenced for at least `age`.
    #[must_use]
    pub fn fenced_for(&self, age: Duration, members: &[Member]) -> Vec<IncarnationId> {
        self.lost_members.fenced_for(age, members, self.clock.monotonic())
    }

    /// Stops spending and transfers this node's shares to other live nodes before a planned stop.
    ///
    /// A share stays with this node if its row changes meanwhile or no other node is live.
    ///
    /// # Errors
    ///
    /// Fails when the platform cannot be read or written; the call can be repeated.
    pub async fn hand_over(&self, members: &[Member]) -> PlatformResult<()> {
        self.handed_over.set(true);
        self.held.borrow_mut().clear();
        let own_id = self.incarnation.id().to_owned();
        for row in scan_all(&*self.table, Table::Limits, "", "").await? {
            let (team, known) = parse_row(row)?;
            let recipient = preferred_holders(members, &team).into_iter().find(|id| *id != own_id);
            if let (Some(_), Some(recipient)) = (known.row.share(&own_id), recipient) {
                self.transfer(&team, known, &own_id, &recipient).await?;
                self.notify_recipient(&recipient, &team, members).await;
            }
        }
        Ok(())
    }

    /// Returns a holder whose member row was removed.
    ///
    /// Such a holder no longer spends its share. Member rows are removed only by a planned stop,
    /// after the node has stopped spending and transferred its shares as far as possible, or long
    /// after the member was fenced. A holder that `members` lacks may also be newer than the list.
    pub(super) async fn departed_holder(
        &self,
        row: &LimitRow,
        members: &[Member],
    ) -> PlatformResult<Option<IncarnationId>> {
        let holders = row.shares.iter().map(|share| &share.holder);
        for holder in holders.filter(|id| !members.iter().any(|member| member.id == **id)) {
            if self.table.get(Table::Nodes, holder).await?.is_none() {
                return Ok(Some(holder.clone()));
            }
        }
        Ok(None)
    }

    pub(super) async fn transfer(
        &self,
        team: &TeamId,
        known: KnownRow,
        from: &str,
        to: &str,
    ) -> PlatformResult<bool> {
        let mut row = known.row;
        row.transfer(from, to);
        self.write_row(team, known.version, row).await
    }
}
