//! Refusals: why a request was not carried out, for programs and for people.

use anvilhook_core::attempts::ChangeId;
use anvilhook_core::resources::Resource;
use anvilhook_core::units::Revision;
use http::StatusCode;
use serde::{Deserialize, Serialize};

/// `Code` says in one word why a request was not carried out.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Code {
    /// The request cannot be understood.
    BadRequest,
    /// A field breaks its rule; `field` names it.
    BadField,
    /// There is no bearer token, or it is nobody's.
    Unauthenticated,
    /// The token gives the right to read only.
    Forbidden,
    /// There is no such thing.
    NotFound,
    /// The resource is not what the change expected; `standing` shows what it is.
    Conflict,
    /// Something else still needs the resource; `needed_by` lists it.
    InUse,
    /// The change's id belongs to another change.
    ChangeIdReused,
    /// The change does not say which version it replaces.
    VersionMissing,
    /// The changes asked for are archived; start anew from a list.
    TooOld,
    /// The body is too large.
    TooLarge,
    /// The instance has as many watchers as it takes.
    TooManyWatchers,
    /// The platform could not be asked. A change was not accepted.
    NotAccepted,
    /// It is not known whether the change was accepted. Ask by `change_id` and `base`.
    Unknown,
    /// The platform could not be read.
    Unavailable,
    /// What is stored cannot be read; an operator of the platform has to look.
    Internal,
}

impl Code {
    /// Returns the HTTP status that goes with the code.
    pub fn status(self) -> StatusCode {
        match self {
            Code::BadRequest | Code::BadField => StatusCode::BAD_REQUEST,
            Code::Unauthenticated => StatusCode::UNAUTHORIZED,
            Code::Forbidden => StatusCode::FORBIDDEN,
            Code::NotFound => StatusCode::NOT_FOUND,
            Code::Conflict | Code::InUse | Code::ChangeIdReused => StatusCode::CONFLICT,
            Code::VersionMissing => StatusCode::PRECONDITION_REQUIRED,
            Code::TooOld => StatusCode::GONE,
            Code::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Code::TooManyWatchers | Code::NotAccepted | Code::Unavailable => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            // The change may have been accepted: neither a success nor a plain failure.
            Code::Unknown => StatusCode::GATEWAY_TIMEOUT,
            Code::Internal => StatusCode::INTERNAL_SERVER_ERROR,
        }
    }
}

/// `Refusal` is the body of every answer that is not a success.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RefusalBody {
    /// Why.
    pub error: Refusal,
}

/// `Refusal` says why a request was not carried out, and what to do.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Refusal {
    /// Why, for programs.
    pub code: Code,
    /// Why, for people, and what to do.
    pub message: String,
    /// The field that breaks its rule.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub field: Option<String>,
    /// The resource as it stands, after a conflict.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub standing: Option<Box<Resource>>,
    /// What still needs the resource.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub needed_by: Vec<String>,
    /// The change to ask for.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub change_id: Option<ChangeId>,
    /// The revision to ask for the change with.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub base: Option<Revision>,
    /// The oldest change that can be watched from.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub oldest: Option<Revision>,
}

impl Refusal {
    /// Makes a refusal without particulars.
    pub fn new(code: Code, message: impl Into<String>) -> Self {
        Self {
            code,
            message: message.into(),
            field: None,
            standing: None,
            needed_by: Vec::new(),
            change_id: None,
            base: None,
            oldest: None,
        }
    }

    /// Makes a refusal for a field that breaks its rule.
    pub fn bad_field(field: &str, expected: impl std::fmt::Display) -> Self {
        let message = format!("{field}: expected {expected}");
        Self { field: Some(field.to_owned()), ..Self::new(Code::BadField, message) }
    }
}
