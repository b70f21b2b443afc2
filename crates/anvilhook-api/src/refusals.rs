//! The error answers of the API, with a code for programs and a message for operators.

use anvilhook_core::attempts::ChangeId;
use anvilhook_core::resources::Resource;
use anvilhook_core::units::Revision;
use http::StatusCode;
use serde::{Deserialize, Serialize};

/// `Code` is the reason why a request was not executed.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Code {
    /// The request is malformed.
    BadRequest,
    /// A field is invalid; `field` names it.
    BadField,
    /// The bearer token is missing or unknown.
    Unauthenticated,
    /// The token grants read access only.
    Forbidden,
    /// The requested object does not exist.
    NotFound,
    /// The resource is not in the state that the change expected; `standing` is its current state.
    Conflict,
    /// Other resources still need the resource; `needed_by` lists them.
    InUse,
    /// The change's id was already used by another change.
    ChangeIdReused,
    /// The change does not specify which version it replaces.
    VersionMissing,
    /// The requested changes are archived; start again from a list.
    TooOld,
    /// The body is too large.
    TooLarge,
    /// The instance already has its maximum number of watchers.
    TooManyWatchers,
    /// The platform could not be reached, and the change was not accepted.
    NotAccepted,
    /// It is not known whether the change was accepted. Query its state with `change_id` and `base`.
    Unknown,
    /// The platform could not be read.
    Unavailable,
    /// The stored data cannot be decoded; an operator of the platform must investigate.
    Internal,
}

impl Code {
    /// Returns the HTTP status of the code.
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
            // The change may have been accepted, so this is neither a success nor a definite
            // failure.
            Code::Unknown => StatusCode::GATEWAY_TIMEOUT,
            Code::Internal => StatusCode::INTERNAL_SERVER_ERROR,
        }
    }
}

/// `RefusalBody` is the body of every answer that is not a success.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RefusalBody {
    /// The refusal.
    pub error: Refusal,
}

/// `Refusal` explains why a request was not executed and what the caller can do.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Refusal {
    /// The reason, for programs.
    pub code: Code,
    /// The reason and what to do, for operators.
    pub message: String,
    /// The invalid field.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub field: Option<String>,
    /// The current resource, after a conflict.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub standing: Option<Box<Resource>>,
    /// The resources and fields that still need the resource.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub needed_by: Vec<String>,
    /// The id with which to query the change's state.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub change_id: Option<ChangeId>,
    /// The revision with which to query the change's state.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub base: Option<Revision>,
    /// The oldest revision from which changes can be watched.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub oldest: Option<Revision>,
}

impl Refusal {
    /// Creates a refusal with a code and a message only.
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

    /// Creates a refusal for an invalid field.
    pub fn bad_field(field: &str, expected: impl std::fmt::Display) -> Self {
        let message = format!("{field}: expected {expected}");
        Self { field: Some(field.to_owned()), ..Self::new(Code::BadField, message) }
    }
}
