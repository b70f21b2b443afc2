//! Names as shared immutable strings, with one type for each kind of thing.
//!
//! A name is 1 to 63 characters of `a-z`, `0-9`, `-` and `.`, and begins and ends with a letter or a
//! digit. Cloning a name copies no text.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Deserializer, Serialize};

use crate::errors::{Error, Result};

/// The longest name, in characters.
pub const MAX_NAME_LEN: usize = 63;

fn check(kind: &'static str, text: &str) -> Result<()> {
    let is_alnum = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit();
    let is_valid = !text.is_empty()
        && text.len() <= MAX_NAME_LEN
        && text.chars().all(|c| is_alnum(c) || c == '-' || c == '.')
        && text.starts_with(is_alnum)
        && text.ends_with(is_alnum);
    if is_valid { Ok(()) } else { Err(Error::bad_name(kind, text)) }
}

macro_rules! names {
    ($($(#[$doc:meta])* $name:ident, $kind:literal;)*) => {
        $(
            $(#[$doc])*
            #[derive(Clone, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
            #[serde(transparent)]
            pub struct $name(Arc<str>);

            impl $name {
                /// Checks the text and returns it as a name.
                ///
                /// # Errors
                ///
                /// `Error::BadName` if the text breaks the rule in the module's documentation.
                pub fn try_new(text: &str) -> Result<Self> {
                    check($kind, text)?;
                    Ok(Self(Arc::from(text)))
                }

                /// Returns the name's text.
                pub fn as_str(&self) -> &str {
                    &self.0
                }
            }

            impl fmt::Display for $name {
                fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                    f.write_str(&self.0)
                }
            }

            impl fmt::Debug for $name {
                fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                    f.write_str(&self.0)
                }
            }

            impl std::str::FromStr for $name {
                type Err = Error;

                fn from_str(text: &str) -> Result<Self> {
                    Self::try_new(text)
                }
            }

            impl<'de> Deserialize<'de> for $name {
                fn deserialize<D: Deserializer<'de>>(de: D) -> std::result::Result<Self, D::Error> {
                    let text = String::deserialize(de)?;
                    Self::try_new(&text).map_err(serde::de::Error::custom)
                }
            }
        )*
    };
}

names! {
    /// `InstanceName` names one running process of the system. A restarted process gets a new name.
    InstanceName, "instance";
    /// `ZoneName` names an availability zone.
    ZoneName, "availability zone";
    /// `UpstreamName` names a model engine or one plain-service upstream.
    UpstreamName, "upstream";
    /// `ServiceName` names a service that callers can request.
    ServiceName, "service";
    /// `PoolName` names a pool of engines.
    PoolName, "engine pool";
    /// `ModelName` names a model, regardless of its version.
    ModelName, "model";
    /// `AccountName` names a caller's account.
    AccountName, "account";
    /// `ResourceName` names any resource within its kind.
    ResourceName, "resource";
    /// `SubjectName` names an operator in the audit trail.
    SubjectName, "subject";
}
