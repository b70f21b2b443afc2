//! Hints for the controller from the peer link.

use anvilhook_authority::{DrainHint, PeerHints, TermHint};
use anvilhook_peer::PeerHandle;

/// Returns the acknowledgements received over the peer link. They only save time; decisions are
/// based on the table.
pub fn peer_hints(link: &PeerHandle) -> PeerHints {
    let view = link.view();
    let mut hints = PeerHints::default();
    for (instance, received) in view.acks.iter() {
        hints.drains.extend(received.body.drains.iter().map(|ack| DrainHint {
            instance: instance.clone(),
            pool: ack.pool.clone(),
            engine: ack.engine.clone(),
            since: ack.generation,
        }));
        hints.terms.extend(received.body.terms.iter().map(|ack| TermHint {
            instance: instance.clone(),
            pool: ack.pool.clone(),
            term: ack.term,
        }));
    }
    hints
}
