//! The object store, for large objects that are only archived.

use std::future::Future;

use bytes::Bytes;

use crate::errors::Result;

/// `ObjectStore` stores objects by key. Storing a key again replaces its object.
pub trait ObjectStore: Clone + Send + Sync + 'static {
    /// Stores an object.
    fn put(&self, key: &str, value: Bytes) -> impl Future<Output = Result<()>> + Send;

    /// Returns an object, or `None` if it does not exist.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Bytes>>> + Send;

    /// Returns the keys that start with `prefix`, in order.
    fn list(&self, prefix: &str) -> impl Future<Output = Result<Vec<String>>> + Send;
}
