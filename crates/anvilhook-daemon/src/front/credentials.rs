//! Credentials of callers.

use std::collections::HashMap;
use std::sync::Arc;

use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use super::states::Account;

/// `TokenDigest` is the SHA-256 digest of a bearer token.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct TokenDigest([u8; 32]);

impl TokenDigest {
    /// Digests a token.
    pub fn of(token: &str) -> Self {
        Self(Sha256::digest(token.as_bytes()).into())
    }

    /// Reads a digest of 64 hexadecimal digits, or returns nothing.
    pub fn from_hex(text: &str) -> Option<Self> {
        if text.len() != 64 || !text.is_ascii() {
            return None;
        }
        let mut digest = [0; 32];
        for (i, byte) in digest.iter_mut().enumerate() {
            *byte = u8::from_str_radix(&text[2 * i..2 * i + 2], 16).ok()?;
        }
        Some(Self(digest))
    }
}

/// `Credentials` finds the account of a token.
#[derive(Debug, Default)]
pub struct Credentials {
    accounts: HashMap<TokenDigest, Arc<Account>>,
}

impl Credentials {
    /// Adds a digest that an account may present.
    pub fn insert(&mut self, digest: TokenDigest, account: Arc<Account>) {
        self.accounts.insert(digest, account);
    }

    /// Returns the account of a token, if it is known.
    ///
    /// The map finds by digest, so the time that it takes tells nothing of a token; the found
    /// digest is compared in constant time, so that no part of it can be guessed either.
    pub fn find(&self, token: &str) -> Option<&Arc<Account>> {
        let digest = TokenDigest::of(token);
        let (found, account) = self.accounts.get_key_value(&digest)?;
        bool::from(found.0.ct_eq(&digest.0)).then_some(account)
    }
}
