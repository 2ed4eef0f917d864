//! Command line of the daemon.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Args, Parser, Subcommand};
use log::LevelFilter;

/// Scheduler for agent programs in front of shared model backend servers.
///
/// Every flag can also be set through the environment variable shown next to it.
#[derive(Debug, Parser)]
#[command(name = "dandelionfront", version, args_override_self = true)]
pub struct Cli {
    /// Maximum log level: error, warn, info, debug or trace.
    #[arg(long, global = true, env = "DANDELIONFRONT_LOG_LEVEL", default_value = "info")]
    pub log_level: LevelFilter,

    /// Command to run instead of a node.
    #[command(subcommand)]
    pub command: Option<Command>,

    /// Settings of the node.
    #[command(flatten)]
    pub node: NodeArgs,
}

/// Commands that replace running a node.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Runs a sample program through one node, with stand-ins for all other services.
    Trial(TrialArgs),
    /// Runs a node on an entry VM, configured by the platform's settings file.
    Front(FrontArgs),
}

/// Flags of the trial.
#[derive(Debug, Args)]
pub struct TrialArgs {
    /// Keeps the node and the stand-ins running after the sample program.
    #[arg(long)]
    pub serve: bool,
}

/// Flags of a node on an entry VM.
#[derive(Debug, Clone, Args)]
pub struct FrontArgs {
    /// Settings file that the platform writes.
    #[arg(long, env = "DANDELIONFRONT_BOOT", default_value = "/etc/dandelionfront/boot.toml")]
    pub settings: PathBuf,

    /// Port on the VM's address at which metrics are served.
    #[arg(long, env = "DANDELIONFRONT_METRICS_PORT", default_value_t = 9464)]
    pub metrics_port: u16,
}

/// Flags of a node.
#[derive(Debug, Clone, Args)]
pub struct NodeArgs {
    /// Address for callers, as IP:PORT.
    #[arg(long, env = "DANDELIONFRONT_LISTEN", default_value = "127.0.0.1:8080")]
    pub listen: SocketAddr,

    /// Address for calls forwarded by other nodes, as IP:PORT.
    #[arg(long, env = "DANDELIONFRONT_FORWARD_LISTEN", default_value = "127.0.0.1:8081")]
    pub forward_listen: SocketAddr,

    /// Address for control messages of other nodes, as IP:PORT.
    #[arg(long, env = "DANDELIONFRONT_PEER_LISTEN", default_value = "127.0.0.1:8082")]
    pub peer_listen: SocketAddr,

    /// Address for operators, metrics and health checks, as IP:PORT.
    #[arg(long, env = "DANDELIONFRONT_OPERATOR_LISTEN", default_value = "127.0.0.1:8083")]
    pub operator_listen: SocketAddr,

    /// Forward address that other nodes use, if it differs from --forward-listen.
    #[arg(long, env = "DANDELIONFRONT_FORWARD_ADVERTISE")]
    pub forward_advertise: Option<SocketAddr>,

    /// Peer address that other nodes use, if it differs from --peer-listen.
    #[arg(long, env = "DANDELIONFRONT_PEER_ADVERTISE")]
    pub peer_advertise: Option<SocketAddr>,

    /// Base URL of the platform's table service, object store and VM list.
    #[arg(long, env = "DANDELIONFRONT_PLATFORM", default_value = "http://127.0.0.1:9000")]
    pub platform: String,

    /// Region of this node.
    #[arg(long, env = "DANDELIONFRONT_REGION", default_value = "local")]
    pub region: String,

    /// Availability zone of this node.
    #[arg(long, env = "DANDELIONFRONT_ZONE", default_value = "local-a")]
    pub zone: String,

    /// Number of worker threads for callers; forwarded calls get the same number.
    #[arg(long, env = "DANDELIONFRONT_WORKERS", default_value_t = 2)]
    pub workers: usize,

    /// Number of shards per region; must be the same on all nodes and must never change.
    #[arg(long, env = "DANDELIONFRONT_SHARD_COUNT", default_value_t = 256)]
    pub shard_count: u32,

    /// Interval between checks for a new configuration or changed members, in milliseconds.
    #[arg(long, env = "DANDELIONFRONT_HEAD_POLL_MS", default_value_t = 1_000)]
    pub head_poll_ms: u64,

    /// Maximum number of journal writes per second by all nodes of the region together.
    #[arg(long, env = "DANDELIONFRONT_REGION_WRITES_PER_S", default_value_t = 240)]
    pub region_writes_per_s: u32,

    /// Minimum interval between journal commits, in milliseconds.
    #[arg(long, env = "DANDELIONFRONT_COMMIT_INTERVAL_MS", default_value_t = 5)]
    pub commit_interval_ms: u64,

    /// Interval between checkpoints of the shards that the node serves, in milliseconds.
    #[arg(long, env = "DANDELIONFRONT_CHECKPOINT_INTERVAL_MS", default_value_t = 60_000)]
    pub checkpoint_interval_ms: u64,

    /// Interval between heartbeats to each node that monitors this one, in milliseconds.
    #[arg(long, env = "DANDELIONFRONT_HEARTBEAT_MS", default_value_t = 1_000)]
    pub heartbeat_ms: u64,

    /// Time without a heartbeat after which a node is suspected of having failed, in milliseconds.
    #[arg(long, env = "DANDELIONFRONT_SUSPECT_MS", default_value_t = 3_500)]
    pub suspect_ms: u64,

    /// Maximum time that a request waits for a token of its team's limit, in milliseconds.
    #[arg(long, env = "DANDELIONFRONT_TOKEN_WAIT_MS", default_value_t = 500)]
    pub token_wait_ms: u64,

    /// Time for which ended programs remain readable, in seconds.
    #[arg(long, env = "DANDELIONFRONT_RETENTION_S", default_value_t = 900)]
    pub retention_s: u64,

    /// Timeout of requests to the platform, in milliseconds.
    #[arg(long, env = "DANDELIONFRONT_PLATFORM_TIMEOUT_MS", default_value_t = 2_000)]
    pub platform_timeout_ms: u64,

    /// Maximum time that a call waits for its predecessor, in milliseconds.
    #[arg(long, env = "DANDELIONFRONT_ORDER_WAIT_MS", default_value_t = 10_000)]
    pub order_wait_ms: u64,

    /// Maximum time that a call waits for the commit that records its start, in milliseconds.
    #[arg(long, env = "DANDELIONFRONT_START_COMMIT_WAIT_MS", default_value_t = 2_000)]
    pub start_commit_wait_ms: u64,

    /// Maximum time that a caller waits for the commit that records its answer, in milliseconds.
    #[arg(long, env = "DANDELIONFRONT_END_COMMIT_WAIT_MS", default_value_t = 10_000)]
    pub end_commit_wait_ms: u64,

    /// Maximum time from the beginning of the commit that records a call's start to the dispatch,
    /// in milliseconds.
    #[arg(long, env = "DANDELIONFRONT_DISPATCH_WINDOW_MS", default_value_t = 3_000)]
    pub dispatch_window_ms: u64,

    /// Maximum time to retry until a program's owner is reachable, in milliseconds.
    #[arg(long, env = "DANDELIONFRONT_OWNER_WAIT_MS", default_value_t = 15_000)]
    pub owner_wait_ms: u64,

    /// Timeout of requests to engines, and idle time before a stream is resumed, in milliseconds.
    #[arg(long, env = "DANDELIONFRONT_ENGINE_SILENCE_MS", default_value_t = 10_000)]
    pub engine_silence_ms: u64,

    /// Timeout of calls to plain services, in milliseconds.
    #[arg(long, env = "DANDELIONFRONT_SERVICE_TIMEOUT_MS", default_value_t = 30_000)]
    pub service_timeout_ms: u64,

    /// Time after which a model call without a waiting caller is cancelled on its engine, in
    /// milliseconds.
    #[arg(long, env = "DANDELIONFRONT_ABANDON_MS", default_value_t = 10_000)]
    pub abandon_ms: u64,

    /// Interval between reads of the platform's VM list, in milliseconds.
    #[arg(long, env = "DANDELIONFRONT_VM_POLL_MS", default_value_t = 1_000)]
    pub vm_poll_ms: u64,

    /// Time without a call after which a program is ended as abandoned, in seconds.
    #[arg(long, env = "DANDELIONFRONT_PROGRAM_IDLE_S", default_value_t = 900)]
    pub program_idle_s: u64,

    /// Maximum size of a caller's request body, in bytes.
    #[arg(long, env = "DANDELIONFRONT_BODY_MAX_BYTES", default_value_t = 4_194_304)]
    pub body_max_bytes: usize,

    /// Maximum time in which a caller's request body must arrive, in milliseconds.
    #[arg(long, env = "DANDELIONFRONT_BODY_TIMEOUT_MS", default_value_t = 60_000)]
    pub body_timeout_ms: u64,

    /// Memory of the process, in MB; callers may make it hold three eighths of it.
    #[arg(long, env = "DANDELIONFRONT_MEMORY_MB", default_value_t = 1_024)]
    pub memory_mb: u64,

    /// Maximum time that a graceful shutdown waits for running calls and the release of the shards,
    /// in seconds.
    #[arg(long, env = "DANDELIONFRONT_DRAIN_MAX_S", default_value_t = 600)]
    pub drain_max_s: u64,
}
