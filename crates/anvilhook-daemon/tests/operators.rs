//! Tests of the contract of the operator API, over a socket.

mod operators_fixture;

use anvilhook_api::{ChangeStateAnswer, Code, Error, RefusalBody};
use anvilhook_core::Verdict;
use anvilhook_core::attempts::ChangeId;
use anvilhook_core::names::InstanceName;
use anvilhook_core::resources::{Condition, ConditionState, Kind};
use anvilhook_core::units::{Millis, Revision, WallTime};
use anvilhook_http::clients::Connection;
use anvilhook_http::collecting::collect_body;
use anvilhook_http::{ClientOptions, HttpClient};
use anvilhook_platform::{RowKey, Table, Transaction, Write};
use anvilhook_standin::platform::{Loss, RateLimits, Reach};
use anvilhook_store::{InstanceDirectory, InstanceRecord, StatusRecord, StatusStore};
use http::{Method, Request, StatusCode};
use operators_fixture::{Api, LEASE_PREFIX, OPERATOR, READER, account, key, put_body};
use serde_json::{Value, json};
use volo_http::body::Body;

/// Sends a raw request and returns the status and the JSON body of the answer.
async fn send(
    api: &Api,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: Option<&Value>,
) -> (StatusCode, Value) {
    let http = HttpClient::try_new(&ClientOptions::default()).unwrap();
    let mut req = Request::builder().method(method).uri(path);
    for (name, value) in headers {
        req = req.header(*name, *value);
    }
    let body = body.map_or_else(Body::empty, |body| Body::from(body.to_string()));
    let req = req.body(body).unwrap();
    let sent = http.send(api.address, req, Connection::New, Millis::from_secs(10)).await;
    let answer = sent.unwrap();
    let status = answer.status();
    let buf = collect_body(answer.into_body(), 1 << 20, Millis::from_secs(10)).await.unwrap();
    (status, serde_json::from_slice(&buf).unwrap_or(Value::Null))
}

/// The refusals, one per line: method and path | caller and other headers | body | status and code | a
/// part of the message.
///
/// `S` stands for a valid spec.
const REFUSALS: &str = r#"
GET    /Account/cook   |                                   |    | 401 unauthenticated | needs an operator's bearer token
GET    /Account/cook   | authorization: Bearer wrong       |    | 401 unauthenticated | bearer token
GET    /Account/cook   | authorization: Basic operator-token | | 401 unauthenticated | bearer token
GET    /Account/cook   | authorization: Bearer             |    | 401 unauthenticated | bearer token
GET    /watch          |                                   |    | 401 unauthenticated | bearer token
PUT    /Account/cook   | reader   | {"version": 1, "spec": S}   | 403 forbidden       | kostas may read only
DELETE /Account/cook   | reader, if-match: 1               |    | 403 forbidden       | kostas may read only
GET    /Account/new    | operator |                             | 404 not-found       | Account/new does not exist at r1
GET    /Colour         | operator |                             | 404 not-found       | kind: expected one of Account, ModelVersion
GET    /why/Account/new | operator |                            | 404 not-found       | does not exist
PUT    /Account/new    | operator | {"version": 7, "spec": S}   | 404 not-found       | Account/new does not exist
DELETE /Account/new    | operator, if-match: *             |    | 404 not-found       | does not exist
GET    /Account/Cook!  | operator |                             | 400 bad-request     | cannot name
PUT    /Account/cook   | operator, if-match: "2" | {"version": 1, "spec": S} | 400 bad-request | the same in the body
GET    /audit?limit=many | operator |                           | 400 bad-request     | query: expected from, limit or base
GET    /audit?page=2   | operator |                             | 400 bad-request     | query: expected from, limit or base
GET    /changes/7      | operator |                             | 400 bad-field       | change id: expected 32 hexadecimal
PUT    /Account/new    | operator, x-anvilhook-change-id: 7 | {"version": 0, "spec": S} | 400 bad-field | change id: expected 32
PUT    /Account/cook   | operator, if-match: old | {"spec": S}  | 400 bad-field       | if-match: expected a version or *
PUT    /Account/new    | operator | {"version": 0, "spec": {"token_sha256": [], "requests_per_s": 0, "open_requests": 1}} | 400 bad-field | spec.requests_per_s: expected at least 1
PUT    /Account/new    | operator | {"version": 0, "spec": {"requests_per_s": "many"}} | 400 bad-field | spec.requests_per_s: expected another value
PUT    /Account/new    | operator | {"version": 0, "spec": {"colour": 1}} | 400 bad-field | spec.colour: expected another value: unknown field
PUT    /Account/new    | operator | {"version": 0, "kind": "Engine", "spec": S} | 400 bad-field | kind: expected Account as in the path
PUT    /Account/new    | operator | {"version": 0, "name": "old", "spec": S} | 400 bad-field | name: expected new as in the path
PUT    /Account/new    | operator | {"version": "x", "spec": S} | 400 bad-field       | version: expected a resource as JSON
PUT    /Account/new    | operator | []                          | 400 bad-field       | body: expected a resource as JSON
POST   /Account        | operator | {"spec": S}                 | 400 bad-field       | name: expected the resource's name
PUT    /Account/cook   | operator | {"spec": S}                 | 428 version-missing | version: expected the version
DELETE /Account/cook   | operator |                             | 428 version-missing | version: expected the version
PUT    /Account/cook   | operator | {"version": 0, "spec": S}   | 409 conflict        | Account/cook stands at version 1
PUT    /Account/cook   | operator | {"version": 7, "spec": S}   | 409 conflict        | Account/cook stands at version 1
POST   /Account        | operator | {"name": "cook", "spec": S} | 409 conflict        | Account/cook stands at version 1
DELETE /Account/cook   | operator, if-match: 3             |    | 409 conflict        | Account/cook stands at version 1
"#;

/// Parses the headers of a line. `reader` and `operator` stand for authorization with their tokens.
fn headers(text: &str) -> Vec<(&str, &str)> {
    let named = text.split(',').map(str::trim).filter(|header| !header.is_empty());
    let headers = named.map(|header| match header {
        "reader" => ("authorization", "Bearer reader-token"),
        "operator" => ("authorization", "Bearer operator-token"),
        other => other.split_once(": ").unwrap(),
    });
    headers.collect()
}

#[tokio::test]
async fn verify_refusals() {
    let api = Api::start().await;
    api.declare("cook", 5, 0).await;
    for case in REFUSALS.trim().lines() {
        let columns: Vec<&str> = case.split('|').map(str::trim).collect();
        let [call, named_headers, body, outcome, message] = columns[..] else { panic!("{case}") };
        let (method, path) = call.split_once(' ').unwrap();
        let path = format!("/api/v1{}", path.trim());
        let body = body.replace(": S", &format!(": {}", account(1)));
        let body = (!body.is_empty()).then(|| serde_json::from_str(&body).unwrap());

        let method = method.parse().unwrap();
        let (status, answer) =
            send(&api, method, &path, &headers(named_headers), body.as_ref()).await;

        let refusal: RefusalBody = serde_json::from_value(answer.clone()).expect(case);
        let code = answer["error"]["code"].as_str().unwrap();
        assert_eq!(format!("{} {code}", status.as_u16()), outcome, "{case}: {refusal:?}");
        assert!(refusal.error.message.contains(message), "{case}: {refusal:?}");
        assert_eq!(refusal.error.field.is_some(), code == "bad-field", "{case}");
    }
    assert_eq!(api.follower.revision(), Revision(1), "nothing was changed");
}

#[tokio::test]
async fn verify_a_body_may_not_be_too_large() {
    let api = Api::start().await;
    for (bytes, code) in [(1 << 20, "bad-field"), ((1 << 20) + 1, "too-large")] {
        let body = Value::from("x".repeat(bytes - 2));
        let headers = headers("operator");

        let (_, answer) = send(&api, Method::POST, "/api/v1/Account", &headers, Some(&body)).await;

        assert_eq!(answer["error"]["code"].as_str(), Some(code), "{bytes} bytes");
    }
}

#[tokio::test]
async fn verify_a_resource_from_creation_to_deletion() {
    let api = Api::start().await;
    let client = api.client(OPERATOR);
    let body = json!({"name": "cook", "spec": account(5)});
    let headers = [("authorization", "Bearer operator-token")];
    let (status, created) =
        send(&api, Method::POST, "/api/v1/Account", &headers, Some(&body)).await;
    assert_eq!((status.as_u16(), created["revision"].as_u64()), (201, Some(1)));

    // A resource can be read, changed and put back together with its status.
    let mut got = serde_json::to_value(client.get(&key("cook")).await.unwrap()).unwrap();
    got["spec"]["requests_per_s"] = json!(9);
    got["status"] = json!([]);
    let path = "/api/v1/Account/cook";
    let (status, replaced) = send(&api, Method::PUT, path, &headers, Some(&got)).await;
    assert_eq!((status.as_u16(), replaced["resource"]["version"].as_u64()), (200, Some(2)));

    let listed = api.client(READER).list(Kind::Account).await.unwrap();
    assert_eq!((listed.revision, listed.items.len()), (Revision(2), 1));
    let deleted = client.delete(&key("cook"), Revision(2), ChangeId(9)).await.unwrap();
    assert_eq!((deleted.revision, deleted.resource), (Revision(3), None));
    assert_eq!(client.get(&key("cook")).await.unwrap_err().code(), Some(Code::NotFound));

    let audit = api.client(READER).audit(None, 10).await.unwrap();
    let listed: Vec<(u64, &str, bool)> = audit
        .entries
        .iter()
        .map(|entry| (entry.revision.0, entry.subject.as_str(), entry.before.is_some()))
        .collect();
    assert_eq!(listed, [(1, "eleni", false), (2, "eleni", true), (3, "eleni", true)]);
}

/// Guards against an operator who undoes another's change without an error: both read version 1, change
/// different fields and put the whole resource back, and the put does not name the version that it
/// replaces.
#[tokio::test]
async fn verify_the_slower_operator_gets_the_current_resource() {
    let api = Api::start().await;
    api.declare("cook", 5, 0).await;
    let client = api.client(OPERATOR);
    let (first, second) = (put_body(account(6), 1), put_body(account(7), 1));
    let cook = key("cook");

    let (first, second) = tokio::join!(
        client.put(&cook, &first, ChangeId(11)),
        client.put(&cook, &second, ChangeId(12))
    );

    let refused = [first, second].into_iter().filter_map(Result::err).collect::<Vec<_>>();
    let [Error::Refused(refusal)] = &refused[..] else { panic!("{refused:?}") };
    assert_eq!(refusal.code, Code::Conflict);
    assert_eq!(refusal.standing.as_ref().unwrap().version, Revision(2));
    assert_eq!(api.follower.revision(), Revision(2));
}

/// Guards against an operator who cannot find out whether a change was made, because there is no id to
/// query or the answer is a guess. The table's answers are lost after, before or long before the effect,
/// and then the table is down.
#[tokio::test]
async fn verify_an_unknown_change_can_be_queried_and_resent() {
    let cases = [
        (Loss::AfterEffect, ChangeStateAnswer::Accepted { revision: Revision(2) }),
        (Loss::BeforeEffect, ChangeStateAnswer::Unknown),
        (Loss::LateEffect, ChangeStateAnswer::Unknown),
    ];
    for (loss, expected) in cases {
        let api = Api::start().await;
        api.declare("cook", 5, 0).await;
        let client = api.client(OPERATOR);
        let body = put_body(account(6), 1);
        // An attempt reads twice and writes once. The rate limit makes the table unavailable after that.
        api.platform.faults().lose_next_writes(1, loss);
        let two_reads = RateLimits { reads_per_s: 2, writes_per_s: 100 };
        api.platform.faults().set_rate_limits(Some(two_reads));
        let err = client.put(&key("cook"), &body, ChangeId(9)).await.unwrap_err();
        assert_eq!((err.code(), err.verdict()), (Some(Code::Unknown), Verdict::MayHaveRun));
        let Error::Refused(refusal) = err else { panic!("{err}") };
        assert_eq!((refusal.change_id, refusal.base), (Some(ChangeId(9)), Some(Revision(1))));
        api.platform.faults().heal();

        let state = client.change_state(ChangeId(9), Some(Revision(1))).await.unwrap();
        let again = client.put(&key("cook"), &body, ChangeId(9)).await.unwrap();

        assert_eq!((state, again.revision), (expected, Revision(2)), "{loss:?}");
        api.platform.land_late_writes();
        assert_eq!(client.audit(None, 10).await.unwrap().entries.len(), 2, "{loss:?}");
    }
}

#[tokio::test]
async fn verify_with_the_table_down_reads_go_on_and_changes_are_not_accepted() {
    for reach in [Reach::Refusing, Reach::Cut] {
        let api = Api::start().await;
        api.declare("cook", 5, 0).await;
        api.platform.faults().set_reach(reach);
        let client = api.client(OPERATOR);

        let refused = client.put(&key("cook"), &put_body(account(6), 1), ChangeId(9)).await;
        let listed = client.list(Kind::Account).await.unwrap();
        let status = client.status().await.unwrap();
        let why = client.why(&key("cook")).await.unwrap();

        let err = refused.unwrap_err();
        assert_eq!((err.code(), err.verdict()), (Some(Code::NotAccepted), Verdict::NotRun));
        assert_eq!(listed.items.len(), 1);
        assert!(listed.status_missing.is_some());
        assert_eq!((status.in_force, status.head), (Revision(1), None));
        assert!(status.missing.is_some() && why.missing.is_some() && why.wanted.is_some());
        assert_eq!(client.audit(None, 5).await.unwrap_err().code(), Some(Code::Unavailable));
    }
}

#[tokio::test]
async fn verify_status_shows_lagging_instances_and_lease_holders() {
    let api = Api::start().await;
    api.declare("cook", 5, 0).await;
    api.declare("cook", 6, 1).await;
    let directory = InstanceDirectory::new(api.platform.clone());
    for (name, revision) in [("entry-1", 2), ("entry-2", 1)] {
        let record = InstanceRecord {
            name: InstanceName::try_new(name).unwrap(),
            peer_address: "127.0.0.1:7100".parse().unwrap(),
            zone: "piraeus".parse().unwrap(),
            revision: Revision(revision),
            since: WallTime(1),
        };
        directory.announce(&record).await.unwrap();
    }
    let row = json!({
        "term": 4, "holder": {"instance": "entry-2", "epoch": 1}, "uncleared": ["entry-0"],
        "last_seq": 3, "open": {}, "drains": anvilhook_core::drains::DrainMarks::default(),
    });
    let key = RowKey::new(format!("{LEASE_PREFIX}main"));
    let writes = vec![Write::Put { key, value: row.to_string() }];
    api.platform.commit(&Transaction { conditions: vec![], writes }).await.unwrap();

    let status = api.client(READER).status().await.unwrap();

    let lags: Vec<(&str, u64)> =
        status.instances.iter().map(|entry| (entry.name.as_str(), entry.lag)).collect();
    assert_eq!(lags, [("entry-1", 0), ("entry-2", 1)]);
    assert_eq!((status.head, status.in_force), (Some(Revision(2)), Revision(2)));
    let lease = &status.leases[0];
    assert_eq!((lease.pool.as_str(), lease.term.0), ("main", 4));
    assert_eq!(lease.holder.as_ref().unwrap().as_str(), "entry-2");
    assert_eq!(lease.uncleared[0].as_str(), "entry-0");
}

#[tokio::test]
async fn verify_why_shows_the_awaited_conditions() {
    let api = Api::start().await;
    api.declare("cook", 5, 0).await;
    let statuses = StatusStore::new(api.platform.clone());
    for (kind, state) in [("Ready", ConditionState::True), ("Drained", ConditionState::False)] {
        let condition = Condition {
            kind: kind.to_owned(),
            state,
            reason: "AwaitingInstance".to_owned(),
            message: "entry-2 cannot be asked".to_owned(),
            since: WallTime(7),
        };
        let observer = InstanceName::try_new("entry-1").unwrap();
        let record = StatusRecord { key: key("cook"), observer, condition };
        statuses.report(&record).await.unwrap();
    }

    let why = api.client(READER).why(&key("cook")).await.unwrap();
    let listed = api.client(READER).list(Kind::Account).await.unwrap();

    assert_eq!((why.observed.len(), why.waiting.len()), (2, 1));
    let awaited = &why.waiting[0].condition;
    assert_eq!((awaited.kind.as_str(), awaited.since), ("Drained", WallTime(7)));
    assert_eq!(why.last_change.unwrap().subject.as_str(), "eleni");
    assert_eq!(listed.items[0].status.len(), 2);

    // Deleting the resource also deletes its status.
    api.client(OPERATOR).delete(&key("cook"), Revision(1), ChangeId(9)).await.unwrap();
    assert!(api.platform.rows("status/").is_empty());
}
