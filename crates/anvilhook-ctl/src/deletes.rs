//! Deleting a resource.

use std::io::Write;

use anvilhook_core::units::Revision;

use crate::Shell;
use crate::arguments::{DeleteArgs, Output};
use crate::changes::{Wish, send};
use crate::exits::Result;

/// Deletes a resource at the version given, or at the one that stands now.
pub(crate) async fn run<W: Write>(shell: &mut Shell<'_, W>, args: &DeleteArgs) -> Result<()> {
    let version = match args.version {
        Some(version) => Revision(version),
        None => shell.client.get(&args.key).await?.version,
    };
    let answer = send(shell, &args.key, Wish::Delete, version).await?;
    match shell.output {
        Output::Json => shell.json(&answer),
        Output::Table => shell.line(format!("{} deleted at {}", args.key, answer.revision)),
    }
}
