//! Fingerprints: recognize a repeated request that has another id, and a prompt part that requests share.

use std::fmt;

use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

/// The hash key of fingerprints. All instances use the same one, since they exchange fingerprints.
const KEY: [u8; 32] = *b"anvilhook request fingerprint 01";

/// The first 32 bits of the fingerprints of prompt parts. A request's fingerprint has them once in four billion.
const PART_TAG: u128 = 0x7061_7274 << 96;
const TAG_MASK: u128 = 0xffff_ffff << 96;

/// The hash key of the fingerprints of prompt parts.
const PART_KEY: [u8; 32] = *b"anvilhook prompt part fingerpr01";

/// `Fingerprint` is the hash of what identifies a request (its sender, its target and its body) or a shared prompt part.
///
/// A client that repeats a request gives it a new id, at any instance. Every byte counts: two requests that
/// differ in one byte are different requests. The hash is collision-resistant, so that no caller can create
/// a request that is mistaken for another caller's.
///
/// ```
/// use anvilhook_core::fingerprints::Fingerprint;
///
/// let first = Fingerprint::of("account-1", "/notes/1", b"text");
/// assert_eq!(first, Fingerprint::of("account-1", "/notes/1", b"text"));
/// assert_ne!(first, Fingerprint::of("account-2", "/notes/1", b"text"));
/// assert_ne!(first, Fingerprint::of("account-1", "/notes/1t", b"ext"));
/// assert_eq!(first.to_string().parse(), Ok(first));
/// ```
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Fingerprint(pub u128);

impl Fingerprint {
    /// Returns the fingerprint of a request: `caller` is its client account, empty where callers have none,
    /// and `target` is its path with the query.
    pub fn of(caller: &str, target: &str, body: &[u8]) -> Self {
        hash(&KEY, [caller, target], body)
    }

    /// Returns the fingerprint of a prompt part that requests share: `id` identifies it among the parts of one model of
    /// one service.
    ///
    /// ```
    /// use anvilhook_core::fingerprints::Fingerprint;
    ///
    /// let part = Fingerprint::of_part("assistant", "small", 7);
    /// assert_ne!(part, Fingerprint::of_part("assistant", "large", 7));
    /// assert_ne!(part, Fingerprint::of_part("search", "small", 7));
    /// assert!(part.is_part());
    /// assert!(!Fingerprint::of("account-1", "/notes/1", b"text").is_part());
    /// ```
    pub fn of_part(service: &str, model: &str, id: u64) -> Self {
        let Self(bits) = hash(&PART_KEY, [service, model], &id.to_le_bytes());
        Self(bits & !TAG_MASK | PART_TAG)
    }

    /// Returns whether it is the fingerprint of a prompt part.
    pub fn is_part(self) -> bool {
        self.0 & TAG_MASK == PART_TAG
    }
}

fn hash(key: &[u8; 32], texts: [&str; 2], rest: &[u8]) -> Fingerprint {
    let mut hasher = blake3::Hasher::new_keyed(key);
    for text in texts {
        // The lengths mark where each text ends, so that no byte can count as part of the next one.
        hasher.update(&(text.len() as u64).to_le_bytes());
        hasher.update(text.as_bytes());
    }
    hasher.update(rest);
    let mut bytes = [0; 16];
    hasher.finalize_xof().fill(&mut bytes);
    Fingerprint(u128::from_le_bytes(bytes))
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl std::str::FromStr for Fingerprint {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u128::from_str_radix(text, 16).map(Self)
    }
}

/// Text formats contain it in hexadecimal, because few JSON parsers support integers of this size.
impl Serialize for Fingerprint {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        if serializer.is_human_readable() {
            serializer.collect_str(self)
        } else {
            serializer.serialize_u128(self.0)
        }
    }
}

impl<'de> Deserialize<'de> for Fingerprint {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        if deserializer.is_human_readable() {
            String::deserialize(deserializer)?.parse().map_err(de::Error::custom)
        } else {
            u128::deserialize(deserializer).map(Self)
        }
    }
}
