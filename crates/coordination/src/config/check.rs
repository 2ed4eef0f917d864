//! Validation of an object set: references, cycles and ranges.

use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::objects::{Backend, Key, ObjectSet, Route, Team};

/// Position in a file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Position {
    /// File name as given by the operator.
    pub file: String,
    /// Line number, starting at 1.
    pub line: usize,
}

/// A problem in an object set.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// Position of the object or field, if it was read from a file.
    pub position: Option<Position>,
    /// Object and field, such as `route.desk.service`.
    pub object: String,
    /// Description of the problem and how to fix it.
    pub message: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(Position { file, line }) = &self.position {
            write!(formatter, "{file}:{line}: ")?;
        }
        write!(formatter, "{}: {}", self.object, self.message)
    }
}

/// Returns every problem in `set`; a set without problems can be published.
#[must_use]
pub fn check(set: &ObjectSet) -> Vec<Problem> {
    let mut checker = Checker { set, problems: Vec::new() };
    checker.check_ranges();
    set.team.iter().for_each(|(name, team)| checker.check_team(name, team));
    checker.check_keys();
    set.backend.iter().for_each(|(name, backend)| checker.check_backend(name, backend));
    set.route.iter().for_each(|(name, route)| checker.check_route(name, route));
    checker.check_fallback_cycles();
    checker.problems
}

struct Checker<'a> {
    set: &'a ObjectSet,
    problems: Vec<Problem>,
}

impl Checker<'_> {
    fn report(&mut self, object: String, message: impl Into<String>) {
        self.problems.push(Problem { position: None, object, message: message.into() });
    }

    fn check_ranges(&mut self) {
        for (name, limit) in &self.set.limit {
            if !(limit.rate_per_s.is_finite() && limit.rate_per_s > 0.0) {
                self.report(
                    format!("limit.{name}.rate_per_s"),
                    "write a rate above 0, such as 5.0",
                );
            }
            if limit.burst == 0 {
                self.report(format!("limit.{name}.burst"), "write a burst of at least 1");
            }
        }
        for (name, budget) in &self.set.budget {
            if budget.program_tokens == 0 {
                let field = format!("budget.{name}.program_tokens");
                self.report(field, "write at least 1 token, or remove the budget from its teams");
            }
        }
        for (name, model) in &self.set.model {
            if model.default_completion_tokens > model.context_tokens {
                self.report(
                    format!("model.{name}.default_completion_tokens"),
                    format!("write at most context_tokens, which is {}", model.context_tokens),
                );
            }
        }
    }

    fn check_team(&mut self, name: &str, team: &Team) {
        if !self.set.limit.contains_key(&team.limit) {
            let message = missing_reference("limit", &team.limit, self.set.limit.keys());
            self.report(format!("team.{name}.limit"), message);
        }
        if let Some(budget) = &team.budget
            && !self.set.budget.contains_key(budget)
        {
            let message = missing_reference("budget", budget, self.set.budget.keys());
            self.report(format!("team.{name}.budget"), message);
        }
        if team.weight == 0 {
            self.report(format!("team.{name}.weight"), "write a weight of at least 1");
        }
    }

    fn check_keys(&mut self) {
        let mut seen: HashMap<&str, &str> = HashMap::new();
        for (name, key) in &self.set.key {
            self.check_key(name, key);
            if let Some(other) = seen.insert(&key.sha256, name) {
                self.report(
                    format!("key.{name}.sha256"),
                    format!("is the digest of key.{other} as well; issue a key of its own"),
                );
            }
        }
    }

    fn check_key(&mut self, name: &str, key: &Key) {
        if !self.set.team.contains_key(&key.team) {
            let message = missing_reference("team", &key.team, self.set.team.keys());
            self.report(format!("key.{name}.team"), message);
        }
        let lower_hex = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
        if key.sha256.len() != 64 || !key.sha256.bytes().all(lower_hex) {
            self.report(
                format!("key.{name}.sha256"),
                "write the 64 lowercase hexadecimal digits of the key's SHA-256 digest",
            );
        }
    }

    fn check_backend(&mut self, name: &str, backend: &Backend) {
        if backend.address.parse::<SocketAddr>().is_err() {
            self.report(
                format!("backend.{name}.address"),
                format!(
                    "{:?} is no address; write IP:PORT, such as 10.0.0.7:8000",
                    backend.address
                ),
            );
        }
        if backend.slots == 0 {
            self.report(format!("backend.{name}.slots"), "write at least 1 slot");
        }
        if backend.serves.is_empty() {
            self.report(format!("backend.{name}.serves"), "name at least one model or service");
        }
        for served in &backend.serves {
            if !self.set.model.contains_key(served) && !self.set.service.contains_key(served) {
                let known = self.set.model.keys().chain(self.set.service.keys());
                let message = missing_reference("model or service", served, known);
                self.report(format!("backend.{name}.serves"), message);
            }
        }
    }

    fn check_route(&mut self, name: &str, route: &Route) {
        match (&route.model, &route.service) {
            (Some(model), None) if !self.set.model.contains_key(model) => {
                let message = missing_reference("model", model, self.set.model.keys());
                self.report(format!("route.{name}.model"), message);
            }
            (None, Some(service)) if !self.set.service.contains_key(service) => {
                let message = missing_reference("service", service, self.set.service.keys());
                self.report(format!("route.{name}.service"), message);
            }
            (Some(_), Some(_)) | (None, None) => {
                self.report(format!("route.{name}"), "name either a model or a service");
            }
            _ => {}
        }
        for team in &route.teams {
            if !self.set.team.contains_key(team) {
                let message = missing_reference("team", team, self.set.team.keys());
                self.report(format!("route.{name}.teams"), message);
            }
        }
        if route.open != route.teams.is_empty() {
            self.report(
                format!("route.{name}.teams"),
                "list its teams, or write open = true instead",
            );
        }
        if let Some(fallback) = &route.fallback {
            self.check_fallback(name, route, fallback);
        }
    }

    fn check_fallback(&mut self, name: &str, route: &Route, fallback: &str) {
        let field = format!("route.{name}.fallback");
        let Some(target) = self.set.route.get(fallback) else {
            let message = missing_reference("route", fallback, self.set.route.keys());
            return self.report(field, message);
        };
        if target.model.is_some() != route.model.is_some() || target.repeatable != route.repeatable
        {
            self.report(field, "name a route of the same kind and with the same repeatable");
        }
    }

    fn check_fallback_cycles(&mut self) {
        for name in self.set.route.keys() {
            let mut path = vec![name.as_str()];
            let next = |route: &str| self.set.route.get(route)?.fallback.as_deref();
            while let Some(fallback) = path.last().and_then(|last| next(last)) {
                if fallback == name {
                    let cycle = path.join(" -> ");
                    self.report(
                        format!("route.{name}.fallback"),
                        format!(
                            "the fallbacks form a cycle ({cycle} -> {name}); remove one of them"
                        ),
                    );
                    break;
                }
                if path.contains(&fallback) {
                    break;
                }
                path.push(fallback);
            }
        }
    }
}

fn missing_reference<'a>(
    kind: &str,
    name: &str,
    known: impl Iterator<Item = &'a String>,
) -> String {
    const SUGGESTIONS_MAX: usize = 5;
    let known: Vec<&str> = known.take(SUGGESTIONS_MAX).map(String::as_str).collect();
    let hint = if known.is_empty() { "none is defined".to_owned() } else { known.join(", ") };
    format!("there is no {kind} {name:?}; define it or name one that exists ({hint})")
}
