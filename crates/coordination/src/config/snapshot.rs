//! A published configuration version, indexed for request handling.

use std::collections::HashMap;

use super::objects::{Backend, BackendState, Key, Limit, ObjectSet, Route};
use crate::ids::{BackendId, ConfigVersion, TeamId, sha256_hex};
use crate::refusal::{Refusal, RefusalKind};

/// An immutable version of the configuration.
#[derive(Debug, Default)]
pub struct ConfigSnapshot {
    version: ConfigVersion,
    digest: String,
    objects: ObjectSet,
    keys_by_digest: HashMap<String, String>,
}

/// A caller authenticated by its key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Caller {
    /// Team of the key.
    pub team: TeamId,
    /// Name of the key object.
    pub key_name: String,
}

impl ConfigSnapshot {
    /// Creates a snapshot of `objects`, published as `version`.
    #[must_use]
    pub fn new(version: ConfigVersion, objects: ObjectSet) -> Self {
        let keys_by_digest =
            objects.key.iter().map(|(name, key)| (key.sha256.clone(), name.clone())).collect();
        Self { version, digest: objects.digest(), objects, keys_by_digest }
    }

    /// Returns the version; 0 means that there is no configuration yet.
    #[must_use]
    pub fn version(&self) -> ConfigVersion {
        self.version
    }

    /// Returns the digest of the objects.
    #[must_use]
    pub fn digest(&self) -> &str {
        &self.digest
    }

    /// Returns the objects.
    #[must_use]
    pub fn objects(&self) -> &ObjectSet {
        &self.objects
    }

    /// Returns the caller authenticated by `key`.
    ///
    /// # Errors
    ///
    /// Refuses unknown and withdrawn keys.
    pub fn authenticate(&self, key: &str) -> Result<Caller, Refusal> {
        let unknown = || {
            Refusal::not_run(
                RefusalKind::KeyUnknown,
                "the key is not known; send Authorization: Bearer KEY with a key that an operator \
                 issued",
            )
        };
        let digest = sha256_hex(key.as_bytes());
        let key_name = self.keys_by_digest.get(&digest).ok_or_else(unknown)?;
        let key = self.objects.key.get(key_name).ok_or_else(unknown)?;
        check_withdrawn(key)?;
        Ok(Caller { team: key.team.clone(), key_name: key_name.clone() })
    }

    /// Checks that the key of `caller` is still valid in this version.
    ///
    /// # Errors
    ///
    /// Refuses keys that were withdrawn, removed or assigned to another team.
    pub fn recheck(&self, caller: &Caller) -> Result<(), Refusal> {
        match self.objects.key.get(&caller.key_name) {
            Some(key) if key.team == caller.team => check_withdrawn(key),
            _ => Err(key_withdrawn()),
        }
    }

    /// Returns the route `name` if `team` may use it; `team` is `None` for a caller without a key.
    ///
    /// # Errors
    ///
    /// Refuses unknown routes and routes of other teams with the same message.
    pub fn route(&self, name: &str, team: Option<&str>) -> Result<&Route, Refusal> {
        let allowed = |route: &&Route| {
            route.open || team.is_some_and(|team| route.teams.iter().any(|name| name == team))
        };
        self.objects.route.get(name).filter(allowed).ok_or_else(|| {
            Refusal::not_run(
                RefusalKind::RouteUnknown,
                format!("there is no route {name:?} for this team; see GET /v1/models"),
            )
        })
    }

    /// Returns the limit of a team, or `None` if the team is unknown.
    #[must_use]
    pub fn team_limit(&self, team: &str) -> Option<&Limit> {
        self.objects.limit.get(&self.objects.team.get(team)?.limit)
    }

    /// Returns the active backend servers of a model or service.
    pub fn active_backends(&self, served: &str) -> impl Iterator<Item = (&BackendId, &Backend)> {
        self.objects.backend.iter().filter(move |(_, backend)| {
            backend.state == BackendState::Active
                && backend.serves.iter().any(|name| name == served)
        })
    }
}

fn check_withdrawn(key: &Key) -> Result<(), Refusal> {
    if key.withdrawn { Err(key_withdrawn()) } else { Ok(()) }
}

/// Creates the refusal of a request whose key is no longer valid.
fn key_withdrawn() -> Refusal {
    Refusal::not_run(
        RefusalKind::KeyWithdrawn,
        "the key was withdrawn; ask an operator for a new one",
    )
}
