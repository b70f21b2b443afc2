//! Tests the rules of resources: fields, defaults, references, and which changes are refused because other
//! resources depend on the old state.

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
    engine_at(pool, 7000)
}

fn engine_at(pool: &str, port: u16) -> Value {
    json!({"pool": pool, "address": format!("127.0.0.1:{port}"), "zone": "piraeus"})
}

fn service(pool: &str, model: &str) -> Value {
    json!({"backend": {"type": "model", "pool": pool, "model": model}})
}

fn drain(engine: &str) -> Value {
    json!({"pool": "main", "target": {"engines": [engine]}})
}

/// Returns a configuration with two model versions, a pool of three engines, a spare pool, a service and a
/// drain plan.
fn base_configuration() -> Configuration {
    let changes = [
        put("ModelVersion/checklist-1", version(1)),
        put("ModelVersion/checklist-2", version(2)),
        put("EnginePool/main", pool(1)),
        put("EnginePool/spare", pool(1)),
        put("Engine/e1", engine_at("main", 7001)),
        put("Engine/e2", engine_at("main", 7002)),
        put("Engine/e3", engine_at("main", 7003)),
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

/// Returns the spec of a plain service with one upstream and one call.
fn plain_service() -> Value {
    let upstream = json!({"name": "a", "address": "127.0.0.1:1", "zone": "z"});
    let call = json!({"method": "POST", "path_prefix": "/alerts"});
    json!({"backend": {"type": "plain", "upstreams": [upstream], "calls": [call]}})
}

/// Returns a spec that satisfies all rules.
fn valid_spec(kind: Kind) -> Value {
    match kind {
        Kind::Account => json!({"token_sha256": [], "requests_per_s": 1, "open_requests": 1}),
        Kind::ModelVersion => version(1),
        Kind::EnginePool => json!({"model": {"model": "m", "version": 1}, "roles": {}}),
        Kind::Engine => engine("main"),
        Kind::Role => json!({"pool": "main", "role": "decode", "min_engines": 3, "max_engines": 4}),
        Kind::DrainPlan => drain("e1"),
        Kind::Service => plain_service(),
    }
}

#[test]
fn verify_bad_fields_are_named() {
    use Kind::*;
    // Kind, field, invalid value, and the expectation that the error states.
    let cases = [
        (Account, "token_sha256[0]", json!("ab"), "64 hexadecimal digits"),
        (Account, "requests_per_s", json!(0), "at least 1"),
        (Account, "requests_per_s", json!("1"), "another value: invalid type: string"),
        (Account, "colour", json!(1), "another value: unknown field `colour`"),
        (ModelVersion, "model.version", json!(0), "a version from 1"),
        (ModelVersion, "weights", json!(""), "the key of the weights"),
        (ModelVersion, "weight_bytes", json!(0), "at least 1 byte"),
        (EnginePool, "model.version", json!(0), "a version from 1"),
        (EnginePool, "model.model", json!("M"), "another value: \"M\" cannot name"),
        (EnginePool, "roles.change_weight", json!(-1.0), "a finite number from 0"),
        (EnginePool, "roles.max_changing_share", json!(1.5), "a share from 0 to 1"),
        (Engine, "address", json!("here"), "another value: invalid socket address"),
        (Engine, "address", json!("0.0.0.0:7000"), "an IP address and port"),
        (Engine, "address", json!("10.0.0.1:0"), "an IP address and port"),
        (Role, "max_engines", json!(2), "at least spec.min_engines"),
        (DrainPlan, "target.engines", json!([]), "at least one engine"),
        (DrainPlan, "target.engines[1]", json!("e1"), "an entry that is not listed before"),
        (DrainPlan, "max_at_once", json!(0), "at least 1"),
        (Service, "first_byte_ms", json!(0), "at least 1 ms"),
        (Service, "first_byte_ms", json!(70_000), "at most spec.deadline_ms"),
        (Service, "between_events_ms", json!(0), "at least 1 ms"),
        (Service, "max_body_bytes", json!(0), "at least 1 byte"),
        (Service, "backend.upstreams", json!([]), "at least one upstream"),
        (Service, "backend.upstreams[0].address", json!("0.0.0.0:1"), "an IP address and port"),
        (Service, "backend.calls", json!([]), "at least one call"),
        (Service, "backend.calls[0].method", json!("post"), "an HTTP method in capitals"),
        (Service, "backend.calls[0].path_prefix", json!("a"), "a path that begins with '/'"),
    ];
    for (kind, field, value, expected) in cases {
        let mut spec = valid_spec(kind);
        set(&mut spec, field, value);

        let err = Spec::decode(kind, spec.clone()).and_then(|spec| spec.check()).unwrap_err();

        let expected = format!("spec.{field}: expected {expected}");
        assert!(err.to_string().starts_with(&expected), "{kind} {field}: {err}");
    }
}

/// Sets the field at a path such as `a.b[0].c`. An index may be one past the end of its list.
fn set(spec: &mut Value, path: &str, value: Value) {
    let mut at = spec;
    for part in path.replace('[', ".").replace(']', "").split('.') {
        at = match part.parse::<usize>() {
            Ok(index) => {
                let list = at.as_array_mut().unwrap();
                list.resize(list.len().max(index + 1), Value::Null);
                &mut list[index]
            }
            Err(_) => &mut at[part],
        };
    }
    *at = value;
}

#[test]
fn verify_missing_fields_are_named() {
    let cases = [
        (Kind::Account, "open_requests", "spec.open_requests: expected a value"),
        (Kind::Engine, "zone", "spec.zone: expected a value"),
        (Kind::ModelVersion, "model", "spec.model: expected a value"),
        (Kind::Service, "backend", "spec.backend: expected a value"),
    ];
    for (kind, field, expected) in cases {
        let mut spec = valid_spec(kind);
        spec.as_object_mut().unwrap().remove(field);

        let err = Spec::decode(kind, spec).unwrap_err();

        assert_eq!(err.to_string(), expected);
    }
    let nested = json!({"model": {"model": "m"}});
    let err = Spec::decode(Kind::EnginePool, nested).unwrap_err();
    assert_eq!(err.to_string(), "spec.model.version: expected a value");
}

#[test]
fn verify_defaults_are_conservative() {
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
    let refused = [
        put("Engine/e4", engine("other")),
        put("EnginePool/new", pool(3)),
        put("Service/quick", service("none", "checklist")),
        put("Service/quick", service("main", "dossier")),
        put("DrainPlan/second", drain("e9")),
        delete("ModelVersion/checklist-1"),
        delete("EnginePool/main"),
    ];
    let reasons = "\
spec.pool: expected a declared EnginePool, but there is no other
spec.model: expected a declared ModelVersion, but there is none of checklist version 3
spec.backend.pool: expected a declared EnginePool, but there is no none
spec.backend.model: expected the model of EnginePool/main, which is not dossier
spec.target.engines[0]: expected engines of EnginePool/main, which has no e9
ModelVersion/checklist-1 is still needed by EnginePool/main (spec.model), \
EnginePool/spare (spec.model); change that first
EnginePool/main is still needed by Service/verdicts (spec.backend.pool), Engine/e1 (spec.pool), \
Engine/e2 (spec.pool), Engine/e3 (spec.pool), DrainPlan/first (spec.pool); change that first";

    let messages =
        refused.map(|change| change.check(&base_configuration()).unwrap_err().to_string());

    assert_eq!(messages.join("\n"), reasons);
}

/// Guards against an engine that is given conflicting orders, each under a valid lease. Its address is
/// declared again under another name in another pool. Authority is held per pool, so without this check the
/// two count as different engines.
#[test]
fn verify_nothing_is_declared_twice() {
    let bounds = json!({"pool": "main", "role": "decode", "min_engines": 1, "max_engines": 4});
    let account =
        json!({"token_sha256": ["ab".repeat(32)], "requests_per_s": 1, "open_requests": 1});
    let cfg = base_configuration()
        .with_change(Revision(10), &put("Role/decode", bounds.clone()))
        .with_change(Revision(11), &put("Account/cook", account.clone()));
    let refused = [
        put("Engine/e4", engine_at("spare", 7002)),
        put("ModelVersion/again", version(2)),
        put("Role/again", bounds.clone()),
        put("Account/again", account.clone()),
    ];
    let reasons = "\
spec.address: expected an address that no other engine has, but Engine/e2 has it
spec.model: expected a model and version that are not declared yet, but ModelVersion/checklist-2 has it
spec.role: expected a role that has no bounds in the pool yet, but Role/decode has it
spec.token_sha256[0]: expected a token that no other account has, but Account/cook has it";

    let messages = refused.map(|change| change.check(&cfg).unwrap_err().to_string());

    assert_eq!(messages.join("\n"), reasons);
    // Existing resources may be put again.
    for change in [put("Role/decode", bounds), put("Account/cook", account)] {
        assert_eq!(change.check(&cfg), Ok(()));
    }
}

#[test]
fn verify_unreferenced_resources_may_change() {
    let allowed = [
        delete("ModelVersion/checklist-2"),
        delete("EnginePool/spare"),
        delete("Service/verdicts"),
        // A plan may still exist after the engine that it drained is deleted.
        delete("Engine/e1"),
        put("EnginePool/main", pool(2)),
    ];
    for change in allowed {
        assert_eq!(change.check(&base_configuration()), Ok(()), "{}", change.key);
    }
}

/// Guards against a pool that serves with fewer engines than its operator allows during planned changes.
/// Engines are deleted one by one, and each deletion looks harmless. Checking references is not enough, since
/// nothing refers to an engine.
#[test]
fn verify_a_pool_keeps_its_minimum_number_of_engines() {
    let one_deleted = base_configuration().with_change(Revision(20), &delete("Engine/e1"));

    let err = delete("Engine/e2").check(&one_deleted).unwrap_err();

    let expected = "Engine/e2 is still needed by EnginePool/main (spec.min_serving is 2, left 1)";
    assert!(err.to_string().starts_with(expected), "{err}");
}

/// Guards against an engine that is given conflicting orders, each under a valid lease. The engine is moved
/// to another pool while the holder of its old pool has not yet received the change. Authority is held per
/// pool, and a replaced spec takes effect at a different time on each instance.
#[test]
fn verify_an_engine_stays_in_its_pool() {
    let err = put("Engine/e2", engine_at("spare", 7002)).check(&base_configuration()).unwrap_err();

    let expected = "spec.pool: expected main as declared; to move the engine drain it, delete it";
    assert!(err.to_string().starts_with(expected), "{err}");
}

#[test]
fn verify_changes_of_one_resource_can_be_applied_twice() {
    let base = base_configuration();
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
    for (expected, current, matches) in cases {
        assert_eq!(expected.matches(current.map(Revision)), matches, "{expected:?} {current:?}");
    }
}
