//! Moves old audit entries to the object store without a gap.
//!
//! A segment of entries is archived in steps that can each be repeated. First, its object is stored
//! under a key that contains the digest of its content, so no later or slower archiver can replace it
//! by different content. Then one transaction writes the segment's row and advances the marker. It is
//! conditioned on the marker's version, so of two instances that archive concurrently only one
//! succeeds. The rows of the entries are removed only after that, and after the object has been read
//! back. An interruption at any point leaves at most an unreferenced object.

use std::sync::Arc;

use anvilhook_core::resources::AuditEntry;
use anvilhook_core::units::{Millis, Revision, WallTime};
use anvilhook_platform::{Commit, Condition, ObjectStore, Table, Transaction, Write};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::configurations::ConfigurationStore;
use crate::errors::{Error, Result};
use crate::rows::{self, SEGMENT_PREFIX};

/// `ArchiveOptions` sets which entries are archived.
#[derive(Clone, Copy, Debug)]
pub struct ArchiveOptions {
    /// The age beyond which entries are archived. The age only determines where an entry is stored, so
    /// clocks that differ do no harm.
    pub older_than: Millis,
    /// The number of newest entries that stay in the table for watchers, whatever their age.
    pub keep_entries: u64,
    /// The maximum number of entries in one segment.
    pub segment_entries: usize,
}

impl Default for ArchiveOptions {
    fn default() -> Self {
        Self {
            older_than: Millis::from_secs(7 * 24 * 3_600),
            keep_entries: 1_000,
            segment_entries: 200,
        }
    }
}

/// `ArchiveStep` is the outcome of one call of `AuditArchive::step`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ArchiveStep {
    /// A segment was archived; the rows of its entries are still in the table.
    Archived {
        /// The segment's last revision.
        through: Revision,
    },
    /// The rows of an archived segment's entries were removed.
    Pruned {
        /// The segment's last revision.
        through: Revision,
    },
    /// Another instance changed the marker first, so nothing was done.
    Overtaken,
    /// No entry is old enough.
    Idle,
}

/// `Marker` is the row that records up to which revision the audit trail is archived, and up to which
/// its rows are removed.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
struct Marker {
    archived_through: Revision,
    pruned_through: Revision,
}

/// `Segment` is the row that describes an archived part of the audit trail.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct Segment {
    first: Revision,
    last: Revision,
    object: String,
}

/// `AuditArchive` archives the audit trail, and lists its entries both from the archive and from the
/// table.
#[derive(Clone, Debug)]
pub struct AuditArchive<T, O> {
    store: ConfigurationStore<T>,
    objects: O,
    options: Arc<ArchiveOptions>,
}

impl<T: Table, O: ObjectStore> AuditArchive<T, O> {
    /// Creates an archive.
    pub fn new(store: ConfigurationStore<T>, objects: O, options: ArchiveOptions) -> Self {
        Self { store, objects, options: Arc::new(options) }
    }

    /// Archives or prunes at most one segment.
    ///
    /// # Errors
    ///
    /// `Error::Platform` if the platform failed; the next call continues where this one ended.
    /// `Error::BadRow` if an archived object differs from what was stored; its rows are retained.
    pub async fn step(&self, now: WallTime) -> Result<ArchiveStep> {
        let (marker, version) = self.marker().await?;
        if marker.pruned_through < marker.archived_through {
            return self.prune(marker, version).await;
        }
        self.archive(marker, version, now).await
    }

    async fn marker(&self) -> Result<(Marker, Option<u64>)> {
        match self.store.table.read(&rows::archive_key()).await? {
            Some(row) => Ok((rows::decode(&row)?, Some(row.version))),
            None => Ok((Marker::default(), None)),
        }
    }

    async fn archive(
        &self,
        marker: Marker,
        version: Option<u64>,
        now: WallTime,
    ) -> Result<ArchiveStep> {
        let entries = self.old_entries(marker.archived_through, now).await?;
        let (Some(first), Some(last)) = (entries.first(), entries.last()) else {
            return Ok(ArchiveStep::Idle);
        };
        let (first, last) = (first.revision, last.revision);

        // The object is stored first, so that every segment in the table has an object.
        let content = encode(&entries)?;
        let object = object_key(first, last, &content);
        self.objects.put(&object, content).await?;

        let segment = Segment { first, last, object };
        let next = Marker { archived_through: last, ..marker };
        let writes = vec![
            rows::put(rows::segment_key(last), &segment)?,
            rows::put(rows::archive_key(), &next)?,
        ];
        let done = ArchiveStep::Archived { through: last };
        self.commit(version, writes, done).await
    }

    async fn old_entries(&self, after: Revision, now: WallTime) -> Result<Vec<AuditEntry>> {
        let Some(head) = self.store.head().await? else { return Ok(Vec::new()) };
        let newest = head.revision.0.saturating_sub(self.options.keep_entries.max(1));
        let limit = self.options.segment_entries;
        let oldest_kept = now.0.saturating_sub(self.options.older_than.0);
        let entries = self.store.changes_since(after, limit).await?;
        let is_old = |entry: &AuditEntry| entry.revision.0 <= newest && entry.at.0 < oldest_kept;
        Ok(entries.into_iter().take_while(is_old).collect())
    }

    async fn prune(&self, marker: Marker, version: Option<u64>) -> Result<ArchiveStep> {
        let first = Revision(marker.pruned_through.0 + 1);
        let segment = self.segment_of(first).await?;

        // The object is read back to detect that the store lost or damaged it while its entries are
        // still in the table.
        let entries = self.read_segment(&segment).await?;
        let mut writes: Vec<Write> = Vec::new();
        for entry in &entries {
            writes.push(Write::Delete { key: rows::change_key(entry.revision) });
            writes.push(Write::Delete { key: rows::change_id_key(entry.change_id) });
        }
        let next = Marker { pruned_through: segment.last, ..marker };
        writes.push(rows::put(rows::archive_key(), &next)?);
        let done = ArchiveStep::Pruned { through: segment.last };
        self.commit(version, writes, done).await
    }

    /// Commits on the condition that the marker is unchanged, so that only one of several archivers
    /// continues.
    async fn commit(
        &self,
        version: Option<u64>,
        writes: Vec<Write>,
        done: ArchiveStep,
    ) -> Result<ArchiveStep> {
        let key = rows::archive_key();
        let condition = match version {
            Some(version) => Condition::AtVersion { key, version },
            None => Condition::Absent { key },
        };
        let txn = Transaction { conditions: vec![condition], writes };
        match self.store.table.commit(&txn).await? {
            Commit::Done => Ok(done),
            Commit::Conflict { .. } => Ok(ArchiveStep::Overtaken),
        }
    }

    /// Finds the segment that contains a revision.
    async fn segment_of(&self, revision: Revision) -> Result<Segment> {
        // A segment's key contains its last revision, so the requested segment is the first that ends
        // at or after the revision.
        let before = rows::segment_key(Revision(revision.0 - 1));
        let found = self.store.table.scan(SEGMENT_PREFIX, Some(&before), 1).await?;
        let segment: Option<Segment> = found.first().map(rows::decode).transpose()?;
        let segment = segment.filter(|segment| segment.first <= revision);
        segment.ok_or_else(|| {
            Error::bad_row(rows::segment_key(revision), "no archived segment contains it")
        })
    }

    async fn read_segment(&self, segment: &Segment) -> Result<Vec<AuditEntry>> {
        let content = self.objects.get(&segment.object).await?;
        let content = content.ok_or_else(|| Error::bad_row(&segment.object, "it is missing"))?;
        if object_key(segment.first, segment.last, &content) != segment.object {
            return Err(Error::bad_row(&segment.object, "its digest differs"));
        }
        serde_json::from_slice(&content).map_err(|err| Error::bad_row(&segment.object, err))
    }

    /// Lists up to `limit` entries from a revision on, without a gap, from the archive or from the
    /// table. A page may be shorter than `limit` before the end of the trail: it ends with its segment.
    ///
    /// # Errors
    ///
    /// `Error::Platform` if the platform cannot be read.
    pub async fn list(&self, from: Revision, limit: usize) -> Result<Vec<AuditEntry>> {
        let from = Revision(from.0.max(1));
        let before = Revision(from.0 - 1);
        match self.store.changes_since(before, limit).await {
            Ok(entries) if !entries.is_empty() => return Ok(entries),
            Ok(_) | Err(Error::TooOld { .. }) => {}
            Err(err) => return Err(err),
        }
        let (marker, _) = self.marker().await?;
        if from > marker.archived_through {
            return Ok(Vec::new());
        }
        let segment = self.segment_of(from).await?;
        let entries = self.read_segment(&segment).await?;
        Ok(entries.into_iter().filter(|entry| entry.revision >= from).take(limit).collect())
    }
}

fn encode(entries: &[AuditEntry]) -> Result<Bytes> {
    let buf = serde_json::to_vec(entries).map_err(|err| Error::bad_row("audit segment", err))?;
    Ok(Bytes::from(buf))
}

/// Returns the key of a segment's object, which contains the digest of its content.
fn object_key(first: Revision, last: Revision, content: &[u8]) -> String {
    let digest = Sha256::digest(content);
    let hex: String = digest.iter().map(|byte| format!("{byte:02x}")).collect();
    format!("audit/{:020}-{:020}-{hex}.json", first.0, last.0)
}
