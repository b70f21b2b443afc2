//! Checks the guarantees in a short run of the local demonstration with faults.

use anvilhook_bench::local::{Plan, PlanOptions, Run, rows};
use anvilhook_core::units::Millis;

#[tokio::test(flavor = "multi_thread")]
async fn verify_a_run_with_faults_keeps_its_promises() {
    let options = PlanOptions {
        seed: 3,
        span: Millis::from_secs(4),
        scale: 0.5,
        engines: 6,
        plain: 3,
        instances: 3,
    };
    let plan = Plan::new(&options);
    let run = Run::start(&options).await.expect("cannot start the site");

    let ended = run.execute(&plan, |_fault| {}).await;

    let rows = rows(&ended, &run.evidence());
    assert_eq!(ended.len(), plan.requests.len());
    let violations: u64 = rows.iter().map(|row| row.violations()).sum();
    assert_eq!(violations, 0, "{rows:?}");
    assert!(rows.iter().all(|row| row.answered > 0), "{rows:?}");
    assert_eq!(run.sent_to_leaving(), 0);
}
