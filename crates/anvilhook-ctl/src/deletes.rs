//! The `delete` subcommand: deletes a resource.

use std::io::Write;

use anvilhook_core::units::Revision;

use crate::Context;
use crate::arguments::{DeleteArgs, Output};
use crate::changes::{Operation, send};
use crate::exits::Result;

/// Deletes a resource at the given version, or at its current one.
pub(crate) async fn run<W: Write>(cx: &mut Context<'_, W>, args: &DeleteArgs) -> Result<()> {
    let version = match args.version {
        Some(version) => Revision(version),
        None => cx.client.get(&args.key).await?.version,
    };
    let answer = send(cx, &args.key, Operation::Delete, version).await?;
    match cx.output {
        Output::Json => cx.json(&answer),
        Output::Table => cx.line(format!("{} deleted at {}", args.key, answer.revision)),
    }
}
