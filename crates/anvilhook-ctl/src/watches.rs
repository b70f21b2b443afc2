//! Watching changes.

use std::io::Write;
use std::time::Duration;

use anvilhook_api::{Code, WatchEvent, WatchReader};
use anvilhook_core::resources::Kind;
use anvilhook_core::units::Revision;

use crate::Shell;
use crate::arguments::{Output, WatchArgs};
use crate::exits::{Failure, Result};

/// The pause before a watch that ended begins again.
const PAUSE: Duration = Duration::from_secs(1);

/// Shows changes until it has shown as many as asked for, beginning again where the last watch
/// ended.
pub(crate) async fn run<W: Write>(shell: &mut Shell<'_, W>, args: &WatchArgs) -> Result<()> {
    let from = match args.from {
        Some(from) => Revision(from),
        None => shell.client.configuration().await?.revision,
    };
    let mut progress = Progress { kind: args.kind, from, left: args.count };
    let mut has_watched = false;
    while progress.left != Some(0) {
        match shell.client.watch(progress.from).await {
            Ok(watch) => {
                has_watched = true;
                follow(shell, watch, &mut progress).await?;
            }
            Err(err) if err.code() == Some(Code::TooOld) => {
                start_anew(shell, &mut progress).await?
            }
            // The first try shows whether the arguments are right; later ones outlast a restart.
            Err(err) if !has_watched || err.code() == Some(Code::Unauthenticated) => {
                return Err(Failure::from(err));
            }
            Err(err) => shell.line(format!("# {err}; trying again from {}", progress.from))?,
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
    shell: &mut Shell<'_, W>,
    mut watch: WatchReader,
    progress: &mut Progress,
) -> Result<()> {
    while progress.left != Some(0) {
        match watch.next().await {
            Ok(Some(WatchEvent::TooOld { .. })) => return start_anew(shell, progress).await,
            Ok(Some(event)) => {
                progress.from = progress.from.max(event.revision());
                show(shell, &event, progress)?;
            }
            // The instance stopped or the connection broke; the next watch goes on from here.
            Ok(None) | Err(_) => return Ok(()),
        }
    }
    Ok(())
}

/// Skips the changes that are archived, and says so.
async fn start_anew<W: Write>(shell: &mut Shell<'_, W>, progress: &mut Progress) -> Result<()> {
    let now = shell.client.configuration().await?.revision;
    let from = progress.from;
    progress.from = now;
    let text = format!("# changes after {from} are archived (see: anvilhook audit); on from {now}");
    match shell.output {
        Output::Json => Ok(()),
        Output::Table => shell.line(text),
    }
}

fn show<W: Write>(
    shell: &mut Shell<'_, W>,
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
    match shell.output {
        Output::Json => shell.json_line(event),
        Output::Table => shell.line(format!("{} {} {key}", event.revision(), event.name())),
    }
}
