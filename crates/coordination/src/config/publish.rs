//! Publication and retrieval of configuration versions.

use std::time::Duration;

use log::info;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use super::check::{Problem, check};
use super::objects::{Change, ObjectSet};
use crate::ids::ConfigVersion;
use crate::journal::load_body;
use crate::members::{HEAD_KEY, Head};
use crate::membership::read_head;
use crate::payload::{Body, Payload};
use crate::platform::{
    Platform, PlatformError, PlatformResult, Table, Transaction, TransactionOutcome, scan_all,
};

/// Changes larger than this are stored in the object store.
const INLINE_MAX_BYTES: usize = 64 * 1024;
/// The complete set is stored with every version that is a multiple of this, so that
/// [`ConfigStore::catch_up`] normally applies the changes of at most this many versions.
const FULL_SET_INTERVAL: u64 = 64;

/// Value of a configuration row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionRow {
    /// Version number.
    pub version: ConfigVersion,
    /// Digest of the complete set.
    pub digest: String,
    /// Id chosen by the publisher, for detecting repeated publications.
    pub publish_id: String,
    /// Author of the publication, as given by the operator.
    pub author: String,
    /// Unix time of publication, in milliseconds.
    pub published_unix_ms: u64,
    /// Number of changed objects.
    pub change_count: usize,
    /// Changes from the previous version, as JSON.
    pub changes: Body,
    /// Key of the object with the complete set, if one was stored.
    pub full_set: Option<String>,
}

/// An accepted publication.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Published {
    /// Version under which it was accepted.
    pub version: ConfigVersion,
    /// Digest of the complete set.
    pub digest: String,
    /// Number of objects that changed.
    pub change_count: usize,
}

impl From<&VersionRow> for Published {
    fn from(row: &VersionRow) -> Self {
        Self { version: row.version, digest: row.digest.clone(), change_count: row.change_count }
    }
}

/// A request to publish a set of objects.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Publication {
    /// Version that the objects were derived from.
    pub base_version: ConfigVersion,
    /// Id that identifies a publication when it is retried.
    pub publish_id: String,
    /// Author of the publication.
    pub author: String,
    /// Complete set of objects.
    pub objects: ObjectSet,
}

/// Failure of a publication.
#[derive(Debug, Snafu)]
pub enum PublishError {
    /// The set has problems.
    #[snafu(display("the objects have {} faults; mend them and publish again", problems.len()))]
    Invalid {
        /// The problems.
        problems: Vec<Problem>,
    },
    /// Another publication was accepted first.
    #[snafu(display(
        "version {version} by {author} came first; run `dandelionctl show`, merge your change and \
         publish again"
    ))]
    Conflict {
        /// Newest published version.
        version: ConfigVersion,
        /// Author of that version.
        author: String,
    },
    /// The platform failed; the publication can be retried with the same publish id.
    #[snafu(display(
        "the outcome is not known ({source}); publish again with the same --publish-id"
    ))]
    Platform {
        /// Failure of the platform call.
        source: PlatformError,
    },
}

/// Store of the configuration versions in the platform.
#[derive(Clone)]
pub struct ConfigStore {
    platform: Platform,
}

impl ConfigStore {
    /// Creates a store on `platform`.
    #[must_use]
    pub fn new(platform: Platform) -> Self {
        Self { platform }
    }

    /// Publishes a set as the version after its base version and returns the row of that version.
    ///
    /// `base_objects` is the set of the base version. Returns the existing row if the same
    /// publication was already accepted.
    ///
    /// # Errors
    ///
    /// Fails when the set has problems, another publication came first, or the platform failed.
    pub async fn publish(
        &self,
        publication: &Publication,
        base_objects: &ObjectSet,
        now: Duration,
    ) -> Result<VersionRow, PublishError> {
        let problems = check(&publication.objects);
        if !problems.is_empty() {
            return Err(PublishError::Invalid { problems });
        }
        let platform_error = |source| PublishError::Platform { source };
        let mut row = version_row(publication, base_objects, now);
        loop {
            let (head_version, head) =
                read_head(&*self.platform.table).await.map_err(platform_error)?;
            if let Some(earlier) = self.find_duplicate(publication).await.map_err(platform_error)? {
                return Ok(earlier);
            }
            if head.config_version != publication.base_version {
                return Err(self.conflict_error(&head).await);
            }
            self.store_large_values(&mut row, publication).await.map_err(platform_error)?;
            if self.commit(head_version, &head, &row).await.map_err(platform_error)? {
                info!(
                    "event=config_published version={} changes={}",
                    row.version, row.change_count
                );
                return Ok(row);
            }
        }
    }

    /// Updates the objects of a version, given as `from`, to version `to`.
    ///
    /// The result holds the version, its objects, and the rows of the versions whose changes were
    /// applied. Versions skipped by loading a complete set have no row in it.
    ///
    /// # Errors
    ///
    /// Fails when the platform cannot be read or a digest does not match.
    pub async fn catch_up(
        &self,
        from: (ConfigVersion, &ObjectSet),
        to: ConfigVersion,
    ) -> PlatformResult<(ConfigVersion, ObjectSet, Vec<VersionRow>)> {
        let (mut version, mut objects) = (from.0, from.1.clone());
        if to.saturating_sub(version) > FULL_SET_INTERVAL
            && let Some((full_version, full)) = self.full_set(version, to).await?
        {
            (version, objects) = (full_version, full);
        }
        let mut rows = Vec::new();
        while version < to {
            let row = self.row(version + 1).await?;
            objects = self.apply(&objects, &row).await?;
            version = row.version;
            rows.push(row);
        }
        Ok((version, objects, rows))
    }

    /// Returns the newest published version.
    ///
    /// # Errors
    ///
    /// Fails when the platform cannot be read.
    pub async fn newest_version(&self) -> PlatformResult<ConfigVersion> {
        Ok(read_head(&*self.platform.table).await?.1.config_version)
    }

    /// Returns the rows of all versions, oldest first.
    ///
    /// # Errors
    ///
    /// Fails when the platform cannot be read.
    pub async fn history(&self) -> PlatformResult<Vec<VersionRow>> {
        let rows = scan_all(&*self.platform.table, Table::Configs, "", "").await?;
        rows.into_iter().map(|row| parse_row(row.value)).collect()
    }

    /// Returns the row of `version`.
    ///
    /// # Errors
    ///
    /// Fails when the platform cannot be read or the row is missing.
    pub async fn row(&self, version: ConfigVersion) -> PlatformResult<VersionRow> {
        let key = version_key(version);
        let row = self.platform.table.get(Table::Configs, &key).await?;
        let row = row.ok_or_else(|| malformed(format!("configuration row {key} is missing")))?;
        parse_row(row.value)
    }

    /// Applies the changes of one version and checks the digest of the result.
    ///
    /// # Errors
    ///
    /// Fails when the changes cannot be read or the digest does not match.
    pub async fn apply(&self, objects: &ObjectSet, row: &VersionRow) -> PlatformResult<ObjectSet> {
        let bytes = load_body(&*self.platform.objects, &row.changes).await?;
        let changes: Vec<Change> = serde_json::from_slice(&bytes.0)
            .map_err(|error| malformed(format!("changes of version {}: {error}", row.version)))?;
        let next = objects
            .apply(&changes)
            .map_err(|error| malformed(format!("changes of version {}: {error}", row.version)))?;
        if next.digest() != row.digest {
            return Err(malformed(format!("digest of version {}", row.version)));
        }
        Ok(next)
    }

    /// Returns the complete set of the last multiple of [`FULL_SET_INTERVAL`] up to `to`, if it is
    /// after `from` and its set is stored.
    async fn full_set(
        &self,
        from: ConfigVersion,
        to: ConfigVersion,
    ) -> PlatformResult<Option<(ConfigVersion, ObjectSet)>> {
        let full_version = to - to % FULL_SET_INTERVAL;
        if full_version <= from {
            return Ok(None);
        }
        let row = self.row(full_version).await?;
        let Some(key) = row.full_set else {
            return Ok(None);
        };
        let Some(bytes) = self.platform.objects.get(&key).await? else {
            return Ok(None);
        };
        let objects: ObjectSet = serde_json::from_slice(&bytes)
            .map_err(|error| malformed(format!("full set {key}: {error}")))?;
        if objects.digest() != row.digest {
            return Err(malformed(format!("digest of full set {key}")));
        }
        Ok(Some((full_version, objects)))
    }

    async fn find_duplicate(
        &self,
        publication: &Publication,
    ) -> PlatformResult<Option<VersionRow>> {
        let key = version_key(publication.base_version + 1);
        let Some(row) = self.platform.table.get(Table::Configs, &key).await? else {
            return Ok(None);
        };
        let row = parse_row(row.value)?;
        Ok((row.publish_id == publication.publish_id).then_some(row))
    }

    async fn conflict_error(&self, head: &Head) -> PublishError {
        let author = match self.row(head.config_version).await {
            Ok(row) => row.author,
            Err(_) => "another operator".to_owned(),
        };
        PublishError::Conflict { version: head.config_version, author }
    }

    async fn store_large_values(
        &self,
        row: &mut VersionRow,
        publication: &Publication,
    ) -> PlatformResult<()> {
        if let Body::Inline(payload) = &row.changes
            && payload.0.len() > INLINE_MAX_BYTES
        {
            let key = format!("configs/{}/{}/changes", row.version, row.publish_id);
            let len_bytes = payload.0.len() as u64;
            self.platform.objects.put(&key, payload.0.clone()).await?;
            row.changes = Body::Object { key, offset_bytes: 0, len_bytes };
        }
        if row.version.is_multiple_of(FULL_SET_INTERVAL) && row.full_set.is_none() {
            let key = format!("configs/{}/{}/full", row.version, row.publish_id);
            let bytes = serde_json::to_vec(&publication.objects).unwrap_or_default();
            self.platform.objects.put(&key, bytes).await?;
            row.full_set = Some(key);
        }
        Ok(())
    }

    /// Writes the version and head rows; returns whether they are known to be written.
    async fn commit(
        &self,
        head_version: u64,
        head: &Head,
        row: &VersionRow,
    ) -> PlatformResult<bool> {
        let head = Head {
            config_version: row.version,
            config_digest: row.digest.clone(),
            publish_id: row.publish_id.clone(),
            ..head.clone()
        };
        let key = version_key(row.version);
        let transaction = Transaction::default()
            .require(Table::Head, HEAD_KEY, head_version)
            .require(Table::Configs, &key, 0)
            .put(Table::Head, HEAD_KEY, serde_json::to_value(head).unwrap_or_default())
            .put(Table::Configs, &key, serde_json::to_value(row).unwrap_or_default());
        match self.platform.table.transact(&transaction).await {
            Ok(outcome) => Ok(matches!(outcome, TransactionOutcome::Committed(_))),
            // The write may have taken effect; the caller then finds the row as a duplicate.
            Err(PlatformError::AnswerLost { .. }) => Ok(false),
            Err(error) => Err(error),
        }
    }
}

fn version_row(publication: &Publication, base_objects: &ObjectSet, now: Duration) -> VersionRow {
    let changes = base_objects.diff(&publication.objects);
    VersionRow {
        version: publication.base_version + 1,
        digest: publication.objects.digest(),
        publish_id: publication.publish_id.clone(),
        author: publication.author.clone(),
        published_unix_ms: crate::clock::millis(now),
        change_count: changes.len(),
        changes: Body::Inline(Payload(serde_json::to_vec(&changes).unwrap_or_default())),
        full_set: None,
    }
}

fn version_key(version: ConfigVersion) -> String {
    format!("{version:012}")
}

fn parse_row(value: serde_json::Value) -> PlatformResult<VersionRow> {
    serde_json::from_value(value).map_err(|error| malformed(format!("configuration row: {error}")))
}

fn malformed(detail: String) -> PlatformError {
    PlatformError::Malformed { detail }
}
