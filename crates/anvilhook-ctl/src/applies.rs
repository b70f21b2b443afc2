//! Declaring the resources of files.

use std::io::Write;

use anvilhook_core::resources::{Action, Change, Configuration, Resource, Spec};
use anvilhook_core::units::Revision;
use serde::Serialize;

use crate::arguments::{ApplyArgs, Output};
use crate::changes::{Operation, send};
use crate::documents::{Declared, read_all};
use crate::exits::{Failure, Result};
use crate::{Context, diffs};

/// `Outcome` is what became of one resource.
#[derive(Serialize)]
struct Outcome {
    key: String,
    outcome: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    revision: Option<Revision>,
}

/// `Step` is one resource that differs from what stands.
struct Step<'a> {
    declared: &'a Declared,
    standing: Option<Resource>,
}

/// Declares the resources, or shows what would change.
///
/// Everything is checked against the whole configuration before anything is sent, so that a mistake
/// in the last document does not leave the first ones changed.
pub(crate) async fn run<W: Write>(cx: &mut Context<'_, W>, args: &ApplyArgs) -> Result<()> {
    let declared = read_all(&args.file)?;
    let listed = cx.client.configuration().await?;
    let base = Configuration::new(listed.revision, listed.items);
    let steps = check_all(&declared, base)?;
    for step in &steps {
        if args.dry_run {
            show_difference(cx, step)?;
        } else {
            carry_out(cx, step).await?;
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
        let standing = base.get(&resource.key).map(|found| Resource::clone(found));
        steps.push(Step { declared: resource, standing });
    }
    Ok(steps)
}

impl Step<'_> {
    fn standing_spec(&self) -> Option<&Spec> {
        self.standing.as_ref().map(|standing| &standing.spec)
    }

    fn is_unchanged(&self) -> bool {
        self.standing_spec() == Some(&self.declared.spec)
    }

    /// Returns the version that the change replaces: what the file says, else what was read. A
    /// change by someone else in between is then a conflict and not undone.
    fn version(&self) -> Revision {
        let standing = self.standing.as_ref().map_or(Revision::default(), |found| found.version);
        self.declared.version.unwrap_or(standing)
    }
}

fn show_difference<W: Write>(cx: &mut Context<'_, W>, step: &Step<'_>) -> Result<()> {
    let outcome = match (&step.standing, step.is_unchanged()) {
        (_, true) => "unchanged",
        (None, false) => "would be created",
        (Some(_), false) => "would be replaced",
    };
    report(cx, step, outcome, None)?;
    if cx.output == Output::Table && !step.is_unchanged() {
        let key = &step.declared.key;
        let diff = diffs::show(key, step.standing_spec(), Some(&step.declared.spec))?;
        cx.line(diff.trim_end())?;
    }
    Ok(())
}

async fn carry_out<W: Write>(cx: &mut Context<'_, W>, step: &Step<'_>) -> Result<()> {
    if step.is_unchanged() {
        return report(cx, step, "unchanged", None);
    }
    let declared = step.declared;
    let answer = send(cx, &declared.key, Operation::Put(&declared.spec), step.version()).await?;
    let outcome = if step.standing.is_some() { "replaced" } else { "created" };
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
