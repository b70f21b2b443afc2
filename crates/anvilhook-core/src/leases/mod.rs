//! Leases: how long an instance may act on what the table says that it holds.
//!
//! An instance renews one row, its session, whatever it holds. The rows of the pools point to the
//! session of their holder. No time of day is stored: a row carries a length, the holder counts it
//! from before it sent the renewal, and a challenger counts it anew on its own clock from when it
//! first saw the row as it stands.
//!
//! Why a challenger never ends a session that its holder still trusts: the renewal that wrote the
//! row was sent before the challenger saw it, so the holder's time began earlier than the
//! challenger's; the challenger waits longer by the stated bound on clock rates; and it ends the
//! session by compare-and-set, which fails if another renewal has come between.

mod options;
mod sessions;
mod watches;

pub use options::LeaseOptions;
pub use sessions::{OwnSession, SessionRef, SessionRow, SessionStatus};
pub use watches::Watch;
