//! Stand-in for a model engine.
//!
//! It runs continuous batching with a fixed number of slots, keeps a prefix cache of limited size,
//! schedules requests by priority, streams tokens at a configured rate, resumes streams from an
//! offset, and accepts orders with fencing numbers. The generated text depends only on the prompt
//! and the requested number of tokens.

mod api;
mod batch;
mod cache;
mod text;

pub use api::{ChatRequest, EngineFaults, LoadReport};
pub use cache::{CacheEvent, PrefixCache};

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
    /// Accepts orders whatever their fencing numbers.
    #[arg(long)]
    pub ignore_fencing: bool,
    /// Time for which generation continues without a reader, in milliseconds.
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
    record: Mutex<Vec<RecordedRequest>>,
    streams: Mutex<HashMap<String, Arc<CallFeed>>>,
    faults: Mutex<EngineFaults>,
    fencing_number: Mutex<u64>,
    load: Mutex<api::LoadHistory>,
}

impl Engine {
    /// Serves the stand-in on a thread of its own and returns the bound address.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub fn spawn(listen: SocketAddr, settings: EngineSettings) -> io::Result<SocketAddr> {
        let engine = Self {
            batch: Batch::new(settings.slots),
            cache: Mutex::new(PrefixCache::new(settings.cache_tokens)),
            settings,
            record: Mutex::default(),
            streams: Mutex::default(),
            faults: Mutex::default(),
            fencing_number: Mutex::default(),
            load: Mutex::default(),
        };
        serve(listen, Arc::new(engine), api::routes)
    }
}
