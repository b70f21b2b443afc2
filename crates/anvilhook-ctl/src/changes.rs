//! Sends changes, and determines the state of changes whose answers were lost.

use std::io::Write;
use std::time::Duration;

use anvilhook_api::{ApiClient, ChangeAnswer, ChangeStateAnswer, Error, PutBody};
use anvilhook_core::Verdict;
use anvilhook_core::attempts::ChangeId;
use anvilhook_core::resources::{ResourceKey, Spec};
use anvilhook_core::units::Revision;

use crate::Context;
use crate::arguments::{ChangeArgs, Output};
use crate::exits::{Exit, Failure, Result};

/// The maximum number of tries to send a change while it is not known whether it was accepted.
const MAX_TRIES: usize = 3;

/// The pause between two tries.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// `Operation` is the effect of a change on a resource.
pub(crate) enum Operation<'a> {
    /// Declares or replaces the resource.
    Put(&'a Spec),
    /// Deletes the resource.
    Delete,
}

/// Sends a change that replaces `version`, which is zero for a resource that must not exist yet.
///
/// A change whose answer is lost is resent with the same id, which determines its outcome without
/// applying it twice.
pub(crate) async fn send<W: Write>(
    cx: &mut Context<'_, W>,
    key: &ResourceKey,
    op: Operation<'_>,
    version: Revision,
) -> Result<ChangeAnswer> {
    let id = ChangeId::random(cx.rng);
    let mut unknown: Option<UnknownOutcome> = None;
    for attempt in 1..=MAX_TRIES {
        if attempt > 1 {
            tokio::time::sleep(RETRY_PAUSE).await;
        }
        let err = match send_once(&cx.client, key, &op, version, id).await {
            Ok(answer) => return Ok(answer),
            Err(err) => err,
        };
        if err.verdict() == Verdict::MayHaveRun {
            unknown = Some(UnknownOutcome::after(&err, unknown.as_ref()));
        } else if unknown.is_none() || rejects_all_tries(&err) {
            return Err(Failure::from(err).with_context(key));
        }
    }
    let unknown = unknown.unwrap_or_default();
    Err(unknown.into_failure(key, id))
}

/// Returns whether a refusal shows that no try of the change was or will be accepted.
///
/// A refusal that is based on the table's content does: an earlier try passed the same checks, so the
/// table has changed since, and the earlier try can no longer take effect. A refusal because the table
/// could not be reached concerns the last try only; an earlier one may have been accepted.
fn rejects_all_tries(err: &Error) -> bool {
    let exit = Failure::from(err.clone()).exit;
    let is_from_content = matches!(exit, Exit::BadInput | Exit::NotFound | Exit::Conflict);
    matches!(err, Error::Refused(_)) && is_from_content
}

/// `UnknownOutcome` describes a change that may have been accepted.
#[derive(Default)]
struct UnknownOutcome {
    reason: String,
    /// The revision with which to query the change's state, if the instance returned one for every
    /// try with an unknown outcome. A try without one may still be applied, at any later revision.
    base: Option<Revision>,
}

impl UnknownOutcome {
    fn after(err: &Error, earlier: Option<&UnknownOutcome>) -> Self {
        let base = match err {
            Error::Refused(refusal) => refusal.base,
            Error::Call(_) | Error::BadAnswer { .. } => None,
        };
        let base = earlier.map_or(base, |earlier| earlier.base.and(base));
        Self { reason: err.to_string(), base }
    }

    fn into_failure(self, key: &ResourceKey, id: ChangeId) -> Failure {
        let base = self.base.map(|base| format!(" --base {}", base.0)).unwrap_or_default();
        let message = format!(
            "{key}: it is not known whether the change was accepted ({}). Ask with: anvilhook \
             change {id}{base}",
            self.reason
        );
        Failure::new(Exit::Unknown, message)
    }
}

async fn send_once(
    client: &ApiClient,
    key: &ResourceKey,
    op: &Operation<'_>,
    version: Revision,
    id: ChangeId,
) -> anvilhook_api::Result<ChangeAnswer> {
    match op {
        Operation::Put(spec) => client.put(key, &body(spec, version)?, id).await,
        Operation::Delete => client.delete(key, version, id).await,
    }
}

fn body(spec: &Spec, version: Revision) -> anvilhook_api::Result<PutBody> {
    let mut value = serde_json::to_value(spec).map_err(Error::bad_answer)?;
    let spec = value["spec"].take();
    Ok(PutBody { kind: None, name: None, version: Some(version), spec, status: None })
}

/// Shows the state of a change.
pub(crate) async fn run<W: Write>(cx: &mut Context<'_, W>, args: &ChangeArgs) -> Result<()> {
    let id: ChangeId = args
        .id
        .parse()
        .map_err(|err: anvilhook_core::Error| Failure::bad_input(err.to_string()))?;
    let state = cx.client.change_state(id, args.base.map(Revision)).await?;
    if cx.output == Output::Json {
        cx.json(&state)?;
    }
    let text = match state {
        ChangeStateAnswer::Accepted { revision } => format!("accepted as {revision}"),
        ChangeStateAnswer::NotAccepted => "not accepted; it can be sent again".to_owned(),
        ChangeStateAnswer::Unknown => {
            let message = "not recorded, but it may still be under way. Ask again later, with the \
                           --base that came with the id";
            return Err(Failure::new(Exit::Unknown, message));
        }
    };
    match cx.output {
        Output::Json => Ok(()),
        Output::Table => cx.line(text),
    }
}
