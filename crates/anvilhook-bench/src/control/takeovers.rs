//! How long engines go without an authority, by how their holder ended.

use std::time::{Duration, Instant};

use anvilhook_authority::POOL_PREFIX;
use anvilhook_core::authority::PoolRow;
use anvilhook_core::resources::Fencing;
use anvilhook_platform::ListedState;
use anvilhook_standin::platform::{Reach, Service};
use eyre::{OptionExt, WrapErr};

use super::fleets::{Fleet, LOOK};
use super::rows::Row;
use super::scenarios::{Findings, Usage, row};

/// The instances of a take-over, as many as a deployment has today.
const INSTANCES: usize = 9;

/// A guard against a take-over that never comes.
const GUARD: Duration = Duration::from_secs(60);

/// `End` is how a holder ends.
#[derive(Clone, Copy, Debug)]
enum End {
    /// It stops as planned and releases its lease.
    Released,
    /// It is killed, and the platform lists it as gone.
    Killed,
    /// It runs on without the table, and hears of its successor over the peer link.
    CutFromTable,
}

/// The cases that are measured.
const CASES: [(&str, Fencing, End); 6] = [
    ("take-over-checks-released", Fencing::Checks, End::Released),
    ("take-over-checks-killed", Fencing::Checks, End::Killed),
    ("take-over-checks-cut", Fencing::Checks, End::CutFromTable),
    ("take-over-ignores-released", Fencing::Ignores, End::Released),
    ("take-over-ignores-killed", Fencing::Ignores, End::Killed),
    ("take-over-ignores-cut", Fencing::Ignores, End::CutFromTable),
];

/// Measures all cases, each on a fleet of its own.
///
/// # Errors
///
/// Any failure of a part, or a take-over that does not come within the guard time.
pub(super) fn run_takeovers(memory_before: u64) -> eyre::Result<Vec<Row>> {
    let case = |(scenario, fencing, end): (&'static str, Fencing, End)| {
        run_case(scenario, fencing, end, memory_before)
            .wrap_err_with(|| format!("scenario {scenario}"))
    };
    CASES.into_iter().map(case).collect()
}

fn run_case(
    scenario: &'static str,
    fencing: Fencing,
    end: End,
    memory_before: u64,
) -> eyre::Result<Row> {
    let mut fleet = Fleet::start(INSTANCES, 1)?;
    let pool = usize::from(fencing == Fencing::Ignores);
    fleet.engines.want_adapter()?;
    wait_until("the first holder's orders", || fleet.engines.are_settled())?;
    let first_term = fleet.engines.pools[pool].ordered_term();
    let holder = holder(&fleet, pool)?;

    let before = Usage::now(&fleet)?;
    let ended_at = Instant::now();
    end_holder(&mut fleet, holder, end)?;
    // The successor's first order is one that is wanted since.
    fleet.engines.want_adapter()?;
    wait_until("the successor's orders", || fleet.engines.pools[pool].ordered_term() > first_term)?;
    let findings = Findings { take_over: Some(ended_at.elapsed()), ..Findings::default() };
    row(scenario, &fleet, memory_before, &before, findings)
}

/// Returns the place of the instance that holds a pool.
fn holder(fleet: &Fleet, pool: usize) -> eyre::Result<usize> {
    let key = format!("{POOL_PREFIX}{}", fleet.engines.pools[pool].name());
    let rows = fleet.platform.rows(&key);
    let row = rows.first().ok_or_eyre("the pool has no row")?;
    let row: PoolRow = serde_json::from_str(&row.value)?;
    let holder = row.holder.ok_or_eyre("the pool has no holder")?;
    let place = fleet.instances.iter().position(|found| found.address.name == holder.instance);
    place.ok_or_eyre("the holder is not of this fleet")
}

fn end_holder(fleet: &mut Fleet, holder: usize, end: End) -> eyre::Result<()> {
    match end {
        End::Released => fleet.instances[holder].stop_keeping(),
        End::Killed => {
            fleet.instances[holder].kill();
            fleet.list(holder, ListedState::Gone)?;
        }
        End::CutFromTable => {
            fleet.views[holder].faults().set_reach_of(Service::Table, Reach::Cut);
        }
    }
    Ok(())
}

fn wait_until(what: &str, met: impl Fn() -> bool) -> eyre::Result<()> {
    let started_at = Instant::now();
    while !met() {
        eyre::ensure!(started_at.elapsed() < GUARD, "{what} did not come");
        std::thread::sleep(LOOK);
    }
    Ok(())
}
