//! Provides a hash that is the same at all instances of a version.

use std::hash::{DefaultHasher, Hash, Hasher};

/// Returns a value's hash. It is the same in every process, so that instances make the same choices without
/// coordination.
pub(crate) fn hash_of<T: Hash + ?Sized>(value: &T) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}
