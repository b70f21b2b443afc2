//! Tests instances that race for many keys concurrently over HTTP, while answers are lost.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

use anvilhook_platform::{HttpPlatform, HttpPlatformOptions};
use anvilhook_standin::platform::{Loss, PlatformServer};
use anvilhook_store::claims::{ClaimOptions, ClaimOutcome};

use crate::fixtures::{Site, claims, outcome, request};

const INSTANCES: usize = 3;
const KEYS: u128 = 40;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn verify_racing_instances_run_each_key_at_most_once() {
    let site = Site::new();
    let runs = Arc::new(Mutex::new(BTreeMap::<u128, usize>::new()));
    let mut serving = Vec::new();
    let mut servers = Vec::new();
    for number in 1..=INSTANCES {
        let view = site.platform.for_caller(&format!("entry-{number}"));
        // Each instance loses its answers in a different pattern.
        for _ in 0..KEYS {
            view.faults().pass_next_writes(number);
            view.faults().lose_next_writes(1, Loss::AfterEffect);
            view.faults().lose_next_writes(number, Loss::BeforeEffect);
            view.faults().lose_next_writes(1, Loss::LateEffect);
        }
        let server = PlatformServer::start("127.0.0.1:0".parse().unwrap(), view).await.unwrap();
        let options = HttpPlatformOptions::default();
        let table = HttpPlatform::try_new(server.address(), &options).unwrap();
        let claims = claims(table, &site.clock, number, ClaimOptions::default());
        for key in 0..KEYS {
            let (claims, runs) = (claims.clone(), runs.clone());
            let req = request(&key.to_string(), "", key * 10 + number as u128);
            serving.push(tokio::spawn(async move {
                if let ClaimOutcome::Won(held) = claims.claim(&req).await {
                    *runs.lock().unwrap().entry(key).or_default() += 1;
                    let _ = claims.record(&held, outcome(b"{}")).await;
                }
            }));
        }
        servers.push(server);
    }

    for task in serving {
        task.await.unwrap();
        site.platform.land_late_writes();
    }

    let runs = runs.lock().unwrap();
    assert!(runs.values().all(|count| *count == 1), "{runs:?}");
    assert!(!runs.is_empty(), "no key was run at all");
    assert!(site.platform.counts().lost > 0, "no answer was lost");
}
