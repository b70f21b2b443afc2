//! The `audit` subcommand: shows who changed which resource.

use std::io::Write;

use anvilhook_core::resources::{Action, AuditEntry};
use anvilhook_core::units::Revision;

use crate::arguments::{AuditArgs, Output};
use crate::exits::Result;
use crate::tables::{render, row};
use crate::{Context, times};

/// Shows a part of the audit trail, oldest first.
pub(crate) async fn run<W: Write>(cx: &mut Context<'_, W>, args: &AuditArgs) -> Result<()> {
    let page = cx.client.audit(args.from.map(Revision), args.limit).await?;
    if cx.output == Output::Json {
        return cx.json(&page);
    }
    if page.entries.is_empty() {
        return cx.line("there are no changes");
    }
    let mut rows = vec![row(["REVISION", "TIME", "SUBJECT", "ACTION", "RESOURCE", "INSTANCE"])];
    rows.extend(page.entries.iter().map(to_row));
    cx.line(render(&rows))
}

fn to_row(entry: &AuditEntry) -> [String; 6] {
    let action = match (&entry.change.action, &entry.before) {
        (Action::Put(_), None) => "create",
        (Action::Put(_), Some(_)) => "replace",
        (Action::Delete, _) => "delete",
    };
    [
        entry.revision.0.to_string(),
        times::show(entry.at),
        entry.subject.to_string(),
        action.to_owned(),
        entry.change.key.to_string(),
        entry.instance.to_string(),
    ]
}
