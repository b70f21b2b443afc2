//! The key that all instances share, and the proofs that an instance holds it.

use std::fmt;
use std::sync::Arc;

use anvilhook_core::names::InstanceName;
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

use crate::errors::{Error, Result};

/// The minimum length of a key in bytes. A shorter key could be guessed from a recorded handshake.
pub const MIN_KEY_BYTES: usize = 32;

/// The length of a nonce in bytes.
pub const NONCE_BYTES: usize = 32;

/// `Side` identifies an end of a connection. Proofs cover it, so that a proof sent by one end is
/// invalid when the other end sends it back.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Side {
    /// The end that connected.
    Caller,
    /// The end that accepted.
    Callee,
}

impl Side {
    fn label(self) -> &'static [u8] {
        match self {
            Side::Caller => b"anvilhook peer caller 1",
            Side::Callee => b"anvilhook peer callee 1",
        }
    }
}

/// `Handshake` holds the values that both proofs of a connection cover.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Handshake {
    /// The caller's nonce.
    pub caller_nonce: Vec<u8>,
    /// The caller's name.
    pub caller: InstanceName,
    /// The callee's nonce.
    pub callee_nonce: Vec<u8>,
    /// The callee's name.
    pub callee: InstanceName,
}

/// `PeerKey` is the key that all instances share.
#[derive(Clone)]
pub struct PeerKey(Arc<[u8]>);

impl PeerKey {
    /// Creates a key from the bytes in the settings.
    ///
    /// # Errors
    ///
    /// `Error::ShortKey` if it has fewer than `MIN_KEY_BYTES` bytes.
    pub fn try_new(bytes: &[u8]) -> Result<Self> {
        if bytes.len() < MIN_KEY_BYTES {
            return Err(Error::ShortKey { min_bytes: MIN_KEY_BYTES });
        }
        Ok(Self(Arc::from(bytes)))
    }

    /// Computes the proof by one side of a handshake that it holds the key.
    pub fn prove(&self, side: Side, handshake: &Handshake) -> Vec<u8> {
        self.mac(side, handshake).finalize().into_bytes().to_vec()
    }

    /// Verifies a proof by `side` in constant time.
    ///
    /// # Errors
    ///
    /// `Error::NotAuthentic` if it is not that side's proof for this handshake.
    pub fn check(&self, side: Side, handshake: &Handshake, proof: &[u8]) -> Result<()> {
        self.mac(side, handshake).verify_slice(proof).map_err(|_| Error::NotAuthentic)
    }

    fn mac(&self, side: Side, handshake: &Handshake) -> Hmac<Sha256> {
        let mut mac =
            Hmac::<Sha256>::new_from_slice(&self.0).expect("HMAC takes keys of any length");
        let parts: [&[u8]; 5] = [
            side.label(),
            &handshake.caller_nonce,
            handshake.caller.as_str().as_bytes(),
            &handshake.callee_nonce,
            handshake.callee.as_str().as_bytes(),
        ];
        for part in parts {
            // The length prefixes ensure that different handshakes never yield the same bytes.
            mac.update(&(part.len() as u64).to_be_bytes());
            mac.update(part);
        }
        mac
    }
}

impl fmt::Debug for PeerKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("PeerKey(..)")
    }
}
