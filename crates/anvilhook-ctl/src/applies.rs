//! The `apply` subcommand: declares the resources of files.

use std::io::Write;

use anvilhook_core::resources::{Action, Change, Configuration, Resource, Spec};
use anvilhook_core::units::Revision;
use serde::Serialize;

use crate::arguments::{ApplyArgs, Output};
use crate::changes::{Operation, send};
use crate::documents::{Declared, read_all};
use crate::exits::{Failure, Result};
use crate::{Context, diffs};

/// `Outcome` is the reported result for one resource.
#[derive(Serialize)]
struct Outcome {
    key: String,
    outcome: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    revision: Option<Revision>,
}

/// `Step` is one declared resource together with its current version.
struct Step<'a> {
    declared: &'a Declared,
    current: Option<Resource>,
}

/// Declares the resources, or shows what would change.
///
/// All resources are checked against the whole configuration before any is sent, so that an error in
/// the last document does not leave the first ones changed.
pub(crate) async fn run<W: Write>(cx: &mut Context<'_, W>, args: &ApplyArgs) -> Result<()> {
    let declared = read_all(&args.file)?;
    let listed = cx.client.configuration().await?;
    let base = Configuration::new(listed.revision, listed.items);
    let steps = check_all(&declared, base)?;
    for step in &steps {
        if args.dry_run {
            show_difference(cx, step)?;
        } else {
            execute(cx, step).await?;
        }
    }
    if args.dry_run && cx.output == Output::Table {
        cx.line("nothing was changed: dry run")?;
    }
    Ok(())
}

fn check_all(declared: &[Declared], base: Configuration) -> Result<Vec<Step<'_>>> {
    let mut after = base.clone();
    let mut steps = Vec::with_capacity(declared.len());
    for resource in declared {
        let change =
            Change { key: resource.key.clone(), action: Action::Put(resource.spec.clone()) };
        change.check(&after).map_err(|err| {
            let message = format!("{}, {}: {err}. Nothing was sent", resource.place, resource.key);
            Failure::bad_input(message)
        })?;
        after = after.with_change(base.revision(), &change);
        let current = base.get(&resource.key).map(|found| Resource::clone(found));
        steps.push(Step { declared: resource, current });
    }
    Ok(steps)
}

impl Step<'_> {
    fn current_spec(&self) -> Option<&Spec> {
        self.current.as_ref().map(|current| &current.spec)
    }

    fn is_unchanged(&self) -> bool {
        self.current_spec() == Some(&self.declared.spec)
    }

    /// Returns the version that the change replaces: the one given in the file, otherwise the one
    /// that was read. A concurrent change then causes a conflict and is not overwritten.
    fn version(&self) -> Revision {
        let current = self.current.as_ref().map_or(Revision::default(), |found| found.version);
        self.declared.version.unwrap_or(current)
    }
}

fn show_difference<W: Write>(cx: &mut Context<'_, W>, step: &Step<'_>) -> Result<()> {
    let outcome = match (&step.current, step.is_unchanged()) {
        (_, true) => "unchanged",
        (None, false) => "would be created",
        (Some(_), false) => "would be replaced",
    };
    report(cx, step, outcome, None)?;
    if cx.output == Output::Table && !step.is_unchanged() {
        let key = &step.declared.key;
        let diff = diffs::show(key, step.current_spec(), Some(&step.declared.spec))?;
        cx.line(diff.trim_end())?;
    }
    Ok(())
}

async fn execute<W: Write>(cx: &mut Context<'_, W>, step: &Step<'_>) -> Result<()> {
    if step.is_unchanged() {
        return report(cx, step, "unchanged", None);
    }
    let declared = step.declared;
    let answer = send(cx, &declared.key, Operation::Put(&declared.spec), step.version()).await?;
    let outcome = if step.current.is_some() { "replaced" } else { "created" };
    report(cx, step, outcome, Some(answer.revision))
}

fn report<W: Write>(
    cx: &mut Context<'_, W>,
    step: &Step<'_>,
    outcome: &'static str,
    revision: Option<Revision>,
) -> Result<()> {
    let key = step.declared.key.to_string();
    if cx.output == Output::Json {
        return cx.json_line(&Outcome { key, outcome, revision });
    }
    let at = revision.map(|revision| format!(" at {revision}")).unwrap_or_default();
    cx.line(format!("{key} {outcome}{at}"))
}
