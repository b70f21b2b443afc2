//! Measures the sizes of the records that the control plane reads repeatedly.

use std::collections::BTreeMap;

use serde::Serialize;

use super::fleets::Fleet;

/// `Size` is the mean encoded size of one kind of records.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Size {
    /// The kind: the first two parts of a row's key, or another name.
    size_of: String,
    count: usize,
    mean_bytes: usize,
}

/// Measures the rows of a fleet's table, its entries in the instance list, and a resource in a
/// configuration that is sent over the peer link.
///
/// # Errors
///
/// Returns an error if the instance list cannot be read or a record cannot be encoded.
pub(super) fn measure_sizes(fleet: &Fleet) -> eyre::Result<Vec<Size>> {
    let mut found: BTreeMap<String, Vec<usize>> = BTreeMap::new();
    for row in fleet.platform.rows("") {
        let parts: Vec<&str> = row.key.as_str().split('/').take(2).collect();
        let is_single = row.key.as_str().matches('/').count() < 2;
        let kind = if is_single { parts[0].to_owned() } else { parts.join("/") };
        found.entry(kind).or_default().push(serde_json::to_vec(&row)?.len());
    }
    for line in fleet.listed()? {
        found
            .entry("a line of the list".into())
            .or_default()
            .push(serde_json::to_vec(&line)?.len());
    }
    let configuration = fleet.instances[0].follower.current();
    let resources = configuration.resources().count().max(1);
    let whole = serde_json::to_vec(configuration.as_ref())?.len();
    found.insert("a resource on the peer link".into(), vec![whole / resources; resources]);
    let size = |(size_of, bytes): (String, Vec<usize>)| Size {
        size_of,
        count: bytes.len(),
        mean_bytes: bytes.iter().sum::<usize>() / bytes.len(),
    };
    Ok(found.into_iter().map(size).collect())
}

/// Prints the sizes.
///
/// # Errors
///
/// Returns an error if a size cannot be encoded.
pub(super) fn print_sizes(sizes: &[Size], json: bool) -> eyre::Result<()> {
    for size in sizes {
        if json {
            println!("{}", serde_json::to_string(size)?);
        } else {
            println!(
                "size {:<28} {:>6} bytes, mean of {}",
                size.size_of, size.mean_bytes, size.count
            );
        }
    }
    Ok(())
}
