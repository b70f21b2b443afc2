//! Generates an instance's running name and its random generator.

use anvilhook_core::names::InstanceName;
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sha2::{Digest, Sha256};

/// The number of characters in the random suffix.
pub const SUFFIX_LEN: usize = 8;

const ALPHABET: &[u8; 32] = b"abcdefghijklmnopqrstuvwxyz234567";

/// Draws a new name for a starting process.
///
/// Each start draws a new name, because a restarted process must never be mistaken for its
/// predecessor, which may have left claims, leases and acknowledgements that the new process knows
/// nothing about.
///
/// ```
/// use anvilhook_daemon::names::running_name;
/// use rand::SeedableRng;
///
/// let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(1);
/// let first = running_name("entry", &mut rng).unwrap();
/// let second = running_name("entry", &mut rng).unwrap();
/// assert!(first.as_str().starts_with("entry-"));
/// assert_ne!(first, second);
/// ```
///
/// # Errors
///
/// `Error::BadName` if the prefix is not valid in a name or is too long for the suffix to fit.
pub fn running_name(prefix: &str, rng: &mut impl Rng) -> anvilhook_core::Result<InstanceName> {
    let mut name = format!("{prefix}-");
    for _ in 0..SUFFIX_LEN {
        let index = rng.random_range(0..ALPHABET.len());
        name.push(char::from(ALPHABET[index]));
    }
    InstanceName::try_new(&name)
}

/// Returns the generator for all random choices of an instance: `rng` with the instance's running
/// name mixed in.
///
/// Attempt ids are drawn from it. Without the name, two instances with the same seed would draw the
/// same ids, and each would take the other's claim for its own, so that a request that must run
/// once would run twice.
///
/// ```
/// use anvilhook_core::names::InstanceName;
/// use anvilhook_daemon::names::own_generator;
/// use rand::{Rng, SeedableRng};
///
/// let draw = |name| {
///     let mut seeded = rand_chacha::ChaCha8Rng::seed_from_u64(1);
///     own_generator(&InstanceName::try_new(name).unwrap(), &mut seeded).next_u64()
/// };
/// assert_ne!(draw("entry-a"), draw("entry-b"));
/// assert_eq!(draw("entry-a"), draw("entry-a"));
/// ```
pub fn own_generator(name: &InstanceName, rng: &mut impl Rng) -> ChaCha8Rng {
    let drawn: [u8; 32] = rng.random();
    let mixed = Sha256::new().chain_update(drawn).chain_update(name.as_str());
    ChaCha8Rng::from_seed(mixed.finalize().into())
}
