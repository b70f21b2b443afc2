//! The ledger of the calls that a plain service ran.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use anvilhook_core::attempts::AttemptId;
use anvilhook_core::units::Millis;
use sha2::{Digest, Sha256};

/// Returns a digest of a call's body.
pub fn body_digest(body: &[u8]) -> u64 {
    let digest = Sha256::digest(body);
    let mut first = [0; size_of::<u64>()];
    first.copy_from_slice(&digest[..size_of::<u64>()]);
    u64::from_be_bytes(first)
}

/// `Run` records one call that the service ran.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Run {
    /// The attempt that sent the call.
    pub attempt: AttemptId,
    /// The caller's idempotency key, if the call had one.
    pub key: Option<String>,
    /// The method and the path.
    pub call: String,
    /// The digest of the body; see `body_digest`.
    pub body: u64,
    /// When the call ran.
    pub at: Millis,
}

/// `RunLedger` records and counts runs. Clones share the records, so that all upstreams of one
/// service can use the same ledger.
///
/// ```
/// use anvilhook_core::attempts::AttemptId;
/// use anvilhook_core::units::Millis;
/// use anvilhook_standin::plain::{Run, RunLedger, body_digest};
///
/// let ledger = RunLedger::default();
/// let run = Run {
///     attempt: AttemptId(1),
///     key: Some("paddle-12".to_owned()),
///     call: "POST /records".to_owned(),
///     body: body_digest(b"sold"),
///     at: Millis::ZERO,
/// };
/// ledger.push(run.clone());
/// ledger.push(Run { attempt: AttemptId(2), ..run });
/// assert_eq!(ledger.runs_of_key("paddle-12"), 2);
/// assert_eq!(ledger.runs_of_body(b"sold"), 2);
/// ```
#[derive(Clone, Debug, Default)]
pub struct RunLedger {
    runs: Arc<Mutex<Runs>>,
}

#[derive(Debug, Default)]
struct Runs {
    all: Vec<Run>,
    by_key: HashMap<String, usize>,
    by_body: HashMap<u64, usize>,
}

impl RunLedger {
    /// Records a run and returns the number of runs so far.
    pub fn push(&self, run: Run) -> usize {
        let mut runs = self.runs();
        if let Some(key) = &run.key {
            *runs.by_key.entry(key.clone()).or_default() += 1;
        }
        *runs.by_body.entry(run.body).or_default() += 1;
        runs.all.push(run);
        runs.all.len()
    }

    /// Returns all runs in order.
    pub fn all(&self) -> Vec<Run> {
        self.runs().all.clone()
    }

    /// Returns how often calls with this idempotency key ran.
    pub fn runs_of_key(&self, key: &str) -> usize {
        self.runs().by_key.get(key).copied().unwrap_or_default()
    }

    /// Returns how often calls with this body ran.
    pub fn runs_of_body(&self, body: &[u8]) -> usize {
        self.runs().by_body.get(&body_digest(body)).copied().unwrap_or_default()
    }

    fn runs(&self) -> MutexGuard<'_, Runs> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
