//! The contract of the operator API, over a socket.

mod operators_fixture;

use anvilhook_api::{ChangeStateAnswer, Code, Error, RefusalBody};
use anvilhook_core::Verdict;
use anvilhook_core::attempts::ChangeId;
use anvilhook_core::names::InstanceName;
use anvilhook_core::resources::{Condition, ConditionState, Kind};
use anvilhook_core::units::{Millis, Revision, WallTime};
use anvilhook_http::clients::{Connection, collect_body};
use anvilhook_http::{ClientOptions, HttpClient};
use anvilhook_platform::{RowKey, Table, Transaction, Write};
use anvilhook_standin::platform::{Loss, RateLimits, Reach};
use anvilhook_store::{InstanceDirectory, InstanceRecord, StatusRecord, StatusStore};
use http::{Method, Request, StatusCode};
use operators_fixture::{Api, LEASE_PREFIX, OPERATOR, READER, account, key, put_body};
use serde_json::{Value, json};
use volo_http::body::Body;

/// Sends a raw request and returns the status and body of its answer.
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

/// Method, path, headers and body of a request; status, code and a part of the message.
type RefusalCase<'a> =
    (Method, &'a str, Vec<(&'a str, &'a str)>, Option<Value>, u16, &'a str, &'a str);

#[tokio::test]
async fn verify_refusals() {
    let api = Api::start().await;
    api.declare("cook", 5, 0).await;
    let operator = "Bearer operator-token";
    let spec = |version: u64| Some(json!({"version": version, "spec": account(1)}));
    let bad = |field: &str, value: Value| {
        let mut spec = account(1);
        spec[field] = value;
        Some(json!({"version": 0, "spec": spec}))
    };
    let cook = "/api/v1/Account/cook";
    let new = "/api/v1/Account/new";
    let (get, put, post, delete) = (Method::GET, Method::PUT, Method::POST, Method::DELETE);
    let auth = ("authorization", operator);
    let cases: Vec<RefusalCase<'_>> = vec![
        (
            get.clone(),
            cook,
            vec![],
            None,
            401,
            "unauthenticated",
            "needs an operator's bearer token",
        ),
        (
            get.clone(),
            cook,
            vec![("authorization", "Bearer wrong")],
            None,
            401,
            "unauthenticated",
            "bearer",
        ),
        (
            get.clone(),
            cook,
            vec![("authorization", "Basic operator-token")],
            None,
            401,
            "unauthenticated",
            "bearer",
        ),
        (
            get.clone(),
            cook,
            vec![("authorization", "Bearer ")],
            None,
            401,
            "unauthenticated",
            "bearer",
        ),
        (get.clone(), "/api/v1/watch", vec![], None, 401, "unauthenticated", "bearer"),
        (
            put.clone(),
            cook,
            vec![("authorization", "Bearer reader-token")],
            spec(1),
            403,
            "forbidden",
            "kostas may read only",
        ),
        (
            delete.clone(),
            cook,
            vec![("authorization", "Bearer reader-token")],
            None,
            403,
            "forbidden",
            "kostas",
        ),
        (get.clone(), new, vec![auth], None, 404, "not-found", "Account/new does not exist at r1"),
        (
            get.clone(),
            "/api/v1/Colour",
            vec![auth],
            None,
            404,
            "not-found",
            "kind: expected one of Account, ModelVersion",
        ),
        (get.clone(), "/api/v1/Account/Cook!", vec![auth], None, 400, "bad-request", "cannot name"),
        (
            put.clone(),
            cook,
            vec![auth],
            Some(json!({"spec": account(1)})),
            428,
            "version-missing",
            "version: expected the version",
        ),
        (
            put.clone(),
            cook,
            vec![auth],
            spec(0),
            409,
            "conflict",
            "Account/cook stands at version 1",
        ),
        (put.clone(), cook, vec![auth], spec(7), 409, "conflict", "stands at version 1"),
        (put.clone(), new, vec![auth], spec(7), 404, "not-found", "Account/new does not exist"),
        (
            put.clone(),
            cook,
            vec![auth, ("if-match", "\"2\"")],
            spec(1),
            400,
            "bad-request",
            "the same in the body",
        ),
        (
            put.clone(),
            cook,
            vec![auth, ("if-match", "old")],
            spec(1),
            400,
            "bad-field",
            "if-match: expected a version or *",
        ),
        (
            put.clone(),
            new,
            vec![auth, ("x-anvilhook-change-id", "7")],
            spec(0),
            400,
            "bad-field",
            "change id: expected 32 hexadecimal",
        ),
        (
            put.clone(),
            new,
            vec![auth],
            bad("requests_per_s", json!(0)),
            400,
            "bad-field",
            "spec.requests_per_s: expected at least 1",
        ),
        (
            put.clone(),
            new,
            vec![auth],
            bad("requests_per_s", json!("many")),
            400,
            "bad-field",
            "spec.requests_per_s: expected another value",
        ),
        (
            put.clone(),
            new,
            vec![auth],
            bad("colour", json!(1)),
            400,
            "bad-field",
            "spec.colour: expected another value: unknown field",
        ),
        (
            put.clone(),
            new,
            vec![auth],
            Some(json!({"version": 0, "kind": "Engine", "spec": account(1)})),
            400,
            "bad-field",
            "kind: expected Account as in the path",
        ),
        (
            put.clone(),
            new,
            vec![auth],
            Some(json!({"version": 0, "name": "old", "spec": account(1)})),
            400,
            "bad-field",
            "name: expected new as in the path",
        ),
        (
            put.clone(),
            new,
            vec![auth],
            Some(json!({"version": "x", "spec": account(1)})),
            400,
            "bad-field",
            "version: expected",
        ),
        (
            put.clone(),
            new,
            vec![auth],
            Some(json!([])),
            400,
            "bad-field",
            "body: expected a resource as JSON",
        ),
        (
            post.clone(),
            "/api/v1/Account",
            vec![auth],
            Some(json!({"spec": account(1)})),
            400,
            "bad-field",
            "name: expected the resource's name",
        ),
        (
            post.clone(),
            "/api/v1/Account",
            vec![auth],
            Some(json!({"name": "cook", "spec": account(1)})),
            409,
            "conflict",
            "stands at version 1",
        ),
        (delete.clone(), cook, vec![auth], None, 428, "version-missing", "version: expected"),
        (
            delete.clone(),
            cook,
            vec![auth, ("if-match", "3")],
            None,
            409,
            "conflict",
            "stands at version 1",
        ),
        (
            delete.clone(),
            new,
            vec![auth, ("if-match", "*")],
            None,
            404,
            "not-found",
            "does not exist",
        ),
        (
            get.clone(),
            "/api/v1/audit?limit=many",
            vec![auth],
            None,
            400,
            "bad-request",
            "query: expected from, limit or base",
        ),
        (
            get.clone(),
            "/api/v1/audit?page=2",
            vec![auth],
            None,
            400,
            "bad-request",
            "query: expected",
        ),
        (
            get.clone(),
            "/api/v1/changes/7",
            vec![auth],
            None,
            400,
            "bad-field",
            "change id: expected 32",
        ),
        (
            get.clone(),
            "/api/v1/why/Account/new",
            vec![auth],
            None,
            404,
            "not-found",
            "does not exist",
        ),
    ];
    for (method, path, headers, body, status, code, message) in cases {
        let case = format!("{method} {path} {headers:?} {body:?}");

        let (answered, answer) = send(&api, method, path, &headers, body.as_ref()).await;

        let refusal: RefusalBody = serde_json::from_value(answer.clone()).expect(&case);
        let text = &refusal.error.message;
        assert_eq!(
            (answered.as_u16(), answer["error"]["code"].as_str()),
            (status, Some(code)),
            "{case}: {text}"
        );
        assert!(text.contains(message), "{case}: {text}");
        assert_eq!(refusal.error.field.is_some(), code == "bad-field", "{case}");
    }
    assert_eq!(api.follower.revision(), Revision(1), "nothing was changed");
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

    // What was got can be put back with a change, status and all.
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
    let told: Vec<(u64, &str, bool)> = audit
        .entries
        .iter()
        .map(|entry| (entry.revision.0, entry.subject.as_str(), entry.before.is_some()))
        .collect();
    assert_eq!(told, [(1, "eleni", false), (2, "eleni", true), (3, "eleni", true)]);
}

/// Symptom: the second of two operators undoes what the first one did, without a word.
/// Sequence: both read version 1, change different fields and put the whole back.
/// Cause: a put that does not say what it replaces.
#[tokio::test]
async fn verify_the_slower_operator_sees_what_stands() {
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

/// Symptom: an operator cannot find out whether a change was made.
/// Sequence: the table's answers are lost after, before or long before the effect, and then the
/// table is down.
/// Cause: no id to ask by, or an answer that guesses.
#[tokio::test]
async fn verify_an_unknown_change_can_be_asked_for_and_sent_again() {
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
        // A try reads twice and writes; the table is down after that.
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
async fn verify_status_shows_who_lags_and_who_holds_what() {
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
async fn verify_why_shows_what_is_waited_for() {
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
    let waited = &why.waiting[0].condition;
    assert_eq!((waited.kind.as_str(), waited.since), ("Drained", WallTime(7)));
    assert_eq!(why.last_change.unwrap().subject.as_str(), "eleni");
    assert_eq!(listed.items[0].status.len(), 2);

    // With its resource the status goes, too.
    api.client(OPERATOR).delete(&key("cook"), Revision(1), ChangeId(9)).await.unwrap();
    assert!(api.platform.rows("status/").is_empty());
}
