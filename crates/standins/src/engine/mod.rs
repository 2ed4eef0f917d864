//! Stand-in for a model engine.
//!
//! It simulates continuous batching with a fixed number of slots assigned by priority, a prefix
//! cache of limited size with LRU eviction, and a fixed interval between tokens. Streams can be
//! resumed from an offset, and orders with stale fencing numbers are refused. The generated text
//! depends only on the prompt and the requested number of tokens.

mod api;
mod batch;
mod cache;
pub mod doubling;
mod text;

pub use api::{ChatRequest, EngineFaults, LoadReport};
pub use cache::{CacheEvent, PrefixCache};
pub use doubling::DoublingEngine;

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use clap::Args;
use dandelionfront_coordination::CallFeed;

use crate::http::{RecordedRequest, serve};
use batch::Batch;

/// Settings of the engine stand-in.
#[derive(Debug, Clone, Args)]
pub struct EngineSettings {
    /// Maximum number of requests processed at the same time.
    #[arg(long, default_value_t = 8)]
    pub slots: usize,
    /// Time between two generated tokens, in milliseconds.
    #[arg(long, default_value_t = 5)]
    pub token_interval_ms: u32,
    /// Uncached prompt tokens processed per second.
    #[arg(long, default_value_t = 20_000)]
    pub prefill_tokens_per_s: u64,
    /// Capacity of the prefix cache, in tokens.
    #[arg(long, default_value_t = 100_000)]
    pub cache_tokens: u64,
    /// Delay before load reports and cache events become visible, in milliseconds.
    #[arg(long, default_value_t = 500)]
    pub load_lag_ms: u64,
    /// Accepts orders regardless of their fencing numbers.
    #[arg(long)]
    pub ignore_fencing: bool,
    /// Time without a reader after which generation is aborted, in milliseconds.
    #[arg(long, default_value_t = 5_000)]
    pub resume_grace_ms: u32,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            slots: 8,
            token_interval_ms: 5,
            prefill_tokens_per_s: 20_000,
            cache_tokens: 100_000,
            load_lag_ms: 500,
            ignore_fencing: false,
            resume_grace_ms: 5_000,
        }
    }
}

/// The engine stand-in.
#[derive(Debug)]
pub struct Engine {
    settings: EngineSettings,
    batch: Batch,
    cache: Mutex<PrefixCache>,
    requests: Mutex<Vec<RecordedRequest>>,
    /// Feeds by request id, including those of non-streaming and finished requests.
    feeds: Mutex<HashMap<String, Arc<CallFeed>>>,
    faults: Mutex<EngineFaults>,
    /// Highest fencing number seen.
    fencing_number: Mutex<u64>,
    load_history: Mutex<api::LoadHistory>,
}

impl Engine {
    /// Starts the stand-in on a new thread and returns the bound address.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound or the thread cannot be started.
    pub fn spawn(listen: SocketAddr, settings: EngineSettings) -> io::Result<SocketAddr> {
        let engine = Self {
            batch: Batch::new(settings.slots),
            cache: Mutex::new(PrefixCache::new(settings.cache_tokens)),
            settings,
            requests: Mutex::default(),
            feeds: Mutex::default(),
            faults: Mutex::default(),
            fencing_number: Mutex::default(),
            load_history: Mutex::default(),
        };
        serve(listen, Arc::new(engine), api::routes)
    }
}
