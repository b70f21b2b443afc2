//! Finds the account of a caller's bearer token.

use std::collections::HashMap;
use std::sync::Arc;

use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use super::states::Account;

/// `TokenDigest` is the SHA-256 digest of a bearer token.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct TokenDigest([u8; 32]);

impl TokenDigest {
    /// Computes the digest of a token.
    pub fn of(token: &str) -> Self {
        Self(Sha256::digest(token.as_bytes()).into())
    }

    /// Parses a digest of 64 hexadecimal digits, or returns `None`.
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
    /// Adds the digest of a token that belongs to an account.
    pub fn insert(&mut self, digest: TokenDigest, account: Arc<Account>) {
        self.accounts.insert(digest, account);
    }

    /// Returns the account of a token, if the token is known.
    ///
    /// The lookup is by digest, so its time reveals nothing about known tokens. The digest found is
    /// compared in constant time, so that it can't be guessed part by part either.
    pub fn find(&self, token: &str) -> Option<&Arc<Account>> {
        let digest = TokenDigest::of(token);
        let (found, account) = self.accounts.get_key_value(&digest)?;
        bool::from(found.0.ct_eq(&digest.0)).then_some(account)
    }
}
