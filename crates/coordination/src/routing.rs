//! The routing table of one configuration version.

use std::collections::HashMap;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::ids::{ConfigVersion, RouteId, TeamId};

/// Time limit of requests without a deadline, and the maximum time for a request to arrive.
pub const TIME_LIMIT_DEFAULT: Duration = Duration::from_secs(30);

/// Name of a service: a group of interchangeable backend servers.
pub type ServiceId = String;

/// Whether a request may run more than once, and whether its answer is an event stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RepeatPolicy {
    /// May run any number of times.
    Idempotent,
    /// May run at most once per request id, which names one attempt of a caller.
    AtMostOnce,
    /// An event stream that may run at most once.
    Stream,
    /// An event stream that another run may resume.
    ResumableStream,
}

impl RepeatPolicy {
    /// Returns whether a request may run again.
    #[must_use]
    pub fn may_repeat(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Returns whether the answer is an event stream.
    #[must_use]
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

/// A service that gets a share of a route's traffic.
#[derive(Debug, Clone, PartialEq)]
pub struct Target {
    /// Service that gets the traffic.
    pub service: ServiceId,
    /// Weight relative to the other targets.
    pub weight: f64,
}

/// Rule for requests with a given host and path prefix.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name, for logs.
    pub name: RouteId,
    /// Host in lowercase.
    pub host: String,
    /// Prefix of the path; begins and ends with a slash.
    pub path_prefix: String,
    /// Whether a request may run more than once, and whether its answer is an event stream.
    pub repeat: RepeatPolicy,
    /// Maximum time for which a caller waits.
    pub timeout: Duration,
    /// Latency objective for the answer, or for the first event of a stream.
    pub objective: Duration,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Services with their weights.
    pub targets: Vec<Target>,
    /// Maximum number of backend servers that may run one request.
    pub attempts_max: u32,
    /// Whether turns are stored, so that a request needs to carry only its new input.
    pub keeps_turns: bool,
    /// Time for which a turn is stored.
    pub turn_retention: Duration,
    /// Whether requests need no key.
    pub is_public: bool,
    /// Whether a backend server is faster for an object that it handled recently. Read from the
    /// configuration, but not used by placement.
    pub is_sticky: bool,
}

impl Route {
    /// Returns the service for the request `id`; equal ids always get the same service.
    #[must_use]
    pub fn service_for(&self, id: &str) -> Option<&ServiceId> {
        let total: f64 = self.targets.iter().map(|target| target.weight).sum();
        #[expect(clippy::cast_precision_loss, reason = "an f64 represents 53-bit integers exactly")]
        let mut point = total * (xxh3_64(id.as_bytes()) >> 11) as f64 / (1_u64 << 53) as f64;
        for target in &self.targets {
            point -= target.weight;
            if point < 0.0 {
                return Some(&target.service);
            }
        }
        self.targets.last().map(|target| &target.service)
    }
}

/// Properties of the model engines of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineSpec {
    /// Requests that one backend server runs concurrently.
    pub slots: u32,
    /// Tokens that fit into a backend server's cache.
    pub cache_tokens: u64,
    /// Tokens generated per event of a stream.
    pub tokens_per_event: u64,
}

/// How a backend server takes requests after its start.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdStart {
    /// Time for which the server is cold.
    pub duration: Duration,
    /// Requests a second that a cold server takes from all nodes together.
    pub per_s: f64,
}

/// A group of interchangeable backend servers.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceSpec {
    /// Name.
    pub name: ServiceId,
    /// Connections that one backend server accepts from all nodes together.
    pub connections_max: u32,
    /// Properties of the model engines; `None` for a plain service.
    pub engine: Option<EngineSpec>,
    /// Restriction of a server that has just started; `None` if there is none.
    pub cold_start: Option<ColdStart>,
}

/// A team, its keys and its limit.
#[derive(Debug, Clone, PartialEq)]
pub struct Team {
    /// Name.
    pub name: TeamId,
    /// Valid keys.
    pub keys: Vec<String>,
    /// Priority that overrides the route's, if set.
    pub priority: Option<u8>,
    /// Requests per second over all nodes; 0 means no limit.
    pub rate_per_s: f64,
    /// Maximum number of requests in a burst.
    pub burst: f64,
}

/// Limits of a caller's connection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request head.
    pub header_max_bytes: usize,
    /// Maximum size of a request body.
    pub body_max_bytes: usize,
    /// Maximum time from the first byte of a head to its last.
    pub header_timeout: Duration,
    /// Maximum idle time between two requests.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// Returns the limits that apply until a configuration is known.
    fn default() -> Self {
        Self {
            header_max_bytes: 16 * 1024,
            body_max_bytes: 4 * 1024 * 1024,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// A configuration version as its operator wrote it.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct RoutingSpec {
    /// Version.
    pub version: ConfigVersion,
    /// Routes; the first of equal host and prefix is used.
    pub routes: Vec<Route>,
    /// Services.
    pub services: Vec<ServiceSpec>,
    /// Teams; `None` when requests carry no keys.
    pub teams: Option<Vec<Team>>,
    /// Limits of callers' connections.
    pub limits: CallerLimits,
}

/// A configuration version, indexed for routing requests.
#[derive(Debug, Clone, Default)]
pub struct RoutingTable {
    version: ConfigVersion,
    routes: Vec<Route>,
    /// Positions in `routes` by host, longest prefix first.
    by_host: HashMap<String, Vec<usize>>,
    services: HashMap<ServiceId, ServiceSpec>,
    teams: Option<Vec<Team>>,
    /// Positions in `teams` by key.
    by_key: HashMap<String, usize>,
    limits: CallerLimits,
}

impl From<RoutingSpec> for RoutingTable {
    fn from(spec: RoutingSpec) -> Self {
        Self::new(spec.version, spec.routes, spec.services, spec.teams, spec.limits)
    }
}

impl RoutingTable {
    /// Indexes a configuration; `teams` is `None` when requests carry no keys.
    #[must_use]
    pub fn new(
        version: ConfigVersion,
        routes: Vec<Route>,
        services: Vec<ServiceSpec>,
        teams: Option<Vec<Team>>,
        limits: CallerLimits,
    ) -> Self {
        let mut by_host: HashMap<String, Vec<usize>> = HashMap::new();
        for (position, route) in routes.iter().enumerate() {
            by_host.entry(route.host.clone()).or_default().push(position);
        }
        for positions in by_host.values_mut() {
            positions
                .sort_by_key(|&position| std::cmp::Reverse(routes[position].path_prefix.len()));
        }
        let mut by_key = HashMap::new();
        for (position, team) in teams.iter().flatten().enumerate() {
            by_key.extend(team.keys.iter().map(|key| (key.clone(), position)));
        }
        let services = services.into_iter().map(|spec| (spec.name.clone(), spec)).collect();
        Self { version, routes, by_host, services, teams, by_key, limits }
    }

    /// Returns the configuration's version.
    #[must_use]
    pub fn version(&self) -> ConfigVersion {
        self.version
    }

    /// Returns the route on `host` with the longest matching prefix of `path`.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.split(':').next().unwrap_or_default().to_ascii_lowercase();
        let positions = self.by_host.get(&host)?;
        positions
            .iter()
            .map(|&position| &self.routes[position])
            .find(|route| path.starts_with(&route.path_prefix))
    }

    /// Returns the service with the given `name`.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&ServiceSpec> {
        self.services.get(name)
    }

    /// Returns whether requests carry keys.
    #[must_use]
    pub fn uses_keys(&self) -> bool {
        self.teams.is_some()
    }

    /// Returns the team that holds `key`.
    #[must_use]
    pub fn team_of_key(&self, key: &str) -> Option<&Team> {
        self.teams.as_ref()?.get(*self.by_key.get(key)?)
    }

    /// Returns the limits of callers' connections.
    #[must_use]
    pub fn limits(&self) -> &CallerLimits {
        &self.limits
    }
}
