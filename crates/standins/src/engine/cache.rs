//! Prefix cache of the engine stand-in: blocks of tokens with LRU eviction.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::http::unix_ms;

/// Tokens per block.
const BLOCK_TOKENS: usize = 16;
/// Events whose numbers are multiples of this are not published, to simulate lost events.
const LOSE_EVERY_NTH_EVENT: u64 = 7;

/// Insertion or release of a program's blocks, published to schedulers except for simulated losses.
///
/// Programs whose blocks are evicted by another program's insertion get no event.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number, from 1; a missing number means that an event was not published.
    pub number: u64,
    /// Program whose blocks were inserted or released.
    pub program: String,
    /// Tokens in all blocks cached for the program after the change.
    pub held_tokens: u64,
    /// Time of the change, since the Unix epoch.
    #[serde(default)]
    pub changed_unix_ms: u64,
}

#[derive(Debug)]
struct Block {
    programs: BTreeSet<String>,
    last_used: u64,
}

/// Cache of prompt prefixes.
#[derive(Debug)]
pub struct PrefixCache {
    capacity_blocks: usize,
    blocks: HashMap<u64, Block>,
    tick: u64,
    events: Vec<CacheEvent>,
}

impl PrefixCache {
    /// Creates an empty cache with a capacity of `capacity_tokens`.
    #[must_use]
    pub fn new(capacity_tokens: u64) -> Self {
        let capacity_blocks = usize::try_from(capacity_tokens).unwrap_or(usize::MAX) / BLOCK_TOKENS;
        Self { capacity_blocks, blocks: HashMap::new(), tick: 0, events: Vec::new() }
    }

    /// Returns the number of leading tokens of `prompt` in cached blocks, and marks these blocks as
    /// used.
    pub fn lookup(&mut self, prompt: &[&str]) -> u64 {
        self.tick += 1;
        let tick = self.tick;
        let hits = block_hashes(prompt)
            .into_iter()
            .map_while(|hash| self.blocks.get_mut(&hash).map(|block| block.last_used = tick));
        (hits.count() * BLOCK_TOKENS) as u64
    }

    /// Caches the blocks of `prompt` for `program`; evicts the least recently used blocks if full.
    pub fn insert(&mut self, program: &str, prompt: &[&str]) {
        self.tick += 1;
        for hash in block_hashes(prompt) {
            let tick = self.tick;
            let block = self
                .blocks
                .entry(hash)
                .or_insert_with(|| Block { programs: BTreeSet::new(), last_used: tick });
            block.last_used = tick;
            block.programs.insert(program.to_owned());
        }
        while self.blocks.len() > self.capacity_blocks {
            let oldest = self.blocks.iter().min_by_key(|(_, block)| block.last_used);
            let Some(hash) = oldest.map(|(hash, _)| *hash) else {
                break;
            };
            self.blocks.remove(&hash);
        }
        self.record_change(program);
    }

    /// Frees the blocks cached only for `program`; returns the number of tokens freed.
    pub fn release(&mut self, program: &str) -> u64 {
        let before = self.blocks.len();
        self.blocks.retain(|_, block| {
            block.programs.remove(program);
            !block.programs.is_empty()
        });
        self.record_change(program);
        ((before - self.blocks.len()) * BLOCK_TOKENS) as u64
    }

    /// Returns the number of cached tokens of each program; shared blocks count for each program.
    #[must_use]
    pub fn held_tokens(&self) -> BTreeMap<String, u64> {
        let mut held = BTreeMap::new();
        for program in self.blocks.values().flat_map(|block| &block.programs) {
            *held.entry(program.clone()).or_default() += BLOCK_TOKENS as u64;
        }
        held
    }

    /// Returns the published events after `number` that are at least `lag_ms` old.
    #[must_use]
    pub fn events_after(&self, number: u64, lag_ms: u64) -> Vec<CacheEvent> {
        let visible_until = unix_ms().saturating_sub(lag_ms);
        let published = self.events.iter().filter(|event| event.number % LOSE_EVERY_NTH_EVENT != 0);
        let due = published.filter(|event| event.changed_unix_ms <= visible_until);
        due.filter(|event| event.number > number).cloned().collect()
    }

    fn record_change(&mut self, program: &str) {
        let held = self.blocks.values().filter(|block| block.programs.contains(program)).count();
        self.events.push(CacheEvent {
            number: self.events.len() as u64 + 1,
            program: program.to_owned(),
            held_tokens: (held * BLOCK_TOKENS) as u64,
            changed_unix_ms: unix_ms(),
        });
    }
}

/// Returns one hash for each whole block of `prompt`; each hash also covers all preceding blocks.
fn block_hashes(prompt: &[&str]) -> Vec<u64> {
    let mut seed = 0;
    let whole_blocks = prompt.chunks_exact(BLOCK_TOKENS);
    whole_blocks
        .map(|block| {
            seed = xxh3_64_with_seed(block.join(" ").as_bytes(), seed);
            seed
        })
        .collect()
}
