//! Identifiers of requests and of the attempts made to answer them.

use std::fmt;
use std::str::FromStr;

use rand::Rng;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::errors::{Error, Result};

/// The header that carries an attempt's id to an upstream, and that its answer must echo.
pub const ATTEMPT_HEADER: &str = "x-anvilhook-attempt";

macro_rules! ids {
    ($($(#[$doc:meta])* $name:ident, $field:literal;)*) => {
        $(
            $(#[$doc])*
            #[derive(Clone, Copy, Eq, Hash, Ord, PartialEq, PartialOrd)]
            pub struct $name(pub u128);

            impl $name {
                /// Draws a random id, which is unique for all practical purposes.
                pub fn random(rng: &mut impl Rng) -> Self {
                    Self((u128::from(rng.next_u64()) << 64) | u128::from(rng.next_u64()))
                }
            }

            impl fmt::Display for $name {
                fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                    write!(f, "{:032x}", self.0)
                }
            }

            impl fmt::Debug for $name {
                fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                    write!(f, "{:032x}", self.0)
                }
            }

            impl FromStr for $name {
                type Err = Error;

                fn from_str(text: &str) -> Result<Self> {
                    let is_id = text.len() == 32 && text.bytes().all(|b| b.is_ascii_hexdigit());
                    let bits = u128::from_str_radix(text, 16).ok().filter(|_| is_id);
                    bits.map(Self)
                        .ok_or_else(|| Error::bad_field($field, "32 hexadecimal digits"))
                }
            }

            impl Serialize for $name {
                fn serialize<S: Serializer>(&self, ser: S) -> std::result::Result<S::Ok, S::Error> {
                    ser.collect_str(self)
                }
            }

            impl<'de> Deserialize<'de> for $name {
                fn deserialize<D: Deserializer<'de>>(de: D) -> std::result::Result<Self, D::Error> {
                    let text = String::deserialize(de)?;
                    text.parse().map_err(serde::de::Error::custom)
                }
            }
        )*
    };
}

ids! {
    /// `RequestId` identifies one request of a caller over all of its attempts.
    RequestId, "request id";
    /// `AttemptId` identifies one attempt to have a request answered by one upstream.
    AttemptId, "attempt id";
    /// `ChangeId` identifies one change of the table, so that its outcome can be read if the answer is lost.
    ChangeId, "change id";
}
