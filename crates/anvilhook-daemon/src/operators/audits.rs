//! Lists the audit trail.

use std::sync::Arc;

use anvilhook_api::AuditPage;
use anvilhook_core::units::Revision;
use anvilhook_platform::{ObjectStore, Table};

use super::endpoints::{Answer, Call, ok};
use super::leases::LeaseSource;
use super::{OperatorApi, refusals};

/// The number of entries in an answer if the caller sets no limit.
const DEFAULT_ENTRIES: usize = 50;

/// Answers with a part of the audit trail: the newest entries, unless the caller sets `from`.
pub(super) async fn list<T: Table, O: ObjectStore, L: LeaseSource>(
    api: Arc<OperatorApi<T, O, L>>,
    call: Call,
) -> Answer {
    let wanted = call.parameters.limit.unwrap_or(DEFAULT_ENTRIES);
    let limit = wanted.clamp(1, api.options.max_audit_entries);
    let from = match call.parameters.from {
        Some(from) => from,
        None => {
            let head = api.follower.store().head().await.map_err(refusals::of_read)?;
            let newest = head.map_or(0, |head| head.revision.0);
            newest.saturating_sub(limit as u64) + 1
        }
    };
    let entries = api.archive.list(Revision(from), limit).await.map_err(refusals::of_read)?;
    let next = entries.last().map(|last| Revision(last.revision.0 + 1));
    Ok(ok(&AuditPage { entries, next }))
}
