//! Requests that crash the backend servers which run them.

use xxhash_rust::xxh3::Xxh3;

/// Hash of what the repetitions of a request share: its team, method, path with query, and body.
pub type RequestFingerprint = u64;

/// Returns the fingerprint of a request; `target` is its path with query, and `team` is empty on
/// routes that are open to all.
#[must_use]
pub fn request_fingerprint(
    team: &str,
    method: &str,
    target: &str,
    body: &[u8],
) -> RequestFingerprint {
    let mut hasher = Xxh3::new();
    for part in [team.as_bytes(), method.as_bytes(), target.as_bytes()] {
        hasher.update(part);
        // Separates the parts, which contain no zero byte.
        hasher.update(&[0]);
    }
    hasher.update(body);
    hasher.digest()
}
