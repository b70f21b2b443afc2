//! What the authority over engines takes from the peer link.

use anvilhook_authority::{DrainHint, PeerHints, TermHint};
use anvilhook_peer::PeerHandle;

/// Returns the acknowledgements that have come over the link. They save time and decide nothing.
pub fn peer_hints(link: &PeerHandle) -> PeerHints {
    let news = link.view();
    let mut hints = PeerHints::default();
    for (instance, heard) in news.acks.iter() {
        hints.drains.extend(heard.body.drains.iter().map(|ack| DrainHint {
            instance: instance.clone(),
            pool: ack.pool.clone(),
            engine: ack.engine.clone(),
            since: ack.generation,
        }));
        hints.terms.extend(heard.body.terms.iter().map(|ack| TermHint {
            instance: instance.clone(),
            pool: ack.pool.clone(),
            term: ack.term,
        }));
    }
    hints
}
