//! Tests how often controllers read the records of all instances.

mod fixtures;

use anvilhook_core::units::Millis;
use fixtures::{Fleet, FleetOptions, check_logs, load};

/// Guards against table reads that grow with the fleet although nothing changes, because each
/// controller reads every instance's record. Only the holder of a pool with a drain needs them.
#[tokio::test(flavor = "current_thread")]
async fn verify_only_a_holder_that_drains_reads_all_instances() {
    for (notes_instances, idle_scans) in [(true, 0), (false, 1)] {
        let mut fleet = Fleet::new(FleetOptions { notes_instances, ..FleetOptions::default() });
        fleet.run_for(Millis::from_secs(20)).await;
        let scans = |fleet: &Fleet| fleet.platform.counts().scans;
        let controller_scans =
            |fleet: &Fleet, index: usize| fleet.instances[index].controller_view.counts().scans > 0;
        assert_eq!(controller_scans(&fleet, 0), idle_scans > 0, "idle, {notes_instances}");

        let before = scans(&fleet);
        fleet.set_desired(0, load(2));
        fleet.run_until(Millis::from_secs(60), "loaded", |fleet| fleet.meets(0, &load(2))).await;

        assert!(scans(&fleet) > before, "the instances were not read for the drain");
        check_logs(&fleet, "readings");
    }
}
