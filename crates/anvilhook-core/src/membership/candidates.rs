//! Which instances watch over a pool's lease, and how often.

use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};

use serde::{Deserialize, Serialize};

use crate::names::{InstanceName, PoolName};
use crate::units::Millis;

/// `CandidateOptions` sets how often the lease of a pool is read by those who do not hold it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct CandidateOptions {
    /// The interval of the first candidate.
    pub first_interval_ms: Millis,
    /// The interval of the last ones. All instances read at least this often, so that a pool finds
    /// a holder whatever an instance believes of the others.
    pub last_interval_ms: Millis,
}

impl Default for CandidateOptions {
    fn default() -> Self {
        Self { first_interval_ms: Millis(1_000), last_interval_ms: Millis(60_000) }
    }
}

/// Returns an instance's place among the candidates for a pool, from 0. Each pool has an order of
/// its own, in which a change of the fleet moves only few.
pub fn rank<'a>(
    pool: &PoolName,
    me: &InstanceName,
    instances: impl IntoIterator<Item = &'a InstanceName>,
) -> u32 {
    let mine = (weight(pool, me), me);
    let before = |name: &&InstanceName| (weight(pool, name), *name) < mine;
    instances.into_iter().filter(before).count() as u32
}

/// Returns how often the candidate with a rank reads the pool's lease. The intervals double with
/// the rank, so that the reads of all candidates together are bounded however many there are.
pub fn watch_interval(rank: u32, options: &CandidateOptions) -> Millis {
    let factor = 1_u64.checked_shl(rank).unwrap_or(u64::MAX);
    let interval = options.first_interval_ms.0.saturating_mul(factor);
    Millis(interval.min(options.last_interval_ms.0))
}

fn weight(pool: &PoolName, instance: &InstanceName) -> u64 {
    // The hasher's keys are fixed, so all instances agree while they run one version; that they
    // agree matters only to the number of reads.
    let mut hasher = DefaultHasher::new();
    (pool, instance).hash(&mut hasher);
    hasher.finish()
}
