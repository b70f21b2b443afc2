//! The platform's list of instances and upstreams. It lags behind their actual state.

use std::future::Future;
use std::net::SocketAddr;

use anvilhook_core::names::{UpstreamName, ZoneName};
use serde::{Deserialize, Serialize};

use crate::errors::Result;

/// `ListedState` is the state that the platform reports for an instance.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ListedState {
    /// The instance is running.
    Live,
    /// The instance has been asked to leave.
    Leaving,
    /// The instance has terminated permanently: its process can never run again. An instance that
    /// disappears from the list without this state is not known to have terminated.
    Gone,
}

/// `ListedInstance` is one entry of the list: an instance of the system or an upstream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ListedInstance {
    /// The name. Instances of the system and upstreams share one namespace here.
    pub name: UpstreamName,
    /// The listening address; for an instance of the system, its peer address.
    pub address: SocketAddr,
    /// The availability zone.
    pub zone: ZoneName,
    /// The state, which may be outdated.
    pub state: ListedState,
}

/// `InstanceList` reads the platform's list.
pub trait InstanceList: Clone + Send + Sync + 'static {
    /// Returns the list, which may be outdated.
    fn list(&self) -> impl Future<Output = Result<Vec<ListedInstance>>> + Send;
}
