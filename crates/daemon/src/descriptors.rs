//! Limits on the descriptors of the process.

use dandelionfront_platform::settings::sockets_of;
use rustix::process::{Resource, getrlimit};

/// Returns the number of sockets that the process may have open: that of the settings, if there is
/// one, and no more than the system allows.
#[must_use]
pub fn sockets_max(of_settings: Option<u64>) -> u64 {
    let of_system = getrlimit(Resource::Nofile).current.map_or(u64::MAX, sockets_of);
    of_settings.unwrap_or(u64::MAX).min(of_system)
}
