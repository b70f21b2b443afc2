//! The gossip link between instances. It carries hints and acknowledgements and makes no decisions.
//!
//! `gossip` is the pure part: it determines which updates are sent to which partner, how received
//! updates are merged and which instances are partners. `links` sends the messages over capnp-rpc on
//! a separate thread. `PeerLink` starts the link, and `PeerHandle` gives the rest of an instance
//! access to it.
#![forbid(unsafe_code)]

pub mod errors;
pub mod gossip;
pub mod handles;
pub mod keys;
pub mod links;
pub mod options;

mod authentication;
mod codecs;
// The module is generated, so the lints and formatting rules for hand-written code don't apply.
#[rustfmt::skip]
#[allow(clippy::all, clippy::unimplemented, missing_docs, rust_2018_idioms)]
#[path = "generated/peer_capnp.rs"]
mod peer_capnp;

pub use errors::{Error, Result};
pub use handles::{PeerHandle, PeerView};
pub use keys::PeerKey;
pub use links::PeerLink;
pub use options::{PeerAddress, PeerOptions};
