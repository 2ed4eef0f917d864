//! Keeps the active configuration up to date with the newest published version.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use dandelionfront_coordination::config::publish::{
    ConfigStore, Publication, PublishError, Published, VersionRow,
};
use dandelionfront_coordination::heartbeat::NewerConfig;
use dandelionfront_coordination::ids::ConfigVersion;
use dandelionfront_coordination::members::Head;
use dandelionfront_coordination::payload::Body;
use dandelionfront_coordination::peers::ConfigTransfer;
use dandelionfront_coordination::platform::PlatformResult;
use dandelionfront_coordination::{ConfigSnapshot, ConfigWatcher, ObjectSet, Peers, Platform};
use futures_util::future::select;
use log::{debug, info, warn};
use tokio::sync::{Notify, watch};

use crate::process::Metrics;

/// Maximum number of recent versions whose changes are cached for peers.
const RECENT_VERSIONS_MAX: usize = 64;
/// Delay before a retry after a version could not be read.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Holds the active configuration and switches to newer versions.
pub struct ConfigFollower {
    store: ConfigStore,
    peers: Rc<dyn Peers>,
    current: watch::Sender<Arc<ConfigSnapshot>>,
    /// Changes of the most recent versions, without gaps.
    recent: RefCell<VecDeque<VersionRow>>,
    /// Latest report of a newer version by a peer; removed before that version is fetched.
    newer_config: RefCell<Option<NewerConfig>>,
    newer_config_reported: Notify,
    metrics: Metrics,
}

impl ConfigFollower {
    /// Creates a follower that sends each newly active version to `current`.
    #[must_use]
    pub fn new(
        platform: Platform,
        peers: Rc<dyn Peers>,
        current: watch::Sender<Arc<ConfigSnapshot>>,
        metrics: Metrics,
    ) -> Self {
        Self {
            store: ConfigStore::new(platform),
            peers,
            current,
            recent: RefCell::default(),
            newer_config: RefCell::default(),
            newer_config_reported: Notify::new(),
            metrics,
        }
    }

    /// Returns the active configuration.
    #[must_use]
    pub fn current(&self) -> Arc<ConfigSnapshot> {
        Arc::clone(&self.current.borrow())
    }

    /// Reads the newest version number from the platform, activates that version and returns it.
    ///
    /// # Errors
    ///
    /// Fails when the platform cannot be read.
    pub async fn newest(&self) -> PlatformResult<Arc<ConfigSnapshot>> {
        let newest = self.store.newest_version().await?;
        self.catch_up(newest).await?;
        Ok(self.current())
    }

    /// Returns the store of published versions.
    #[must_use]
    pub fn store(&self) -> &ConfigStore {
        &self.store
    }

    /// Activates newer versions as the head row or a peer reports them.
    pub async fn follow(&self, mut head: watch::Receiver<Head>) {
        loop {
            let newest = head.borrow_and_update().config_version;
            let from_store = self.catch_up(newest).await;
            let from_peer = self.catch_up_from_peer().await;
            if let Err(error) = from_store {
                warn!("event=config_unreadable version={newest} cause={error:?}");
            }
            let behind = self.current().version() < newest || !from_peer;
            if behind {
                ntex::time::sleep(RETRY_DELAY).await;
                continue;
            }
            let changed = std::pin::pin!(head.changed());
            let notified = std::pin::pin!(self.newer_config_reported.notified());
            select(changed, notified).await;
        }
    }

    /// Returns the update that brings a peer from `version` to the active configuration.
    #[must_use]
    pub fn transfer_after(&self, version: ConfigVersion) -> ConfigTransfer {
        let recent = self.recent.borrow();
        let rows: Vec<VersionRow> =
            recent.iter().filter(|row| row.version > version).cloned().collect();
        let current = self.current();
        if rows.first().is_some_and(|row| row.version == version + 1) {
            return ConfigTransfer::Changes(rows);
        }
        ConfigTransfer::Full {
            version: current.version(),
            digest: current.digest().to_owned(),
            objects: Box::new(current.objects().clone()),
        }
    }

    /// Activates the newer version that a peer reported, if any; returns `false` if it could not be
    /// fetched or applied.
    async fn catch_up_from_peer(&self) -> bool {
        let Some(newer) = self.newer_config.borrow_mut().take() else { return true };
        let current = self.current();
        if newer.version <= current.version() {
            return true;
        }
        match self.peers.config_after(&newer.peer_address, current.version()).await {
            Ok(transfer) => self.activate_transfer(&current, transfer).await,
            Err(error) => {
                debug!("event=config_transfer_failed cause={error:?}");
                false
            }
        }
    }

    async fn activate_transfer(&self, current: &ConfigSnapshot, transfer: ConfigTransfer) -> bool {
        match transfer {
            ConfigTransfer::Full { version, digest, objects } => {
                let intact = objects.digest() == digest;
                if intact {
                    self.activate(version, *objects);
                }
                intact
            }
            ConfigTransfer::Changes(rows) => {
                let mut objects = current.objects().clone();
                for row in rows {
                    match self.store.apply(&objects, &row).await {
                        Ok(next) => objects = next,
                        Err(error) => {
                            warn!("event=config_transfer_unusable cause={error:?}");
                            return false;
                        }
                    }
                    self.activate(row.version, objects.clone());
                    self.cache_recent(row);
                }
                true
            }
        }
    }

    /// Caches the changes of a version for peers that lag behind.
    ///
    /// The cache holds consecutive versions; a gap, or changes that are too large to be stored
    /// inline, clears it.
    fn cache_recent(&self, row: VersionRow) {
        let mut recent = self.recent.borrow_mut();
        if !matches!(row.changes, Body::Inline(_)) {
            recent.clear();
            return;
        }
        if recent.back().is_some_and(|last| last.version + 1 != row.version) {
            recent.clear();
        }
        recent.push_back(row);
        if recent.len() > RECENT_VERSIONS_MAX {
            recent.pop_front();
        }
    }

    /// Publishes a configuration and activates it on this node immediately.
    ///
    /// # Errors
    ///
    /// Fails when the objects are invalid, another version was published in the meantime, or the
    /// platform fails.
    pub async fn publish(
        &self,
        publication: &Publication,
        now: Duration,
    ) -> Result<Published, PublishError> {
        self.catch_up(publication.base_version)
            .await
            .map_err(|source| PublishError::Platform { source })?;
        let current = self.current();
        let row = self.store.publish(publication, current.objects(), now).await?;
        let published = Published::from(&row);
        self.activate(row.version, publication.objects.clone());
        // Lets peers fetch only the changes of this version instead of the complete set.
        self.cache_recent(row);
        Ok(published)
    }

    async fn catch_up(&self, newest: ConfigVersion) -> PlatformResult<()> {
        let current = self.current();
        if newest <= current.version() {
            return Ok(());
        }
        let from = (current.version(), current.objects());
        let (version, objects, rows) = self.store.catch_up(from, newest).await?;
        self.activate(version, objects);
        for row in rows {
            self.cache_recent(row);
        }
        Ok(())
    }

    /// Activates `version`, unless the same or a newer version is already active.
    fn activate(&self, version: ConfigVersion, objects: ObjectSet) {
        let activated = self.current.send_if_modified(|current| {
            let newer = version > current.version();
            if newer {
                *current = Arc::new(ConfigSnapshot::new(version, objects));
            }
            newer
        });
        if activated {
            self.metrics.config_version.set(i64::try_from(version).unwrap_or(i64::MAX));
            info!("event=config_adopted version={version}");
        }
    }
}

impl ConfigWatcher for ConfigFollower {
    fn current(&self) -> Arc<ConfigSnapshot> {
        Self::current(self)
    }

    fn on_newer_version(&self, newer: NewerConfig) {
        *self.newer_config.borrow_mut() = Some(newer);
        self.newer_config_reported.notify_one();
    }
}
