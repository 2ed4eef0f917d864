//! The configuration objects that operators define.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::ids::{BackendId, RouteId, TeamId, ZoneId, sha256_hex};

/// A customer's team.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Name of the limit on the team's requests.
    pub limit: String,
    /// Name of the token budget of each of the team's programs; `None` means unlimited.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub budget: Option<String>,
    /// Weight of the team relative to others when teams contend for model engines.
    #[serde(default = "default_weight")]
    pub weight: u32,
}

fn default_weight() -> u32 {
    1
}

/// A caller's key; only its digest is stored.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Key {
    /// Team that the key authenticates.
    pub team: TeamId,
    /// Lowercase hexadecimal SHA-256 digest of the key.
    pub sha256: String,
    /// Whether the key was withdrawn.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub withdrawn: bool,
}

/// A model served by model engines.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Maximum number of prompt and completion tokens together.
    pub context_tokens: u64,
    /// Maximum number of completion tokens for a call that does not set one.
    #[serde(default = "default_completion_tokens")]
    pub default_completion_tokens: u64,
}

fn default_completion_tokens() -> u64 {
    1024
}

/// A plain service, as opposed to a model.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Description of the service for operators.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub description: String,
}

/// Whether a backend server receives new calls.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BackendState {
    /// Receives new calls.
    #[default]
    Active,
    /// Finishes its calls in flight and receives no new ones.
    Draining,
}

/// A backend server: a runner of a model or an instance of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Backend {
    /// Address as `IP:PORT`.
    pub address: String,
    /// Availability zone.
    pub zone: ZoneId,
    /// Models or services that the backend server provides.
    pub serves: Vec<String>,
    /// Whether the backend server receives new calls.
    #[serde(default)]
    pub state: BackendState,
    /// Whether the backend server rejects requests with a stale fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Maximum number of calls that the backend server executes concurrently.
    #[serde(default = "default_slots")]
    pub slots: u32,
}

fn default_slots() -> u32 {
    8
}

/// A name that callers use for a model or a service.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Model behind the route.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model: Option<String>,
    /// Service behind the route.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<String>,
    /// Teams that may use the route.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub teams: Vec<TeamId>,
    /// Whether every caller may use the route, even without a key.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub open: bool,
    /// Whether a call may be executed more than once.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub repeatable: bool,
    /// Route to use while this one has no active backend server.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub fallback: Option<RouteId>,
}

/// Token budget of a program.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Budget {
    /// Maximum number of tokens that a program and its sub-agents may spend.
    pub program_tokens: u64,
}

/// Rate limit, applied separately to each team that names it and enforced across all nodes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limit {
    /// Sustained number of requests per second.
    pub rate_per_s: f64,
    /// Maximum number of requests in a burst.
    pub burst: u32,
}

/// The whole set of objects, by kind and name.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ObjectSet {
    /// Teams.
    pub team: BTreeMap<TeamId, Team>,
    /// Keys.
    pub key: BTreeMap<String, Key>,
    /// Models.
    pub model: BTreeMap<String, Model>,
    /// Services.
    pub service: BTreeMap<String, Service>,
    /// Backend servers.
    pub backend: BTreeMap<BackendId, Backend>,
    /// Routes.
    pub route: BTreeMap<RouteId, Route>,
    /// Budgets.
    pub budget: BTreeMap<String, Budget>,
    /// Limits.
    pub limit: BTreeMap<String, Limit>,
}

/// An object that differs between two versions.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Kind of the object, such as `team`.
    pub kind: String,
    /// Name of the object.
    pub name: String,
    /// New value, or `None` if the object was removed.
    pub value: Option<Value>,
}

/// Objects as JSON, by kind and name.
pub(super) type ObjectsByKind = BTreeMap<String, BTreeMap<String, Value>>;

impl ObjectSet {
    /// Returns the number of objects.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_kind().values().map(BTreeMap::len).sum()
    }

    /// Returns whether the set holds no objects.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the hexadecimal SHA-256 digest of the JSON form of the set.
    #[must_use]
    pub fn digest(&self) -> String {
        sha256_hex(&serde_json::to_vec(self).unwrap_or_default())
    }

    /// Adds the keys of `in_force` that the set does not define.
    pub fn keep_keys(&mut self, in_force: &Self) {
        for (name, key) in &in_force.key {
            self.key.entry(name.clone()).or_insert_with(|| key.clone());
        }
    }

    /// Returns the changes that turn `self` into `newer`.
    #[must_use]
    pub fn diff(&self, newer: &Self) -> Vec<Change> {
        let (old, new) = (self.by_kind(), newer.by_kind());
        let mut changes = Vec::new();
        for (kind, names) in &new {
            for (name, value) in names {
                if old.get(kind).and_then(|names| names.get(name)) != Some(value) {
                    changes.push(Change::new(kind, name, Some(value.clone())));
                }
            }
        }
        for (kind, names) in &old {
            for name in names.keys() {
                if !new.get(kind).is_some_and(|names| names.contains_key(name)) {
                    changes.push(Change::new(kind, name, None));
                }
            }
        }
        changes
    }

    /// Returns the set with `changes` applied.
    ///
    /// # Errors
    ///
    /// Fails when a change has an unknown kind or holds a malformed object.
    pub fn apply(&self, changes: &[Change]) -> Result<Self, serde_json::Error> {
        let mut by_kind = self.by_kind();
        for change in changes {
            let names = by_kind.entry(change.kind.clone()).or_default();
            match &change.value {
                Some(value) => names.insert(change.name.clone(), value.clone()),
                None => names.remove(&change.name),
            };
        }
        serde_json::from_value(serde_json::to_value(by_kind)?)
    }

    /// Returns the objects as JSON, by kind and name.
    pub(super) fn by_kind(&self) -> ObjectsByKind {
        let value = serde_json::to_value(self).unwrap_or_default();
        serde_json::from_value(value).unwrap_or_default()
    }
}

impl Change {
    fn new(kind: &str, name: &str, value: Option<Value>) -> Self {
        Self { kind: kind.to_owned(), name: name.to_owned(), value }
    }
}
