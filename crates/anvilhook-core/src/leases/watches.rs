//! Watches another instance's session on behalf of a challenger.

use super::{LeaseOptions, SessionRow};
use crate::units::Millis;

/// `Watch` measures how long a session's row has not changed, on the watcher's own clock.
///
/// ```
/// use anvilhook_core::leases::{LeaseOptions, OwnSession, Watch};
/// use anvilhook_core::names::InstanceName;
/// use anvilhook_core::units::Millis;
///
/// let options = LeaseOptions::default();
/// let name = InstanceName::try_new("entry-1")?;
/// let row = OwnSession::new(name, options.length_ms, None).begin(Millis(0));
/// let mut watch = Watch::default();
/// assert!(!watch.observe(&row, 1, Millis(100), &options));
/// assert!(!watch.observe(&row, 1, Millis(9_100), &options));
/// assert!(watch.observe(&row, 1, Millis(9_611), &options));
/// # Ok::<(), anvilhook_core::Error>(())
/// ```
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct Watch {
    seen: Option<Seen>,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Seen {
    version: u64,
    row: SessionRow,
    since: Millis,
}

impl Watch {
    /// Records the row that was read and returns whether the session has lapsed, so that it may be
    /// ended by compare-and-set at this version.
    ///
    /// `read_at` is a time after the answer arrived. A time before the read was sent would be unsafe:
    /// the holder may have renewed in between, and its lease would outlast the wait.
    pub fn observe(
        &mut self,
        row: &SessionRow,
        version: u64,
        read_at: Millis,
        options: &LeaseOptions,
    ) -> bool {
        if row.ended {
            return true;
        }
        let unchanged =
            self.seen.as_ref().filter(|seen| seen.version == version && seen.row == *row);
        let Some(seen) = unchanged else {
            self.seen = Some(Seen { version, row: row.clone(), since: read_at });
            return false;
        };
        read_at >= seen.since + options.challenge_after(row.length)
    }

    /// Discards the recorded row.
    pub fn reset(&mut self) {
        self.seen = None;
    }
}
