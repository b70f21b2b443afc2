//! The rules of resources: fields, defaults, references, and what a change must not strand.

use anvilhook_core::names::ResourceName;
use anvilhook_core::orders::Role;
use anvilhook_core::resources::{
    Action, Change, Configuration, Expected, Fencing, Kind, ResourceKey, Spec,
};
use anvilhook_core::units::{Millis, Revision};
use serde_json::{Value, json};

fn key(text: &str) -> ResourceKey {
    let (kind, name) = text.split_once('/').unwrap();
    ResourceKey { kind: kind.parse().unwrap(), name: ResourceName::try_new(name).unwrap() }
}

fn put(target: &str, spec: Value) -> Change {
    let key = key(target);
    let spec = Spec::decode(key.kind, spec).unwrap();
    Change { key, action: Action::Put(spec) }
}

fn delete(target: &str) -> Change {
    Change { key: key(target), action: Action::Delete }
}

fn version(number: u64) -> Value {
    json!({
        "model": {"model": "checklist", "version": number},
        "weights": "checklist", "weight_bytes": 1, "kv_bytes_per_token": 1,
    })
}

fn pool(number: u64) -> Value {
    json!({"model": {"model": "checklist", "version": number}, "min_serving": 2})
}

fn engine(pool: &str) -> Value {
    json!({"pool": pool, "address": "127.0.0.1:7000", "zone": "piraeus"})
}

fn service(pool: &str, model: &str) -> Value {
    json!({"backend": {"type": "model", "pool": pool, "model": model}})
}

fn drain(engine: &str) -> Value {
    json!({"pool": "main", "target": {"engines": [engine]}})
}

/// Declares a model, a pool of three engines, a service and a drain plan.
fn site() -> Configuration {
    let changes = [
        put("ModelVersion/checklist-1", version(1)),
        put("ModelVersion/checklist-2", version(2)),
        put("EnginePool/main", pool(1)),
        put("EnginePool/spare", pool(1)),
        put("Engine/e1", engine("main")),
        put("Engine/e2", engine("main")),
        put("Engine/e3", engine("main")),
        put("Service/verdicts", service("main", "checklist")),
        put("DrainPlan/first", drain("e1")),
    ];
    let mut cfg = Configuration::default();
    for change in &changes {
        change.check(&cfg).unwrap();
        cfg = cfg.with_change(Revision(cfg.revision().0 + 1), change);
    }
    cfg
}

#[test]
fn verify_bad_fields_are_named() {
    let plain = |upstreams: Value, calls: Value| json!({"backend": {"type": "plain", "upstreams": upstreams, "calls": calls}});
    let upstream = json!([{"name": "a", "address": "127.0.0.1:1", "zone": "z"}]);
    let call = json!([{"method": "POST", "path_prefix": "/alerts"}]);
    let model = |extra: Value| {
        let mut spec = service("main", "checklist");
        spec.as_object_mut().unwrap().extend(extra.as_object().unwrap().clone());
        spec
    };
    let cases = [
        (
            Kind::Account,
            json!({"token_sha256": ["ab"], "requests_per_s": 1, "open_requests": 1}),
            "spec.token_sha256[0]: expected 64",
        ),
        (
            Kind::Account,
            json!({"token_sha256": [], "requests_per_s": 0, "open_requests": 1}),
            "spec.requests_per_s: expected at least 1",
        ),
        (
            Kind::Account,
            json!({"token_sha256": [], "requests_per_s": 1, "open_requests": 0}),
            "spec.open_requests: expected at least 1",
        ),
        (
            Kind::Account,
            json!({"token_sha256": [], "requests_per_s": 1}),
            "spec: expected another value: missing field `open_requests`",
        ),
        (Kind::ModelVersion, version(0), "spec.model.version: expected a version from 1"),
        (
            Kind::EnginePool,
            json!({"model": {"model": "m", "version": 1}, "roles": {"change_weight": -1.0}}),
            "spec.roles.change_weight: expected",
        ),
        (
            Kind::EnginePool,
            json!({"model": {"model": "m", "version": 1}, "roles": {"max_changing_share": 1.5}}),
            "spec.roles.max_changing_share: expected",
        ),
        (
            Kind::EnginePool,
            json!({"model": {"model": "M", "version": 1}}),
            "spec.model.model: expected another value",
        ),
        (
            Kind::Engine,
            json!({"pool": "main", "address": "here", "zone": "z"}),
            "spec.address: expected another value",
        ),
        (
            Kind::Engine,
            json!({"pool": "main", "address": "0.0.0.0:7000", "zone": "z"}),
            "spec.address: expected an IP address",
        ),
        (
            Kind::Engine,
            json!({"pool": "main", "address": "127.0.0.1:7000", "zone": "z", "colour": 1}),
            "spec.colour: expected another value: unknown field",
        ),
        (
            Kind::Role,
            json!({"pool": "main", "role": "decode", "min_engines": 3, "max_engines": 2}),
            "spec.max_engines: expected at least",
        ),
        (
            Kind::DrainPlan,
            json!({"pool": "main", "target": {"engines": []}}),
            "spec.target.engines: expected at least one",
        ),
        (
            Kind::DrainPlan,
            json!({"pool": "main", "target": {"zones": ["a", "a"]}}),
            "spec.target.zones[1]: expected an entry",
        ),
        (
            Kind::DrainPlan,
            json!({"pool": "main", "target": {"zones": ["a"]}, "max_at_once": 0}),
            "spec.max_at_once: expected at least 1",
        ),
        (
            Kind::Service,
            model(json!({"first_byte_ms": 0})),
            "spec.first_byte_ms: expected at least 1 ms",
        ),
        (
            Kind::Service,
            model(json!({"first_byte_ms": 70_000})),
            "spec.first_byte_ms: expected at most spec.deadline_ms",
        ),
        (
            Kind::Service,
            model(json!({"first_byte_ms": "soon"})),
            "spec.first_byte_ms: expected another value",
        ),
        (
            Kind::Service,
            plain(json!([]), call.clone()),
            "spec.backend.upstreams: expected at least one",
        ),
        (
            Kind::Service,
            plain(upstream.clone(), json!([])),
            "spec.backend.calls: expected at least one",
        ),
        (
            Kind::Service,
            plain(upstream.clone(), json!([{"method": "post", "path_prefix": "/"}])),
            "spec.backend.calls[0].method: expected",
        ),
        (
            Kind::Service,
            plain(upstream.clone(), json!([{"method": "POST", "path_prefix": "a"}])),
            "spec.backend.calls[0].path_prefix: expected",
        ),
    ];
    for (kind, spec, expected) in cases {
        let err = Spec::decode(kind, spec.clone()).and_then(|spec| spec.check()).unwrap_err();

        let text = err.to_string();
        assert!(text.starts_with(expected), "{kind} {spec}: {text}");
    }
}

#[test]
fn verify_defaults_are_the_careful_ones() {
    let Spec::Engine(engine) = Spec::decode(Kind::Engine, engine("main")).unwrap() else {
        panic!()
    };
    let service = Spec::decode(Kind::Service, service("main", "checklist")).unwrap();
    let Spec::Service(service) = service else { panic!() };
    let plan = Spec::decode(Kind::DrainPlan, drain("e1")).unwrap();
    let Spec::DrainPlan(plan) = plan else { panic!() };

    assert_eq!((engine.fencing, engine.role), (Fencing::Ignores, Role::Mixed));
    assert_eq!((service.deadline_ms, service.priority), (Millis::from_secs(60), 1));
    assert_eq!((plan.max_at_once, plan.min_serving), (1, 1));
}

#[test]
fn verify_changes_keep_references() {
    let strands = |text: &str| Some(text.to_owned());
    let cases = [
        (
            put("Engine/e4", engine("other")),
            strands("spec.pool: expected a declared EnginePool, but there is no other"),
        ),
        (
            put("EnginePool/new", pool(3)),
            strands(
                "spec.model: expected a declared ModelVersion, but there is none of checklist version 3",
            ),
        ),
        (
            put("Service/quick", service("none", "checklist")),
            strands("spec.backend.pool: expected a declared EnginePool"),
        ),
        (
            put("Service/quick", service("main", "dossier")),
            strands(
                "spec.backend.model: expected the model of EnginePool/main, which is not dossier",
            ),
        ),
        (
            put("DrainPlan/second", drain("e9")),
            strands("spec.target.engines[0]: expected engines of EnginePool/main, which has no e9"),
        ),
        (
            delete("ModelVersion/checklist-1"),
            strands(
                "ModelVersion/checklist-1 is still needed by EnginePool/main (spec.model), EnginePool/spare (spec.model); change that first",
            ),
        ),
        (delete("ModelVersion/checklist-2"), None),
        (
            delete("EnginePool/main"),
            strands(
                "EnginePool/main is still needed by Service/verdicts (spec.backend.pool), Engine/e1 (spec.pool), Engine/e2 (spec.pool), Engine/e3 (spec.pool), DrainPlan/first (spec.pool); change that first",
            ),
        ),
        (delete("EnginePool/spare"), None),
        (delete("Service/verdicts"), None),
        // A plan may outlive the engine that it drained.
        (delete("Engine/e1"), None),
        (put("EnginePool/main", pool(2)), None),
    ];
    for (change, expected) in cases {
        let result = change.check(&site()).map_err(|err| err.to_string());

        match expected {
            None => assert_eq!(result, Ok(()), "{}", change.key),
            Some(expected) => {
                let text = result.unwrap_err();
                assert!(text.starts_with(&expected), "{}: {text}", change.key);
            }
        }
    }
}

/// Symptom: a pool serves with fewer engines than its operator allows during planned changes.
/// Sequence: engines are deleted or moved one by one, each change looking harmless.
/// Cause: only references were checked, and an engine is referred to by nothing.
#[test]
fn verify_a_pool_keeps_its_least_number_of_engines() {
    let one_left = site().with_change(Revision(20), &delete("Engine/e1"));
    let cases = [
        (
            delete("Engine/e2"),
            "Engine/e2 is still needed by EnginePool/main (spec.min_serving is 2, left 1)",
        ),
        (put("Engine/e2", engine("spare")), "Engine/e2 is still needed by EnginePool/main"),
    ];
    for (change, expected) in cases {
        let text = change.check(&one_left).unwrap_err().to_string();

        assert!(text.starts_with(expected), "{text}");
    }
}

#[test]
fn verify_changes_of_one_resource_can_be_applied_twice() {
    let base = site();
    let change = put("Engine/e1", engine("spare"));

    let once = base.with_change(Revision(10), &change);
    let twice = once.with_change(Revision(10), &change);

    assert_eq!(once, twice);
    assert_eq!(once.get(&key("Engine/e1")).unwrap().version, Revision(10));
    assert_eq!(base.get(&key("Engine/e1")).unwrap().version, Revision(5));
}

#[test]
fn verify_expectations() {
    let cases = [
        (Expected::Absent, None, true),
        (Expected::Absent, Some(3), false),
        (Expected::Present, None, false),
        (Expected::Present, Some(3), true),
        (Expected::Version(Revision(3)), Some(3), true),
        (Expected::Version(Revision(3)), Some(4), false),
        (Expected::Version(Revision(3)), None, false),
    ];
    for (expected, standing, matches) in cases {
        assert_eq!(expected.matches(standing.map(Revision)), matches, "{expected:?} {standing:?}");
    }
}
