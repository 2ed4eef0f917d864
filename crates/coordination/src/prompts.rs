//! Number of backend servers that cache a shared part of prompts.
//!
//! The first part of a prompt, for example a system prompt, is often shared by many programs. A
//! server prefills it for the first request that needs it and then keeps it in its cache. If the
//! programs of every part were spread over all servers, each server would need memory for all
//! parts, and the parts would evict each other. The programs of a part are therefore placed on a
//! subset of the servers, its hosts, whose number depends on the size of the part and on its share
//! of the requests.

use std::collections::HashMap;

use crate::request::PromptPart;
use crate::routing::ServiceId;

/// Identifier of a part of a prompt.
pub type PartId = u64;

/// Fraction of a server's cache for shared parts; the rest holds the prompts of running and paused
/// programs.
const SHARED_CACHE_FRACTION: f64 = 0.25;
/// Number of shared parts assumed until more are known.
const PARTS_MIN: usize = 16;
/// Ratio of the share of hosts to the share of requests; with less than 1, the hosts of a frequent
/// part would get more requests than other servers.
const HOSTS_PER_REQUEST_SHARE: f64 = 2.0;
/// Number of recent requests after which older ones lose half of their weight.
const HALVING_REQUESTS: f64 = 64.0;
/// Weight below which a part is considered unused.
const PART_WEIGHT_MIN: f64 = 0.05;
/// Number of requests assumed for other parts, so that the first requests of a part do not make it
/// look frequent.
const OTHER_REQUESTS: f64 = 16.0;

/// Shared part of a prompt, and the number of servers that cache it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SharedPart {
    /// Identifier of the part.
    pub id: PartId,
    /// Number of servers that cache the part.
    pub hosts: usize,
}

/// Use of the shared parts of one service by the requests of this node.
#[derive(Debug, Default)]
struct PartUsage {
    /// Recent requests by part, older ones with less weight.
    weights: HashMap<PartId, f64>,
    total_weight: f64,
}

impl PartUsage {
    fn record(&mut self, part: PartId) {
        *self.weights.entry(part).or_default() += 1.0;
        self.total_weight += 1.0;
        if self.total_weight < HALVING_REQUESTS {
            return;
        }
        self.weights.retain(|_, weight| {
            *weight /= 2.0;
            *weight >= PART_WEIGHT_MIN
        });
        self.total_weight = self.weights.values().sum();
    }

    /// Returns the share of the recent requests that use `part`.
    fn share(&self, part: PartId) -> f64 {
        let weight = self.weights.get(&part).copied().unwrap_or_default();
        weight / (self.total_weight + OTHER_REQUESTS)
    }
}

/// Use of shared parts by service, as seen by this node.
#[derive(Debug, Default)]
pub struct SharedPrompts {
    services: HashMap<ServiceId, PartUsage>,
}

impl SharedPrompts {
    /// Records a request with the given prompt and returns its shared part; `None` if the prompt
    /// has a single part.
    ///
    /// `cache_tokens` is the size of the cache of each of the `servers` servers of the service.
    pub fn record(
        &mut self,
        service: &str,
        prompt: &[PromptPart],
        cache_tokens: u64,
        servers: usize,
    ) -> Option<SharedPart> {
        let [part, _, ..] = prompt else { return None };
        if !self.services.contains_key(service) {
            self.services.insert(service.to_owned(), PartUsage::default());
        }
        let usage = self.services.get_mut(service)?;
        usage.record(part.id);
        let parts = usage.weights.len().max(PARTS_MIN);
        let fraction = host_fraction(part.tokens, parts, cache_tokens, usage.share(part.id));
        #[expect(
            clippy::cast_precision_loss,
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a few thousand servers at most"
        )]
        let hosts = (servers as f64 * fraction).ceil() as usize;
        Some(SharedPart { id: part.id, hosts })
    }
}

/// Returns the fraction of the servers that cache a part of `part_tokens`, one of `parts` parts
/// with `request_share` of the requests.
fn host_fraction(part_tokens: u64, parts: usize, cache_tokens: u64, request_share: f64) -> f64 {
    #[expect(clippy::cast_precision_loss, reason = "counts are far below 2^53")]
    let (all_parts_tokens, cache_tokens) =
        (part_tokens.max(1) as f64 * parts as f64, cache_tokens as f64);
    let by_memory = SHARED_CACHE_FRACTION * cache_tokens / all_parts_tokens;
    let by_requests = HOSTS_PER_REQUEST_SHARE * request_share;
    by_memory.max(by_requests).min(1.0)
}
