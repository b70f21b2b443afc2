//! Sending changes, and finding out what became of those whose answers were lost.

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

/// The most times that a change is sent while it is not known whether it was accepted.
const MAX_SENDINGS: usize = 3;

/// The pause between two sendings.
const SENDING_PAUSE: Duration = Duration::from_millis(500);

/// `Operation` is what a change does to a resource.
pub(crate) enum Operation<'a> {
    /// Declare or replace.
    Put(&'a Spec),
    /// Delete.
    Delete,
}

/// Sends a change that replaces a version; zero for a resource that must not exist yet.
///
/// A change whose answer is lost is sent again with the same id, which settles it without making it
/// twice.
pub(crate) async fn send<W: Write>(
    cx: &mut Context<'_, W>,
    key: &ResourceKey,
    op: Operation<'_>,
    version: Revision,
) -> Result<ChangeAnswer> {
    let id = ChangeId::random(cx.rng);
    let mut doubt: Option<Doubt> = None;
    for sending in 1..=MAX_SENDINGS {
        if sending > 1 {
            tokio::time::sleep(SENDING_PAUSE).await;
        }
        let err = match send_once(&cx.client, key, &op, version, id).await {
            Ok(answer) => return Ok(answer),
            Err(err) => err,
        };
        if err.verdict() == Verdict::MayHaveRun {
            doubt = Some(Doubt::after(&err, doubt.as_ref()));
        } else if doubt.is_none() || settles(&err) {
            return Err(Failure::from(err).while_doing(key));
        }
    }
    let doubt = doubt.unwrap_or_default();
    Err(doubt.into_failure(key, id))
}

/// Returns whether a refusal speaks of all sendings of the change.
///
/// One that comes from what the table holds does: the earlier sending passed the same checks, so
/// the table has moved on and the earlier one can take effect no more. One that says that the table
/// cannot be asked speaks of the last sending only; the first may have been accepted.
fn settles(err: &Error) -> bool {
    let exit = Failure::from(err.clone()).exit;
    let is_of_table = matches!(exit, Exit::BadInput | Exit::NotFound | Exit::Conflict);
    matches!(err, Error::Refused(_)) && is_of_table
}

/// `Doubt` is what is known of a change that may have been accepted.
#[derive(Default)]
struct Doubt {
    reason: String,
    /// The revision to ask with, if the instance named one for every sending in doubt. A sending
    /// without one may still run there, on whatever revision it finds.
    base: Option<Revision>,
}

impl Doubt {
    fn after(err: &Error, earlier: Option<&Doubt>) -> Self {
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

/// Shows what became of a change.
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
