//! Validated settings of a node.

use std::fmt::Display;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

use dandelionfront_coordination::detector::DetectorSettings;
use dandelionfront_coordination::holdings::HoldingLimits;
use dandelionfront_coordination::journal::JournalSettings;
use dandelionfront_coordination::limits::LimitSettings;
use dandelionfront_coordination::owner::OwnerSettings;
use dandelionfront_coordination::{Member, MemberState, NodeSettings};
use snafu::Snafu;

use crate::cli::NodeArgs;
use crate::request::routes::BODY_COPIES;

/// Bytes per megabyte.
const BYTES_PER_MB: u64 = 1024 * 1024;

/// Invalid value of a setting.
#[derive(Debug, PartialEq, Eq, Snafu)]
#[snafu(display("--{flag} is {value}; {remedy}"))]
pub struct SettingError {
    /// Name of the flag without the leading dashes.
    pub flag: &'static str,
    /// Rejected value.
    pub value: String,
    /// Advice on a valid value.
    pub remedy: String,
}

/// Validated settings of a node.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address for calls forwarded by other nodes.
    pub forward_listen: SocketAddr,
    /// Address for control messages of other nodes.
    pub peer_listen: SocketAddr,
    /// Address for operators.
    pub operator_listen: SocketAddr,
    /// Base URL of the platform.
    pub platform: String,
    /// Member entry of this node: id, addresses, region and zone.
    pub identity: Member,
    /// Number of worker threads of each listener for calls.
    pub workers: usize,
    /// Settings of the coordination library.
    pub node: NodeSettings,
    /// Timeout of requests to the platform.
    pub platform_timeout: Duration,
    /// Maximum time to retry until the owner of a program is reachable.
    pub owner_wait: Duration,
    /// Timeout of requests to engines, and idle timeout of their streams.
    pub engine_silence: Duration,
    /// Timeout of calls to plain services.
    pub service_timeout: Duration,
    /// Time after which a model call without a waiting caller is cancelled on its engine.
    pub abandon_after: Duration,
    /// Interval between reads of the platform's VM list.
    pub vm_poll: Duration,
    /// Time without a call after which a program is ended as abandoned.
    pub program_idle: Duration,
    /// Maximum size of a caller's request body, in bytes.
    pub body_max_bytes: usize,
    /// Maximum time in which a caller's request body must arrive.
    pub body_timeout: Duration,
    /// Memory of the process, in bytes.
    pub memory_max_bytes: u64,
    /// Maximum time that a graceful shutdown waits for running calls and the release of the shards.
    pub drain_max: Duration,
}

impl Settings {
    /// Validates the flags.
    ///
    /// # Errors
    ///
    /// Returns an error for each invalid setting.
    pub fn from_args(args: &NodeArgs) -> Result<Self, Vec<SettingError>> {
        let errors = check(args);
        if errors.is_empty() { Ok(Self::build(args)) } else { Err(errors) }
    }

    /// Advertises the addresses of the bound listeners where no other address was configured.
    pub fn fill_advertised_addresses(&mut self) {
        if self.identity.forward_address.is_empty() {
            self.identity.forward_address = self.forward_listen.to_string();
        }
        if self.identity.peer_address.is_empty() {
            self.identity.peer_address = self.peer_listen.to_string();
        }
    }

    fn build(args: &NodeArgs) -> Self {
        let advertised = |address: Option<SocketAddr>| address.map(|address| address.to_string());
        let identity = Member {
            id: format!("node-{:016x}", rand::random::<u64>()),
            forward_address: advertised(args.forward_advertise).unwrap_or_default(),
            peer_address: advertised(args.peer_advertise).unwrap_or_default(),
            zone: args.zone.clone(),
            region: args.region.clone(),
            state: MemberState::Live,
            reclaimer: None,
        };
        Self {
            listen: args.listen,
            forward_listen: args.forward_listen,
            peer_listen: args.peer_listen,
            operator_listen: args.operator_listen,
            platform: args.platform.trim_end_matches('/').to_owned(),
            identity,
            workers: args.workers,
            node: node_settings(args),
            platform_timeout: Duration::from_millis(args.platform_timeout_ms),
            owner_wait: Duration::from_millis(args.owner_wait_ms),
            engine_silence: Duration::from_millis(args.engine_silence_ms),
            service_timeout: Duration::from_millis(args.service_timeout_ms),
            abandon_after: Duration::from_millis(args.abandon_ms),
            vm_poll: Duration::from_millis(args.vm_poll_ms),
            program_idle: Duration::from_secs(args.program_idle_s),
            body_max_bytes: args.body_max_bytes,
            body_timeout: Duration::from_millis(args.body_timeout_ms),
            memory_max_bytes: args.memory_mb.saturating_mul(BYTES_PER_MB),
            drain_max: Duration::from_secs(args.drain_max_s),
        }
    }
}

fn node_settings(args: &NodeArgs) -> NodeSettings {
    NodeSettings {
        head_poll_interval: Duration::from_millis(args.head_poll_ms),
        shard_count: u16::try_from(args.shard_count).unwrap_or(u16::MAX),
        region_writes_per_s: args.region_writes_per_s,
        checkpoint_interval: Duration::from_millis(args.checkpoint_interval_ms),
        retention: Duration::from_secs(args.retention_s),
        journal: JournalSettings {
            commit_interval: Duration::from_millis(args.commit_interval_ms),
            ..JournalSettings::default()
        },
        owner: OwnerSettings {
            order_wait: Duration::from_millis(args.order_wait_ms),
            start_commit_wait: Duration::from_millis(args.start_commit_wait_ms),
            end_commit_wait: Duration::from_millis(args.end_commit_wait_ms),
            dispatch_window: Duration::from_millis(args.dispatch_window_ms),
        },
        detector: DetectorSettings {
            interval: Duration::from_millis(args.heartbeat_ms),
            suspect_after: Duration::from_millis(args.suspect_ms),
        },
        limits: LimitSettings { token_wait: Duration::from_millis(args.token_wait_ms) },
    }
}

fn check(args: &NodeArgs) -> Vec<SettingError> {
    let mut errors = Vec::new();
    let mut range = |flag, value: u64, allowed: RangeInclusive<u64>| {
        if !allowed.contains(&value) {
            let remedy = format!("set a number from {} to {}", allowed.start(), allowed.end());
            errors.push(setting_error(flag, value, remedy));
        }
    };
    range("workers", args.workers as u64, 1..=64);
    range("shard-count", u64::from(args.shard_count), 1..=65_535);
    range("head-poll-ms", args.head_poll_ms, 10..=5_000);
    range("region-writes-per-s", u64::from(args.region_writes_per_s), 1..=100_000);
    range("commit-interval-ms", args.commit_interval_ms, 0..=1_000);
    range("checkpoint-interval-ms", args.checkpoint_interval_ms, 100..=3_600_000);
    range("heartbeat-ms", args.heartbeat_ms, 20..=5_000);
    range("suspect-ms", args.suspect_ms, 100..=60_000);
    range("token-wait-ms", args.token_wait_ms, 0..=10_000);
    range("retention-s", args.retention_s, 1..=86_400);
    range("platform-timeout-ms", args.platform_timeout_ms, 10..=60_000);
    range("order-wait-ms", args.order_wait_ms, 1..=600_000);
    range("start-commit-wait-ms", args.start_commit_wait_ms, 10..=60_000);
    range("end-commit-wait-ms", args.end_commit_wait_ms, 10..=600_000);
    range("dispatch-window-ms", args.dispatch_window_ms, 20..=60_000);
    range("owner-wait-ms", args.owner_wait_ms, 10..=600_000);
    range("engine-silence-ms", args.engine_silence_ms, 10..=600_000);
    range("service-timeout-ms", args.service_timeout_ms, 10..=600_000);
    range("abandon-ms", args.abandon_ms, 10..=600_000);
    range("vm-poll-ms", args.vm_poll_ms, 50..=2_000);
    range("program-idle-s", args.program_idle_s, 1..=86_400);
    range("body-max-bytes", args.body_max_bytes as u64, 1_024..=67_108_864);
    range("body-timeout-ms", args.body_timeout_ms, 100..=3_600_000);
    range("memory-mb", args.memory_mb, 64..=1_048_576);
    range("drain-max-s", args.drain_max_s, 1..=3_600);
    if args.dispatch_window_ms <= args.start_commit_wait_ms {
        let remedy =
            "set it above --start-commit-wait-ms, or a committed call may be too late to dispatch";
        errors.push(setting_error("dispatch-window-ms", args.dispatch_window_ms, remedy));
    }
    if args.suspect_ms < args.heartbeat_ms * 3 {
        let remedy = "set it to at least three times --heartbeat-ms to tolerate a lost heartbeat";
        errors.push(setting_error("suspect-ms", args.suspect_ms, remedy));
    }
    let limits = HoldingLimits::of_process(args.memory_mb.saturating_mul(BYTES_PER_MB), u64::MAX);
    if limits.request_max_bytes() < BODY_COPIES * args.body_max_bytes as u64 {
        let remedy = "set more, or lower --body-max-bytes, so that the largest body can be served";
        errors.push(setting_error("memory-mb", args.memory_mb, remedy));
    }
    if !args.platform.starts_with("http://") {
        errors.push(setting_error(
            "platform",
            &args.platform,
            "set a base URL such as http://10.0.0.2:9000",
        ));
    }
    for (flag, name) in [("region", &args.region), ("zone", &args.zone)] {
        if name.is_empty() || !name.chars().all(|char| char.is_ascii_alphanumeric() || char == '-')
        {
            errors.push(setting_error(flag, name, "set a name of letters, digits and dashes"));
        }
    }
    errors
}

fn setting_error(
    flag: &'static str,
    value: impl Display,
    remedy: impl Into<String>,
) -> SettingError {
    SettingError { flag, value: value.to_string(), remedy: remedy.into() }
}
