//! Runs the scenarios on a fleet and measures each of them.

use std::time::{Duration, Instant};

use anvilhook_core::units::{Millis, Revision};
use anvilhook_standin::platform::{Counts, Reach, Service};
use eyre::WrapErr;

use super::fleets::{CHECK_INTERVAL, Fleet};
use super::processes::{control_cpu_secs, resident_bytes};
use super::rows::Row;
use super::sizes::{Size, measure_sizes};

/// The time limit for a change to be applied, after which the measurement fails.
const APPLY_LIMIT: Duration = Duration::from_secs(60);

/// The time for which the table is down after a change has been accepted.
const OUTAGE: Duration = Duration::from_secs(6);

/// The maximum age of account demand that is counted as received.
const FRESH_DEMAND: Millis = Millis(3_000);

/// `Plan` holds the parameters of the measurement at each fleet size.
#[derive(Clone, Debug)]
pub(super) struct Plan {
    pub(super) seconds: u64,
    pub(super) changes: u32,
    pub(super) resources: usize,
}

/// Measures all scenarios at one number of instances.
///
/// # Errors
///
/// Returns an error if a part fails or a change is not applied on all instances within the time
/// limit.
pub(super) fn run_size(
    size: usize,
    plan: &Plan,
    memory_before: u64,
) -> eyre::Result<(Vec<Row>, Vec<Size>)> {
    let mut fleet = Fleet::start(size, plan.resources)
        .wrap_err_with(|| format!("a fleet of {size} instances"))?;
    let mut rows = vec![
        measure("quiet", &fleet, memory_before, || stay_idle(plan))?,
        measure("peers", &fleet, memory_before, || changes(&fleet, plan))?,
        measure("drain-acks", &fleet, memory_before, || acknowledgements(&fleet, plan))?,
        measure("table-down", &fleet, memory_before, || outage(&fleet))?,
    ];
    fleet.set_linked(false)?;
    rows.push(measure("no-peers", &fleet, memory_before, || changes(&fleet, plan))?);
    rows.push(measure("table-down-no-peers", &fleet, memory_before, || outage(&fleet))?);
    fleet.set_linked(true)?;
    rows.push(start_while_table_down(&mut fleet, plan, memory_before)?);
    let sizes = measure_sizes(&fleet)?;
    Ok((rows, sizes))
}

/// `Findings` holds the times that only some scenarios measure.
#[derive(Debug, Default)]
pub(super) struct Findings {
    pub(super) apply_times: Vec<Duration>,
    pub(super) acks: Option<Duration>,
    pub(super) take_over: Option<Duration>,
}

/// `Usage` holds the resources that the fleet has used up to a point in time.
pub(super) struct Usage {
    at: Instant,
    counts: Counts,
    peer_bytes: u64,
    cpu_secs: f64,
}

impl Usage {
    /// Reads the fleet's current usage.
    ///
    /// # Errors
    ///
    /// Returns an error if the kernel does not report the processor time.
    pub(super) fn now(fleet: &Fleet) -> eyre::Result<Self> {
        let peer_bytes = fleet.instances.iter().map(|instance| {
            let counts = instance.peers.counts();
            counts.bytes_in + counts.bytes_out
        });
        Ok(Self {
            at: Instant::now(),
            counts: fleet.platform.counts(),
            peer_bytes: peer_bytes.sum(),
            cpu_secs: control_cpu_secs()?,
        })
    }
}

fn measure(
    scenario: &'static str,
    fleet: &Fleet,
    memory_before: u64,
    act: impl FnOnce() -> eyre::Result<Findings>,
) -> eyre::Result<Row> {
    let before = Usage::now(fleet)?;
    let findings = act().wrap_err_with(|| format!("scenario {scenario}"))?;
    row(scenario, fleet, memory_before, &before, findings)
}

/// Creates the row of a scenario that has just ended.
///
/// # Errors
///
/// Returns an error if the kernel does not report the usage.
pub(super) fn row(
    scenario: &'static str,
    fleet: &Fleet,
    memory_before: u64,
    before: &Usage,
    findings: Findings,
) -> eyre::Result<Row> {
    let after = Usage::now(fleet)?;
    let instances = fleet.instances.len();
    let secs = after.at.duration_since(before.at).as_secs_f64();
    let each = secs * instances as f64;
    let reads = |counts: &Counts| counts.reads + counts.scans;
    let mut apply_times = findings.apply_times;
    apply_times.sort_unstable();
    let (load_heard_share, demand_heard_share) = received_shares(fleet);
    Ok(Row {
        scenario,
        instances,
        in_force_p50_ms: apply_times.get(apply_times.len() / 2).map(to_ms),
        in_force_max_ms: apply_times.last().map(to_ms),
        acks_max_ms: findings.acks.as_ref().map(to_ms),
        take_over_ms: findings.take_over.as_ref().map(to_ms),
        table_reads_per_s: (reads(&after.counts) - reads(&before.counts)) as f64 / secs,
        table_writes_per_s: (after.counts.rows_written - before.counts.rows_written) as f64 / secs,
        list_calls_per_s: (after.counts.list_calls - before.counts.list_calls) as f64 / secs,
        peer_bytes_per_s: (after.peer_bytes - before.peer_bytes) as f64 / each,
        cpu_core_share: (after.cpu_secs - before.cpu_secs) / each,
        rss_bytes: resident_bytes()?.saturating_sub(memory_before) / instances as u64,
        load_heard_share,
        demand_heard_share,
    })
}

fn to_ms(duration: &Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}

/// Returns the mean shares of its peers whose load and whose fresh demand an instance has received.
fn received_shares(fleet: &Fleet) -> (f64, f64) {
    let pairs = (fleet.instances.len() * (fleet.instances.len() - 1)) as f64;
    let mut load = 0;
    let mut demand = 0;
    for instance in &fleet.instances {
        load += instance.peers.view().load.len();
        demand += instance.fresh_demand(FRESH_DEMAND);
    }
    (load as f64 / pairs, demand as f64 / pairs)
}

/// Waits for the scenario's time without any change.
fn stay_idle(plan: &Plan) -> eyre::Result<Findings> {
    std::thread::sleep(Duration::from_secs(plan.seconds));
    Ok(Findings::default())
}

/// Makes changes on the instances in turn, spread over the scenario's time.
fn changes(fleet: &Fleet, plan: &Plan) -> eyre::Result<Findings> {
    let mut findings = Findings::default();
    let gap = Duration::from_secs(plan.seconds) / plan.changes.max(1);
    for number in 0..plan.changes as usize {
        let started_at = Instant::now();
        let at = number % fleet.instances.len();
        let revision = fleet.change(at, number)?;
        let accepted_at = Instant::now();
        findings.apply_times.extend(wait_until_applied(fleet, revision, accepted_at)?);
        std::thread::sleep(gap.saturating_sub(started_at.elapsed()));
    }
    Ok(findings)
}

/// Takes the table down right after a change has been accepted.
fn outage(fleet: &Fleet) -> eyre::Result<Findings> {
    let revision = fleet.change(0, 0)?;
    let accepted_at = Instant::now();
    let faults = fleet.platform.faults();
    faults.set_reach_of(Service::Table, Reach::Refusing);
    let restorer = std::thread::spawn(move || {
        std::thread::sleep(OUTAGE);
        faults.set_reach_of(Service::Table, Reach::Up);
    });
    let apply_times = wait_until_applied(fleet, revision, accepted_at);
    restorer.join().map_err(|_| eyre::eyre!("the outage did not end"))?;
    Ok(Findings { apply_times: apply_times?, ..Findings::default() })
}

/// Starts one more instance while the table is down.
fn start_while_table_down(fleet: &mut Fleet, plan: &Plan, memory_before: u64) -> eyre::Result<Row> {
    let revision = fleet.change(0, 0)?;
    wait_until_applied(fleet, revision, Instant::now())?;
    fleet.platform.faults().set_reach_of(Service::Table, Reach::Refusing);
    let before = Usage::now(fleet)?;
    let started_at = Instant::now();
    fleet.start_late_instance()?;
    let apply_times = wait_until_applied(fleet, revision, started_at);
    std::thread::sleep(Duration::from_secs(plan.seconds).saturating_sub(started_at.elapsed()));
    fleet.platform.faults().set_reach_of(Service::Table, Reach::Up);
    // The other instances had applied the revision before, so only the time of the new one counts.
    let late = apply_times?.pop().into_iter().collect();
    row(
        "start-table-down",
        fleet,
        memory_before,
        &before,
        Findings { apply_times: late, ..Findings::default() },
    )
}

/// Lets all instances acknowledge a drain at once, and waits until one of them has received all
/// acknowledgements.
fn acknowledgements(fleet: &Fleet, plan: &Plan) -> eyre::Result<Findings> {
    const GENERATION: u64 = 1;
    let started_at = Instant::now();
    for instance in &fleet.instances {
        instance.acknowledge(GENERATION);
    }
    let others = fleet.instances.len() - 1;
    while fleet.instances[0].acknowledged(GENERATION) < others {
        eyre::ensure!(started_at.elapsed() < APPLY_LIMIT, "acknowledgements are missing");
        std::thread::sleep(CHECK_INTERVAL);
    }
    let acks = started_at.elapsed();
    std::thread::sleep(Duration::from_secs(plan.seconds).saturating_sub(acks));
    Ok(Findings { acks: Some(acks), ..Findings::default() })
}

/// Waits until all instances have applied a revision, and returns the time that each took.
fn wait_until_applied(
    fleet: &Fleet,
    revision: Revision,
    accepted_at: Instant,
) -> eyre::Result<Vec<Duration>> {
    loop {
        let arrived: Option<Vec<Instant>> =
            fleet.instances.iter().map(|instance| instance.applied_at(revision)).collect();
        if let Some(arrived) = arrived {
            let taken = |at: Instant| at.saturating_duration_since(accepted_at);
            return Ok(arrived.into_iter().map(taken).collect());
        }
        let waited = accepted_at.elapsed();
        eyre::ensure!(waited < APPLY_LIMIT, "revision {revision} is not applied on all instances");
        std::thread::sleep(CHECK_INTERVAL);
    }
}
