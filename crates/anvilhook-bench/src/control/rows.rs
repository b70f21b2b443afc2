//! Prints the measured rows and their slopes, and checks them against the bound.

use serde::Serialize;

/// The maximum time from the acceptance of a change until all instances have applied it.
const APPLY_BOUND_MS: f64 = 4_000.0;

/// `Row` holds the figures of one scenario at one number of instances.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Row {
    /// The name of the scenario.
    pub(super) scenario: &'static str,
    /// The number of instances.
    pub(super) instances: usize,
    /// The median over changes and instances of the time from acceptance until the change is
    /// applied.
    pub(super) in_force_p50_ms: Option<f64>,
    /// The longest such time.
    pub(super) in_force_max_ms: Option<f64>,
    /// The time until an instance had received all its peers' acknowledgements of a drain.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) acks_max_ms: Option<f64>,
    /// The time from the end of a holder until the last of its engines has accepted its successor's
    /// first order.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) take_over_ms: Option<f64>,
    /// Reads and scans of the table by all instances.
    pub(super) table_reads_per_s: f64,
    /// Rows written by all instances.
    pub(super) table_writes_per_s: f64,
    /// Reads of the instance list by all instances.
    pub(super) list_calls_per_s: f64,
    /// Bytes received and sent on the peer links of one instance.
    pub(super) peer_bytes_per_s: f64,
    /// The share of one core that one instance uses.
    pub(super) cpu_core_share: f64,
    /// Resident memory of one instance.
    pub(super) rss_bytes: u64,
    /// The share of its peers whose load digest an instance has received.
    pub(super) load_heard_share: f64,
    /// The share of its peers whose account demand of the last 3 s an instance has received.
    pub(super) demand_heard_share: f64,
}

/// `Slope` describes how a measured value grows with the number of instances, by least squares.
#[derive(Clone, Debug, Serialize)]
struct Slope {
    scenario: &'static str,
    slope_of: &'static str,
    per_instance: f64,
    at_none: f64,
}

/// Prints the rows.
///
/// # Errors
///
/// Returns an error if a row cannot be encoded.
pub(super) fn print_rows(rows: &[Row], json: bool) -> eyre::Result<()> {
    if json {
        for row in rows {
            println!("{}", serde_json::to_string(row)?);
        }
        return Ok(());
    }
    println!(
        "{:<26} {:>9} {:>9} {:>9} {:>9} {:>9} {:>8} {:>8} {:>9} {:>8} {:>8} {:>6} {:>6}",
        "scenario",
        "instances",
        "p50 ms",
        "max ms",
        "acks ms",
        "take ms",
        "reads/s",
        "writes/s",
        "peer B/s",
        "core %",
        "rss MB",
        "load",
        "demand"
    );
    let ms = |value: Option<f64>| value.map_or("-".to_owned(), |value| format!("{value:.0}"));
    for row in rows {
        println!(
            "{:<26} {:>9} {:>9} {:>9} {:>9} {:>9} {:>8.1} {:>8.1} {:>9.0} {:>8.3} {:>8.2} {:>6.2} {:>6.2}",
            row.scenario,
            row.instances,
            ms(row.in_force_p50_ms),
            ms(row.in_force_max_ms),
            ms(row.acks_max_ms),
            ms(row.take_over_ms),
            row.table_reads_per_s,
            row.table_writes_per_s,
            row.peer_bytes_per_s,
            row.cpu_core_share * 100.0,
            row.rss_bytes as f64 / 1e6,
            row.load_heard_share,
            row.demand_heard_share,
        );
    }
    Ok(())
}

/// Checks that all instances applied each change in time, also while the table was down.
///
/// # Errors
///
/// Returns an error for the first row that exceeds the bound.
pub(super) fn check_bounds(rows: &[Row]) -> eyre::Result<()> {
    // Without peers and without the table no change can be applied before the table is back.
    let bounded = rows.iter().filter(|row| row.scenario != "table-down-no-peers");
    for row in bounded {
        let longest = row.in_force_max_ms.unwrap_or_default();
        eyre::ensure!(
            longest <= APPLY_BOUND_MS,
            "{} at {} instances: applied on all instances after {longest:.0} ms, expected at most {APPLY_BOUND_MS} ms",
            row.scenario,
            row.instances
        );
    }
    Ok(())
}

/// Prints the slopes of all scenarios that were measured at two or more sizes.
///
/// # Errors
///
/// Returns an error if a slope cannot be encoded.
pub(super) fn print_slopes(rows: &[Row], json: bool) -> eyre::Result<()> {
    let mut scenarios: Vec<&'static str> = rows.iter().map(|row| row.scenario).collect();
    scenarios.dedup();
    scenarios.sort_unstable();
    scenarios.dedup();
    for scenario in scenarios {
        let rows: Vec<&Row> = rows.iter().filter(|row| row.scenario == scenario).collect();
        for slope in slopes(scenario, &rows) {
            if json {
                println!("{}", serde_json::to_string(&slope)?);
            } else {
                println!(
                    "slope {scenario:<22} {:<20} {:>12.4} an instance, {:>12.4} at none",
                    slope.slope_of, slope.per_instance, slope.at_none
                );
            }
        }
    }
    Ok(())
}

fn slopes(scenario: &'static str, rows: &[&Row]) -> Vec<Slope> {
    type Value = fn(&Row) -> f64;
    let values: [(&'static str, Value); 6] = [
        ("table_reads_per_s", |row| row.table_reads_per_s),
        ("table_writes_per_s", |row| row.table_writes_per_s),
        ("list_calls_per_s", |row| row.list_calls_per_s),
        ("peer_bytes_per_s", |row| row.peer_bytes_per_s),
        ("cpu_core_share", |row| row.cpu_core_share),
        ("rss_bytes", |row| row.rss_bytes as f64),
    ];
    let slope = |(slope_of, value): (&'static str, Value)| {
        let points: Vec<(f64, f64)> =
            rows.iter().map(|row| (row.instances as f64, value(row))).collect();
        let (per_instance, at_none) = least_squares(&points)?;
        Some(Slope { scenario, slope_of, per_instance, at_none })
    };
    values.into_iter().filter_map(slope).collect()
}

/// Returns the slope and the value at zero of the line through the points, if there is one.
fn least_squares(points: &[(f64, f64)]) -> Option<(f64, f64)> {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let spread: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    let common: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
    (spread > 0.0).then(|| (common / spread, mean_y - common / spread * mean_x))
}
