//! One hash that all instances of a version agree on.

use std::hash::{DefaultHasher, Hash, Hasher};

/// Returns a value's hash. It is the same in every process, so that instances choose alike.
pub(crate) fn hash_of<T: Hash + ?Sized>(value: &T) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}
