//! Calls of plain services, and what may be said of them afterwards.

use anvilhook_bench::callers::{Outcome, PlainCall};
use anvilhook_bench::sites::{ALERT_SERVICE, LEDGER_SERVICE};
use anvilhook_core::units::Millis;
use anvilhook_standin::plain::{PlainAnswer, RunLedger, body_digest};

/// `Sent` is a call with what its caller heard, try by try.
pub struct Sent {
    /// The call.
    pub call: PlainCall,
    /// What became of each try.
    pub heard: Vec<Outcome>,
}

/// Makes a ledger record under a key, or an alert without one. No two have the same body.
pub fn plain_call(number: usize, turn: usize, is_keyed: bool) -> PlainCall {
    PlainCall {
        service: if is_keyed { LEDGER_SERVICE } else { ALERT_SERVICE },
        key: is_keyed.then(|| format!("lot-{number}-{turn}")),
        body: format!(r#"{{"caller":{number},"lot":{turn},"keyed":{is_keyed}}}"#),
        deadline: Millis::from_secs(5),
    }
}

/// Checks what a caller heard against what the upstreams ran: at most once, not at all where all
/// tries were refused as not run, and every answer its own.
pub fn check_sent(sent: &Sent, ledger: &RunLedger) {
    let Sent { call, heard } = sent;
    let runs = ledger.runs_of_body(call.body.as_bytes());
    assert!(runs <= 1, "{call:?} ran {runs} times: {heard:?}");
    if heard.iter().all(Outcome::is_not_run) {
        assert_eq!(runs, 0, "{call:?} ran though it was refused as not run: {heard:?}");
    }
    for answer in heard.iter().filter_map(Outcome::answer) {
        assert_eq!(runs, 1, "{call:?} was answered and did not run");
        let answer: PlainAnswer = serde_json::from_str(&answer.text).expect("the service's answer");
        assert_eq!(answer.body, body_digest(call.body.as_bytes()), "{call:?}: another's answer");
    }
}
