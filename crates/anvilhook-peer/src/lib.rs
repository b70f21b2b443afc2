//! The link between instances: hints and acknowledgements. It decides nothing.
//!
//! `gossip` is the pure part: what is told to whom, how news is merged, which instances are
//! partners. `links` carries it over capnp-rpc on a thread of its own. `PeerLink` starts it and
//! `PeerHandle` is what the rest of an instance holds.
#![forbid(unsafe_code)]

pub mod errors;
pub mod gossip;
pub mod handles;
pub mod keys;
pub mod links;
pub mod options;

mod authentication;
mod codecs;
// The module is generated: the lints and the format of hand-written code don't apply to it.
#[rustfmt::skip]
#[allow(clippy::all, clippy::unimplemented, missing_docs, rust_2018_idioms)]
#[path = "generated/peer_capnp.rs"]
mod peer_capnp;

pub use errors::{Error, Result};
pub use handles::{PeerHandle, PeerView};
pub use keys::PeerKey;
pub use links::PeerLink;
pub use options::{PeerAddress, PeerOptions};
