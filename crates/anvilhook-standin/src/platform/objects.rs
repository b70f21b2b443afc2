//! The object store as a state machine.

use std::collections::BTreeMap;

use bytes::Bytes;

/// `ObjectStoreState` holds objects under keys.
#[derive(Clone, Debug, Default)]
pub struct ObjectStoreState {
    objects: BTreeMap<String, Bytes>,
}

impl ObjectStoreState {
    /// Stores an object and replaces an earlier one under the same key.
    pub fn put(&mut self, key: &str, value: Bytes) {
        self.objects.insert(key.to_owned(), value);
    }

    /// Returns an object, if it exists.
    pub fn get(&self, key: &str) -> Option<Bytes> {
        self.objects.get(key).cloned()
    }

    /// Returns the keys that begin with `prefix`, in order.
    pub fn list(&self, prefix: &str) -> Vec<String> {
        self.objects
            .range(prefix.to_owned()..)
            .map(|(key, _)| key)
            .take_while(|key| key.starts_with(prefix))
            .cloned()
            .collect()
    }
}
