//! The `watch` subcommand: shows changes as they are accepted.

use std::io::Write;
use std::time::Duration;

use anvilhook_api::{Code, WatchEvent, WatchReader};
use anvilhook_core::resources::Kind;
use anvilhook_core::units::Revision;

use crate::Context;
use crate::arguments::{Output, WatchArgs};
use crate::exits::{Failure, Result};

/// The pause before a watch that has ended is started again.
const PAUSE: Duration = Duration::from_secs(1);

/// Shows changes until the requested number has been shown. A watch that ends is started again from
/// the last revision.
pub(crate) async fn run<W: Write>(cx: &mut Context<'_, W>, args: &WatchArgs) -> Result<()> {
    let from = match args.from {
        Some(from) => Revision(from),
        None => cx.client.configuration().await?.revision,
    };
    let mut progress = Progress { kind: args.kind, from, left: args.count };
    let mut has_watched = false;
    while progress.left != Some(0) {
        match cx.client.watch(progress.from).await {
            Ok(watch) => {
                has_watched = true;
                follow(cx, watch, &mut progress).await?;
            }
            Err(err) if err.code() == Some(Code::TooOld) => {
                skip_archived(cx, &mut progress).await?
            }
            // A failure of the first watch may be caused by wrong arguments and ends the command.
            // Later failures are retried, so that the command survives a restart of the instance.
            Err(err) if !has_watched || err.code() == Some(Code::Unauthenticated) => {
                return Err(Failure::from(err));
            }
            Err(err) => cx.line(format!("# {err}; trying again from {}", progress.from))?,
        }
        if progress.left != Some(0) {
            tokio::time::sleep(PAUSE).await;
        }
    }
    Ok(())
}

/// `Progress` is the state of the watch between connections.
struct Progress {
    kind: Option<Kind>,
    from: Revision,
    left: Option<u64>,
}

async fn follow<W: Write>(
    cx: &mut Context<'_, W>,
    mut watch: WatchReader,
    progress: &mut Progress,
) -> Result<()> {
    while progress.left != Some(0) {
        match watch.next().await {
            Ok(Some(WatchEvent::TooOld { .. })) => return skip_archived(cx, progress).await,
            Ok(Some(event)) => {
                progress.from = progress.from.max(event.revision());
                show(cx, &event, progress)?;
            }
            // The instance stopped or the connection failed; the next watch continues from here.
            Ok(None) | Err(_) => return Ok(()),
        }
    }
    Ok(())
}

/// Skips the archived changes and prints a note about it.
async fn skip_archived<W: Write>(cx: &mut Context<'_, W>, progress: &mut Progress) -> Result<()> {
    let now = cx.client.configuration().await?.revision;
    let from = progress.from;
    progress.from = now;
    let text = format!("# changes after {from} are archived (see: anvilhook audit); on from {now}");
    match cx.output {
        Output::Json => Ok(()),
        Output::Table => cx.line(text),
    }
}

fn show<W: Write>(
    cx: &mut Context<'_, W>,
    event: &WatchEvent,
    progress: &mut Progress,
) -> Result<()> {
    let key = match event {
        WatchEvent::Put { resource, .. } => resource.key(),
        WatchEvent::Delete { key, .. } => key.clone(),
        WatchEvent::Bookmark { .. } | WatchEvent::TooOld { .. } => return Ok(()),
    };
    if progress.kind.is_some_and(|kind| kind != key.kind) {
        return Ok(());
    }
    progress.left = progress.left.map(|left| left - 1);
    match cx.output {
        Output::Json => cx.json_line(event),
        Output::Table => cx.line(format!("{} {} {key}", event.revision(), event.name())),
    }
}
