//! The `why` subcommand: shows the conditions that a resource is waiting for.

use std::io::Write;

use anvilhook_api::{Observation, WhyAnswer};
use anvilhook_core::resources::{Condition, ConditionState};

use crate::arguments::{Output, WhyArgs};
use crate::diffs::to_yaml;
use crate::exits::Result;
use crate::{Context, times};

/// Shows a resource's declared and observed state, the conditions that it is waiting for, and since
/// when.
pub(crate) async fn run<W: Write>(cx: &mut Context<'_, W>, args: &WhyArgs) -> Result<()> {
    let why = cx.client.why(&args.key).await?;
    if cx.output == Output::Json {
        return cx.json(&why);
    }
    show_wanted(cx, &why)?;
    show_observed(cx, &why.observed)?;
    show_waiting(cx, &why)
}

fn show_wanted<W: Write>(cx: &mut Context<'_, W>, why: &WhyAnswer) -> Result<()> {
    cx.line(&why.key)?;
    match &why.wanted {
        None => cx.line("wanted: nothing; it was deleted")?,
        Some(wanted) => {
            cx.line(format!("wanted, version {}:", wanted.version.0))?;
            cx.line(indent(&to_yaml(&wanted.spec)?))?;
        }
    }
    if let Some(change) = &why.last_change {
        let at = times::show(change.at);
        cx.line(format!("declared by {} at {at} through {}", change.subject, change.instance))?;
    }
    Ok(())
}

fn show_observed<W: Write>(cx: &mut Context<'_, W>, observed: &[Observation]) -> Result<()> {
    if observed.is_empty() {
        return cx.line("observed: nothing yet");
    }
    cx.line("observed:")?;
    for observation in observed {
        let state = match observation.condition.state {
            ConditionState::True => "holds",
            ConditionState::False => "does not hold",
            ConditionState::Unknown => "is not known",
        };
        let Condition { kind, since, message, .. } = &observation.condition;
        cx.line(format!("  {kind} {state} since {}: {message}", times::show(*since)))?;
    }
    Ok(())
}

fn show_waiting<W: Write>(cx: &mut Context<'_, W>, why: &WhyAnswer) -> Result<()> {
    if let Some(missing) = &why.missing {
        return cx.line(format!("what it waits for cannot be read now: {missing}"));
    }
    if why.waiting.is_empty() && why.lagging.is_empty() {
        return cx.line("waits for: nothing");
    }
    cx.line("waits for:")?;
    for observation in &why.waiting {
        let (condition, since) = (&observation.condition, times::show(observation.condition.since));
        cx.line(format!("  {}: {}", condition.reason, condition.message))?;
        cx.line(format!("    since {since}, seen by {}", observation.observer))?;
    }
    for name in &why.lagging {
        cx.line(format!("  instance {name}, which has not reported this version in force yet"))?;
    }
    Ok(())
}

fn indent(text: &str) -> String {
    text.trim_end().lines().map(|line| format!("  {line}")).collect::<Vec<_>>().join("\n")
}
