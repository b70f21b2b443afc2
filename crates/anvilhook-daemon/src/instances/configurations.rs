//! Where an instance takes its configuration from.

use std::future::Future;
use std::sync::Arc;

use anvilhook_core::resources::Configuration;
use anvilhook_core::units::Revision;
use anvilhook_platform::{Result, RowKey, Table};

/// `ConfigurationSource` gives the newest configuration.
pub trait ConfigurationSource: Send + Sync + 'static {
    /// Returns the configuration if its revision is above `known`.
    ///
    /// # Errors
    ///
    /// Any error of the platform; the present configuration then stays in force.
    fn newer_than(
        &self,
        known: Option<Revision>,
    ) -> impl Future<Output = Result<Option<Arc<Configuration>>>> + Send;
}

/// Returns the key of the row that holds a whole configuration.
pub fn bootstrap_key() -> RowKey {
    RowKey::new("config/bootstrap")
}

/// `BootstrapRow` reads a whole configuration from one row of the table.
#[derive(Clone, Debug)]
pub struct BootstrapRow<T> {
    table: T,
}

impl<T: Table> BootstrapRow<T> {
    /// Reads from the given table.
    pub fn new(table: T) -> Self {
        Self { table }
    }
}

impl<T: Table> ConfigurationSource for BootstrapRow<T> {
    async fn newer_than(&self, known: Option<Revision>) -> Result<Option<Arc<Configuration>>> {
        let Some(row) = self.table.read(&bootstrap_key()).await? else {
            return Ok(None);
        };
        let configuration: Configuration = serde_json::from_str(&row.value)
            .map_err(|err| anvilhook_platform::Error::BadAnswer { message: err.to_string() })?;
        let is_newer = known.is_none_or(|known| configuration.revision() > known);
        Ok(is_newer.then(|| Arc::new(configuration)))
    }
}
