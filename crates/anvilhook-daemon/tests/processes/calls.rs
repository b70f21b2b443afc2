//! Calls to plain services, and the checks of their outcomes.

use anvilhook_bench::callers::{Outcome, PlainCall};
use anvilhook_bench::sites::{ALERT_SERVICE, LEDGER_SERVICE};
use anvilhook_core::units::Millis;
use anvilhook_standin::plain::{PlainAnswer, RunLedger, body_digest};

/// `Sent` is a call with the outcome of each attempt to send it.
pub struct Sent {
    /// The call.
    pub call: PlainCall,
    /// The outcomes of the attempts, in order.
    pub outcomes: Vec<Outcome>,
}

/// Creates a call that enters a ledger record under a key, or one that sends an alert without a key.
/// Each number and turn gives another body.
pub fn plain_call(number: usize, turn: usize, is_keyed: bool) -> PlainCall {
    PlainCall {
        service: if is_keyed { LEDGER_SERVICE } else { ALERT_SERVICE },
        key: is_keyed.then(|| format!("lot-{number}-{turn}")),
        body: format!(r#"{{"caller":{number},"lot":{turn},"keyed":{is_keyed}}}"#),
        deadline: Millis::from_secs(5),
    }
}

/// Checks the outcomes of a call against the runs at the upstreams: the call ran at most once, did not
/// run if all attempts were refused as not run, and each answer belongs to this call.
pub fn check_sent(sent: &Sent, ledger: &RunLedger) {
    let Sent { call, outcomes } = sent;
    let runs = ledger.runs_of_body(call.body.as_bytes());
    assert!(runs <= 1, "{call:?} ran {runs} times: {outcomes:?}");
    if outcomes.iter().all(Outcome::is_not_run) {
        assert_eq!(runs, 0, "{call:?} ran although it was refused as not run: {outcomes:?}");
    }
    for answer in outcomes.iter().filter_map(Outcome::answer) {
        assert_eq!(runs, 1, "{call:?} was answered but did not run");
        let answer: PlainAnswer = serde_json::from_str(&answer.text).expect("the service's answer");
        assert_eq!(
            answer.body,
            body_digest(call.body.as_bytes()),
            "{call:?}: the answer to another call"
        );
    }
}
