//! How often keepers read all instances' records.

mod fixtures;

use anvilhook_core::units::Millis;
use fixtures::{Fleet, FleetOptions, check_logs, load};

/// Symptom: the table is read more and more as the fleet grows, though nothing changes.
/// Sequence: a fleet is idle; then an engine is drained, and is idle again.
/// Cause: each keeper reads every instance's record, where only the holder of a drain has to.
#[tokio::test(flavor = "current_thread")]
async fn verify_only_a_holder_that_drains_reads_all_instances() {
    for (notes_instances, idle_scans) in [(true, 0), (false, 1)] {
        let mut fleet = Fleet::new(FleetOptions { notes_instances, ..FleetOptions::default() });
        fleet.run_for(Millis::from_secs(20)).await;
        let scans = |fleet: &Fleet| fleet.platform.counts().scans;
        let keepers_scan =
            |fleet: &Fleet, index: usize| fleet.instances[index].keeper_view.counts().scans > 0;
        assert_eq!(keepers_scan(&fleet, 0), idle_scans > 0, "idle, {notes_instances}");

        let before = scans(&fleet);
        fleet.want(0, load(2));
        fleet.run_until(Millis::from_secs(60), "loaded", |fleet| fleet.meets(0, &load(2))).await;

        assert!(scans(&fleet) > before, "the drain reads the instances");
        check_logs(&fleet, "readings");
    }
}
