//! Origins of resumable streams.
//!
//! What two software versions of a service write does not fit together, so a stream is resumed only
//! at the version that began it. A caller may resume its stream through any node. The node that
//! forwards the first event therefore records the stream's origin at itself and at the nodes that
//! [`holders_of`] ranks highest for the stream's session, and a node that does not know the origin
//! of a stream asks the nodes highest in rank. The messages depend on the number of streams, not of
//! nodes.
//!
//! A caller should name the request that brought the first event of the stream. For one that does
//! not, the newest stream of the session with the same request body is meant.
//!
//! Records are lost with the nodes that hold them. A stream of unknown origin must not be resumed.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{Xxh3, xxh3_64, xxh3_64_with_seed};

use crate::routing::ServiceId;
use crate::servers::SoftwareVersion;

/// Hash of a team and of a session of one of its programs.
pub type SessionKey = u64;

/// A stream, identified by the request that brings its first event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamId {
    /// Session that the request belongs to.
    pub session: SessionKey,
    /// Hash of the request's id.
    request: u64,
    /// Hash of the request's body.
    body: u64,
}

/// What is known of a stream whose origin is sought.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum SoughtStream {
    /// Hash of the id of the request that brought the first event.
    Request(u64),
    /// Hash of the request's body.
    Body(u64),
}

/// Number of other nodes at which an origin is recorded.
pub const HOLDERS: usize = 2;
/// Number of nodes that are asked for an origin. It exceeds [`HOLDERS`], because nodes may have
/// joined or left the ranking since the origin was recorded.
pub const ASKED_NODES: usize = 4;
/// Number of streams of a session that are remembered; a session has few at a time.
const SESSION_STREAMS_MAX: usize = 64;
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
    stream: StreamId,
    origin: StreamOrigin,
    expires_at: Duration,
}

/// Origins recorded at a node.
#[derive(Debug, Default)]
pub struct StreamOrigins {
    /// Origins by session, the one recorded last at the end.
    sessions: HashMap<SessionKey, Vec<KnownOrigin>>,
}

impl StreamOrigins {
    /// Records the origin of a stream, or extends the time for which it is kept.
    pub fn record(&mut self, stream: StreamId, origin: StreamOrigin, now: Duration) {
        let expires_at = now + ORIGIN_RETENTION;
        let known = self.sessions.entry(stream.session).or_default();
        known.retain(|known| known.stream.request != stream.request);
        if known.len() >= SESSION_STREAMS_MAX {
            known.remove(0);
        }
        known.push(KnownOrigin { stream, origin, expires_at });
    }

    /// Returns the origin of a stream, if it is known.
    #[must_use]
    pub fn find(&self, session: SessionKey, sought: SoughtStream) -> Option<&StreamOrigin> {
        let is_sought = |known: &&KnownOrigin| match sought {
            SoughtStream::Request(request) => known.stream.request == request,
            SoughtStream::Body(body) => known.stream.body == body,
        };
        let known = self.sessions.get(&session)?.iter().rev().find(is_sought)?;
        Some(&known.origin)
    }

    /// Discards expired origins.
    pub fn prune(&mut self, now: Duration) {
        self.sessions.retain(|_, known| {
            known.retain(|known| now < known.expires_at);
            !known.is_empty()
        });
    }

    /// Returns whether no origin is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.sessions.is_empty()
    }
}

impl StreamId {
    /// Creates the identifier of the stream that `request` begins in a session of a team.
    #[must_use]
    pub fn new(team: &str, session: &[u8], request: &str, body: &[u8]) -> Self {
        Self {
            session: session_key(team, session),
            request: xxh3_64(request.as_bytes()),
            body: xxh3_64(body),
        }
    }

    /// Returns how to find the stream that this request resumes; `first` is the id of the request
    /// that brought its first event, if the caller names it.
    #[must_use]
    pub fn resumed(self, first: Option<&str>) -> SoughtStream {
        match first {
            Some(first) => SoughtStream::Request(xxh3_64(first.as_bytes())),
            None => SoughtStream::Body(self.body),
        }
    }

    /// Returns the identifier under which the stream that this request resumes is recorded again.
    #[must_use]
    pub fn continued(self, first: Option<&str>) -> Self {
        Self { request: first.map_or(self.request, |first| xxh3_64(first.as_bytes())), ..self }
    }
}

fn session_key(team: &str, session: &[u8]) -> SessionKey {
    let mut hasher = Xxh3::new();
    hasher.update(team.as_bytes());
    // Separates the names, which contain no zero byte.
    hasher.update(&[0]);
    hasher.update(session);
    hasher.digest()
}

/// Returns the `count` members that rank highest for a session, highest first.
pub fn holders_of<'a>(
    session: SessionKey,
    members: impl Iterator<Item = &'a str>,
    count: usize,
) -> Vec<&'a str> {
    let mut ranked: Vec<&str> = members.collect();
    ranked.sort_by_cached_key(|member| {
        let member: &'a str = member;
        (Reverse(xxh3_64_with_seed(member.as_bytes(), session)), member)
    });
    ranked.truncate(count);
    ranked
}
