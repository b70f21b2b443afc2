//! What is told on of engines' readings, and when.

use anvilhook_core::units::Millis;
use anvilhook_gateway::peers::{CacheUpdates, CachedPrompt};

const NOW: Millis = Millis(5_000);

fn prompt(engine: u32, part: u64, own_tokens: u32) -> CachedPrompt {
    CachedPrompt { engine, parts: vec![(part, 5_000)], own_tokens }
}

fn own_tokens(digests: &[Vec<CachedPrompt>]) -> u32 {
    digests.iter().flatten().map(|cached| cached.own_tokens).sum()
}

/// Symptom: instances of other availability zones believe that engines hold what they have dropped.
/// Sequence: an engine reads prompts of which all begin with a part that was just told of.
/// Cause: the tokens beside that part displace others, and must be told of as well, if later.
#[test]
fn verify_no_tokens_are_lost_where_a_part_is_not_told_again() {
    let mut news = CacheUpdates::default();
    news.add(&prompt(1, 7, 300));
    assert_eq!(news.take(4, NOW), [[prompt(1, 7, 300)]]);

    news.add(&prompt(1, 7, 200));
    news.add(&prompt(1, 7, 100));
    assert!(news.take(4, NOW + Millis(100)).is_empty());
    let later = news.take(4, NOW + Millis(1_000));

    assert_eq!(own_tokens(&later), 300);
    assert!(news.take(4, NOW + Millis(2_000)).is_empty());
}

/// Symptom: a part that an engine uses all the time is believed dropped in other availability zones.
/// Sequence: it is read before and after the time in which it is not told of again.
/// Cause: whoever tells must tell again once in a while, also since datagrams are lost.
#[test]
fn verify_a_part_is_told_again_after_a_while() {
    let mut news = CacheUpdates::default();
    news.add(&prompt(1, 7, 0));
    news.take(4, NOW);
    news.add(&prompt(1, 7, 0));
    assert!(news.take(4, NOW + Millis(999)).is_empty());

    news.add(&prompt(1, 7, 0));

    assert_eq!(news.take(4, NOW + Millis(1_001)), [[prompt(1, 7, 0)]]);
}

/// Symptom: digests grow over what a link takes in one piece, and none of them arrives.
/// Sequence: after the loss of all, one engine's many parts are told, and one part of each of many engines.
/// Cause: what does not fit must wait for the next digests, and all of it must be told in the end.
#[test]
fn verify_much_news_is_told_in_small_digests() {
    let mut news = CacheUpdates::default();
    let parts = (0..500).map(|part| (u64::MAX - part, 5_000)).collect();
    news.add(&CachedPrompt { engine: u32::MAX, parts, own_tokens: u32::MAX });
    (0..600).for_each(|engine| news.add(&prompt(u32::MAX - 1 - engine, u64::MAX, u32::MAX)));

    let mut told = 0;
    for tick in 0..20 {
        let digests = news.take(4, NOW + Millis(tick * 40));
        assert!(digests.len() <= 4);
        for digest in &digests {
            let len = postcard::to_stdvec(digest).expect("it can be written").len();
            assert!(len <= 1_150, "{len} bytes");
        }
        told += digests.iter().flatten().map(|cached| cached.parts.len()).sum::<usize>();
    }

    assert_eq!(told, 500 + 600);
}
