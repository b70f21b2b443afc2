//! Moving old audit entries out of the table, by whichever instance comes first.

use anvilhook_core::units::Millis;
use anvilhook_platform::{ObjectStore, Table};
use anvilhook_store::{ArchiveStep, AuditArchive};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::tasks::rest;
use crate::operators::system_wall_time;

/// The mean time between two looks of one instance for what is old enough. Each look costs three
/// reads, so that even hundreds of instances read about twice a second in all.
const MEAN_PAUSE: Millis = Millis::from_secs(600);

/// Archives and prunes what is old enough, again and again.
pub(super) async fn keep_archiving<T: Table, O: ObjectStore>(
    archive: AuditArchive<T, O>,
    mut rng: ChaCha8Rng,
) {
    loop {
        // Instances that were started together would otherwise look at the same moment for good.
        rest(Millis(rng.random_range(MEAN_PAUSE.0 / 2..MEAN_PAUSE.0 * 3 / 2))).await;
        while let Some(step) = archive_once(&archive).await {
            log::info!("audit trail: {step:?}");
        }
    }
}

/// Does one step, and returns it if there may be another one.
async fn archive_once<T: Table, O: ObjectStore>(
    archive: &AuditArchive<T, O>,
) -> Option<ArchiveStep> {
    match archive.step(system_wall_time()).await {
        Ok(ArchiveStep::Idle | ArchiveStep::Overtaken) => None,
        Ok(step) => Some(step),
        Err(err) => {
            // The next look goes on where this one ended.
            log::warn!("the audit trail cannot be archived now: {err}");
            None
        }
    }
}
