//! What a resource waits for, on one screen.

use std::io::Write;

use anvilhook_api::{Observation, WhyAnswer};
use anvilhook_core::resources::{Condition, ConditionState};

use crate::arguments::{Output, WhyArgs};
use crate::diffs::to_yaml;
use crate::exits::Result;
use crate::{Shell, times};

/// Shows what is wanted of a resource, what is, and what it waits for and since when.
pub(crate) async fn run<W: Write>(shell: &mut Shell<'_, W>, args: &WhyArgs) -> Result<()> {
    let why = shell.client.why(&args.key).await?;
    if shell.output == Output::Json {
        return shell.json(&why);
    }
    show_wanted(shell, &why)?;
    show_observed(shell, &why.observed)?;
    show_waiting(shell, &why)
}

fn show_wanted<W: Write>(shell: &mut Shell<'_, W>, why: &WhyAnswer) -> Result<()> {
    shell.line(&why.key)?;
    match &why.wanted {
        None => shell.line("wanted: nothing; it was deleted")?,
        Some(wanted) => {
            shell.line(format!("wanted, version {}:", wanted.version.0))?;
            shell.line(indent(&to_yaml(&wanted.spec)?))?;
        }
    }
    if let Some(change) = &why.last_change {
        let at = times::show(change.at);
        shell
            .line(format!("declared by {} at {at} through {}", change.subject, change.instance))?;
    }
    Ok(())
}

fn show_observed<W: Write>(shell: &mut Shell<'_, W>, observed: &[Observation]) -> Result<()> {
    if observed.is_empty() {
        return shell.line("observed: nothing yet");
    }
    shell.line("observed:")?;
    for seen in observed {
        let state = match seen.condition.state {
            ConditionState::True => "holds",
            ConditionState::False => "does not hold",
            ConditionState::Unknown => "is not known",
        };
        let Condition { kind, since, message, .. } = &seen.condition;
        shell.line(format!("  {kind} {state} since {}: {message}", times::show(*since)))?;
    }
    Ok(())
}

fn show_waiting<W: Write>(shell: &mut Shell<'_, W>, why: &WhyAnswer) -> Result<()> {
    if let Some(missing) = &why.missing {
        return shell.line(format!("what it waits for cannot be read now: {missing}"));
    }
    if why.waiting.is_empty() && why.lagging.is_empty() {
        return shell.line("waits for: nothing");
    }
    shell.line("waits for:")?;
    for seen in &why.waiting {
        let (condition, since) = (&seen.condition, times::show(seen.condition.since));
        shell.line(format!("  {}: {}", condition.reason, condition.message))?;
        shell.line(format!("    since {since}, seen by {}", seen.observer))?;
    }
    for name in &why.lagging {
        shell
            .line(format!("  instance {name}, which has not reported this version in force yet"))?;
    }
    Ok(())
}

fn indent(text: &str) -> String {
    text.trim_end().lines().map(|line| format!("  {line}")).collect::<Vec<_>>().join("\n")
}
