//! Tests of what a gateway learns of the latency of readings and of the speed of upstreams.

mod support;

use std::sync::Arc;

use anvilhook_core::orders::Role;
use anvilhook_core::units::Millis;
use anvilhook_gateway::configs::Repeats;
use anvilhook_gateway::fleets::Entry;
use anvilhook_gateway::policies::Policy;
use anvilhook_gateway::wires::Load;
use support::fronts::{Front, ample_budget, config, start, with_long_timeouts};
use support::upstreams::{Received, Step, Upstream, engine, signed, stream};
use support::wires::entry;

const ONCE: Repeats = Repeats::Stream { resumable: false };

async fn front_of(learnt_speeds: bool, repeats: Repeats, entries: Vec<Entry>) -> Front {
    let config = with_long_timeouts(&config(repeats, 2, repeats == ONCE));
    let front = start(Some(config), entries, ample_budget()).await;
    front.gateway.set_policy(Policy { learnt_speeds, ..Policy::default() });
    front
}

/// Guards against a fixed latency that is learnt as work: the backlog of an engine would be overestimated,
/// and long prompts would seem too slow to be served.
#[tokio::test]
async fn verify_the_latency_of_readings_is_learnt_as_such() {
    for learnt_speeds in [true, false] {
        let reader = |received: &Received| match received.line.starts_with("DELETE") {
            true => vec![signed("200 OK", "")],
            false => vec![Step::Pause(60), signed("200 OK", "handle h1")],
        };
        let reader = Upstream::start(reader).await;
        let generator = Upstream::always(stream(1, 1)).await;
        let engines =
            vec![engine("r", &reader, Role::Prefill), engine("g", &generator, Role::Decode)];
        let front = front_of(learnt_speeds, ONCE, engines).await;

        for id in 0..12 {
            let headers = format!("T-Tokens: 400\r\nT-First-Part: {}\r\n", 20 + id);
            front.post_with_long_deadline(&format!("r{id}"), &headers, "prompt").await;
        }

        let cost = front.gateway.speeds().split_reading(&Arc::from("service"));
        assert_eq!(cost.fixed_ms > 40.0, learnt_speeds, "{cost:?}");
        assert!(cost.work_ms(400, 0) < 10.0, "{cost:?}");
    }
}

/// Guards against requests to a plain upstream that has become slow while another one, in another zone, is
/// idle.
#[tokio::test]
async fn verify_a_plain_upstream_that_becomes_slow_is_left() {
    const REQUESTS: usize = 6;
    for (learnt_speeds, expected) in [(true, 1..=4), (false, REQUESTS..=REQUESTS)] {
        let near = Upstream::always(vec![Step::Pause(400), signed("200 OK", "")]).await;
        let far = Upstream::always(vec![signed("200 OK", "")]).await;
        let far_entry = Entry { zone: "zone-b".into(), ..entry("far", far.address.port()) };
        let entries = vec![entry("near", near.address.port()), far_entry];
        let front = front_of(learnt_speeds, Repeats::Idempotent, entries).await;
        let speeds = front.gateway.speeds();
        speeds.record_report(&Arc::from("service"));
        (0..20).for_each(|_| _ = speeds.record_plain(&Arc::from("service"), 40.0, 1.0, false));

        for id in 0..REQUESTS {
            front.post_with_long_deadline(&format!("r{id}"), "", "").await;
        }

        let sent = near.received().len();
        assert!(expected.contains(&sent), "{learnt_speeds}: {sent} of {REQUESTS}");
    }
}

/// Guards against reports that are not used, or for longer than they are true, and against an operator who
/// can't see the speed that predictions use.
#[tokio::test]
async fn verify_a_reported_speed_is_used_while_it_is_fresh() {
    let front = front_of(true, Repeats::Idempotent, vec![entry("u1", 1)]).await;
    let state = Arc::clone(&front.gateway.fleet().view().get("u1").expect("listed").state);
    let load = Load { work_percent: Some(250), ..Load::default() };
    front.gateway.speeds().record_report(&Arc::from("service"));

    state.record_load(load, Millis(1_000));

    assert!((state.slowness_at(Millis(1_000)) - 2.5).abs() < 1e-9);
    assert_eq!(state.slowness_at(Millis(2_000)), 1.0);
    assert_eq!(state.slowness(), 1.0, "what is used while the policy is off");
    // Beyond the gateway's clock, so that the report is fresh when the metrics are read.
    state.record_load(load, Millis(60_000));
    let text = front.gateway.metrics_text();
    assert!(text.contains("anvilhook_gateway_upstream_slowness{name=\"u1\"} 2.5"), "{text}");
    front.gateway.set_policy(Policy { learnt_speeds: false, ..Policy::default() });
    let text = front.gateway.metrics_text();
    assert!(text.contains("anvilhook_gateway_upstream_slowness{name=\"u1\"} 1.0"), "{text}");
}
