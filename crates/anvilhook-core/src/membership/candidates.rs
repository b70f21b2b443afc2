//! Determines which instances watch a pool's lease, and how often.

use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};

use serde::{Deserialize, Serialize};

use crate::names::{InstanceName, PoolName};
use crate::units::Millis;

/// `CandidateOptions` sets how often the instances that do not hold a pool read its lease.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct CandidateOptions {
    /// The interval of the first candidate.
    pub first_interval_ms: Millis,
    /// The longest interval, used by the last candidates. All instances read at least this often, so that a
    /// pool gets a holder whatever an instance's view of the others is.
    pub last_interval_ms: Millis,
}

impl Default for CandidateOptions {
    fn default() -> Self {
        Self { first_interval_ms: Millis(1_000), last_interval_ms: Millis(60_000) }
    }
}

/// Returns an instance's rank among the candidates for a pool, from 0. Each pool ranks the instances
/// in its own order, so a change of the fleet changes few ranks.
pub fn rank<'a>(
    pool: &PoolName,
    own_name: &InstanceName,
    instances: impl IntoIterator<Item = &'a InstanceName>,
) -> u32 {
    let own = (weight(pool, own_name), own_name);
    let before = |name: &&InstanceName| (weight(pool, name), *name) < own;
    instances.into_iter().filter(before).count() as u32
}

/// Returns how often the candidate with a rank reads the pool's lease. The intervals double with
/// the rank, which bounds the reads of all candidates together, however many there are.
pub fn watch_interval(rank: u32, options: &CandidateOptions) -> Millis {
    let factor = 1_u64.checked_shl(rank).unwrap_or(u64::MAX);
    let interval = options.first_interval_ms.0.saturating_mul(factor);
    Millis(interval.min(options.last_interval_ms.0))
}

fn weight(pool: &PoolName, instance: &InstanceName) -> u64 {
    // The hasher's keys are fixed, so all instances of one version agree. If they don't agree, only the
    // number of reads changes.
    let mut hasher = DefaultHasher::new();
    (pool, instance).hash(&mut hasher);
    hasher.finish()
}
