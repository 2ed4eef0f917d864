//! Follows the head row to the newest configuration.

use std::sync::Arc;
use std::time::Duration;

use dandelionfront_coordination::config::publish::{
    ConfigStore, Publication, PublishError, Published,
};
use dandelionfront_coordination::ids::ConfigVersion;
use dandelionfront_coordination::members::Head;
use dandelionfront_coordination::platform::PlatformResult;
use dandelionfront_coordination::{ConfigSnapshot, ObjectSet, Platform};
use log::{info, warn};
use tokio::sync::watch;

use crate::process::Metrics;

/// Pause after a version that could not be read.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Holds the version in force and adopts newer ones.
pub struct Follower {
    store: ConfigStore,
    current: watch::Sender<Arc<ConfigSnapshot>>,
    metrics: Metrics,
}

impl Follower {
    /// Creates a follower that publishes adopted versions through `current`.
    #[must_use]
    pub fn new(
        platform: Platform,
        current: watch::Sender<Arc<ConfigSnapshot>>,
        metrics: Metrics,
    ) -> Self {
        Self {
            store: ConfigStore::new(platform),
            current,
            metrics,
        }
    }

    /// Returns the version in force.
    #[must_use]
    pub fn current(&self) -> Arc<ConfigSnapshot> {
        Arc::clone(&self.current.borrow())
    }

    /// Reads the head row and returns the newest version after adopting it.
    ///
    /// # Errors
    ///
    /// Fails when the platform cannot be read.
    pub async fn newest(&self) -> PlatformResult<Arc<ConfigSnapshot>> {
        let newest = self.store.newest_version().await?;
        self.catch_up(newest).await?;
        Ok(self.current())
    }

    /// Returns the stored versions.
    #[must_use]
    pub fn store(&self) -> &ConfigStore {
        &self.store
    }

    /// Adopts each newer version that the head row names.
    pub async fn follow(&self, mut head: watch::Receiver<Head>) {
        loop {
            let newest = head.borrow_and_update().config_version;
            if let Err(error) = self.catch_up(newest).await {
                warn!("event=config_unreadable version={newest} cause={error:?}");
                ntex::time::sleep(RETRY_PAUSE).await;
                continue;
            }
            if head.changed().await.is_err() {
                return;
            }
        }
    }

    /// Publishes a configuration and adopts it at once.
    ///
    /// # Errors
    ///
    /// Fails when the objects have faults, another publication came first, or the platform failed.
    pub async fn publish(
        &self,
        publication: &Publication,
        now: Duration,
    ) -> Result<Published, PublishError> {
        self.catch_up(publication.base_version)
            .await
            .map_err(|source| PublishError::Platform { source })?;
        let current = self.current();
        let published = self
            .store
            .publish(publication, current.objects(), now)
            .await?;
        self.adopt(published.version, publication.objects.clone());
        Ok(published)
    }

    async fn catch_up(&self, newest: ConfigVersion) -> PlatformResult<()> {
        let current = self.current();
        if newest <= current.version() {
            return Ok(());
        }
        let from = (current.version(), current.objects());
        let (version, objects) = self.store.catch_up(from, newest).await?;
        self.adopt(version, objects);
        Ok(())
    }

    /// Puts `version` in force unless the same or a newer one already is.
    fn adopt(&self, version: ConfigVersion, objects: ObjectSet) {
        let adopted = self.current.send_if_modified(|current| {
            let newer = version > current.version();
            if newer {
                *current = Arc::new(ConfigSnapshot::new(version, objects));
            }
            newer
        });
        if adopted {
            self.metrics
                .config_version
                .set(i64::try_from(version).unwrap_or(i64::MAX));
            info!("event=config_adopted version={version}");
        }
    }
}
