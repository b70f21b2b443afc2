//! Leases: how long an instance may rely on the table's record of what it holds.
//!
//! An instance renews only one row, its session, however many pools it holds. The rows of the pools
//! point to the session of their holder. No time of day is stored: a row contains a length. The holder
//! counts it from before it sent the renewal, and a challenger counts it on its own clock from when it
//! first saw the row in its current state.
//!
//! A challenger never ends a session that its holder still relies on. The renewal that wrote the row was
//! sent before the challenger saw it, so the holder's time began earlier than the challenger's. The
//! challenger waits longer by the configured bound on clock rates. It ends the session by
//! compare-and-set, which fails if another renewal was written meanwhile.

mod options;
mod sessions;
mod watches;

pub use options::LeaseOptions;
pub use sessions::{OwnSession, SessionRef, SessionRow, SessionStatus};
pub use watches::Watch;
