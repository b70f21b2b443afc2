//! Changes the configuration, and determines the outcome of a change whose answer was lost.

use std::sync::Arc;

use anvilhook_core::attempts::ChangeId;
use anvilhook_core::names::SubjectName;
use anvilhook_core::resources::{
    Action, AuditEntry, Change, Configuration, Expected, Resource, Spec,
};
use anvilhook_core::units::{Revision, WallTime};
use anvilhook_platform::{Commit, Condition, Table, Transaction, Write};
use serde::{Deserialize, Serialize};

use crate::configurations::{CatchUp, ConfigurationStore, Head};
use crate::errors::{Error, Result};
use crate::rows;

/// `ChangeRequest` is the request for one change.
#[derive(Clone, Debug, PartialEq)]
pub struct ChangeRequest {
    /// The id of the change. A repeated request with the same id never makes the change twice.
    pub id: ChangeId,
    /// The subject that requests the change.
    pub subject: SubjectName,
    /// The time of the request, for the audit trail.
    pub at: WallTime,
    /// The requested change.
    pub change: Change,
    /// The state of the resource that the change expects.
    pub expected: Expected,
}

/// `Accepted` is a change that is permanently part of the configuration.
#[derive(Clone, Debug)]
pub struct Accepted {
    /// The revision that it made.
    pub revision: Revision,
    /// The configuration at that revision or a later one.
    pub configuration: Arc<Configuration>,
    /// The changes between the caller's base and that configuration, as far as they are known without
    /// a gap.
    pub entries: Vec<AuditEntry>,
}

/// `ChangeState` is the known status of a change, looked up by its id.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "state")]
pub enum ChangeState {
    /// It was accepted.
    Accepted {
        /// The revision that it made.
        revision: Revision,
    },
    /// It was not accepted and never will be.
    NotAccepted,
    /// It is not recorded, but a commit that is still in progress may record it.
    Unknown,
}

/// `Attempt` is the outcome of one attempt to commit a change, unless the change has failed for good.
enum Attempt {
    Done(Accepted),
    /// The head changed between the read and the commit, so the commit had no effect.
    HeadMoved,
    /// The commit on top of this revision may have taken effect.
    InDoubt(Revision),
}

impl<T: Table> ConfigurationStore<T> {
    /// Commits a change, its revision and its audit entry in one transaction.
    ///
    /// Every change advances the head and is conditioned on it, so the checks made before a commit,
    /// such as the one of the resource's version, still hold when it takes effect. A commit whose
    /// answer is lost is repeated with the same id: of two attempts on the same head only one can take
    /// effect, and on a later head the id shows the outcome of the earlier attempt.
    ///
    /// # Errors
    ///
    /// `Error::Unknown` if the change may have been accepted. After every other error it was not
    /// accepted and never will be.
    pub async fn change(&self, base: &Arc<Configuration>, req: &ChangeRequest) -> Result<Accepted> {
        let mut known = Known { configuration: Arc::clone(base), entries: Vec::new() };
        let mut in_doubt: Option<Revision> = None;
        let mut lost_answers = 0;
        for _ in 0..self.options.attempts {
            match self.try_change(&mut known, req).await {
                Ok(Attempt::Done(accepted)) => return Ok(accepted),
                Ok(Attempt::HeadMoved) => {}
                Ok(Attempt::InDoubt(base)) => {
                    in_doubt = Some(base);
                    lost_answers += 1;
                    if lost_answers == self.options.lost_answers {
                        break;
                    }
                }
                Err(err) => return Err(final_error(err, in_doubt, req.id)),
            }
        }
        let message = "too many other changes at the same time; try again".to_owned();
        Err(final_error(Error::NotAccepted { message }, in_doubt, req.id))
    }

    async fn try_change(&self, known: &mut Known, req: &ChangeRequest) -> Result<Attempt> {
        // The head is read before the id. Once the head has advanced, an earlier attempt can no longer
        // take effect, so an id that is absent then stays absent.
        let caught_up = self.catch_up(&known.configuration).await?;
        let head_version = caught_up.head_version;
        known.advance(caught_up);
        if let Some(revision) = self.recorded(req).await? {
            // The change was recorded after the head was read; read again to include it.
            if known.configuration.revision() < revision {
                return Ok(Attempt::HeadMoved);
            }
            return Ok(Attempt::Done(known.accepted(revision)));
        }

        let base = &known.configuration;
        let standing = base.get(&req.change.key);
        if !req.expected.matches(standing.map(|found| found.version)) {
            let standing = standing.map(|found| Box::new(Resource::clone(found)));
            return Err(Error::Conflict { key: req.change.key.clone(), standing });
        }
        req.change.check(base)?;

        let entry = self.entry(base, req, standing.map(|found| found.spec.clone()));
        let txn = transaction(&entry, head_version)?;
        match self.table.commit(&txn).await {
            Ok(Commit::Done) => {
                let revision = entry.revision;
                known.push(entry);
                Ok(Attempt::Done(known.accepted(revision)))
            }
            Ok(Commit::Conflict { .. }) => Ok(Attempt::HeadMoved),
            Err(anvilhook_platform::Error::Unavailable { message }) => {
                Err(Error::NotAccepted { message })
            }
            Err(err) => {
                log::warn!("change {}: {err}", req.id);
                Ok(Attempt::InDoubt(base.revision()))
            }
        }
    }

    /// Returns the revision that an earlier attempt of the same request made, if there is one.
    async fn recorded(&self, req: &ChangeRequest) -> Result<Option<Revision>> {
        let Some(revision) = self.revision_of(req.id).await? else { return Ok(None) };
        let row = self.table.read(&rows::change_key(revision)).await?;
        let entry: Option<AuditEntry> = row.as_ref().map(rows::decode).transpose()?;
        let is_other = entry.is_some_and(|entry| entry.change != req.change);
        if is_other {
            return Err(Error::ChangeIdReused { id: req.id, revision });
        }
        Ok(Some(revision))
    }

    async fn revision_of(&self, id: ChangeId) -> Result<Option<Revision>> {
        let row = self.table.read(&rows::change_id_key(id)).await?;
        row.as_ref().map(rows::decode).transpose()
    }

    fn entry(&self, base: &Configuration, req: &ChangeRequest, before: Option<Spec>) -> AuditEntry {
        AuditEntry {
            revision: Revision(base.revision().0 + 1),
            change_id: req.id,
            subject: req.subject.clone(),
            at: req.at,
            instance: self.options.instance.clone(),
            change: req.change.clone(),
            before,
        }
    }

    /// Returns the status of a change.
    ///
    /// `base` is the revision from `Error::Unknown`. Without it, a change that is not recorded may
    /// still be in progress. Ids are retained until their changes are archived.
    ///
    /// # Errors
    ///
    /// `Error::Platform` if the table cannot be read.
    pub async fn change_state(&self, id: ChangeId, base: Option<Revision>) -> Result<ChangeState> {
        // Once another change has made the revision that the commit would have made, the commit can no
        // longer take effect. This is read before the id, so that an id that is absent then stays
        // absent. Ids are removed together with archived changes, so if that row is missing, an absent
        // id proves nothing.
        let is_settled = match base {
            Some(base) => {
                let next = rows::change_key(Revision(base.0 + 1));
                self.table.read(&next).await?.is_some()
            }
            None => false,
        };
        Ok(match self.revision_of(id).await? {
            Some(revision) => ChangeState::Accepted { revision },
            None if is_settled => ChangeState::NotAccepted,
            None => ChangeState::Unknown,
        })
    }
}

/// `Known` is the newest configuration that a request has read or made, and the changes that led to it.
struct Known {
    configuration: Arc<Configuration>,
    entries: Vec<AuditEntry>,
}

impl Known {
    fn advance(&mut self, caught_up: CatchUp) {
        let is_contiguous = caught_up
            .entries
            .first()
            .is_some_and(|first| first.revision.0 == self.configuration.revision().0 + 1);
        if caught_up.configuration.revision() > self.configuration.revision() && !is_contiguous {
            self.entries.clear();
        }
        self.entries.extend(caught_up.entries);
        self.configuration = caught_up.configuration;
    }

    fn push(&mut self, entry: AuditEntry) {
        let next = self.configuration.with_change(entry.revision, &entry.change);
        self.configuration = Arc::new(next);
        self.entries.push(entry);
    }

    fn accepted(&self, revision: Revision) -> Accepted {
        let configuration = Arc::clone(&self.configuration);
        Accepted { revision, configuration, entries: self.entries.clone() }
    }
}

/// Creates the transaction of a change, conditioned on the head as it was read.
fn transaction(entry: &AuditEntry, head_version: Option<u64>) -> Result<Transaction> {
    let head_key = rows::head_key();
    let unmoved = match head_version {
        Some(version) => Condition::AtVersion { key: head_key.clone(), version },
        None => Condition::Absent { key: head_key.clone() },
    };
    let head = Head { revision: entry.revision, change_id: entry.change_id };
    let resource_key = rows::resource_key(&entry.change.key);
    let resource_write = match &entry.change.action {
        Action::Put(spec) => {
            let name = entry.change.key.name.clone();
            let version = entry.revision;
            let resource = Resource { name, version, spec: spec.clone(), status: Vec::new() };
            rows::put(resource_key, &resource)?
        }
        Action::Delete => Write::Delete { key: resource_key },
    };
    Ok(Transaction {
        conditions: vec![unmoved],
        writes: vec![
            rows::put(head_key, &head)?,
            resource_write,
            rows::put(rows::change_key(entry.revision), entry)?,
            rows::put(rows::change_id_key(entry.change_id), &entry.revision)?,
        ],
    })
}

/// Returns the error that reports whether the change may have been accepted.
///
/// An attempt in doubt was made on a state that passed every check. A definite refusal can therefore
/// only come from a later head, on which that attempt cannot take effect any more. After any other
/// failure, the attempt stays in doubt.
fn final_error(err: Error, in_doubt: Option<Revision>, id: ChangeId) -> Error {
    let is_refusal =
        matches!(err, Error::Invalid(_) | Error::Conflict { .. } | Error::ChangeIdReused { .. });
    match in_doubt {
        _ if is_refusal => err,
        Some(base) => Error::Unknown { id, base },
        None => match err {
            Error::NotAccepted { .. } => err,
            other => Error::NotAccepted { message: other.to_string() },
        },
    }
}
