//! What is done to a fleet while it is measured.

use std::time::{Duration, Instant};

use anvilhook_core::units::{Millis, Revision};
use anvilhook_standin::platform::{Counts, Reach, Service};
use eyre::WrapErr;

use super::fleets::{Fleet, LOOK};
use super::processes::{control_cpu_secs, resident_bytes};
use super::rows::Row;
use super::sizes::{Size, measure_sizes};

/// A guard against a change that never comes into force.
const IN_FORCE_GUARD: Duration = Duration::from_secs(60);

/// How long the table is down after a change has been accepted.
const OUTAGE: Duration = Duration::from_secs(6);

/// The age up to which account demand counts as heard.
const FRESH_DEMAND: Millis = Millis(3_000);

/// `Plan` is what is asked of each size.
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
/// Any failure of a part, or a change that is not in force everywhere within the guard time.
pub(super) fn run_size(
    size: usize,
    plan: &Plan,
    memory_before: u64,
) -> eyre::Result<(Vec<Row>, Vec<Size>)> {
    let mut fleet = Fleet::start(size, plan.resources)
        .wrap_err_with(|| format!("a fleet of {size} instances"))?;
    let mut rows = vec![
        measure("quiet", &fleet, memory_before, || wait_out(plan))?,
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

/// `Findings` is what a scenario finds out by itself.
#[derive(Debug, Default)]
pub(super) struct Findings {
    pub(super) in_force: Vec<Duration>,
    pub(super) acks: Option<Duration>,
    pub(super) take_over: Option<Duration>,
}

/// `Usage` is what the fleet has used up to a moment.
pub(super) struct Usage {
    at: Instant,
    counts: Counts,
    peer_bytes: u64,
    cpu_secs: f64,
}

impl Usage {
    /// Reads what the fleet has used.
    ///
    /// # Errors
    ///
    /// If the kernel does not tell.
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

/// Makes the row of a scenario that has just ended.
///
/// # Errors
///
/// If the kernel does not tell what was used.
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
    let mut in_force = findings.in_force;
    in_force.sort_unstable();
    let (load_heard_share, demand_heard_share) = heard_shares(fleet);
    Ok(Row {
        scenario,
        instances,
        in_force_p50_ms: in_force.get(in_force.len() / 2).map(to_ms),
        in_force_max_ms: in_force.last().map(to_ms),
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

/// Returns the mean shares of the others whose load and fresh demand an instance holds.
fn heard_shares(fleet: &Fleet) -> (f64, f64) {
    let pairs = (fleet.instances.len() * (fleet.instances.len() - 1)) as f64;
    let mut load = 0;
    let mut demand = 0;
    for instance in &fleet.instances {
        load += instance.peers.view().load.len();
        demand += instance.fresh_demand(FRESH_DEMAND);
    }
    (load as f64 / pairs, demand as f64 / pairs)
}

/// Leaves the fleet alone.
fn wait_out(plan: &Plan) -> eyre::Result<Findings> {
    std::thread::sleep(Duration::from_secs(plan.seconds));
    Ok(Findings::default())
}

/// Makes changes on one instance after the other, spread over the scenario's time.
fn changes(fleet: &Fleet, plan: &Plan) -> eyre::Result<Findings> {
    let mut findings = Findings::default();
    let gap = Duration::from_secs(plan.seconds) / plan.changes.max(1);
    for number in 0..plan.changes as usize {
        let started_at = Instant::now();
        let at = number % fleet.instances.len();
        let revision = fleet.change(at, number)?;
        let accepted_at = Instant::now();
        findings.in_force.extend(wait_in_force(fleet, revision, accepted_at)?);
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
    let waker = std::thread::spawn(move || {
        std::thread::sleep(OUTAGE);
        faults.set_reach_of(Service::Table, Reach::Up);
    });
    let in_force = wait_in_force(fleet, revision, accepted_at);
    waker.join().map_err(|_| eyre::eyre!("the outage did not end"))?;
    Ok(Findings { in_force: in_force?, ..Findings::default() })
}

/// Starts one more instance while the table is down.
fn start_while_table_down(fleet: &mut Fleet, plan: &Plan, memory_before: u64) -> eyre::Result<Row> {
    let revision = fleet.change(0, 0)?;
    wait_in_force(fleet, revision, Instant::now())?;
    fleet.platform.faults().set_reach_of(Service::Table, Reach::Refusing);
    let before = Usage::now(fleet)?;
    let started_at = Instant::now();
    fleet.start_late_instance()?;
    let in_force = wait_in_force(fleet, revision, started_at);
    std::thread::sleep(Duration::from_secs(plan.seconds).saturating_sub(started_at.elapsed()));
    fleet.platform.faults().set_reach_of(Service::Table, Reach::Up);
    // Those that held the revision before have taken no time.
    let late = in_force?.pop().into_iter().collect();
    row(
        "start-table-down",
        fleet,
        memory_before,
        &before,
        Findings { in_force: late, ..Findings::default() },
    )
}

/// Has all instances acknowledge a drain at once, and waits until one of them has heard all.
fn acknowledgements(fleet: &Fleet, plan: &Plan) -> eyre::Result<Findings> {
    const GENERATION: u64 = 1;
    let started_at = Instant::now();
    for instance in &fleet.instances {
        instance.acknowledge(GENERATION);
    }
    let others = fleet.instances.len() - 1;
    while fleet.instances[0].acknowledged(GENERATION) < others {
        eyre::ensure!(started_at.elapsed() < IN_FORCE_GUARD, "acknowledgements are missing");
        std::thread::sleep(LOOK);
    }
    let acks = started_at.elapsed();
    std::thread::sleep(Duration::from_secs(plan.seconds).saturating_sub(acks));
    Ok(Findings { acks: Some(acks), ..Findings::default() })
}

/// Waits until a revision is in force on all instances, and returns how long each took.
fn wait_in_force(
    fleet: &Fleet,
    revision: Revision,
    accepted_at: Instant,
) -> eyre::Result<Vec<Duration>> {
    loop {
        let arrived: Option<Vec<Instant>> =
            fleet.instances.iter().map(|instance| instance.in_force_at(revision)).collect();
        if let Some(arrived) = arrived {
            let taken = |at: Instant| at.saturating_duration_since(accepted_at);
            return Ok(arrived.into_iter().map(taken).collect());
        }
        let waited = accepted_at.elapsed();
        eyre::ensure!(waited < IN_FORCE_GUARD, "revision {revision} is not in force everywhere");
        std::thread::sleep(LOOK);
    }
}
