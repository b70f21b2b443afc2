//! Authenticates operators by bearer tokens and checks their rights.

use anvilhook_core::names::SubjectName;
use http::HeaderMap;
use http::header::AUTHORIZATION;
use sha2::{Digest, Sha256};
use subtle::{Choice, ConstantTimeEq};

use anvilhook_api::{Code, Refusal};

use crate::settings::{OperatorRights, OperatorSettings};

/// The length of a SHA-256 digest in bytes.
const DIGEST_LEN: usize = 32;

/// `Credentials` holds the digests of the operators' tokens, never the tokens themselves.
#[derive(Clone, Debug)]
pub struct Credentials {
    entries: Vec<Credential>,
}

#[derive(Clone, Debug)]
struct Credential {
    digest: [u8; DIGEST_LEN],
    operator: Operator,
}

/// `Operator` is an operator whose token was recognised.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Operator {
    /// The operator's name in the audit trail.
    pub subject: SubjectName,
    /// The operator's rights.
    pub rights: OperatorRights,
}

impl Credentials {
    /// Creates the credentials of the operators in the settings.
    ///
    /// # Errors
    ///
    /// `Error::BadField` for a digest that is not 64 hexadecimal digits.
    pub fn try_new(operators: &[OperatorSettings]) -> anvilhook_core::Result<Self> {
        let mut entries = Vec::with_capacity(operators.len());
        for (i, settings) in operators.iter().enumerate() {
            let digest = parse_digest(&settings.token_sha256).ok_or_else(|| {
                let field = format!("operators[{i}].token_sha256");
                anvilhook_core::Error::bad_field(field, "64 hexadecimal digits")
            })?;
            let operator = Operator { subject: settings.subject.clone(), rights: settings.rights };
            entries.push(Credential { digest, operator });
        }
        Ok(Self { entries })
    }

    /// Authenticates the caller of a request and checks that it has the needed rights.
    pub(super) fn authorise(
        &self,
        headers: &HeaderMap,
        needed: OperatorRights,
    ) -> Result<&Operator, Box<Refusal>> {
        let Some(operator) = bearer_token(headers).and_then(|token| self.find(token)) else {
            let message = "this needs an operator's bearer token; give one that is in the settings";
            return Err(Box::new(Refusal::new(Code::Unauthenticated, message)));
        };
        if needed == OperatorRights::Operator && operator.rights == OperatorRights::Reader {
            let message = format!("{} may read only; ask an operator", operator.subject);
            return Err(Box::new(Refusal::new(Code::Forbidden, message)));
        }
        Ok(operator)
    }

    /// Finds the operator that a token belongs to.
    ///
    /// All digests are compared, each in constant time. A comparison that stopped early would
    /// reveal, over many tries, how much of a guess is right.
    fn find(&self, token: &str) -> Option<&Operator> {
        let digest = Sha256::digest(token.as_bytes());
        let mut found = None;
        for entry in &self.entries {
            let is_same: Choice = entry.digest.ct_eq(&digest[..]);
            if bool::from(is_same) {
                found = Some(&entry.operator);
            }
        }
        found
    }
}

fn bearer_token(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(AUTHORIZATION)?.to_str().ok()?;
    let (scheme, token) = value.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| token.trim())
}

fn parse_digest(hex: &str) -> Option<[u8; DIGEST_LEN]> {
    if hex.len() != 2 * DIGEST_LEN || !hex.is_ascii() {
        return None;
    }
    let mut digest = [0; DIGEST_LEN];
    for (i, byte) in digest.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&hex[2 * i..2 * i + 2], 16).ok()?;
    }
    Some(digest)
}
