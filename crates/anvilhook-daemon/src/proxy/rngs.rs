//! Provides each request with its own random generator, without a shared lock.

use std::sync::atomic::{AtomicU64, Ordering};

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// `RequestRngs` creates random generators that share a seed and differ in their stream.
///
/// Request and attempt ids are drawn from them, so in production the seed must come from the
/// operating system: two instances with the same seed would generate the same ids.
#[derive(Debug)]
pub struct RequestRngs {
    seed: [u8; 32],
    next_stream: AtomicU64,
}

impl RequestRngs {
    /// Creates a source of generators with the given seed.
    pub fn new(seed: [u8; 32]) -> Self {
        Self { seed, next_stream: AtomicU64::new(0) }
    }

    /// Returns a generator with a stream of its own.
    ///
    /// ```
    /// use anvilhook_daemon::proxy::RequestRngs;
    /// use rand::Rng;
    ///
    /// let rngs = RequestRngs::new([7; 32]);
    /// assert_ne!(rngs.next().next_u64(), rngs.next().next_u64());
    /// ```
    #[allow(clippy::should_implement_trait, reason = "a shared source is no iterator")]
    pub fn next(&self) -> ChaCha8Rng {
        let mut rng = ChaCha8Rng::from_seed(self.seed);
        rng.set_stream(self.next_stream.fetch_add(1, Ordering::Relaxed));
        rng
    }
}
