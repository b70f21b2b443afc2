//! Tests planned changes of engines under load with complete daemon instances.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use anvilhook_bench::callers::{Caller, ChatCall, Outcome};
use anvilhook_bench::sites::{Site, SiteOptions, name, pool, redeclare};
use anvilhook_core::orders::{ModelRef, Order};
use anvilhook_core::resources::{ModelVersionSpec, Spec};
use anvilhook_core::units::{Millis, Tokens};
use anvilhook_standin::engines::{AttemptEnd, EngineOptions, EngineServer, expected_output};
use tokio::task::JoinHandle;

/// The interval between two checks of a condition that is waited for.
const CHECK_INTERVAL: Millis = Millis(20);

fn next_version() -> ModelRef {
    ModelRef { model: name("standin"), version: 2 }
}

/// Sends one question after the other until `done` is set, and returns the outcome of each.
fn spawn_caller(
    caller: Caller,
    instance: std::net::SocketAddr,
    number: usize,
    done: Arc<AtomicBool>,
) -> JoinHandle<Vec<(ChatCall, Outcome)>> {
    tokio::spawn(async move {
        let mut ended = Vec::new();
        while !done.load(Ordering::Acquire) {
            let prompt = format!("caller {number}, question {}", ended.len());
            let deadline = Millis::from_secs(20);
            let call = ChatCall { prompt, max_tokens: 20, stream: true, deadline };
            let outcome = caller.chat(instance, &call).await;
            ended.push((call, outcome));
        }
        ended
    })
}

fn has_loaded(engine: &EngineServer) -> bool {
    let wanted = Order::LoadModel { model: next_version() };
    engine.orders().iter().any(|record| record.order.order == wanted && record.end.is_some())
}

/// Guards against truncated answers when a model is replaced. A new version is declared, and the
/// engines drain, load it and return to service one after the other, while callers continue at both
/// instances. An answer is truncated if an engine gets its order while an instance still sends it
/// work or still waits for its answers.
#[tokio::test(flavor = "multi_thread")]
async fn verify_a_new_model_version_cuts_no_request() {
    let engine = EngineOptions { model_load: Millis(300), ..EngineOptions::default().faster(10.0) };
    let options = SiteOptions { engines: 3, engine, ..SiteOptions::default() };
    let site = Site::start(&options).await.expect("cannot start the site");
    let first = site.start_instance(0, 1).await.expect("cannot start the first instance");
    let second = site.start_instance(1, 2).await.expect("cannot start the second instance");
    let caller = Caller::try_new().expect("cannot create the caller");
    let done = Arc::new(AtomicBool::new(false));
    let instances = [first.addresses().callers, second.addresses().callers];
    let callers: Vec<_> = (0..6)
        .map(|i| spawn_caller(caller.clone(), instances[i % 2], i, Arc::clone(&done)))
        .collect();

    let weights = ModelVersionSpec {
        model: next_version(),
        weights: "weights/standin/2".to_owned(),
        weight_bytes: 16_000_000_000,
        kv_bytes_per_token: 131_072,
    };
    let version = (name("standin-2"), Spec::ModelVersion(weights));
    redeclare(&site.platform, vec![version]).await.expect("cannot declare the version");
    let pool = pool(next_version());
    redeclare(&site.platform, vec![pool]).await.expect("cannot change the pool");
    while !site.engines.iter().all(has_loaded) {
        tokio::time::sleep(CHECK_INTERVAL.as_duration()).await;
    }
    done.store(true, Ordering::Release);

    for task in callers {
        for (call, outcome) in task.await.expect("the caller's task panicked") {
            let expected = expected_output(&call.messages(), Tokens(call.max_tokens));
            let answer = outcome.answer().unwrap_or_else(|| panic!("{call:?}: {outcome:?}"));
            assert_eq!(answer.text, expected);
        }
    }
    for engine in &site.engines {
        let cut = |end| matches!(end, Some((AttemptEnd::Cut, _)));
        assert!(!engine.attempts().iter().any(|attempt| cut(attempt.end)));
        let orders = engine.orders();
        assert_eq!(orders.len(), 1, "each engine must receive the order once");
        assert!(orders[0].cut.is_empty(), "the order interrupted {:?}", orders[0].cut);
    }
    first.stop().await;
    second.stop().await;
}
