//! Writes of claims, each conditioned on the current epoch and on the version of its row.

use anvilhook_core::Verdict;
use anvilhook_core::units::{Clock, Millis};
use anvilhook_platform::{Commit, Condition, Error, Row, Table, Transaction, Write};

use super::Claims;
use super::epochs::Epochs;
use super::keys::ClaimKey;
use super::rows::Claim;

/// `Expected` is the row that a key must have for a write to take effect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Expected {
    /// No row.
    Absent,
    /// The row of this instance's own claim. No sweep deletes it before the claim is settled.
    Own {
        /// Its version.
        version: u64,
    },
    /// A row that another attempt has released.
    Released {
        /// Its version.
        version: u64,
        /// The epoch in which it was written.
        epoch: u64,
    },
}

impl Expected {
    /// Returns the version of the row after the write.
    pub(super) fn next(self) -> u64 {
        match self {
            Expected::Absent => 1,
            Expected::Own { version } | Expected::Released { version, .. } => version + 1,
        }
    }

    fn condition(self, key: &ClaimKey) -> Condition {
        let key = key.row_key().clone();
        match self {
            Expected::Absent => Condition::Absent { key },
            Expected::Own { version } | Expected::Released { version, .. } => {
                Condition::AtVersion { key, version }
            }
        }
    }

    fn is_met_by(self, current: Option<&Row>) -> bool {
        match self {
            Expected::Absent => current.is_none(),
            Expected::Own { version } | Expected::Released { version, .. } => {
                current.is_some_and(|row| row.version == version)
            }
        }
    }
}

/// `Written` is the outcome of a write.
#[derive(Debug)]
pub(super) enum Written {
    /// It took effect.
    Done,
    /// It had no effect, or an earlier try whose answer was lost took effect. This is the current row.
    /// A released row that has expired is also returned as `None`, because a sweep may delete it at any
    /// moment.
    Conflict(Option<Row>),
}

/// `Failure` is the failure of a write that is not retried any more.
#[derive(Debug)]
pub(super) struct Failure {
    pub(super) err: Error,
    /// Whether one of the tries may have taken effect or may still do so.
    pub(super) in_doubt: bool,
}

impl<T: Table, C: Clock> Claims<T, C> {
    /// Writes a claim's row in the current epoch.
    ///
    /// A try whose answer is lost is sent again. The write cannot take effect twice, because its effect
    /// changes the version that it requires.
    pub(super) async fn write(
        &self,
        key: &ClaimKey,
        expected: Expected,
        claim: &Claim,
        deadline: Millis,
    ) -> Result<Written, Failure> {
        let mut in_doubt = false;
        let mut last = Error::Unavailable { message: "the deadline has passed".to_owned() };
        for _ in 0..self.options.max_tries {
            if self.clock.now() >= deadline {
                break;
            }
            match self.try_write(key, expected, claim).await {
                Ok(Some(written)) => return Ok(written),
                // The epoch has changed, and the new one is known now.
                Ok(None) => (),
                Err(err) => {
                    let has_no_effect = err.verdict() == Verdict::NotRun;
                    in_doubt |= !has_no_effect;
                    last = err;
                    if has_no_effect {
                        break;
                    }
                }
            }
        }
        Err(Failure { err: last, in_doubt })
    }

    /// Tries a write once. Returns `None` if only the epoch prevented it.
    async fn try_write(
        &self,
        key: &ClaimKey,
        expected: Expected,
        claim: &Claim,
    ) -> anvilhook_platform::Result<Option<Written>> {
        // Nothing is written before the epoch is known, so a lost answer here leaves nothing in doubt.
        let epoch = self.epochs.present(&self.table).await.map_err(|err| match err {
            Error::AnswerLost { message } => Error::Unavailable { message },
            err => err,
        })?;
        if let Expected::Released { epoch: released_in, .. } = expected
            && Epochs::is_expired_in(epoch, released_in)
        {
            return Ok(Some(Written::Conflict(None)));
        }

        let value = Claim { epoch, ..claim.clone() }.encode()?;
        let txn = Transaction {
            conditions: vec![Epochs::condition(epoch), expected.condition(key)],
            writes: vec![Write::Put { key: key.row_key().clone(), value }],
        };
        let mut standing = match self.table.commit(&txn).await? {
            Commit::Done => return Ok(Some(Written::Done)),
            Commit::Conflict { standing } => standing,
        };

        let epoch_key = Epochs::row_key();
        if let Some(row) = standing.iter().find(|row| row.key == epoch_key) {
            self.epochs.learn(row.version);
        }
        standing.retain(|row| row.key == *key.row_key());
        let row = standing.pop();
        let only_epoch = expected.is_met_by(row.as_ref());
        Ok((!only_epoch).then_some(Written::Conflict(row)))
    }
}
