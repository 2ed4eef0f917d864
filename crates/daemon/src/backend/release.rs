//! Release of the engine memory of ended programs.

use std::time::Duration;

use dandelionfront_coordination::ConfigSnapshot;
use dandelionfront_coordination::ids::ProgramId;
use dandelionfront_coordination::owner::UnreleasedProgram;
use futures_util::future::join_all;

use super::engine::{HttpEngine, ModelEngine as _};

/// Maximum number of programs that one call releases, concurrently.
const BATCH_MAX_PROGRAMS: usize = 64;

/// Asks engines to release the memory of ended programs.
#[derive(Debug, Clone)]
pub struct Releaser {
    timeout: Duration,
}

impl Releaser {
    /// Creates a releaser; `timeout` applies to each request.
    #[must_use]
    pub fn new(timeout: Duration) -> Self {
        Self { timeout }
    }

    /// Releases the first [`BATCH_MAX_PROGRAMS`] programs; returns those for which all engines that
    /// may hold memory confirmed the release.
    pub async fn release(
        &self,
        config: &ConfigSnapshot,
        mut unreleased: Vec<UnreleasedProgram>,
    ) -> Vec<ProgramId> {
        unreleased.truncate(BATCH_MAX_PROGRAMS);
        let releases = unreleased.iter().map(|ended| self.release_one(config, ended));
        let confirmed = join_all(releases).await;
        let pairs = unreleased.into_iter().zip(confirmed);
        pairs.filter(|(_, confirmed)| *confirmed).map(|(ended, _)| ended.program).collect()
    }

    async fn release_one(&self, config: &ConfigSnapshot, ended: &UnreleasedProgram) -> bool {
        let objects = config.objects();
        let is_engine = |served: &String| objects.model.contains_key(served);
        // If some engines of the program are not recorded, all engines are asked.
        let engines = objects.backend.iter().filter(|(name, backend)| {
            backend.serves.iter().any(is_engine)
                && (ended.has_unrecorded_backends || ended.backends.contains(name))
        });
        let requests = engines.map(|(_, backend)| async {
            let engine = HttpEngine::new(&backend.address, self.timeout);
            engine.release(&ended.program).await
        });
        join_all(requests).await.into_iter().all(|confirmed| confirmed)
    }
}
