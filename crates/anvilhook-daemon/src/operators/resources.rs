//! Lists, reads, creates, replaces and deletes resources.

use std::sync::Arc;

use anvilhook_api::{ChangeAnswer, PutBody, Refusal, ResourceList, paths};
use anvilhook_core::names::ResourceName;
use anvilhook_core::resources::{Action, Change, Expected, Kind, Resource, ResourceKey, Spec};
use anvilhook_http::answers;
use anvilhook_platform::{ObjectStore, Table};
use anvilhook_store::{ChangeRequest, Error, StatusRecord};
use http::StatusCode;
use http::header::{ETAG, HeaderName, HeaderValue};

use super::endpoints::{Answer, Call, bad_request, not_found, ok, refuse};
use super::leases::LeaseSource;
use super::{OperatorApi, changes, refusals};

/// Answers with all resources at the applied revision, without their status.
pub(super) async fn configuration<T: Table, O: ObjectStore, L: LeaseSource>(
    api: Arc<OperatorApi<T, O, L>>,
    _call: Call,
) -> Answer {
    let cfg = api.follower.current();
    let items = cfg.resources().map(|resource| Resource::clone(resource)).collect();
    Ok(ok(&ResourceList { revision: cfg.revision(), items, status_missing: None }))
}

/// Answers with the resources of a kind and their status.
pub(super) async fn list<T: Table, O: ObjectStore, L: LeaseSource>(
    api: Arc<OperatorApi<T, O, L>>,
    call: Call,
) -> Answer {
    let kind = kind_of(&call)?;
    let cfg = api.follower.current();
    let mut items: Vec<Resource> =
        cfg.of_kind(kind).map(|resource| Resource::clone(resource)).collect();
    let status_missing = match api.statuses.of_kind(kind).await {
        Ok(records) => {
            fill_in(&mut items, records);
            None
        }
        Err(err) => Some(err.to_string()),
    };
    Ok(ok(&ResourceList { revision: cfg.revision(), items, status_missing }))
}

/// Answers with a resource and its status. The status is left out while the table is unavailable.
pub(super) async fn get<T: Table, O: ObjectStore, L: LeaseSource>(
    api: Arc<OperatorApi<T, O, L>>,
    call: Call,
) -> Answer {
    let key = key_of(&call)?;
    let cfg = api.follower.current();
    let Some(found) = cfg.get(&key) else {
        return Err(not_found(format!("{key} does not exist at {}", cfg.revision())));
    };
    let mut resource = Resource::clone(found);
    match api.statuses.of(&key).await {
        Ok(records) => {
            resource.status = records.into_iter().map(|record| record.condition).collect();
        }
        Err(err) => log::warn!("failed to read the status of {key}: {err}"),
    }
    let mut answer = ok(&resource);
    if let Ok(etag) = HeaderValue::from_str(&format!("\"{}\"", resource.version.0)) {
        answer.headers_mut().insert(ETAG, etag);
    }
    Ok(answer)
}

/// Creates a resource that must not exist yet.
pub(super) async fn create<T: Table, O: ObjectStore, L: LeaseSource>(
    api: Arc<OperatorApi<T, O, L>>,
    call: Call,
) -> Answer {
    let kind = kind_of(&call)?;
    let body = read_put(&call)?;
    let Some(name) = body.name.clone() else {
        return Err(Box::new(Refusal::bad_field("name", "the resource's name")));
    };
    let change = put(ResourceKey { kind, name }, body)?;
    submit(&api, &call, change, Expected::Absent).await
}

/// Creates or replaces the resource that the path names.
pub(super) async fn replace<T: Table, O: ObjectStore, L: LeaseSource>(
    api: Arc<OperatorApi<T, O, L>>,
    call: Call,
) -> Answer {
    let key = key_of(&call)?;
    let body = read_put(&call)?;
    let expected = changes::expected(&call, body.version)?;
    let change = put(key, body)?;
    submit(&api, &call, change, expected).await
}

/// Deletes the resource that the path names.
pub(super) async fn delete<T: Table, O: ObjectStore, L: LeaseSource>(
    api: Arc<OperatorApi<T, O, L>>,
    call: Call,
) -> Answer {
    let key = key_of(&call)?;
    let expected = changes::expected(&call, None)?;
    let change = Change { key: key.clone(), action: Action::Delete };
    let answer = submit(&api, &call, change, expected).await?;
    if answer.status().is_success() {
        // If this fails, the remaining status does little harm, since its resource does not exist.
        if let Err(err) = api.statuses.forget(&key).await {
            log::warn!("failed to delete the status of deleted {key}: {err}");
        }
    }
    Ok(answer)
}

/// Submits a change. Every answer carries the change's id in a header, so that the caller can query
/// the change's outcome even if it was refused or lost the rest of the answer.
async fn submit<T: Table, O: ObjectStore, L: LeaseSource>(
    api: &OperatorApi<T, O, L>,
    call: &Call,
    change: Change,
    expected: Expected,
) -> Answer {
    let id = changes::chosen_id(call)?.unwrap_or_else(|| api.draw_change_id());
    let key = change.key.clone();
    let subject = call.operator.subject.clone();
    let req = ChangeRequest { id, subject, at: (api.wall_clock)(), change, expected };
    let result = api.follower.change(&req).await;
    log_change(&req, &result);
    let mut answer = match result {
        Ok(accepted) => {
            let resource = accepted.configuration.get(&key).map(|found| Resource::clone(found));
            let revision = accepted.revision;
            let is_new = expected == Expected::Absent;
            let status = if is_new { StatusCode::CREATED } else { StatusCode::OK };
            answers::json(status, &ChangeAnswer { change_id: id, revision, resource })
        }
        Err(err) => refuse(*refusals::of_change(err)),
    };
    if let Ok(value) = HeaderValue::from_str(&id.to_string()) {
        answer.headers_mut().insert(HeaderName::from_static(paths::CHANGE_ID_HEADER), value);
    }
    Ok(answer)
}

fn log_change(req: &ChangeRequest, result: &Result<anvilhook_store::Accepted, Error>) {
    let (key, subject, id) = (&req.change.key, &req.subject, req.id);
    match result {
        Ok(accepted) => log::info!("{key} changed by {subject} as {}, {id}", accepted.revision),
        Err(err) => log::info!("change of {key} by {subject} not confirmed, {id}: {err}"),
    }
}

fn read_put(call: &Call) -> Answer<PutBody> {
    let mut de = serde_json::Deserializer::from_slice(&call.body);
    serde_path_to_error::deserialize(&mut de).map_err(|err| {
        let path = err.path().to_string();
        let message = format!("a resource as JSON: {}", err.inner());
        let field = if path == "." { "body" } else { path.as_str() };
        Box::new(Refusal::bad_field(field, message))
    })
}

fn put(key: ResourceKey, body: PutBody) -> Answer<Change> {
    if body.kind.is_some_and(|kind| kind != key.kind) {
        return Err(Box::new(Refusal::bad_field("kind", format!("{} as in the path", key.kind))));
    }
    if body.name.is_some_and(|name| name != key.name) {
        return Err(Box::new(Refusal::bad_field("name", format!("{} as in the path", key.name))));
    }
    let spec = Spec::decode(key.kind, body.spec).map_err(|err| Box::new(refusals::of_rule(err)))?;
    Ok(Change { key, action: Action::Put(spec) })
}

fn kind_of(call: &Call) -> Answer<Kind> {
    call.param("kind").parse().map_err(|err: anvilhook_core::Error| not_found(err.to_string()))
}

/// Returns the resource that the path names.
pub(super) fn key_of(call: &Call) -> Answer<ResourceKey> {
    let name = ResourceName::try_new(call.param("name"));
    let name = name.map_err(|err| bad_request(err.to_string()))?;
    Ok(ResourceKey { kind: kind_of(call)?, name })
}

/// Adds to each resource the conditions that were observed of it.
fn fill_in(items: &mut [Resource], records: Vec<StatusRecord>) {
    for record in records {
        let found = items.binary_search_by(|item| item.name.cmp(&record.key.name));
        if let Ok(index) = found {
            items[index].status.push(record.condition);
        }
    }
}
