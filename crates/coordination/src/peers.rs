//! Messages between nodes and the interface that carries them.

use async_trait::async_trait;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::config::objects::ObjectSet;
use crate::config::publish::VersionRow;
use crate::ids::{ConfigVersion, IncarnationId, TeamId};

/// Sign of life from a member to one of its observers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Incarnation that sends.
    pub from: IncarnationId,
    /// Configuration in force at the sender.
    pub config_version: ConfigVersion,
}

/// Answer to a [`Heartbeat`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatReply {
    /// Incarnation that answers.
    pub from: IncarnationId,
    /// Configuration in force there.
    pub config_version: ConfigVersion,
    /// Time for which the answering node promises not to reclaim the sender's limit shares.
    pub promise_ms: u64,
}

/// Answer to a request for tokens.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TakeReply {
    /// The tokens were taken.
    Taken,
    /// Too few tokens; they accrue after this time.
    Empty {
        /// Time until enough tokens have accrued.
        wait_ms: u64,
    },
    /// The node holds no usable share of the team.
    NotHolder,
}

/// Configuration as handed from node to node.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfigTransfer {
    /// Versions to apply in order; their changes are inline.
    Changes(Vec<VersionRow>),
    /// A complete set.
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
    "the peer at {address} did not answer ({detail}); check the network between them"
))]
pub struct PeerError {
    /// Address of the peer.
    pub address: String,
    /// Cause as reported by the transport.
    pub detail: String,
}

/// Control messages to other nodes; addresses are peer addresses of members.
#[async_trait(?Send)]
pub trait Peers {
    /// Sends a sign of life.
    ///
    /// # Errors
    ///
    /// Fails when the peer does not answer in time.
    async fn heartbeat(
        &self,
        address: &str,
        heartbeat: &Heartbeat,
    ) -> Result<HeartbeatReply, PeerError>;

    /// Asks whether the peer suspects `target` too.
    ///
    /// # Errors
    ///
    /// Fails when the peer does not answer in time.
    async fn suspects(&self, address: &str, target: &str) -> Result<bool, PeerError>;

    /// Takes a token of a team from the peer's share; `row_version` is the split known here.
    ///
    /// # Errors
    ///
    /// Fails when the peer does not answer in time; the tokens may be lost.
    async fn take(
        &self,
        address: &str,
        team: &TeamId,
        row_version: u64,
    ) -> Result<TakeReply, PeerError>;

    /// Tells the peer that it was given a share of a team's limit.
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

    /// Asks for the configuration after `version`.
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
