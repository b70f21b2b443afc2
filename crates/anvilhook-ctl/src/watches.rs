//! Watching changes.

use std::io::Write;
use std::time::Duration;

use anvilhook_api::{Code, WatchEvent, WatchReader};
use anvilhook_core::resources::Kind;
use anvilhook_core::units::Revision;

use crate::Context;
use crate::arguments::{Output, WatchArgs};
use crate::exits::{Failure, Result};

/// The pause before a watch that ended begins again.
const PAUSE: Duration = Duration::from_secs(1);

/// Shows changes until it has shown as many as asked for, beginning again where the last watch
/// ended.
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
            Err(err) if err.code() == Some(Code::TooOld) => start_anew(cx, &mut progress).await?,
            // The first try shows whether the arguments are right; later ones outlast a restart.
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

/// `Progress` is how far a watch has come.
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
            Ok(Some(WatchEvent::TooOld { .. })) => return start_anew(cx, progress).await,
            Ok(Some(event)) => {
                progress.from = progress.from.max(event.revision());
                show(cx, &event, progress)?;
            }
            // The instance stopped or the connection broke; the next watch goes on from here.
            Ok(None) | Err(_) => return Ok(()),
        }
    }
    Ok(())
}

/// Skips the changes that are archived, and says so.
async fn start_anew<W: Write>(cx: &mut Context<'_, W>, progress: &mut Progress) -> Result<()> {
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
