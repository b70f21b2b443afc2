//! The `get` subcommand: shows resources.

use std::io::Write;

use anvilhook_core::resources::{ConditionState, Resource, ResourceKey};

use crate::Context;
use crate::arguments::{GetArgs, Output, Target};
use crate::exits::{Failure, Result};
use crate::tables::{render, row};

/// Shows all resources, the resources of a kind, or one resource.
pub(crate) async fn run<W: Write>(cx: &mut Context<'_, W>, args: &GetArgs) -> Result<()> {
    match &args.target {
        None => {
            let all = cx.client.configuration().await?;
            if cx.output == Output::Json {
                return cx.json(&all);
            }
            list(cx, &all.items)
        }
        Some(Target::Kind(kind)) => {
            let listed = cx.client.list(*kind).await?;
            if cx.output == Output::Json {
                return cx.json(&listed);
            }
            list(cx, &listed.items)?;
            match listed.status_missing {
                Some(reason) => cx.line(format!("status is missing: {reason}")),
                None => Ok(()),
            }
        }
        Some(Target::Key(key)) => show_one(cx, key).await,
    }
}

fn list<W: Write>(cx: &mut Context<'_, W>, resources: &[Resource]) -> Result<()> {
    if resources.is_empty() {
        return cx.line("there are none");
    }
    let mut rows = vec![row(["RESOURCE", "VERSION", "CONDITIONS"])];
    for resource in resources {
        let key = resource.key().to_string();
        rows.push([key, resource.version.0.to_string(), conditions(resource)]);
    }
    cx.line(render(&rows))
}

/// Returns a text with the conditions that hold, and the reasons for those that do not.
fn conditions(resource: &Resource) -> String {
    let shown = resource.status.iter().map(|condition| match condition.state {
        ConditionState::True => condition.kind.clone(),
        ConditionState::False => format!("not {}: {}", condition.kind, condition.reason),
        ConditionState::Unknown => format!("{}?: {}", condition.kind, condition.reason),
    });
    shown.collect::<Vec<_>>().join(", ")
}

/// Shows one resource in a format that can be applied again.
async fn show_one<W: Write>(cx: &mut Context<'_, W>, key: &ResourceKey) -> Result<()> {
    let resource = cx.client.get(key).await?;
    if cx.output == Output::Json {
        return cx.json(&resource);
    }
    let text = serde_saphyr::to_string(&resource).map_err(Failure::output)?;
    cx.line(text.trim_end())
}
