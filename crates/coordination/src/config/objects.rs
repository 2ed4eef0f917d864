//! The objects that operators create.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::ids::{BackendId, RouteId, TeamId, ZoneId, sha256_hex};

/// A customer's team.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Limit that bounds the team's requests over all nodes together.
    pub limit: String,
    /// Budget of each of the team's programs; none leaves them unbounded.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub budget: Option<String>,
    /// Share of the engines under contention, relative to other teams.
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
    /// Team whose requests the key admits.
    pub team: TeamId,
    /// Lowercase hexadecimal SHA-256 digest of the key.
    pub sha256: String,
    /// Whether the key was withdrawn.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub withdrawn: bool,
}

/// A model that engines serve.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Most tokens of prompt and completion together.
    pub context_tokens: u64,
    /// Completion bound of calls that name none.
    #[serde(default = "default_completion_tokens")]
    pub default_completion_tokens: u64,
}

fn default_completion_tokens() -> u64 {
    1024
}

/// A plain service beside the engines.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// What the service does, for operators.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub description: String,
}

/// Whether a backend server gets new work.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BackendState {
    /// Gets new work.
    #[default]
    Active,
    /// Finishes what it has and gets nothing new.
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
    /// Models or services that the backend server offers.
    pub serves: Vec<String>,
    /// Whether the backend server gets new work.
    #[serde(default)]
    pub state: BackendState,
    /// Whether the backend server refuses orders with an old fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Calls that the backend server executes at once.
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
    /// Route to use while no backend server of this one is active.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub fallback: Option<RouteId>,
}

/// Token budget of a program.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Budget {
    /// Most tokens that a program and its sub-agents may spend.
    pub program_tokens: u64,
}

/// Rate limit of a team over all nodes together.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limit {
    /// Requests per second in the long run.
    pub rate_per_s: f64,
    /// Requests at once.
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

/// One object that differs between two versions.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Kind of the object, such as `team`.
    pub kind: String,
    /// Name of the object.
    pub name: String,
    /// New value, or `None` when the object was removed.
    pub value: Option<Value>,
}

type FlatSet = BTreeMap<String, BTreeMap<String, Value>>;

impl ObjectSet {
    /// Returns the number of objects.
    #[must_use]
    pub fn len(&self) -> usize {
        self.flat().values().map(BTreeMap::len).sum()
    }

    /// Returns whether the set holds no object.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the digest of the set.
    #[must_use]
    pub fn digest(&self) -> String {
        sha256_hex(&serde_json::to_vec(self).unwrap_or_default())
    }

    /// Returns the changes that turn `self` into `newer`.
    #[must_use]
    pub fn diff(&self, newer: &Self) -> Vec<Change> {
        let (old, new) = (self.flat(), newer.flat());
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

    /// Returns the set after `changes`.
    ///
    /// # Errors
    ///
    /// Fails when a change names an unknown kind or holds a malformed object.
    pub fn apply(&self, changes: &[Change]) -> Result<Self, serde_json::Error> {
        let mut flat = self.flat();
        for change in changes {
            let names = flat.entry(change.kind.clone()).or_default();
            match &change.value {
                Some(value) => names.insert(change.name.clone(), value.clone()),
                None => names.remove(&change.name),
            };
        }
        serde_json::from_value(serde_json::to_value(flat)?)
    }

    fn flat(&self) -> FlatSet {
        let value = serde_json::to_value(self).unwrap_or_default();
        serde_json::from_value(value).unwrap_or_default()
    }
}

impl Change {
    fn new(kind: &str, name: &str, value: Option<Value>) -> Self {
        Self { kind: kind.to_owned(), name: name.to_owned(), value }
    }
}
