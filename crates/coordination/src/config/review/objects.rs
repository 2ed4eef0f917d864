//! Review of an object set.

use std::collections::{BTreeMap, BTreeSet};

use super::{Finding, FindingKind, Findings, repeated};
use crate::config::check::check;
use crate::config::objects::{Backend, BackendState, ObjectSet, Route};

/// Returns the findings in `set`; only errors if it has any.
///
/// A set without any key is not searched for teams without keys, because keys are issued after the
/// first publication.
#[must_use]
pub fn review_objects(set: &ObjectSet) -> Vec<Finding> {
    let problems = check(set);
    if !problems.is_empty() {
        let error = |problem| Finding { kind: FindingKind::Error, problem };
        return problems.into_iter().map(error).collect();
    }
    let served = set.route.values().filter_map(served_by).collect();
    let mut review = Review { set, served, findings: Findings::default() };
    review.unnamed_limits();
    review.teams();
    review.unrouted();
    review.backends();
    review.routes();
    review.completion_limits();
    review.findings.0
}

struct Review<'a> {
    set: &'a ObjectSet,
    /// Models and services that a route names.
    served: BTreeSet<&'a str>,
    findings: Findings,
}

impl<'a> Review<'a> {
    fn unnamed_limits(&mut self) {
        let teams = || self.set.team.values();
        let limits: BTreeSet<&str> = teams().map(|team| team.limit.as_str()).collect();
        let budgets: BTreeSet<&str> = teams().filter_map(|team| team.budget.as_deref()).collect();
        let unnamed_limits = self.set.limit.keys().filter(|name| !limits.contains(name.as_str()));
        let unnamed_budgets =
            self.set.budget.keys().filter(|name| !budgets.contains(name.as_str()));
        let limit_paths = unnamed_limits.map(|name| format!("limit.{name}"));
        for path in limit_paths.chain(unnamed_budgets.map(|name| format!("budget.{name}"))) {
            self.findings.no_effect(path, "no team names it; remove it or name it in a team");
        }
    }

    fn teams(&mut self) {
        let listed: BTreeSet<&String> =
            self.set.route.values().flat_map(|route| &route.teams).collect();
        let has_open_route = self.set.route.values().any(|route| route.open);
        for name in self.set.team.keys() {
            let path = format!("team.{name}");
            if !listed.contains(name) && !has_open_route {
                let message = "no route lists it and none is open; list it in a route or remove it";
                self.findings.no_effect(&path, message);
            }
            let mut keys = self.set.key.values().filter(|key| key.team == *name).peekable();
            if self.set.key.is_empty() {
                continue;
            }
            if keys.peek().is_none() {
                let message =
                    "has no key, so no caller belongs to it; issue one or remove the team";
                self.findings.no_effect(path, message);
            } else if keys.all(|key| key.withdrawn) {
                let message = "all its keys are withdrawn; issue one or remove the team";
                self.findings.no_effect(path, message);
            }
        }
    }

    /// Reviews models and services that no route names or that share a name.
    fn unrouted(&mut self) {
        let models = self.set.model.keys().map(|name| ("model", name));
        for (kind, name) in models.chain(self.set.service.keys().map(|name| ("service", name))) {
            if !self.served.contains(name.as_str()) {
                let message = "no route names it; add a route or remove it";
                self.findings.no_effect(format!("{kind}.{name}"), message);
            }
        }
        for name in self.set.service.keys().filter(|name| self.set.model.contains_key(*name)) {
            let message = "a model has the same name, so their backend servers get calls of both; \
                           rename one";
            self.findings.contradiction(format!("service.{name}"), message);
        }
    }

    fn backends(&mut self) {
        let mut by_address: BTreeMap<&str, &str> = BTreeMap::new();
        for (name, backend) in &self.set.backend {
            let path = format!("backend.{name}");
            if !backend.serves.iter().any(|served| self.served.contains(served.as_str())) {
                let message = "no route leads to what it serves; add a route or remove it";
                self.findings.no_effect(&path, message);
            }
            for repeated in repeated(&backend.serves) {
                let message = format!("names {repeated:?} twice; remove one");
                self.findings.no_effect(format!("{path}.serves"), message);
            }
            if let Some(other) = by_address.insert(&backend.address, name) {
                let message = format!(
                    "is the address of backend.{other} as well, so their calls are counted apart; \
                     keep one of the two"
                );
                self.findings.contradiction(format!("{path}.address"), message);
            }
        }
    }

    fn routes(&mut self) {
        for (name, route) in &self.set.route {
            let path = format!("route.{name}");
            for repeated in repeated(&route.teams) {
                let message = format!("lists {repeated:?} twice; remove one");
                self.findings.no_effect(format!("{path}.teams"), message);
            }
            self.servers_of(&path, route);
            self.fallback(&path, route);
        }
    }

    /// Reviews whether a call to `route` can find a backend server.
    fn servers_of(&mut self, path: &str, route: &'a Route) {
        let Some(served) = served_by(route).filter(|served| !self.has_active(served)) else {
            return;
        };
        let is_known = self.set.backend.values().any(|backend| serves(backend, served));
        let cause = if is_known { "is draining" } else { "is missing" };
        let mut fallbacks = self.fallbacks(route);
        let consequence = match fallbacks.find(|(_, next)| self.has_active(next)) {
            Some((fallback, _)) => format!("each call goes to route {fallback:?}"),
            None => "each call is refused".to_owned(),
        };
        let message = format!(
            "every backend server of {served:?} {cause}, so {consequence}; add an active one or \
             remove the route"
        );
        self.findings.no_effect(path, message);
    }

    /// Reviews whether the fallback of `route` leads to other backend servers.
    fn fallback(&mut self, path: &str, route: &'a Route) {
        let Some(own) = served_by(route).filter(|_| route.fallback.is_some()) else { return };
        if self.fallbacks(route).all(|(_, served)| served == own) {
            let message = format!("leads to {own:?} again; name a route to another one");
            self.findings.no_effect(format!("{path}.fallback"), message);
        }
    }

    /// Reviews the completion tokens of calls that set no maximum.
    fn completion_limits(&mut self) {
        for (name, model) in &self.set.model {
            if model.default_completion_tokens == model.context_tokens {
                let message = "fills the context, so a call without max_tokens has no room for its \
                               prompt; write less than context_tokens";
                let field = format!("model.{name}.default_completion_tokens");
                self.findings.contradiction(field, message);
            }
        }
        for (name, budget) in &self.set.budget {
            let exceeding = self.models_with_budget(name).into_iter().find_map(|model| {
                let default_tokens = self.set.model.get(model)?.default_completion_tokens;
                (default_tokens >= budget.program_tokens).then_some((model, default_tokens))
            });
            if let Some((model, default_tokens)) = exceeding {
                let message = format!(
                    "no program's call to {model:?} fits that sets no max_tokens, because it reserves \
                     {default_tokens} tokens and its prompt; raise the budget or lower \
                     default_completion_tokens"
                );
                self.findings.contradiction(format!("budget.{name}.program_tokens"), message);
            }
        }
    }

    /// Returns the models that programs with `budget` may call.
    fn models_with_budget(&self, budget: &str) -> BTreeSet<&'a str> {
        let has_budget = |name: &String| {
            self.set.team.get(name).is_some_and(|team| team.budget.as_deref() == Some(budget))
        };
        let teams: BTreeSet<&String> =
            self.set.team.keys().filter(|name| has_budget(name)).collect();
        let may_use = |route: &&Route| {
            (route.open && !teams.is_empty()) || route.teams.iter().any(|name| teams.contains(name))
        };
        self.set.route.values().filter(may_use).filter_map(|route| route.model.as_deref()).collect()
    }

    fn has_active(&self, served: &str) -> bool {
        let is_active = |backend: &Backend| backend.state == BackendState::Active;
        self.set.backend.values().any(|backend| is_active(backend) && serves(backend, served))
    }

    /// Returns the routes to which calls to `route` fall back in turn, and what they serve.
    fn fallbacks(&self, route: &'a Route) -> impl Iterator<Item = (&'a str, &'a str)> + use<'a> {
        let set = self.set;
        let mut next = route.fallback.as_deref();
        std::iter::from_fn(move || {
            let name = next?;
            let fallback = set.route.get(name)?;
            next = fallback.fallback.as_deref();
            Some((name, served_by(fallback)?))
        })
    }
}

/// Returns the model or service behind `route`.
fn served_by(route: &Route) -> Option<&str> {
    route.model.as_deref().or(route.service.as_deref())
}

fn serves(backend: &Backend, served: &str) -> bool {
    backend.serves.iter().any(|name| name == served)
}
