//! Estimates a prompt's length and computes its prefix blocks without the engine's tokenizer.
//!
//! Both sides of the binding use this module, so that the block hashes in an engine's cache events
//! match those computed from a request.

use anvilhook_core::reports::{PREFIX_BLOCK_TOKENS, PrefixHash};
use anvilhook_core::units::Tokens;
use sha2::{Digest, Sha256};

use crate::wire::ChatMessage;

/// The number of bytes of text that count as one token.
pub const BYTES_PER_TOKEN: u64 = 4;

/// The number of bytes of text in one prefix block.
const BLOCK_BYTES: usize = (PREFIX_BLOCK_TOKENS * BYTES_PER_TOKEN) as usize;

/// Terminates a message's role and its text. In practice neither contains this byte.
const SEPARATOR: u8 = 0;

/// Estimates the length of a prompt in tokens. The result is at least one.
///
/// ```
/// use anvilhook_core::units::Tokens;
/// use anvilhook_engine::prompts::prompt_tokens;
/// use anvilhook_engine::wire::ChatMessage;
///
/// let message = ChatMessage { role: "user".to_owned(), content: "Is it warm?".to_owned() };
/// assert_eq!(prompt_tokens(&[message]), Tokens(3));
/// ```
pub fn prompt_tokens(messages: &[ChatMessage]) -> Tokens {
    let bytes: u64 = messages.iter().map(|message| message.content.len() as u64).sum();
    Tokens(bytes.div_ceil(BYTES_PER_TOKEN).max(1))
}

/// Returns the hashes of a prompt's complete blocks. Two prompts with N identical leading blocks have
/// N identical leading hashes.
///
/// ```
/// use anvilhook_engine::prompts::prefix_blocks;
/// use anvilhook_engine::wire::ChatMessage;
///
/// let manual = ChatMessage { role: "system".to_owned(), content: "Wash hands. ".repeat(200) };
/// let ask = |text: &str| ChatMessage { role: "user".to_owned(), content: text.to_owned() };
/// let one = prefix_blocks(&[manual.clone(), ask("Is the fridge cold enough?")]);
/// let other = prefix_blocks(&[manual, ask("Which sink is for fish?")]);
/// assert_eq!(one.len(), 2);
/// assert_eq!(one, other);
/// ```
pub fn prefix_blocks(messages: &[ChatMessage]) -> Vec<PrefixHash> {
    let mut blocks = Vec::new();
    let mut chain = BlockChain { hasher: Sha256::new(), filled: 0 };
    for message in messages {
        chain.push(message.role.as_bytes(), &mut blocks);
        chain.push(&[SEPARATOR], &mut blocks);
        chain.push(message.content.as_bytes(), &mut blocks);
        chain.push(&[SEPARATOR], &mut blocks);
    }
    blocks
}

/// `BlockChain` computes chained block hashes: each hash covers all the text up to the block's end.
struct BlockChain {
    hasher: Sha256,
    filled: usize,
}

impl BlockChain {
    fn push(&mut self, mut text: &[u8], blocks: &mut Vec<PrefixHash>) {
        while !text.is_empty() {
            let piece = text.len().min(BLOCK_BYTES - self.filled);
            self.hasher.update(&text[..piece]);
            self.filled += piece;
            text = &text[piece..];
            if self.filled == BLOCK_BYTES {
                // Chains the blocks: the next block's hash starts with this block's digest.
                let digest = self.hasher.finalize_reset();
                self.hasher.update(digest);
                self.filled = 0;
                let mut first = [0; size_of::<u64>()];
                first.copy_from_slice(&digest[..size_of::<u64>()]);
                blocks.push(PrefixHash(u64::from_be_bytes(first)));
            }
        }
    }
}
