//! Tests authority while the table is unreachable, slow, or loses answers.

mod fixtures;

use anvilhook_core::orders::Term;
use anvilhook_core::units::Millis;
use anvilhook_standin::platform::{Loss, Reach};
use fixtures::{Fleet, FleetOptions, check_logs, load};

const LIMIT: Millis = Millis::from_secs(120);

fn all_meet(version: u64) -> impl Fn(&Fleet) -> bool {
    move |fleet| (0..2).all(|engine| fleet.meets(engine, &load(version)))
}

fn set_all_desired(fleet: &mut Fleet, version: u64) {
    for engine in 0..2 {
        fleet.set_desired(engine, load(version));
    }
}

/// Guards against an order that is given twice or never, or a pool without a holder. The answer to one
/// or several writes of a change is lost: before the effect, after it, or with a late effect. A write
/// in doubt must be read back.
#[tokio::test(flavor = "current_thread")]
async fn verify_any_write_may_lose_its_answer() {
    for loss in [Loss::BeforeEffect, Loss::AfterEffect, Loss::LateEffect] {
        for (passed, losses) in (0..30).map(|passed| (passed, 1 + passed % 3)) {
            let case = format!("{loss:?}, {losses} writes after {passed} writes");
            let mut fleet = Fleet::new(FleetOptions::default());
            for instance in &fleet.instances {
                instance.controller_view.faults().pass_next_writes(passed);
                instance.controller_view.faults().lose_next_writes(losses, loss);
            }
            set_all_desired(&mut fleet, 2);

            for _ in 0..80 {
                fleet.step().await;
                fleet.platform.land_late_writes();
            }

            fleet.run_until(LIMIT, &case, all_meet(2)).await;
            if losses == 1 {
                assert_eq!(fleet.row().unwrap().term, Term(1), "{case}: a needless take-over");
            }
            check_logs(&fleet, &case);
        }
    }
}

/// Guards against an order that is given without a valid lease, or a lost change. The table is
/// unreachable during a change for longer than a lease, and comes back. A holder must not rely on a
/// lease that it could not renew.
#[tokio::test(flavor = "current_thread")]
async fn verify_a_table_outage_stops_only_orders() {
    for reach in [Reach::Refusing, Reach::Cut, Reach::Hanging] {
        for before in [0, 2_000, 4_000, 10_000, 14_000] {
            let case = format!("{reach:?} {before} ms into the change");
            let mut fleet = Fleet::new(FleetOptions::default());
            fleet.run_for(Millis(3_000)).await;
            set_all_desired(&mut fleet, 2);
            fleet.run_for(Millis(before)).await;

            for index in 0..fleet.instances.len() {
                fleet.reach(index, reach, reach != Reach::Hanging);
            }
            fleet.run_for(Millis(10_000)).await;
            let given = |fleet: &Fleet| fleet.engines.each(|model| model.orders().len());
            let given_before = given(&fleet);
            fleet.run_for(Millis(20_000)).await;
            assert_eq!(given(&fleet), given_before, "{case}: no order without a lease");
            for index in 0..fleet.instances.len() {
                fleet.reach(index, Reach::Up, true);
            }

            fleet.run_until(LIMIT, &case, all_meet(2)).await;
            check_logs(&fleet, &case);
        }
    }
}

/// Guards against leases that lapse while the table is merely slow, because a step takes so long that
/// the renewal comes too late. Every call to the table takes up to a second.
#[tokio::test(flavor = "current_thread")]
async fn verify_a_slow_table_costs_time_only() {
    for delay in [Millis(250), Millis(500), Millis(1_000)] {
        let case = format!("a delay of {delay}");
        let mut fleet = Fleet::new(FleetOptions::default());
        for instance in &fleet.instances {
            instance.controller_view.faults().set_delay(delay);
        }
        set_all_desired(&mut fleet, 2);

        fleet.run_until(Millis::from_secs(300), &case, all_meet(2)).await;

        check_logs(&fleet, &case);
    }
}

/// Guards against a load on the table that grows with the fleet, because instances that hold no pool
/// renew or read leases too often. More instances run, with the same pools and no changes.
#[tokio::test(flavor = "current_thread")]
async fn verify_the_table_is_used_by_holders_only() {
    for instances in [3, 9, 27, 81] {
        let mut fleet = Fleet::new(FleetOptions { instances, pools: 2, ..FleetOptions::default() });
        fleet.run_for(Millis::from_secs(30)).await;
        let before = used(&fleet);
        fleet.run_for(Millis::from_secs(120)).await;
        let after = used(&fleet);

        let reads_per_s = (after.0 - before.0) as f64 / 120.0;
        let writes_per_s = (after.1 - before.1) as f64 / 120.0;
        println!("{instances} instances: {reads_per_s:.2} reads/s, {writes_per_s:.2} writes/s");
        assert!(writes_per_s <= 0.7, "{instances}: {writes_per_s}: one renewal in 3 s per holder");
        // Two pools, each with at most two reads per second of the row and of the session, and for
        // each instance occasional reads of the instances' rows.
        let bound = 2.0 * 2.0 * 2.0 + 0.2 * instances as f64;
        assert!(reads_per_s <= bound, "{instances}: {reads_per_s}");
    }
}

/// Returns the reads and the commits of all controllers.
fn used(fleet: &Fleet) -> (u64, u64) {
    let counts = fleet.instances.iter().map(|instance| instance.controller_view.counts());
    counts.fold((0, 0), |(reads, writes), counts| {
        (reads + counts.reads + counts.scans, writes + counts.commits)
    })
}
