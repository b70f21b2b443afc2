//! The `status` subcommand: shows instances, their revisions and lease holders.

use std::io::Write;

use anvilhook_api::{InstanceAnswer, LeaseAnswer};

use crate::arguments::Output;
use crate::exits::Result;
use crate::tables::{render, row};
use crate::{Context, times};

/// Shows the state of the system in the view of the called instance.
pub(crate) async fn run<W: Write>(cx: &mut Context<'_, W>) -> Result<()> {
    let status = cx.client.status().await?;
    if cx.output == Output::Json {
        return cx.json(&status);
    }
    let head = status.head.map_or_else(|| "unknown".to_owned(), |head| head.to_string());
    cx.line(format!(
        "asked {}, where {} is in force; last accepted: {head}",
        status.instance, status.in_force
    ))?;
    if let Some(missing) = &status.missing {
        return cx.line(format!("the rest cannot be read now: {missing}"));
    }
    let mut rows = vec![row(["INSTANCE", "ZONE", "PEER ADDRESS", "REVISION", "SINCE", "LAG"])];
    rows.extend(status.instances.iter().map(instance_row));
    cx.line(render(&rows))?;
    if status.leases.is_empty() {
        return Ok(());
    }
    let mut rows = vec![row(["POOL", "HOLDER", "TERM", "OPEN ORDERS", "UNCLEARED"])];
    rows.extend(status.leases.iter().map(lease_row));
    cx.line(format!("\n{}", render(&rows)))
}

fn instance_row(instance: &InstanceAnswer) -> [String; 6] {
    let lag = if instance.lag == 0 { "none".to_owned() } else { instance.lag.to_string() };
    [
        instance.name.to_string(),
        instance.zone.to_string(),
        instance.peer_address.to_string(),
        instance.revision.to_string(),
        times::show(instance.since),
        lag,
    ]
}

fn lease_row(lease: &LeaseAnswer) -> [String; 5] {
    let holder = lease.holder.as_ref().map_or("nobody", |holder| holder.as_str());
    let uncleared: Vec<&str> = lease.uncleared.iter().map(|name| name.as_str()).collect();
    [
        lease.pool.to_string(),
        holder.to_owned(),
        lease.term.0.to_string(),
        lease.open_orders.to_string(),
        uncleared.join(", "),
    ]
}
