//! The marks that record which engines of a pool drain.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::names::{ResourceName, UpstreamName};

/// `DrainCause` is the cause of an engine's drain. An engine may drain for several causes at once, and
/// serves again when none is left.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum DrainCause {
    /// An order is to be given to the engine.
    Change,
    /// A drain plan takes the engine out of service.
    Plan(ResourceName),
}

/// `DrainMark` marks one engine as draining.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct DrainMark {
    /// The generation at which the engine began to drain. An acknowledgement of an earlier
    /// generation is no evidence: the engine may have served in between.
    pub since: u64,
    /// The causes of the drain.
    pub causes: BTreeSet<DrainCause>,
}

/// `DrainMarks` are the draining engines of a pool.
///
/// ```
/// use anvilhook_core::drains::{DrainCause, DrainMarks};
/// use anvilhook_core::names::UpstreamName;
///
/// let engine = UpstreamName::try_new("runner-1")?;
/// let mut marks = DrainMarks::default();
/// marks.mark(&engine, DrainCause::Change);
/// assert!(marks.is_marked(&engine));
/// marks.unmark(&engine, &DrainCause::Change);
/// assert!(!marks.is_marked(&engine));
/// assert_eq!(marks.generation, 2);
/// # Ok::<(), anvilhook_core::Error>(())
/// ```
#[derive(Clone, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct DrainMarks {
    /// The number of the last change of these marks. It only grows.
    pub generation: u64,
    /// The draining engines.
    pub engines: BTreeMap<UpstreamName, DrainMark>,
}

impl DrainMarks {
    /// Marks an engine as draining for a cause.
    pub fn mark(&mut self, engine: &UpstreamName, cause: DrainCause) {
        if let Some(mark) = self.engines.get_mut(engine) {
            // The engine already drains, so the acknowledgements of its drain are still valid.
            mark.causes.insert(cause);
            return;
        }
        self.generation += 1;
        let mark = DrainMark { since: self.generation, causes: BTreeSet::from([cause]) };
        self.engines.insert(engine.clone(), mark);
    }

    /// Removes a cause from an engine, which serves again if it was the last one.
    pub fn unmark(&mut self, engine: &UpstreamName, cause: &DrainCause) {
        let Some(mark) = self.engines.get_mut(engine) else { return };
        mark.causes.remove(cause);
        if mark.causes.is_empty() {
            self.engines.remove(engine);
            self.generation += 1;
        }
    }

    /// Returns whether an engine drains.
    pub fn is_marked(&self, engine: &UpstreamName) -> bool {
        self.engines.contains_key(engine)
    }

    /// Returns whether an engine drains for a cause.
    pub fn is_marked_for(&self, engine: &UpstreamName, cause: &DrainCause) -> bool {
        self.engines.get(engine).is_some_and(|mark| mark.causes.contains(cause))
    }
}
