//! Decides when the limit shares of a fenced member may be reclaimed.

use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::time::Duration;

use crate::heartbeat::{Heartbeats, SHARE_LEASE};
use crate::ids::IncarnationId;
use crate::members::{Member, MemberState};

/// Margin for clock drift between nodes during a lease.
const DRIFT_MARGIN: Duration = Duration::from_millis(300);

/// Fenced members and fenced or removed reclaimers, each with the time at which this node first saw
/// that state, and the members whose shares have been reclaimed.
#[derive(Debug, Default)]
pub(super) struct LostMembers {
    since: RefCell<HashMap<IncarnationId, Duration>>,
    reclaimed: RefCell<HashSet<IncarnationId>>,
}

impl LostMembers {
    /// Records `now` for members newly seen as fenced and for reclaimers newly seen as fenced or
    /// removed.
    pub fn observe(&self, members: &[Member], now: Duration) {
        let mut since = self.since.borrow_mut();
        let reclaimers = members.iter().filter_map(|member| member.reclaimer.as_ref());
        for id in members.iter().map(|member| &member.id).chain(reclaimers) {
            let member = members.iter().find(|member| member.id == *id);
            if member.is_none_or(|member| member.state == MemberState::Fenced) {
                since.entry(id.clone()).or_insert(now);
            }
        }
    }

    /// Returns the fenced members whose shares `own_id` must reclaim now.
    pub fn reclaimable_by(
        &self,
        own_id: &str,
        members: &[Member],
        heartbeats: &Heartbeats,
        now: Duration,
    ) -> Vec<IncarnationId> {
        let fenced = members.iter().filter(|member| member.state == MemberState::Fenced);
        let not_reclaimed = fenced.filter(|member| !self.reclaimed.borrow().contains(&member.id));
        let reclaimable = not_reclaimed.filter(|member| {
            self.is_reclaimable(
                own_id,
                member,
                members,
                heartbeats.lease_granted_at(&member.id),
                now,
            )
        });
        reclaimable.map(|member| member.id.clone()).collect()
    }

    /// Records that no row contains shares of these members any more.
    pub fn mark_reclaimed(&self, members: Vec<IncarnationId>) {
        self.reclaimed.borrow_mut().extend(members);
    }

    /// Returns the members that this node has seen as fenced for at least `age`.
    pub fn fenced_for(
        &self,
        age: Duration,
        members: &[Member],
        now: Duration,
    ) -> Vec<IncarnationId> {
        let since = self.since.borrow();
        let old = |id: &str| since.get(id).is_some_and(|since| now >= *since + age);
        let fenced = members.iter().filter(|member| member.state == MemberState::Fenced);
        fenced.filter(|member| old(&member.id)).map(|member| member.id.clone()).collect()
    }

    /// Returns whether `own_id` must reclaim the shares of a fenced member now.
    ///
    /// A member spends its shares only during its lease. The lease is renewed by each membership
    /// poll that shows the member as not fenced, and by each heartbeat reply from its reclaimer.
    /// Its shares may be reclaimed after it has been fenced for longer than a lease. As long as the
    /// reclaimer is live, only the reclaimer may do so, after the last lease that it granted has
    /// expired. If there is no reclaimer, or if the reclaimer has been fenced or removed for longer
    /// than a lease too, the live member with the lowest id reclaims the shares.
    fn is_reclaimable(
        &self,
        own_id: &str,
        member: &Member,
        members: &[Member],
        lease_granted_at: Option<Duration>,
        now: Duration,
    ) -> bool {
        let has_expired = |since: Duration| now >= since + SHARE_LEASE + DRIFT_MARGIN;
        let lost_since = |id: &str| self.since.borrow().get(id).copied();
        if !lost_since(&member.id).is_some_and(has_expired) {
            return false;
        }
        match member.reclaimer.as_deref() {
            Some(reclaimer) if reclaimer == own_id => lease_granted_at.is_none_or(has_expired),
            Some(reclaimer) => {
                lost_since(reclaimer).is_some_and(has_expired) && is_lowest_live_id(own_id, members)
            }
            None => is_lowest_live_id(own_id, members),
        }
    }
}

/// Returns whether `own_id` is the live member with the lowest id.
fn is_lowest_live_id(own_id: &str, members: &[Member]) -> bool {
    let live = members.iter().filter(|member| member.state == MemberState::Live);
    live.map(|member| member.id.as_str()).min() == Some(own_id)
}
