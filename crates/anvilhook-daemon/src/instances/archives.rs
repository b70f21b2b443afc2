//! Moves old audit entries from the table to the archive. Any instance may do each step.

use anvilhook_core::units::Millis;
use anvilhook_platform::{ObjectStore, Table};
use anvilhook_store::{ArchiveStep, AuditArchive};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::tasks::sleep_for;
use crate::operators::system_wall_time;

/// The mean time between two checks by one instance for entries that are old enough. Each check
/// costs three reads, so even hundreds of instances together read only about twice a second.
const MEAN_PAUSE: Millis = Millis::from_secs(600);

/// Archives and prunes entries that are old enough, until it is dropped.
pub(super) async fn run_archiving<T: Table, O: ObjectStore>(
    archive: AuditArchive<T, O>,
    mut rng: ChaCha8Rng,
) {
    loop {
        // Without random pauses, instances that started together would always check together.
        sleep_for(Millis(rng.random_range(MEAN_PAUSE.0 / 2..MEAN_PAUSE.0 * 3 / 2))).await;
        while let Some(step) = archive_once(&archive).await {
            log::info!("audit trail: {step:?}");
        }
    }
}

/// Does one step, and returns it if there may be a further one.
async fn archive_once<T: Table, O: ObjectStore>(
    archive: &AuditArchive<T, O>,
) -> Option<ArchiveStep> {
    match archive.step(system_wall_time()).await {
        Ok(ArchiveStep::Idle | ArchiveStep::Overtaken) => None,
        Ok(step) => Some(step),
        Err(err) => {
            // The next check continues where this one ended.
            log::warn!("failed to archive the audit trail: {err}");
            None
        }
    }
}
