//! Messages between nodes and the interface that carries them.

use async_trait::async_trait;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::config::objects::ObjectSet;
use crate::config::publish::VersionRow;
use crate::ids::{ConfigVersion, IncarnationId, TeamId};

/// Heartbeat from a member to one of its observers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Incarnation of the sender.
    pub from: IncarnationId,
    /// Configuration in force at the sender.
    pub config_version: ConfigVersion,
}

/// Reply to a [`Heartbeat`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatReply {
    /// Incarnation of the replying node.
    pub from: IncarnationId,
    /// Configuration in force at the replying node.
    pub config_version: ConfigVersion,
    /// Duration of the lease on the sender's limit shares; the replying node does not reclaim them
    /// before it has expired.
    pub promise_ms: u64,
}

/// Reply to a request for a rate limit token.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TakeReply {
    /// The token was taken.
    Taken,
    /// No token is available yet.
    Empty {
        /// Time until a token becomes available.
        wait_ms: u64,
    },
    /// The node's share of the team's limit is missing or too small for a token, or its lease on
    /// the share has expired.
    NotHolder,
}

/// Configuration update sent from node to node.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfigTransfer {
    /// Versions to apply in order, with inline changes.
    Changes(Vec<VersionRow>),
    /// A complete object set.
    Full {
        /// Version of the set.
        version: ConfigVersion,
        /// Digest of the set.
        digest: String,
        /// The set.
        objects: Box<ObjectSet>,
    },
}

/// Failure of a message to another node.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display(
    "the peer at {address} did not answer ({detail}); check the network between the nodes"
))]
pub struct PeerError {
    /// Address of the peer.
    pub address: String,
    /// Cause as reported by the transport.
    pub detail: String,
}

/// Client for control messages between nodes; addresses are peer addresses of members.
#[async_trait(?Send)]
pub trait Peers {
    /// Sends a heartbeat.
    ///
    /// # Errors
    ///
    /// Fails when the peer does not answer in time.
    async fn heartbeat(
        &self,
        address: &str,
        heartbeat: &Heartbeat,
    ) -> Result<HeartbeatReply, PeerError>;

    /// Asks whether the peer also suspects `target`.
    ///
    /// # Errors
    ///
    /// Fails when the peer does not answer in time.
    async fn suspects(&self, address: &str, target: &str) -> Result<bool, PeerError>;

    /// Takes a rate limit token of a team from the peer's share; `row_version` is the version of
    /// the team's limit row known to the caller.
    ///
    /// # Errors
    ///
    /// Fails when the peer does not answer in time; the token may be lost.
    async fn take(
        &self,
        address: &str,
        team: &TeamId,
        row_version: u64,
    ) -> Result<TakeReply, PeerError>;

    /// Notifies the peer that it received a share of a team's limit; `row_version` is the version
    /// of the team's limit row known to the caller.
    ///
    /// # Errors
    ///
    /// Fails when the peer does not answer in time.
    async fn limit_moved(
        &self,
        address: &str,
        team: &TeamId,
        row_version: u64,
    ) -> Result<(), PeerError>;

    /// Fetches the configuration updates after `version`.
    ///
    /// # Errors
    ///
    /// Fails when the peer does not answer in time.
    async fn config_after(
        &self,
        address: &str,
        version: ConfigVersion,
    ) -> Result<ConfigTransfer, PeerError>;
}
