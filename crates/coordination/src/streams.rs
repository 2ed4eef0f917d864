//! Origins of resumable streams.
//!
//! What two software versions of a service write does not fit together, so a stream is resumed only
//! at the version that began it. A caller may resume its stream through any node. The node that
//! forwards the first event therefore records the stream's origin at itself and at the nodes that
//! [`holders_of`] ranks highest for the stream, and a node that does not know the origin of a
//! stream asks the nodes highest in rank. The messages depend on the number of streams, not of
//! nodes.
//!
//! Records are lost with the nodes that hold them. A stream of unknown origin must not be resumed.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{Xxh3, xxh3_64_with_seed};

use crate::routing::ServiceId;
use crate::servers::SoftwareVersion;

/// Hash of a team and of the request that brought the first event of one of its streams.
pub type StreamKey = u64;

/// Number of other nodes at which an origin is recorded.
pub const HOLDERS: usize = 2;
/// Number of nodes that are asked for an origin. It exceeds [`HOLDERS`], because nodes may have
/// joined or left the ranking since the origin was recorded.
pub const ASKED_NODES: usize = 4;
/// Time for which an origin is kept after it was last recorded.
const ORIGIN_RETENTION: Duration = Duration::from_secs(60);
/// Time after which the origin of a stream that still runs is recorded again.
pub const ORIGIN_REFRESH: Duration = Duration::from_secs(20);

/// Service and software version that began a stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// Service.
    pub service: ServiceId,
    /// Software version of the backend server that sent the first event.
    pub software: SoftwareVersion,
}

#[derive(Debug)]
struct KnownOrigin {
    origin: StreamOrigin,
    expires_at: Duration,
}

/// Origins recorded at a node.
#[derive(Debug, Default)]
pub struct StreamOrigins {
    known: HashMap<StreamKey, KnownOrigin>,
}

impl StreamOrigins {
    /// Records the origin of a stream, or extends the time for which it is kept.
    pub fn record(&mut self, stream: StreamKey, origin: StreamOrigin, now: Duration) {
        let expires_at = now + ORIGIN_RETENTION;
        self.known.insert(stream, KnownOrigin { origin, expires_at });
    }

    /// Returns the origin of a stream, if it is known.
    #[must_use]
    pub fn get(&self, stream: StreamKey) -> Option<&StreamOrigin> {
        Some(&self.known.get(&stream)?.origin)
    }

    /// Discards expired origins.
    pub fn prune(&mut self, now: Duration) {
        self.known.retain(|_, known| now < known.expires_at);
    }

    /// Returns the number of known origins.
    #[must_use]
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Returns whether no origin is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }
}

/// Returns the key of the stream whose first event was brought by `request`.
#[must_use]
pub fn stream_key(team: &str, request: &str) -> StreamKey {
    let mut hasher = Xxh3::new();
    hasher.update(team.as_bytes());
    // Separates the names, which contain no zero byte.
    hasher.update(&[0]);
    hasher.update(request.as_bytes());
    hasher.digest()
}

/// Returns the `count` members that rank highest for a stream, highest first.
pub fn holders_of<'a>(
    stream: StreamKey,
    members: impl Iterator<Item = &'a str>,
    count: usize,
) -> Vec<&'a str> {
    let mut ranked: Vec<&str> = members.collect();
    ranked.sort_by_cached_key(|member| {
        let member: &'a str = member;
        (Reverse(xxh3_64_with_seed(member.as_bytes(), stream)), member)
    });
    ranked.truncate(count);
    ranked
}
