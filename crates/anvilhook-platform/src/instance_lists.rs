//! The platform's list of live and leaving instances. It lags behind.

use std::future::Future;
use std::net::SocketAddr;

use anvilhook_core::names::{UpstreamName, ZoneName};
use serde::{Deserialize, Serialize};

use crate::errors::Result;

/// `ListedState` is what the platform says of an instance.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ListedState {
    /// It runs.
    Live,
    /// It has been asked to leave.
    Leaving,
    /// It is gone for good: its process can never run again. A listed instance that vanishes from
    /// the list without this state is not known to be gone.
    Gone,
}

/// `ListedInstance` is one line of the list: an instance of the system or an upstream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ListedInstance {
    /// Its name. Instances of the system and upstreams share one space of names here.
    pub name: UpstreamName,
    /// Where it listens; of an instance of the system, its peer address.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its state some time ago.
    pub state: ListedState,
}

/// `InstanceList` is the platform's list.
pub trait InstanceList: Clone + Send + Sync + 'static {
    /// Returns the list as it was some time ago.
    fn list(&self) -> impl Future<Output = Result<Vec<ListedInstance>>> + Send;
}
