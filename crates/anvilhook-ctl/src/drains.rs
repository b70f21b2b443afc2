//! The `drain` subcommand: declares a plan that takes engines out of service.

use std::io::Write;

use anvilhook_core::names::ResourceName;
use anvilhook_core::resources::{DrainPlanSpec, DrainTarget, Kind, ResourceKey, Spec};
use anvilhook_core::units::{Millis, Revision};
use rand::Rng;

use crate::Context;
use crate::arguments::{DrainArgs, Output};
use crate::changes::{Operation, send};
use crate::exits::{Failure, Result};

/// Declares a drain plan.
pub(crate) async fn run<W: Write>(cx: &mut Context<'_, W>, args: &DrainArgs) -> Result<()> {
    let target = match (&args.engine[..], &args.zone[..]) {
        ([], []) => return Err(Failure::bad_input("give --engine or --zone at least once")),
        (engines, []) => DrainTarget::Engines(engines.to_vec()),
        ([], zones) => DrainTarget::Zones(zones.to_vec()),
        _ => return Err(Failure::bad_input("give either --engine or --zone, not both")),
    };
    let spec = Spec::DrainPlan(DrainPlanSpec {
        pool: args.pool.clone(),
        target,
        max_at_once: args.max_at_once,
        pace_ms: Millis(args.pace_ms),
        min_serving: args.min_serving,
    });
    let name = match &args.name {
        Some(name) => name.clone(),
        None => generate_name(cx)?,
    };
    let key = ResourceKey { kind: Kind::DrainPlan, name };
    let answer = send(cx, &key, Operation::Put(&spec), Revision::default()).await?;
    match cx.output {
        Output::Json => cx.json(&answer),
        Output::Table => {
            cx.line(format!("{key} created at {}", answer.revision))?;
            cx.line(format!("see how it goes with: anvilhook why {key}"))?;
            cx.line(format!("put the engines back with: anvilhook delete {key}"))
        }
    }
}

fn generate_name<W: Write>(cx: &mut Context<'_, W>) -> Result<ResourceName> {
    let name = ResourceName::try_new(&format!("drain-{:08x}", cx.rng.next_u32()));
    name.map_err(|err| Failure::bad_input(err.to_string()))
}
