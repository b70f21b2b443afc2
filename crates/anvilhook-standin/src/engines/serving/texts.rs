//! The output text of a stand-in engine. It is derived from the prompt, so that checks detect an
//! answer to another prompt.

use anvilhook_core::units::Tokens;
use anvilhook_engine::wire::ChatMessage;
use sha2::{Digest, Sha256};

/// A multiplier that spreads the number of a token over all bits.
const SPREAD: u64 = 0x9e37_79b9_7f4a_7c15;

/// Returns a digest of the prompt.
pub fn prompt_digest(messages: &[ChatMessage]) -> u64 {
    let mut hasher = Sha256::new();
    for message in messages {
        for text in [&message.role, &message.content] {
            hasher.update((text.len() as u64).to_be_bytes());
            hasher.update(text.as_bytes());
        }
    }
    let digest = hasher.finalize();
    let mut first = [0; size_of::<u64>()];
    first.copy_from_slice(&digest[..size_of::<u64>()]);
    u64::from_be_bytes(first)
}

/// Returns the text that a stand-in engine generates for the prompt.
///
/// ```
/// use anvilhook_core::units::Tokens;
/// use anvilhook_engine::wire::ChatMessage;
/// use anvilhook_standin::engines::expected_output;
///
/// let ask = |text: &str| [ChatMessage { role: "user".to_owned(), content: text.to_owned() }];
/// let one = expected_output(&ask("one"), Tokens(8));
/// assert_ne!(one, expected_output(&ask("other"), Tokens(8)));
/// assert!(one.starts_with(&expected_output(&ask("one"), Tokens(3))));
/// ```
pub fn expected_output(messages: &[ChatMessage], output: Tokens) -> String {
    whole_text(prompt_digest(messages), output.0)
}

/// Returns the first `tokens` tokens of the output.
pub(super) fn whole_text(digest: u64, tokens: u64) -> String {
    (1..=tokens).map(|index| token_text(digest, index)).collect()
}

/// Returns one token of the output, numbered from 1.
pub(super) fn token_text(digest: u64, index: u64) -> String {
    let mixed = (digest ^ index.wrapping_mul(SPREAD)).wrapping_mul(SPREAD);
    format!("{:04x} ", mixed >> 48)
}
