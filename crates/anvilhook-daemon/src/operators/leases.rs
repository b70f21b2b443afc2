//! Reads the holders of authority over the pools.

use std::future::Future;

use anvilhook_api::LeaseAnswer;
use anvilhook_core::authority::PoolRow;
use anvilhook_core::names::PoolName;
use anvilhook_platform::{Error, Result, Row, Table};

/// The maximum number of pools that are listed.
const MAX_POOLS: usize = 1_000;

/// `LeaseSource` lists the holders of authority over the pools.
pub trait LeaseSource: Send + Sync + 'static {
    /// Returns the leases of all pools that have ever had a holder.
    fn leases(&self) -> impl Future<Output = Result<Vec<LeaseAnswer>>> + Send;
}

/// `NoLeases` is the source for an instance that takes no authority.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoLeases;

impl LeaseSource for NoLeases {
    async fn leases(&self) -> Result<Vec<LeaseAnswer>> {
        Ok(Vec::new())
    }
}

/// `LeaseRows` reads the leases from the pools' rows in the table.
#[derive(Clone, Debug)]
pub struct LeaseRows<T> {
    table: T,
    prefix: String,
}

impl<T: Table> LeaseRows<T> {
    /// Creates a source that reads the rows whose key is `prefix` followed by the pool's name.
    pub fn new(table: T, prefix: impl Into<String>) -> Self {
        Self { table, prefix: prefix.into() }
    }

    fn decode(&self, row: &Row) -> Result<LeaseAnswer> {
        let bad = |message: String| Error::BadAnswer { message: format!("{}: {message}", row.key) };
        let name = row.key.as_str().strip_prefix(&self.prefix).unwrap_or_default();
        let pool = PoolName::try_new(name).map_err(|err| bad(err.to_string()))?;
        let held: PoolRow = serde_json::from_str(&row.value).map_err(|err| bad(err.to_string()))?;
        Ok(LeaseAnswer {
            pool,
            holder: held.holder.map(|session| session.instance),
            term: held.term,
            uncleared: held.uncleared.into_iter().collect(),
            open_orders: held.open.len(),
        })
    }
}

impl<T: Table> LeaseSource for LeaseRows<T> {
    async fn leases(&self) -> Result<Vec<LeaseAnswer>> {
        let rows = self.table.scan(&self.prefix, None, MAX_POOLS).await?;
        rows.iter().map(|row| self.decode(row)).collect()
    }
}
