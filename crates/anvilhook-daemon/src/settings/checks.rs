//! Checks single fields while the file is parsed, so that an error includes the line number.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use anvilhook_core::Error as CoreError;
use anvilhook_core::names::{InstanceName, MAX_NAME_LEN};
use anvilhook_core::units::Millis;
use serde::de::{Deserialize, Deserializer, Error};

use super::{LeaseSettings, ListenSettings, OperatorSettings};
use crate::names::SUFFIX_LEN;

/// The maximum length of a name prefix: a hyphen and the random suffix must still fit in a name.
pub const MAX_NAME_PREFIX_LEN: usize = MAX_NAME_LEN - SUFFIX_LEN - 1;

/// The longest time span that a setting may have.
const MAX_SPAN: Millis = Millis::from_secs(3_600);

/// The minimum length of a peer key, in bytes.
const MIN_KEY_LEN: usize = anvilhook_peer::keys::MIN_KEY_BYTES;

/// The allowed range of the limit on a request's headers, in bytes.
const HEADER_BYTES: std::ops::RangeInclusive<u32> = 1_024..=1_048_576;

/// The least memory, in megabytes, and the fewest descriptors with which an instance still serves requests.
const MIN_MEMORY_MB: u32 = 32;
const MIN_DESCRIPTORS: u32 = 128;

/// The length of a SHA-256 digest in hexadecimal digits.
const DIGEST_LEN: usize = 64;

/// `PlainListen` is the parsed form of `ListenSettings` before the addresses are compared.
#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlainListen {
    callers: SocketAddr,
    operators: SocketAddr,
    peers: SocketAddr,
}

impl TryFrom<PlainListen> for ListenSettings {
    type Error = String;

    fn try_from(plain: PlainListen) -> Result<Self, String> {
        let PlainListen { callers, operators, peers } = plain;
        let fixed: Vec<SocketAddr> =
            [callers, operators, peers].into_iter().filter(|address| address.port() != 0).collect();
        let distinct: BTreeSet<&SocketAddr> = fixed.iter().collect();
        if distinct.len() < fixed.len() {
            return Err("expected three different addresses".to_owned());
        }
        Ok(Self { callers, operators, peers })
    }
}

/// `PlainLeases` is the parsed form of `LeaseSettings` before the spans are compared.
#[derive(serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlainLeases {
    #[serde(deserialize_with = "positive_millis")]
    length_ms: Millis,
    #[serde(deserialize_with = "positive_millis")]
    guard_ms: Millis,
}

impl Default for PlainLeases {
    fn default() -> Self {
        let LeaseSettings { length_ms, guard_ms } = LeaseSettings::default();
        Self { length_ms, guard_ms }
    }
}

impl TryFrom<PlainLeases> for LeaseSettings {
    type Error = String;

    fn try_from(plain: PlainLeases) -> Result<Self, String> {
        let PlainLeases { length_ms, guard_ms } = plain;
        if guard_ms.0.saturating_mul(2) > length_ms.0 {
            return Err("expected guard_ms to be at most half of length_ms".to_owned());
        }
        // The remaining rules are checked by `LeaseOptions`, whose errors name the fields.
        let leases = Self { length_ms, guard_ms };
        match leases.options().check() {
            Ok(()) => Ok(leases),
            Err(CoreError::BadField { field, expected }) => {
                let field = field.rsplit('.').next().unwrap_or_default();
                Err(format!("expected {field} to be {expected}"))
            }
            Err(err) => Err(err.to_string()),
        }
    }
}

/// Parses the operators and rejects duplicate subjects and tokens.
pub fn distinct_operators<'de, D: Deserializer<'de>>(
    de: D,
) -> Result<Vec<OperatorSettings>, D::Error> {
    let operators = Vec::<OperatorSettings>::deserialize(de)?;
    let mut subjects = BTreeSet::new();
    let mut digests = BTreeSet::new();
    for operator in &operators {
        if !subjects.insert(operator.subject.clone()) {
            return Err(D::Error::custom(format!("subject {} stands twice", operator.subject)));
        }
        if !digests.insert(operator.token_sha256.clone()) {
            let text = format!("the token of {} is another operator's too", operator.subject);
            return Err(D::Error::custom(text));
        }
    }
    Ok(operators)
}

/// Parses the prefix of an instance's name.
pub fn name_prefix<'de, D: Deserializer<'de>>(de: D) -> Result<String, D::Error> {
    let text = String::deserialize(de)?;
    if text.len() > MAX_NAME_PREFIX_LEN {
        return Err(D::Error::custom(format!("expected at most {MAX_NAME_PREFIX_LEN} characters")));
    }
    InstanceName::try_new(&text).map_err(D::Error::custom)?;
    Ok(text)
}

/// Parses an address to connect to, whose port can't be 0.
pub fn remote_address<'de, D: Deserializer<'de>>(de: D) -> Result<SocketAddr, D::Error> {
    let address = SocketAddr::deserialize(de)?;
    if address.port() == 0 {
        return Err(D::Error::custom("expected a port other than 0"));
    }
    Ok(address)
}

/// Parses a time span that is neither zero nor longer than an hour.
pub fn positive_millis<'de, D: Deserializer<'de>>(de: D) -> Result<Millis, D::Error> {
    let span = Millis::deserialize(de)?;
    if span == Millis::ZERO || span > MAX_SPAN {
        return Err(D::Error::custom(format!("expected 1 to {} milliseconds", MAX_SPAN.0)));
    }
    Ok(span)
}

/// Parses a count of at least 1.
pub fn positive_count<'de, D: Deserializer<'de>>(de: D) -> Result<u32, D::Error> {
    let count = u32::deserialize(de)?;
    if count == 0 { Err(D::Error::custom("expected at least 1")) } else { Ok(count) }
}

/// Parses the limit on the size of a request's headers.
pub fn header_bytes<'de, D: Deserializer<'de>>(de: D) -> Result<u32, D::Error> {
    let bytes = u32::deserialize(de)?;
    if HEADER_BYTES.contains(&bytes) {
        return Ok(bytes);
    }
    let (least, most) = (HEADER_BYTES.start(), HEADER_BYTES.end());
    Err(D::Error::custom(format!("expected {least} to {most} bytes")))
}

/// Parses the memory of the process, in megabytes.
pub fn memory_mb<'de, D: Deserializer<'de>>(de: D) -> Result<u32, D::Error> {
    at_least(de, MIN_MEMORY_MB)
}

/// Parses the number of descriptors, if it is given.
pub fn descriptors<'de, D: Deserializer<'de>>(de: D) -> Result<Option<u32>, D::Error> {
    at_least(de, MIN_DESCRIPTORS).map(Some)
}

fn at_least<'de, D: Deserializer<'de>>(de: D, least: u32) -> Result<u32, D::Error> {
    let count = u32::deserialize(de)?;
    if count < least {
        Err(D::Error::custom(format!("expected at least {least}")))
    } else {
        Ok(count)
    }
}

/// Parses a SHA-256 digest.
pub fn sha256_digest<'de, D: Deserializer<'de>>(de: D) -> Result<String, D::Error> {
    let text = String::deserialize(de)?.to_ascii_lowercase();
    let is_digest = text.len() == DIGEST_LEN && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    if is_digest {
        Ok(text)
    } else {
        Err(D::Error::custom(format!("expected a SHA-256 digest of {DIGEST_LEN} hex digits")))
    }
}

/// Parses the key of the peer link.
pub fn peer_key<'de, D: Deserializer<'de>>(de: D) -> Result<String, D::Error> {
    let text = String::deserialize(de)?;
    if text.len() < MIN_KEY_LEN {
        return Err(D::Error::custom(format!("expected at least {MIN_KEY_LEN} bytes")));
    }
    Ok(text)
}

/// Parses a weight, which is finite and at least 0.
pub fn weight<'de, D: Deserializer<'de>>(de: D) -> Result<f64, D::Error> {
    let weight = f64::deserialize(de)?;
    if weight.is_finite() && weight >= 0.0 {
        Ok(weight)
    } else {
        Err(D::Error::custom("expected a finite number of at least 0"))
    }
}
