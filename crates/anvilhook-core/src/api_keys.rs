//! API keys: finds the client account of a caller's key without storing the keys themselves.

use std::collections::{HashMap, HashSet};
use std::fmt;
use std::sync::Arc;

use subtle::ConstantTimeEq;
use zeroize::Zeroizing;

/// The length of a digest and of the hasher's secret, in bytes.
pub const DIGEST_BYTES: usize = 32;

/// `KeyDigest` is the keyed hash of an API key. Comparing two digests takes constant time.
#[derive(Clone, Copy, Eq)]
pub struct KeyDigest([u8; DIGEST_BYTES]);

impl PartialEq for KeyDigest {
    fn eq(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl std::hash::Hash for KeyDigest {
    fn hash<H: std::hash::Hasher>(&self, state: &mut H) {
        self.0.hash(state);
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest")
    }
}

/// `KeyHasher` computes digests of API keys with a secret that never leaves the process.
///
/// Without the secret, a digest or the time of a comparison reveals nothing about a key.
#[derive(Clone)]
pub struct KeyHasher {
    secret: Arc<Zeroizing<[u8; DIGEST_BYTES]>>,
}

impl KeyHasher {
    /// Creates a hasher with a secret, which should be random.
    pub fn new(secret: [u8; DIGEST_BYTES]) -> Self {
        Self { secret: Arc::new(Zeroizing::new(secret)) }
    }

    /// Returns the digest of a key.
    pub fn digest(&self, key: &[u8]) -> KeyDigest {
        KeyDigest(*blake3::keyed_hash(&self.secret, key).as_bytes())
    }
}

impl fmt::Debug for KeyHasher {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyHasher")
    }
}

/// `ClientAccount` is the account on whose behalf requests are made.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClientAccount {
    /// Its name, which is sent to upstreams.
    pub name: Arc<str>,
    /// Its priority, which overrides that of the routes; 0 is the highest.
    pub priority: Option<u8>,
}

/// `AccountError` is the reason why an account can't be added.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AccountError {
    /// Another account has the same name.
    NameTaken,
    /// Another account has the key at this index of the list.
    KeyTaken(usize),
    /// The key at this index of the list is empty.
    KeyEmpty(usize),
}

impl fmt::Display for AccountError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            AccountError::NameTaken => "another account has this name",
            AccountError::KeyTaken(_) => "another account has this key",
            AccountError::KeyEmpty(_) => "the key is empty",
        })
    }
}

impl std::error::Error for AccountError {}

/// `AccountRegistry` holds the client accounts of one configuration and finds them by their keys.
///
/// ```
/// use anvilhook_core::api_keys::{AccountRegistry, ClientAccount, KeyHasher};
///
/// let mut registry = AccountRegistry::new(KeyHasher::new([7; 32]));
/// let account = ClientAccount { name: "account-1".into(), priority: None };
/// registry.try_add(account.clone(), ["first", "second"]).unwrap();
/// assert_eq!(registry.account(&registry.digest(b"second")).map(|one| &**one), Some(&account));
/// assert_eq!(registry.account(&registry.digest(b"third")), None);
/// ```
#[derive(Clone, Debug)]
pub struct AccountRegistry {
    hasher: KeyHasher,
    by_key: HashMap<KeyDigest, Arc<ClientAccount>>,
    names: HashSet<Arc<str>>,
}

impl AccountRegistry {
    /// Creates a registry without accounts.
    pub fn new(hasher: KeyHasher) -> Self {
        Self { hasher, by_key: HashMap::new(), names: HashSet::new() }
    }

    /// Adds an account with its keys. An account whose last key was withdrawn has none.
    ///
    /// # Errors
    ///
    /// Any [`AccountError`]. The account is then registered with some of its keys only, and the registry
    /// must not be used.
    pub fn try_add<'k>(
        &mut self,
        account: ClientAccount,
        keys: impl IntoIterator<Item = &'k str>,
    ) -> Result<(), AccountError> {
        if !self.names.insert(Arc::clone(&account.name)) {
            return Err(AccountError::NameTaken);
        }
        let account = Arc::new(account);
        for (at, key) in keys.into_iter().enumerate() {
            if key.is_empty() {
                return Err(AccountError::KeyEmpty(at));
            }
            let digest = self.hasher.digest(key.as_bytes());
            let earlier = self.by_key.insert(digest, Arc::clone(&account));
            if earlier.is_some_and(|earlier| earlier.name != account.name) {
                return Err(AccountError::KeyTaken(at));
            }
        }
        Ok(())
    }

    /// Returns the digest of a key for lookups in this registry and any other with the same secret.
    pub fn digest(&self, key: &[u8]) -> KeyDigest {
        self.hasher.digest(key)
    }

    /// Returns the account that a key belongs to.
    pub fn account(&self, key: &KeyDigest) -> Option<&Arc<ClientAccount>> {
        self.by_key.get(key)
    }

    /// Returns the names of all accounts.
    pub fn names(&self) -> impl Iterator<Item = &Arc<str>> {
        self.names.iter()
    }
}

/// The maximum number of keys that [`KnownKeys`] holds, unless the current accounts have more.
const MAX_KNOWN_KEYS: usize = 16_384;

/// `KnownKeys` holds the digests of the keys of current and former accounts.
///
/// A former key stays a secret: the configuration may give it back to an account, so that it must reach no upstream.
#[derive(Clone, Debug, Default)]
pub struct KnownKeys {
    by_key: HashMap<KeyDigest, Arc<ClientAccount>>,
}

impl KnownKeys {
    /// Adds the keys of current accounts. Former keys are forgotten where there would be too many.
    pub fn record(&mut self, current: &AccountRegistry) {
        if self.by_key.len() + current.by_key.len() > MAX_KNOWN_KEYS {
            self.by_key.clear();
        }
        let current = current.by_key.iter();
        self.by_key.extend(current.map(|(key, account)| (*key, Arc::clone(account))));
    }

    /// Returns the account that a key belongs to or belonged to last.
    pub fn account(&self, key: &KeyDigest) -> Option<&Arc<ClientAccount>> {
        self.by_key.get(key)
    }
}

#[cfg(test)]
mod tests {
    use super::{
        AccountError, AccountRegistry, ClientAccount, KeyHasher, KnownKeys, MAX_KNOWN_KEYS,
    };

    fn account(name: &str) -> ClientAccount {
        ClientAccount { name: name.into(), priority: None }
    }

    /// Guards against a key of two accounts: its requests could be billed to either.
    #[test]
    fn verify_a_key_belongs_to_one_account() {
        let mut registry = AccountRegistry::new(KeyHasher::new([1; 32]));
        registry.try_add(account("a"), ["one", "one"]).expect("a key may be listed twice");

        assert_eq!(registry.try_add(account("b"), ["two", "one"]), Err(AccountError::KeyTaken(1)));
        assert_eq!(registry.try_add(account("a"), ["three"]), Err(AccountError::NameTaken));
        assert_eq!(registry.try_add(account("c"), [""]), Err(AccountError::KeyEmpty(0)));
    }

    /// Guards against an account without keys that is found by an empty key.
    #[test]
    fn verify_an_account_without_keys_admits_no_caller() {
        let mut registry = AccountRegistry::new(KeyHasher::new([1; 32]));
        registry.try_add(account("a"), []).expect("its last key was withdrawn");

        assert_eq!(registry.account(&registry.digest(b"")), None);
    }

    /// Guards against a digest from one process that is accepted by another.
    #[test]
    fn verify_digests_depend_on_the_secret() {
        let (one, other) = (KeyHasher::new([1; 32]), KeyHasher::new([2; 32]));

        assert_ne!(one.digest(b"key"), other.digest(b"key"));
        assert_eq!(format!("{:?} {one:?}", one.digest(b"key")), "KeyDigest KeyHasher");
    }

    /// Guards against a former key that is passed on as if it were no key, and against a store of keys without bound.
    #[test]
    fn verify_former_keys_are_known_within_a_bound() {
        let mut known = KnownKeys::default();
        let registry = |name: &str, keys: std::ops::Range<usize>| {
            let mut registry = AccountRegistry::new(KeyHasher::new([1; 32]));
            let keys: Vec<_> = keys.map(|key| format!("key-{key}")).collect();
            registry.try_add(account(name), keys.iter().map(String::as_str)).expect("new keys");
            registry
        };
        let name_of = |known: &KnownKeys, registry: &AccountRegistry, key: &str| {
            known.account(&registry.digest(key.as_bytes())).map(|account| account.name.to_string())
        };

        let first = registry("a", 0..2);
        known.record(&first);
        known.record(&registry("b", 1..3));
        let names = ["key-0", "key-1", "key-2", "key-3"].map(|key| name_of(&known, &first, key));
        known.record(&registry("c", 10..10 + MAX_KNOWN_KEYS));

        assert_eq!(names.map(Option::unwrap_or_default), ["a", "b", "b", ""]);
        assert_eq!((known.by_key.len(), name_of(&known, &first, "key-0")), (MAX_KNOWN_KEYS, None));
    }
}
