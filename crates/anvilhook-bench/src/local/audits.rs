//! Checks the outcome of each request against the runs that the stand-ins counted.

use std::collections::{HashMap, HashSet};

use anvilhook_core::units::{Millis, Tokens};
use anvilhook_standin::engines::{EngineServer, expected_output, prompt_digest};
use anvilhook_standin::plain::{PlainAnswer, RunLedger, body_digest};

use super::kinds::Kind;
use super::plans::{Body, Planned};
use super::rows::Row;
use crate::callers::{Answer, ChatCall, Outcome, PlainCall};

/// `CompletedRequest` is a request with its outcome.
#[derive(Clone, Debug)]
pub struct CompletedRequest {
    /// The request.
    pub planned: Planned,
    /// The outcome as the caller saw it.
    pub outcome: Outcome,
}

/// `Evidence` holds the runs that the stand-ins counted.
#[derive(Clone, Debug)]
pub struct Evidence {
    ledger: RunLedger,
    /// The digests of the prompts on which an engine did any work.
    prompts_run: HashSet<u64>,
}

impl Evidence {
    /// Collects the counts of all stand-ins.
    pub fn new(engines: &[EngineServer], ledger: &RunLedger) -> Self {
        let attempts = engines.iter().flat_map(EngineServer::attempts);
        let run = attempts.filter(|attempt| attempt.ran()).map(|attempt| attempt.prompt);
        Self { ledger: ledger.clone(), prompts_run: run.collect() }
    }

    /// Returns how often a request ran. For a chat completion, returns only zero or one.
    fn runs(&self, body: &Body) -> usize {
        match body {
            Body::Chat(call) => {
                usize::from(self.prompts_run.contains(&prompt_digest(&call.messages())))
            }
            Body::Plain(call) => self.ledger.runs_of_body(call.body.as_bytes()),
        }
    }
}

/// Counts all requests in one row for each kind.
pub fn rows(ended: &[CompletedRequest], evidence: &Evidence) -> Vec<Row> {
    let mut rows: HashMap<Kind, Row> = HashMap::new();
    for request in ended {
        let kind = request.planned.kind;
        let row = rows.entry(kind).or_insert_with(|| Row::new(kind));
        count(row, request, evidence);
    }
    Kind::ALL.into_iter().filter_map(|kind| rows.remove(&kind)).collect()
}

fn count(row: &mut Row, request: &CompletedRequest, evidence: &Evidence) {
    let body = &request.planned.body;
    let runs = evidence.runs(body);
    let is_plain = matches!(body, Body::Plain(_));
    row.sent += 1;
    if is_plain && runs > 1 {
        row.doubled += 1;
    }
    match &request.outcome {
        Outcome::Answered(answer) => {
            row.record_answer(answer, is_in_time(request.planned.kind, answer));
            if !is_own(body, answer) {
                row.crossed += 1;
            }
            // The request is lost if no upstream ran it, although its caller received an answer.
            if runs == 0 {
                row.lost += 1;
            }
        }
        outcome if outcome.is_not_run() => {
            row.refused_not_run += 1;
            if runs > 0 {
                row.false_not_run += 1;
            }
        }
        Outcome::Failed { .. } => row.may_have_run += 1,
        Outcome::Unreachable | Outcome::Lost { .. } => row.lost += 1,
    }
}

fn is_in_time(kind: Kind, answer: &Answer) -> bool {
    Millis(answer.whole.as_millis() as u64) <= kind.deadline()
}

/// Returns whether an answer is complete and belongs to its request.
fn is_own(body: &Body, answer: &Answer) -> bool {
    match body {
        Body::Chat(call) => is_own_completion(call, answer),
        Body::Plain(call) => is_own_record(call, answer),
    }
}

fn is_own_completion(call: &ChatCall, answer: &Answer) -> bool {
    let expected = expected_output(&call.messages(), Tokens(call.max_tokens));
    if call.stream { answer.text == expected } else { answer.text.contains(&expected) }
}

fn is_own_record(call: &PlainCall, answer: &Answer) -> bool {
    let parsed: Result<PlainAnswer, _> = serde_json::from_str(&answer.text);
    parsed.is_ok_and(|parsed| parsed.body == body_digest(call.body.as_bytes()))
}
