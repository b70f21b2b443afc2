//! Demonstrates role planning: the mix of requests changes once, and the engines' roles follow it.
//!
//! The first part of the load consists of short questions, which mixed engines answer best. The
//! second part has long prompts with long outputs and little time between two tokens, for which
//! mixed engines are slow, since reading a prompt (prefill) delays the generation of other outputs.
//! The planner's times are short here, so that a role change is worth its cost within the run.

use std::sync::Arc;
use std::time::Duration;

use anvilhook_core::Verdict;
use anvilhook_core::orders::{Order, OrderReply, Role};
use anvilhook_core::resources::RolePolicy;
use anvilhook_core::roles::RoleCounts;
use anvilhook_core::units::Millis;
use anvilhook_daemon::proxy::Code;
use anvilhook_daemon::settings::RoleSettings;
use anvilhook_standin::engines::{AttemptEnd, EngineOptions, EngineServer, OrderRecord};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::plans::{arrivals, text};
use super::{Args, Body, CompletedRequest, Kind, Plan, Planned, Report, Row, Run, rows, table};
use crate::callers::{ChatCall, Outcome};
use crate::sites::{SiteOptions, model_ref, pool_with, redeclare};

/// The lengths of the two parts of the load.
const QUICK_SPAN: Millis = Millis::from_secs(8);
const LONG_SPAN: Millis = Millis::from_secs(60);

/// The requests per second in each part.
const QUICK_RATE: f64 = 10.0;
const LONG_RATE: f64 = 11.0;

/// The work of a request in each part: the bytes of the prompt and the tokens of output.
const QUICK_WORK: (usize, u64) = (1_200, 20);
const LONG_WORK: (usize, u64) = (8_000, 300);

/// The time limit of each request. A long output takes longer while the same engine reads prompts.
const DEADLINE: Millis = Millis::from_secs(18);

const ENGINES: usize = 8;
const INSTANCES: usize = 2;

/// The interval between two checks of the engines' orders.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Runs the demonstration and returns whether the run met all guarantees and roles followed the
/// mix.
///
/// # Errors
///
/// Returns an error if the site cannot be started or the report cannot be printed.
pub(super) async fn run(args: &Args) -> eyre::Result<bool> {
    let run = Run::start_site(&site_options(args.seed), INSTANCES).await?;
    let policy = RolePolicy {
        automatic: true,
        change_weight: 0.1,
        max_changing_share: 0.5,
        min_dwell_ms: Millis::from_secs(5),
    };
    redeclare(&run.site.platform, vec![pool_with(model_ref(), policy)]).await?;
    let plan = plan(args.seed);
    let watching = tokio::spawn(show_changes(Arc::clone(&run)));
    eprintln!(
        "seed {}: {} requests; the mix swings at {QUICK_SPAN}",
        args.seed,
        plan.requests.len()
    );
    let ended = run.execute(&plan, |_| {}).await;
    watching.abort();

    let rows = rows(&ended, &run.evidence());
    let engines = &run.site.engines;
    let roles = roles(engines);
    let cut: usize = changes(engines).map(|order| order.cut.len()).sum();
    let shared = engines.iter().flat_map(EngineServer::attempts);
    let shared = shared.filter(|it| it.end.is_some_and(|(end, _)| end == AttemptEnd::Prefilled));
    let followed = roles.prefill > 0 && roles.decode > 0;
    let (late, failed_otherwise) = failures(&ended);
    let kept = rows.iter().all(|row| row.violations() == 0) && cut == 0 && failed_otherwise == 0;
    if args.json {
        let rows = rows.iter().map(Row::report).collect();
        let report = Report { seed: args.seed, rows, sent_to_leaving: 0, kept: kept && followed };
        println!("{}", serde_json::to_string(&report)?);
    } else {
        print!("{}", table(&rows));
        println!(
            "roles at the end: {} prefill, {} decode, {} mixed after {} changes",
            roles.prefill,
            roles.decode,
            roles.mixed,
            changes(engines).count()
        );
        println!("prompts read for another engine: {}; cut by orders: {cut}", shared.count());
        println!("given up: {late} for their time; {failed_otherwise} for other reasons");
        if !followed {
            println!("no role followed the mix");
        }
    }
    Ok(kept && followed)
}

fn site_options(seed: u64) -> SiteOptions {
    SiteOptions {
        engines: ENGINES,
        plain: 0,
        engine: EngineOptions { role_change: Millis(500), ..EngineOptions::default() },
        roles: RoleSettings {
            plan_every_ms: Millis(1_000),
            change_ms: Millis::from_secs(4),
            horizon_ms: Millis::from_secs(60),
            memory_ms: Millis::from_secs(60),
        },
        seed,
        ..SiteOptions::default()
    }
}

fn plan(seed: u64) -> Plan {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let parts = [
        (Kind::QuickQuestion, Millis::ZERO, QUICK_SPAN, QUICK_RATE, QUICK_WORK),
        (Kind::LongDocument, QUICK_SPAN, LONG_SPAN, LONG_RATE, LONG_WORK),
    ];
    let mut requests = Vec::new();
    for (kind, from, span, rate, (bytes, max_tokens)) in parts {
        for at in arrivals(rate, span, &mut rng) {
            let prompt = text(bytes, &mut rng);
            let call = ChatCall { prompt, max_tokens, stream: true, deadline: DEADLINE };
            requests.push(Planned { at: from + at, kind, body: Body::Chat(call) });
        }
    }
    Plan { requests, faults: Vec::new() }
}

/// Counts the failed requests that may have run. Returns first those that exceeded a time limit,
/// which an overload explains, and then all others, which it does not explain.
fn failures(ended: &[CompletedRequest]) -> (usize, usize) {
    let timeout_codes = [Code::DeadlineExceeded.as_str(), Code::UpstreamTimeout.as_str()];
    let codes = ended.iter().filter_map(|request| match &request.outcome {
        Outcome::Failed { verdict, code } if *verdict != Verdict::NotRun => Some(code.as_str()),
        _ => None,
    });
    let (late, others): (Vec<&str>, Vec<&str>) =
        codes.partition(|code| timeout_codes.contains(code));
    (late.len(), others.len())
}

/// Prints each role change after its order has been accepted.
async fn show_changes(run: Arc<Run>) {
    let mut shown = vec![0; run.site.engines.len()];
    loop {
        for (index, engine) in run.site.engines.iter().enumerate() {
            let orders = engine.orders();
            for order in orders.iter().skip(shown[index]) {
                if let Some(role) = changed_role(order) {
                    let (at, cut) = (order.at, order.cut.len());
                    eprintln!("{:>6} ms  engine-{index} becomes {role:?}, {cut} cut", at.0);
                }
            }
            shown[index] = orders.len();
        }
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}

fn changes(engines: &[EngineServer]) -> impl Iterator<Item = OrderRecord> {
    let orders = engines.iter().flat_map(EngineServer::orders);
    orders.filter(|order| changed_role(order).is_some())
}

fn changed_role(order: &OrderRecord) -> Option<Role> {
    match (&order.order.order, &order.reply) {
        (Order::SetRole { role }, OrderReply::Accepted) => Some(*role),
        _ => None,
    }
}

/// Returns the number of engines in each role, by the last change that each engine accepted.
fn roles(engines: &[EngineServer]) -> RoleCounts {
    let mut counts = RoleCounts::default();
    for engine in engines {
        let last = engine.orders().iter().rev().find_map(changed_role);
        counts.add(last.unwrap_or(Role::Mixed));
    }
    counts
}
