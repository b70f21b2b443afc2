//! Measures how long engines are without an authority, depending on how their holder ended.

use std::time::{Duration, Instant};

use anvilhook_authority::POOL_PREFIX;
use anvilhook_core::authority::PoolRow;
use anvilhook_core::resources::Fencing;
use anvilhook_platform::ListedState;
use anvilhook_standin::platform::{Reach, Service};
use eyre::{OptionExt, WrapErr};

use super::fleets::{CHECK_INTERVAL, Fleet};
use super::rows::Row;
use super::scenarios::{Findings, Usage, row};

/// The number of instances in a take-over, as in the current deployments.
const INSTANCES: usize = 9;

/// The time limit for a take-over, after which the measurement fails.
const TAKE_OVER_LIMIT: Duration = Duration::from_secs(60);

/// `HolderExit` is the way in which a holder loses its pools.
#[derive(Clone, Copy, Debug)]
enum HolderExit {
    /// The holder stops as planned and releases its lease.
    Released,
    /// The holder is killed, and the platform lists it as gone.
    Killed,
    /// The holder keeps running without access to the table, and learns of its successor over the
    /// peer link.
    Partitioned,
}

/// The cases that are measured.
const CASES: [(&str, Fencing, HolderExit); 6] = [
    ("take-over-checks-released", Fencing::Checks, HolderExit::Released),
    ("take-over-checks-killed", Fencing::Checks, HolderExit::Killed),
    ("take-over-checks-cut", Fencing::Checks, HolderExit::Partitioned),
    ("take-over-ignores-released", Fencing::Ignores, HolderExit::Released),
    ("take-over-ignores-killed", Fencing::Ignores, HolderExit::Killed),
    ("take-over-ignores-cut", Fencing::Ignores, HolderExit::Partitioned),
];

/// Measures all cases, each on a separate fleet.
///
/// # Errors
///
/// Returns an error if a part fails or a take-over does not complete within the time limit.
pub(super) fn run_takeovers(memory_before: u64) -> eyre::Result<Vec<Row>> {
    let case = |(scenario, fencing, exit): (&'static str, Fencing, HolderExit)| {
        run_case(scenario, fencing, exit, memory_before)
            .wrap_err_with(|| format!("scenario {scenario}"))
    };
    CASES.into_iter().map(case).collect()
}

fn run_case(
    scenario: &'static str,
    fencing: Fencing,
    exit: HolderExit,
    memory_before: u64,
) -> eyre::Result<Row> {
    let mut fleet = Fleet::start(INSTANCES, 1)?;
    let pool = usize::from(fencing == Fencing::Ignores);
    fleet.engines.add_adapter()?;
    wait_until("the first holder's orders", || fleet.engines.are_settled())?;
    let first_term = fleet.engines.pools[pool].ordered_term();
    let holder = holder(&fleet, pool)?;

    let before = Usage::now(&fleet)?;
    let ended_at = Instant::now();
    stop_holder(&mut fleet, holder, exit)?;
    // The successor's first order is for an adapter that is requested only now.
    fleet.engines.add_adapter()?;
    wait_until("the successor's orders", || fleet.engines.pools[pool].ordered_term() > first_term)?;
    let findings = Findings { take_over: Some(ended_at.elapsed()), ..Findings::default() };
    row(scenario, &fleet, memory_before, &before, findings)
}

/// Returns the index of the instance that holds a pool.
fn holder(fleet: &Fleet, pool: usize) -> eyre::Result<usize> {
    let key = format!("{POOL_PREFIX}{}", fleet.engines.pools[pool].name());
    let rows = fleet.platform.rows(&key);
    let row = rows.first().ok_or_eyre("the pool has no row")?;
    let row: PoolRow = serde_json::from_str(&row.value)?;
    let holder = row.holder.ok_or_eyre("the pool has no holder")?;
    let index = fleet.instances.iter().position(|found| found.address.name == holder.instance);
    index.ok_or_eyre("the holder is not an instance of this fleet")
}

fn stop_holder(fleet: &mut Fleet, holder: usize, exit: HolderExit) -> eyre::Result<()> {
    match exit {
        HolderExit::Released => fleet.instances[holder].stop_controller(),
        HolderExit::Killed => {
            fleet.instances[holder].kill();
            fleet.list(holder, ListedState::Gone)?;
        }
        HolderExit::Partitioned => {
            fleet.views[holder].faults().set_reach_of(Service::Table, Reach::Cut);
        }
    }
    Ok(())
}

fn wait_until(what: &str, condition: impl Fn() -> bool) -> eyre::Result<()> {
    let started_at = Instant::now();
    while !condition() {
        eyre::ensure!(started_at.elapsed() < TAKE_OVER_LIMIT, "timed out while waiting for {what}");
        std::thread::sleep(CHECK_INTERVAL);
    }
    Ok(())
}
