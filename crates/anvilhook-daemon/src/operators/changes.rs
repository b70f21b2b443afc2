//! Parses a change's id and its expected version, and reports a change's outcome.

use std::sync::Arc;

use anvilhook_api::{ChangeStateAnswer, Code, Refusal, paths};
use anvilhook_core::attempts::ChangeId;
use anvilhook_core::resources::Expected;
use anvilhook_core::units::Revision;
use anvilhook_platform::{ObjectStore, Table};
use anvilhook_store::ChangeState;
use http::header::IF_MATCH;

use super::endpoints::{Answer, Call, bad_request, ok};
use super::leases::LeaseSource;
use super::{OperatorApi, refusals};

/// Answers with the outcome of a change.
pub(super) async fn state<T: Table, O: ObjectStore, L: LeaseSource>(
    api: Arc<OperatorApi<T, O, L>>,
    call: Call,
) -> Answer {
    let id = parse_id(call.param("id"))?;
    let base = call.parameters.base.map(Revision);
    let state = api.follower.store().change_state(id, base).await.map_err(refusals::of_read)?;
    Ok(ok(&match state {
        ChangeState::Accepted { revision } => ChangeStateAnswer::Accepted { revision },
        ChangeState::NotAccepted => ChangeStateAnswer::NotAccepted,
        ChangeState::Unknown => ChangeStateAnswer::Unknown,
    }))
}

/// Returns the change's id, if the caller chose one.
pub(super) fn chosen_id(call: &Call) -> Answer<Option<ChangeId>> {
    call.header(paths::CHANGE_ID_HEADER)?.map(parse_id).transpose()
}

fn parse_id(text: &str) -> Answer<ChangeId> {
    text.parse().map_err(|_| Box::new(Refusal::bad_field("change id", "32 hexadecimal digits")))
}

/// Returns the version that a replacement or deletion expects, from its `if-match` header or body.
///
/// A change that names no version is refused, because it could undo a change that another operator
/// made after the caller read the resource.
pub(super) fn expected(call: &Call, body_version: Option<Revision>) -> Answer<Expected> {
    let header = call.header(IF_MATCH.as_str())?.map(parse_match).transpose()?;
    match (header, body_version.map(of_version)) {
        (Some(header), Some(body)) if header != body => {
            Err(bad_request("version: expected the same in the body and in if-match"))
        }
        (Some(expected), _) | (None, Some(expected)) => Ok(expected),
        (None, None) => {
            let message = "version: expected the version that this replaces, in the body or in \
                           if-match; 0 if there is none yet, if-match: * for any";
            Err(Box::new(Refusal::new(Code::VersionMissing, message)))
        }
    }
}

fn of_version(version: Revision) -> Expected {
    if version == Revision::default() { Expected::Absent } else { Expected::Version(version) }
}

fn parse_match(text: &str) -> Answer<Expected> {
    let text = text.trim();
    if text == "*" {
        return Ok(Expected::Present);
    }
    let version = text.trim_matches('"').parse();
    let version = version.map_err(|_| Box::new(Refusal::bad_field("if-match", "a version or *")));
    Ok(of_version(Revision(version?)))
}
