//! The object store, for what is large and only archived.

use std::future::Future;

use bytes::Bytes;

use crate::errors::Result;

/// `ObjectStore` keeps objects under keys. Storing an object again replaces it.
pub trait ObjectStore: Clone + Send + Sync + 'static {
    /// Stores an object.
    fn put(&self, key: &str, value: Bytes) -> impl Future<Output = Result<()>> + Send;

    /// Returns an object, if it is there.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Bytes>>> + Send;

    /// Returns the keys that begin with `prefix`, in order.
    fn list(&self, prefix: &str) -> impl Future<Output = Result<Vec<String>>> + Send;
}
