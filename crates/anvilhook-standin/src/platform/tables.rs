//! The transactional table as a state machine.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

use anvilhook_platform::{Commit, Condition, Row, RowKey, Transaction, Write};

/// `TableState` holds the rows and carries out transactions, each completely or not at all.
///
/// ```
/// use anvilhook_platform::{Commit, RowKey, Transaction, Write};
/// use anvilhook_standin::platform::TableState;
///
/// let mut table = TableState::default();
/// let key = RowKey::new("a");
/// let put = Write::Put { key: key.clone(), value: "1".into() };
/// let txn = Transaction { conditions: vec![], writes: vec![put] };
/// assert_eq!(table.commit(&txn), Commit::Done);
/// assert_eq!(table.read(&key).unwrap().version, 1);
/// ```
#[derive(Clone, Debug, Default)]
pub struct TableState {
    rows: BTreeMap<RowKey, Row>,
}

impl TableState {
    /// Returns one row.
    pub fn read(&self, key: &RowKey) -> Option<Row> {
        self.rows.get(key).cloned()
    }

    /// Returns up to `limit` rows whose keys begin with `prefix` and come after `after`, in order.
    pub fn scan(&self, prefix: &str, after: Option<&RowKey>, limit: usize) -> Vec<Row> {
        let first = RowKey::new(prefix);
        let from = match after {
            Some(after) if *after >= first => Bound::Excluded(after.clone()),
            _ => Bound::Included(first),
        };
        self.rows
            .range((from, Bound::Unbounded))
            .take_while(|(key, _)| key.as_str().starts_with(prefix))
            .take(limit)
            .map(|(_, row)| row.clone())
            .collect()
    }

    /// Carries out a transaction if all of its conditions hold, and otherwise returns the current
    /// rows of their keys.
    pub fn commit(&mut self, txn: &Transaction) -> Commit {
        if !txn.conditions.iter().all(|condition| self.holds(condition)) {
            return Commit::Conflict { standing: self.current_rows(&txn.conditions) };
        }
        for write in &txn.writes {
            self.write(write);
        }
        Commit::Done
    }

    fn holds(&self, condition: &Condition) -> bool {
        match condition {
            Condition::Absent { key } => !self.rows.contains_key(key),
            Condition::AtVersion { key, version } => {
                self.rows.get(key).is_some_and(|row| row.version == *version)
            }
        }
    }

    fn current_rows(&self, conditions: &[Condition]) -> Vec<Row> {
        let keys: BTreeSet<&RowKey> = conditions
            .iter()
            .map(|condition| match condition {
                Condition::Absent { key } | Condition::AtVersion { key, .. } => key,
            })
            .collect();
        keys.into_iter().filter_map(|key| self.read(key)).collect()
    }

    fn write(&mut self, write: &Write) {
        match write {
            Write::Put { key, value } => {
                let version = self.rows.get(key).map_or(1, |row| row.version + 1);
                let row = Row { key: key.clone(), version, value: value.clone() };
                self.rows.insert(key.clone(), row);
            }
            Write::Delete { key } => {
                self.rows.remove(key);
            }
        }
    }
}
