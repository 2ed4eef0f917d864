//! Review of a routing configuration.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use serde_json::{Value, json};

use super::{Finding, FindingKind, Findings, repeated};
use crate::config::objects::ObjectsByKind;
use crate::ids::ConfigVersion;
use crate::routing::{
    CallerLimits, RepeatPolicy, Route, RoutingSpec, ServiceSpec, TIME_LIMIT_DEFAULT, Target, Team,
};

/// Returns the findings in `spec`; only errors if it has any.
#[must_use]
pub fn review_table(spec: &RoutingSpec) -> Vec<Finding> {
    let mut findings = Findings::default();
    repeated_names(spec, &mut findings);
    spec.routes.iter().for_each(|route| route_errors(spec, route, &mut findings));
    spec.services.iter().for_each(|service| service_errors(service, &mut findings));
    spec.teams.iter().flatten().for_each(|team| team_errors(team, &mut findings));
    repeated_keys(spec, &mut findings);
    caller_errors(&spec.limits, &mut findings);
    if !findings.0.is_empty() {
        return findings.0;
    }
    shadowed_routes(spec, &mut findings);
    spec.routes.iter().for_each(|route| review_route(route, &mut findings));
    unrouted_services(spec, &mut findings);
    spec.services.iter().for_each(|service| review_service(service, &mut findings));
    review_teams(spec, &mut findings);
    findings.0
}

/// Returns a finding if nodes that have version `in_force` do not adopt `version`.
#[must_use]
pub fn review_version(in_force: ConfigVersion, version: ConfigVersion) -> Option<Finding> {
    let mut findings = Findings::default();
    if version <= in_force {
        let message = format!(
            "{version} is not above the version in force, {in_force}, so no node adopts it; write \
             a greater one"
        );
        findings.push(FindingKind::NoEffect, "version".to_owned(), message);
    }
    findings.0.pop()
}

fn repeated_names(spec: &RoutingSpec, findings: &mut Findings) {
    let routes = repeated(spec.routes.iter().map(|route| &route.name));
    let services = repeated(spec.services.iter().map(|service| &service.name));
    let teams = repeated(spec.teams.iter().flatten().map(|team| &team.name));
    for (kind, names) in [("route", routes), ("service", services), ("team", teams)] {
        for name in names {
            findings.error(format!("{kind}.{name}"), "is defined twice; keep one or rename it");
        }
    }
}

fn route_errors(spec: &RoutingSpec, route: &Route, findings: &mut Findings) {
    let path = format!("route.{}", route.name);
    if !(route.path_prefix.starts_with('/') && route.path_prefix.ends_with('/')) {
        let message = format!("{:?} must begin and end with a slash; add it", route.path_prefix);
        findings.error(format!("{path}.path_prefix"), message);
    }
    if route.host.is_empty() {
        findings.error(format!("{path}.host"), "is empty; write the host that callers name");
    }
    if route.timeout.is_zero() {
        findings.error(format!("{path}.timeout_ms"), "is not above 0; write a time in range");
    }
    target_errors(spec, &format!("{path}.targets"), &route.targets, findings);
}

fn target_errors(spec: &RoutingSpec, path: &str, targets: &[Target], findings: &mut Findings) {
    if targets.is_empty() {
        findings.error(path, "names no service, so each request is refused; name one");
    }
    for target in targets {
        if !spec.services.iter().any(|service| service.name == target.service) {
            let message =
                format!("there is no service {:?}; define it or name another", target.service);
            findings.error(path, message);
        }
        if !target.weight.is_finite() || target.weight < 0.0 {
            let message =
                format!("the weight of {:?} is {}; write 0 or more", target.service, target.weight);
            findings.error(path, message);
        }
    }
    if !targets.is_empty() && targets.iter().all(|target| target.weight == 0.0) {
        findings.error(
            path,
            "all weights are 0, so the last service gets everything; write weights above 0",
        );
    }
}

fn service_errors(service: &ServiceSpec, findings: &mut Findings) {
    let path = format!("service.{}", service.name);
    if let Some(engine) = &service.engine {
        let fields = [
            ("slots", u64::from(engine.slots)),
            ("cache_tokens", engine.cache_tokens),
            ("tokens_per_event", engine.tokens_per_event),
        ];
        for (field, _) in fields.into_iter().filter(|(_, value)| *value == 0) {
            findings.error(format!("{path}.engine.{field}"), "is 0; write at least 1");
        }
    }
}

fn team_errors(team: &Team, findings: &mut Findings) {
    for (field, value) in [("rate_per_s", team.rate_per_s), ("burst", team.burst)] {
        if !value.is_finite() || value < 0.0 {
            let message = format!("is {value}; write 0 or more");
            findings.error(format!("team.{}.{field}", team.name), message);
        }
    }
    if team.keys.iter().any(String::is_empty) {
        findings.error(format!("team.{}.keys", team.name), "has an empty key; remove it");
    }
}

/// Reports keys of more than one team, without naming them.
fn repeated_keys(spec: &RoutingSpec, findings: &mut Findings) {
    let mut owners: HashMap<&str, &str> = HashMap::new();
    let mut reported = BTreeSet::new();
    for team in spec.teams.iter().flatten() {
        for key in team.keys.iter().filter(|key| !key.is_empty()) {
            let Some(other) = owners.insert(key, &team.name) else { continue };
            if other != team.name && reported.insert((other, &team.name)) {
                let message = format!("has a key of {other:?} as well; remove it from one");
                findings.error(format!("team.{}.keys", team.name), message);
            }
        }
    }
}

fn caller_errors(limits: &CallerLimits, findings: &mut Findings) {
    let fields = [
        ("header_max_bytes", limits.header_max_bytes == 0),
        ("header_timeout_ms", limits.header_timeout.is_zero()),
        ("idle_timeout_ms", limits.idle_timeout.is_zero()),
    ];
    for (field, _) in fields.into_iter().filter(|(_, is_zero)| *is_zero) {
        let message = "is 0 or out of range, so no request can be sent; write a greater value";
        findings.error(format!("callers.all.{field}"), message);
    }
}

fn shadowed_routes(spec: &RoutingSpec, findings: &mut Findings) {
    let mut matched: HashMap<(&str, &str), &str> = HashMap::new();
    for route in &spec.routes {
        let earlier = *matched.entry((&route.host, &route.path_prefix)).or_insert(&route.name);
        if earlier != route.name {
            let message = format!(
                "never matches, because route {earlier:?} has the same host and prefix and comes \
                 first; remove one or change its prefix"
            );
            findings.no_effect(format!("route.{}", route.name), message);
        }
    }
}

fn review_route(route: &Route, findings: &mut Findings) {
    let path = format!("route.{}", route.name);
    if route.host.contains(':') {
        let message =
            "never matches, because hosts are compared without a port; write the host name only";
        findings.no_effect(format!("{path}.host"), message);
    }
    if route.path_prefix.contains(['?', '#']) {
        let message = "never matches, because paths are compared without query and fragment; \
                       write the path only";
        findings.no_effect(format!("{path}.path_prefix"), message);
    }
    for target in route.targets.iter().filter(|target| target.weight == 0.0) {
        let message =
            format!("service {:?} has weight 0 and gets nothing; remove it", target.service);
        findings.no_effect(format!("{path}.targets"), message);
    }
    if route.keeps_turns && !route.repeat.is_stream() {
        let message = "only routes of event streams keep turns; remove it";
        findings.no_effect(format!("{path}.keeps_turns"), message);
    }
    if !route.keeps_turns && !route.turn_retention.is_zero() {
        let message = "the route keeps no turns; remove it or let the route keep them";
        findings.no_effect(format!("{path}.turn_retention_s"), message);
    }
    review_times(&path, route, findings);
}

fn review_times(path: &str, route: &Route, findings: &mut Findings) {
    let (timeout_ms, objective_ms) = (millis(route.timeout), millis(route.objective));
    if route.objective > route.timeout {
        let message = format!(
            "is {objective_ms}, but a request ends after the time-out of {timeout_ms}; lower it or \
             raise the time-out"
        );
        findings.contradiction(format!("{path}.objective_ms"), message);
    }
    if route.timeout > TIME_LIMIT_DEFAULT {
        let message = format!(
            "is {timeout_ms}, but a request without a deadline of its own ends after {}; lower it, \
             or let callers send deadlines",
            millis(TIME_LIMIT_DEFAULT)
        );
        findings.contradiction(format!("{path}.timeout_ms"), message);
    }
}

fn unrouted_services(spec: &RoutingSpec, findings: &mut Findings) {
    let targets = spec.routes.iter().flat_map(|route| &route.targets);
    let routed: BTreeSet<&str> = targets.map(|target| target.service.as_str()).collect();
    for service in spec.services.iter().filter(|spec| !routed.contains(spec.name.as_str())) {
        let message = "no route names it; add a route or remove it";
        findings.no_effect(format!("service.{}", service.name), message);
    }
}

fn review_service(service: &ServiceSpec, findings: &mut Findings) {
    let path = format!("service.{}", service.name);
    if let Some(engine) = &service.engine
        && (1..engine.slots).contains(&service.connections_max)
    {
        let message = format!(
            "a server accepts {} connections, so its {} engine slots are never all used; raise it \
             or lower the slots",
            service.connections_max, engine.slots
        );
        findings.contradiction(format!("{path}.connections_max"), message);
    }
    if let Some(cold) = service.cold_start
        && cold.per_s * cold.duration.as_secs_f64() < 1.0
    {
        let message = format!(
            "is {}, which is less than one request over the cold time of {} s; raise one of them",
            cold.per_s,
            seconds(cold.duration)
        );
        findings.contradiction(format!("{path}.cold_per_s"), message);
    }
}

fn review_teams(spec: &RoutingSpec, findings: &mut Findings) {
    let Some(teams) = &spec.teams else { return };
    if !teams.is_empty() && spec.routes.iter().all(|route| route.is_public) {
        findings.no_effect("team", "no route asks for a key; remove the teams or add such a route");
    }
    for team in teams {
        let path = format!("team.{}", team.name);
        if team.keys.is_empty() {
            let message = "has no key, so no request belongs to it; add one or remove the team";
            findings.no_effect(format!("{path}.keys"), message);
        }
        if !repeated(&team.keys).is_empty() {
            findings.no_effect(format!("{path}.keys"), "has a key twice; remove one");
        }
        if team.rate_per_s == 0.0 && team.burst > 0.0 {
            let message = "a rate of 0 means no limit, so the burst limits nothing; write a rate \
                           or remove the burst";
            findings.no_effect(format!("{path}.burst"), message);
        }
        if team.rate_per_s > 0.0 && team.burst < 1.0 {
            let message = format!(
                "is {}, but a request takes a whole token, so it counts as 1; write at least 1",
                team.burst
            );
            findings.contradiction(format!("{path}.burst"), message);
        }
    }
}

/// Returns the objects of `spec` as JSON, by kind and name.
pub(super) fn objects_by_kind(spec: &RoutingSpec) -> ObjectsByKind {
    let routes = spec.routes.iter().map(|route| (route.name.clone(), route_value(route)));
    let services = spec.services.iter().map(|spec| (spec.name.clone(), service_value(spec)));
    let teams = spec.teams.iter().flatten().map(|team| (team.name.clone(), team_value(team)));
    let callers = json!({
        "header_max_bytes": spec.limits.header_max_bytes,
        "body_max_bytes": spec.limits.body_max_bytes,
        "header_timeout_ms": millis(spec.limits.header_timeout),
        "idle_timeout_ms": millis(spec.limits.idle_timeout),
        "keys_required": spec.teams.is_some(),
    });
    BTreeMap::from([
        ("route".to_owned(), routes.collect()),
        ("service".to_owned(), services.collect()),
        ("team".to_owned(), teams.collect()),
        ("callers".to_owned(), BTreeMap::from([("all".to_owned(), callers)])),
    ])
}

fn route_value(route: &Route) -> Value {
    let target =
        |target: &Target| json!({ "service": target.service, "weight": number(target.weight) });
    let repeat = match route.repeat {
        RepeatPolicy::Idempotent => "idempotent",
        RepeatPolicy::AtMostOnce => "at_most_once",
        RepeatPolicy::Stream => "stream",
        RepeatPolicy::ResumableStream => "resumable_stream",
    };
    json!({
        "host": route.host,
        "path_prefix": route.path_prefix,
        "repeat": repeat,
        "timeout_ms": millis(route.timeout),
        "objective_ms": millis(route.objective),
        "priority": route.priority,
        "targets": route.targets.iter().map(target).collect::<Vec<Value>>(),
        "attempts_max": route.attempts_max,
        "keeps_turns": route.keeps_turns,
        "turn_retention_s": seconds(route.turn_retention),
        "is_public": route.is_public,
        "is_sticky": route.is_sticky,
    })
}

fn service_value(spec: &ServiceSpec) -> Value {
    let engine = spec.engine.as_ref();
    let cold_start = spec.cold_start.as_ref();
    json!({
        "connections_max": spec.connections_max,
        "engine.slots": engine.map(|engine| engine.slots),
        "engine.cache_tokens": engine.map(|engine| engine.cache_tokens),
        "engine.tokens_per_event": engine.map(|engine| engine.tokens_per_event),
        "cold_start_s": cold_start.map(|cold| seconds(cold.duration)),
        "cold_per_s": cold_start.map(|cold| number(cold.per_s)),
    })
}

fn team_value(team: &Team) -> Value {
    json!({
        "keys": team.keys,
        "priority": team.priority,
        "rate_per_s": number(team.rate_per_s),
        "burst": number(team.burst),
    })
}

/// Returns a duration in seconds.
fn seconds(duration: Duration) -> Value {
    number(duration.as_secs_f64())
}

/// Returns a duration in milliseconds.
fn millis(duration: Duration) -> Value {
    number(duration.as_secs_f64() * 1_000.0)
}

/// Returns a number, without a fraction if it is whole.
fn number(value: f64) -> Value {
    #[expect(clippy::cast_possible_truncation, reason = "such values are representable")]
    let whole = (value.fract() == 0.0 && value.abs() < WHOLE_MAX).then_some(value as i64);
    whole.map_or_else(|| json!(value), |whole| json!(whole))
}

/// Bound below which an f64 represents all whole numbers.
const WHOLE_MAX: f64 = 9_007_199_254_740_992.0;
