//! The running name of an instance.

use anvilhook_core::names::InstanceName;
use rand::{Rng, RngExt};

/// The number of characters of the random part.
pub const SUFFIX_LEN: usize = 8;

const ALPHABET: &[u8; 32] = b"abcdefghijklmnopqrstuvwxyz234567";

/// Draws the name of a process that starts now.
///
/// A restarted process must never be taken for the one before it: its predecessor may have left
/// claims, leases and acknowledgements behind that it knows nothing of. Hence each start draws a
/// new name.
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
/// `Error::BadName` if the prefix breaks the rule of names or leaves no room.
pub fn running_name(prefix: &str, rng: &mut impl Rng) -> anvilhook_core::Result<InstanceName> {
    let mut name = format!("{prefix}-");
    for _ in 0..SUFFIX_LEN {
        let index = rng.random_range(0..ALPHABET.len());
        name.push(char::from(ALPHABET[index]));
    }
    InstanceName::try_new(&name)
}
