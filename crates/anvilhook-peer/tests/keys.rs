//! Tests of the shared key and the proofs that an instance holds it.

use anvilhook_peer::keys::{Handshake, MIN_KEY_BYTES, Side};
use anvilhook_peer::{Error, PeerKey};

fn key() -> PeerKey {
    PeerKey::try_new(&[7; MIN_KEY_BYTES]).unwrap()
}

fn handshake() -> Handshake {
    Handshake {
        caller_nonce: vec![1; 32],
        caller: "entry-1".parse().unwrap(),
        callee_nonce: vec![2; 32],
        callee: "entry-2".parse().unwrap(),
    }
}

#[test]
fn verify_a_proof_is_valid_for_its_handshake_only() {
    // Guards against a foreign process that is accepted as an instance by replaying a proof that it
    // received or recorded. The failure occurs if a proof does not cover the side, a nonce or a name.
    let good = handshake();
    let proof = key().prove(Side::Caller, &good);
    let cases = [
        ("reflected", Side::Callee, good.clone()),
        (
            "other caller nonce",
            Side::Caller,
            Handshake { caller_nonce: vec![3; 32], ..good.clone() },
        ),
        (
            "other callee nonce",
            Side::Caller,
            Handshake { callee_nonce: vec![3; 32], ..good.clone() },
        ),
        (
            "other caller",
            Side::Caller,
            Handshake { caller: "entry-3".parse().unwrap(), ..good.clone() },
        ),
        (
            "other callee",
            Side::Caller,
            Handshake { callee: "entry-3".parse().unwrap(), ..good.clone() },
        ),
        (
            "a byte moved from one field to the next",
            Side::Caller,
            Handshake {
                caller_nonce: [&good.caller_nonce[..], b"e"].concat(),
                caller: "ntry-1".parse().unwrap(),
                ..good.clone()
            },
        ),
    ];
    assert_eq!(key().check(Side::Caller, &good, &proof), Ok(()));
    for (case, side, handshake) in cases {
        assert_eq!(key().check(side, &handshake, &proof), Err(Error::NotAuthentic), "{case}");
    }
    for proof in [&proof[..31], &[], &[0; 32]] {
        assert_eq!(key().check(Side::Caller, &good, proof), Err(Error::NotAuthentic));
    }
}

#[test]
fn verify_a_short_key_is_refused_and_no_key_is_shown() {
    let short = PeerKey::try_new(&[7; MIN_KEY_BYTES - 1]);

    assert_eq!(short.unwrap_err(), Error::ShortKey { min_bytes: MIN_KEY_BYTES });
    assert!(!format!("{:?}", key()).contains('7'));
}
