//! Converts the store's errors into refusals.

use anvilhook_api::{Code, Refusal};
use anvilhook_store::Error;

/// Converts an error of a read into a refusal.
pub(super) fn of_read(err: Error) -> Box<Refusal> {
    Box::new(match err {
        Error::TooOld { oldest, .. } => {
            let message = format!(
                "{err}. Start anew: get the list or /api/v1/configuration and watch from its \
                 revision"
            );
            Refusal { oldest: Some(oldest), ..Refusal::new(Code::TooOld, message) }
        }
        Error::BadRow { .. } => Refusal::new(Code::Internal, err.to_string()),
        _ => Refusal::new(Code::Unavailable, format!("{err}. Try again later")),
    })
}

/// Converts an error of a change into a refusal that states whether the change was accepted, or
/// that this is unknown.
pub(super) fn of_change(err: Error) -> Box<Refusal> {
    let message = err.to_string();
    Box::new(match err {
        Error::Invalid(err) => of_rule(err),
        Error::Conflict { standing: Some(standing), .. } => {
            let message = format!("{message}. Read the current version and decide again");
            Refusal { standing: Some(standing), ..Refusal::new(Code::Conflict, message) }
        }
        Error::Conflict { standing: None, .. } => Refusal::new(Code::NotFound, message),
        Error::ChangeIdReused { id, .. } => {
            let message = format!("{message}. Use a new id for each change");
            Refusal { change_id: Some(id), ..Refusal::new(Code::ChangeIdReused, message) }
        }
        Error::Unknown { id, base } => {
            let message = format!(
                "{message}: GET /api/v1/changes/{id}?base={}, or send the same change with the \
                 same id",
                base.0
            );
            let refusal = Refusal::new(Code::Unknown, message);
            Refusal { change_id: Some(id), base: Some(base), ..refusal }
        }
        Error::NotAccepted { .. } => {
            let message =
                format!("{message}. The applied configuration stays active; try again later");
            Refusal::new(Code::NotAccepted, message)
        }
        Error::Platform(_) | Error::BadRow { .. } | Error::Reverted { .. } => {
            Refusal::new(Code::NotAccepted, format!("not accepted: {message}"))
        }
        Error::TooOld { .. } => Refusal::new(Code::Internal, message),
    })
}

/// Converts the violation of a rule into a refusal.
pub(super) fn of_rule(err: anvilhook_core::Error) -> Refusal {
    let message = err.to_string();
    match err {
        anvilhook_core::Error::BadField { field, .. } => {
            Refusal { field: Some(field), ..Refusal::new(Code::BadField, message) }
        }
        anvilhook_core::Error::BadName { .. } => {
            Refusal { field: Some("name".to_owned()), ..Refusal::new(Code::BadField, message) }
        }
        anvilhook_core::Error::StillNeeded { by, .. } => {
            Refusal { needed_by: by, ..Refusal::new(Code::InUse, message) }
        }
    }
}
