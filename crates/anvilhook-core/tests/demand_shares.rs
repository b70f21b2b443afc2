//! Tests how instances divide a budget by their requests.

use anvilhook_core::demand_shares::Demand;

fn sum(requests: &[u64], known: impl Fn(usize, usize) -> bool) -> f64 {
    let share = |own: usize| {
        let others = (0..requests.len()).filter(|other| *other != own && known(own, *other));
        let others: Vec<u64> = others.map(|other| requests[other]).collect();
        Demand {
            own: requests[own],
            others: others.iter().sum(),
            known_others: others.len(),
            instances: requests.len(),
        }
        .share()
    };
    (0..requests.len()).map(share).sum()
}

/// Guards against shares that add up to more than the budget, for any pairs of instances that know each other's requests.
#[test]
fn verify_shares_add_up_to_the_budget() {
    let cases: [(&str, Vec<u64>); 4] = [
        ("one alone", vec![7]),
        ("none gets any", vec![0; 9]),
        ("one gets all", vec![900, 0, 0, 0, 0]),
        ("hundreds", (0..390).collect()),
    ];
    for (name, requests) in cases {
        let zones = 3;
        let all_known = sum(&requests, |_, _| true);
        let none_known = sum(&requests, |_, _| false);
        let zones_known = sum(&requests, |own, other| own % zones == other % zones);

        for (which, sum) in [("all", all_known), ("none", none_known), ("zones", zones_known)] {
            assert!((sum - 1.0).abs() < 1e-9, "{name}, {which} known: {sum}");
        }
    }
}

/// Guards against a large sum when the requests of one instance reach no other instance, while it receives theirs.
#[test]
fn verify_an_instance_that_is_not_known_costs_at_most_its_equal_part() {
    let requests = [100, 0, 0, 0];

    let sum = sum(&requests, |own, other| own == 0 || other != 0);

    assert!(sum <= 1.0 + 0.75, "{sum}");
}

/// Guards against an instance without any budget until the others know of its requests.
#[test]
fn verify_an_instance_without_requests_keeps_a_part() {
    let idle = Demand { own: 0, others: 1_000, known_others: 8, instances: 9 };

    assert!(idle.share() > 0.02, "{}", idle.share());
}
