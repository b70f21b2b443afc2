//! Which updates about prompts that engines have read are published, and when.

use anvilhook_core::units::Millis;
use anvilhook_gateway::peers::{CacheUpdates, CachedPrompt};

const NOW: Millis = Millis(5_000);

fn prompt(engine: u32, part: u64, own_tokens: u32) -> CachedPrompt {
    CachedPrompt { engine, parts: vec![(part, 5_000)], own_tokens }
}

fn own_tokens(digests: &[Vec<CachedPrompt>]) -> u32 {
    digests.iter().flatten().map(|cached| cached.own_tokens).sum()
}

/// Symptom: instances of other availability zones assume that engines still have evicted parts.
/// Sequence: an engine reads prompts that all begin with a part that was just published.
/// Cause: the other tokens of these prompts evict parts, so they must be published too, if later.
#[test]
fn verify_no_tokens_are_lost_where_a_part_is_not_resent() {
    let mut updates = CacheUpdates::default();
    updates.add(&prompt(1, 7, 300));
    assert_eq!(updates.take(4, NOW), [[prompt(1, 7, 300)]]);

    updates.add(&prompt(1, 7, 200));
    updates.add(&prompt(1, 7, 100));
    assert!(updates.take(4, NOW + Millis(100)).is_empty());
    let later = updates.take(4, NOW + Millis(1_000));

    assert_eq!(own_tokens(&later), 300);
    assert!(updates.take(4, NOW + Millis(2_000)).is_empty());
}

/// Symptom: other availability zones assume that an engine has evicted a part that it uses
/// constantly.
/// Sequence: prompts with the part are read within the resend interval and after it.
/// Cause: the sender must resend parts periodically, also because datagrams get lost.
#[test]
fn verify_a_part_is_resent_after_a_while() {
    let mut updates = CacheUpdates::default();
    updates.add(&prompt(1, 7, 0));
    updates.take(4, NOW);
    updates.add(&prompt(1, 7, 0));
    assert!(updates.take(4, NOW + Millis(999)).is_empty());

    updates.add(&prompt(1, 7, 0));

    assert_eq!(updates.take(4, NOW + Millis(1_001)), [[prompt(1, 7, 0)]]);
}

/// Symptom: digests exceed the size that a link carries in one packet, and none of them arrives.
/// Sequence: after the loss of all instances, many parts of one engine and one part of each of many
/// engines are published.
/// Cause: updates that do not fit must wait for the next digests, and all must be sent in the end.
#[test]
fn verify_many_updates_are_sent_in_small_digests() {
    let mut updates = CacheUpdates::default();
    let parts = (0..500).map(|part| (u64::MAX - part, 5_000)).collect();
    updates.add(&CachedPrompt { engine: u32::MAX, parts, own_tokens: u32::MAX });
    (0..600).for_each(|engine| updates.add(&prompt(u32::MAX - 1 - engine, u64::MAX, u32::MAX)));

    let mut sent = 0;
    for tick in 0..20 {
        let digests = updates.take(4, NOW + Millis(tick * 40));
        assert!(digests.len() <= 4);
        for digest in &digests {
            let len = postcard::to_stdvec(digest).expect("it can be written").len();
            assert!(len <= 1_150, "{len} bytes");
        }
        sent += digests.iter().flatten().map(|cached| cached.parts.len()).sum::<usize>();
    }

    assert_eq!(sent, 500 + 600);
}
