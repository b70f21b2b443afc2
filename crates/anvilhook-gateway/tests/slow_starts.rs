//! Upstreams that are new, closed or full, as one of several instances sees them.

mod support;

use std::sync::Arc;

use anvilhook_core::orders::Role;
use anvilhook_core::units::{Clock, ManualClock, Millis, Tokens};
use anvilhook_gateway::caches::CacheIndex;
use anvilhook_gateway::configs::{EngineSpec, Repeats};
use anvilhook_gateway::fleets::{Entry, Fleet};
use anvilhook_gateway::peers::exchange;
use anvilhook_gateway::placements::{Placer, Request};
use anvilhook_gateway::policies::Policy;
use anvilhook_gateway::prompts::Prompt;
use anvilhook_gateway::slow_starts::Openings;
use anvilhook_gateway::speeds::EXPECTED_READING;
use anvilhook_gateway::wires::Load;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use support::clocks::TimerClock;
use support::fronts::{ample_budget, config, gateway, start_with_clock};
use support::until;
use support::upstreams::{Upstream, signed};
use support::wires::entry;
use tokio::net::{TcpListener, UdpSocket};

const INSTANCES: usize = 63;
const LISTED_AT: Millis = Millis(1_000);

fn decode_engine(id: &str, zone: &str) -> Entry {
    Entry { role: Some(Role::Decode), zone: Arc::from(zone), ..entry(id, 1) }
}

/// Returns how many instances place a prompt at the engine `wanted`, which is nearer than all others.
fn placed_at(fleet: &Fleet, wanted: &str, has_part: bool, now: Millis) -> usize {
    let engine = EngineSpec {
        slots: 4,
        kv_tokens: Tokens(100_000),
        kv_token_bytes: 1_000,
        link_mbps: 100_000.0,
        role_change: Millis(3_000),
    };
    let prompt = Prompt { model: Arc::from("m"), parts: Vec::new(), tokens: 300, max_output: 8 };
    let request = Request {
        service: "service",
        engine: &engine,
        prompt: &prompt,
        body_bytes: 4_000,
        avoid: &[],
        software: None,
        suspect: None,
        waits_since: Millis::ZERO,
    };
    let is_placed = |instance: &usize| {
        let openings = Openings { instance: *instance as u64, instances: INSTANCES };
        let placer = Placer {
            view: &fleet.view(),
            caches: &CacheIndex::new(),
            speed: &EXPECTED_READING,
            output_ms: 300.0,
            zone: "zone-a",
            far_update_delay_ms: 0.0,
            learnt_speeds: true,
            short_share: None,
            caches_across_versions: false,
            tightest: Millis::ZERO,
            instance: None,
            openings: has_part.then_some(openings),
            now,
        };
        let reader = fleet.view().get("far-1").cloned().expect("listed");
        let generator = placer.generator(&request, &reader).expect("there are some");
        &*generator.upstream.entry.id == wanted
    };
    (0..INSTANCES).filter(is_placed).count()
}

/// Guards against requests of all instances at an engine that has just been listed, and against an engine
/// that is withheld where most are new, where it alone has room, or without the part.
#[test]
fn verify_a_new_engine_opens_to_a_growing_share_of_the_instances() {
    let far = || ["far-1", "far-2", "far-3"].map(|id| decode_engine(id, "zone-b"));
    let with_new = || far().into_iter().chain([decode_engine("new", "zone-a")]);
    let fleet = Fleet::new();
    fleet.replace_at(None, far());
    fleet.replace_at(Some(LISTED_AT), with_new());
    let all_new = Fleet::new();
    all_new.replace_at(Some(LISTED_AT), with_new());
    let placed = |after| placed_at(&fleet, "new", true, LISTED_AT + Millis(after));

    let (at_once, halfway, later) = (placed(0), placed(400), placed(800));

    assert!(at_once <= 6 && at_once < halfway && halfway < 30, "{at_once} {halfway}");
    assert_eq!(later, INSTANCES);
    assert_eq!(placed_at(&fleet, "new", false, LISTED_AT), INSTANCES);
    assert_eq!(placed_at(&all_new, "new", true, LISTED_AT), INSTANCES);
    let full = Load { running: 4, waiting: 0, slots: 4, work_percent: None };
    for id in ["far-1", "far-2", "far-3"] {
        let view = fleet.view();
        let state = &view.get(id).expect("listed").state;
        state.record_load(full, LISTED_AT);
        state.mark_full(LISTED_AT);
    }
    assert_eq!(placed(0), INSTANCES, "no other has room");
}

/// Guards against the retry budget used up by one full engine, and against an engine that is passed over
/// although its load report shows free slots again, or that never reports again.
#[test]
fn verify_a_full_engine_is_passed_over_until_it_reports_room() {
    let fleet = Fleet::new();
    let engines = [("full", "zone-a"), ("far-1", "zone-b")];
    fleet.replace(engines.map(|(id, zone)| decode_engine(id, zone)));
    let view = fleet.view();
    let state = &view.get("full").expect("listed").state;
    let placed = |now| placed_at(&fleet, "full", true, now);

    state.record_load(Load { running: 4, waiting: 0, slots: 4, work_percent: None }, LISTED_AT);
    state.mark_full(LISTED_AT);
    let (full, expired) = (placed(LISTED_AT + Millis(1)), placed(LISTED_AT + Millis(401)));
    state.record_load(Load { running: 3, waiting: 0, slots: 4, work_percent: None }, LISTED_AT);

    assert_eq!((full, expired, placed(LISTED_AT + Millis(1))), (0, INSTANCES, INSTANCES));
    assert!(state.is_healthy(LISTED_AT), "it is not dead");
}

/// Guards against a dead upstream that is tried at once whenever its closed time ends, against one that is
/// never tried again, and against a new plain upstream that gets all at-most-once requests at once. Without
/// the part, the closed time is always the same.
#[tokio::test]
async fn verify_a_plain_upstream_is_closed_for_longer_and_opens_slowly() {
    for (has_part, attempts, closed_for) in [(true, [1, 1, 2], 1_600), (false, [1, 2, 3], 800)] {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let port = listener.local_addr().expect("an address").port();
        drop(listener);
        let other = Upstream::always(vec![signed("200 OK", "other")]).await;
        let new = Upstream::always(vec![signed("200 OK", "new")]).await;
        let far = Entry { zone: Arc::from("zone-b"), ..entry("other", other.address.port()) };
        let entries = || vec![entry("crashed", port), far.clone()];
        // By their hashes, neither `crashed` nor `new` is open to this instance at first.
        let (clock, config) = (ManualClock::new(), Some(config(Repeats::AtMostOnce, 2, false)));
        let front = start_with_clock(clock.clone(), config, entries(), ample_budget()).await;
        front.gateway.set_policy(Policy { slow_start: has_part, ..Policy::default() });
        let crashed = Arc::clone(front.gateway.fleet().view().get("crashed").expect("listed"));
        let tries = || {
            let text = front.gateway.metrics_text();
            let line = text.lines().find(|line| line.contains("cause=\"no_connection\""));
            line.and_then(|line| line.rsplit(' ').next()?.parse::<u32>().ok()).unwrap_or(0)
        };
        let gauge = |count: u32| {
            let line = format!("service_slow_starts{{name=\"service\"}} {count}\n");
            front.gateway.metrics_text().contains(&line)
        };

        for (wait, expected) in [0, 810, 820].into_iter().zip(attempts) {
            clock.advance(Millis(wait));
            let answer = front.post("r1", "", "").await;
            assert_eq!((answer.status, tries()), (200, expected), "{has_part}: {answer:?}");
            assert!(wait != 810 || gauge(u32::from(has_part)), "{has_part}");
        }
        let until = crashed.state.slow_start().closed_until(clock.now()).expect("it is closed");
        assert_eq!(until - clock.now(), Millis(closed_for), "{has_part}");

        let with_new = entries().into_iter().chain([entry("new", new.address.port())]);
        front.gateway.adopt_entries(with_new);
        front.post("r2", "", "").await;
        assert_eq!(new.received().len(), usize::from(!has_part));
        clock.advance(Millis(800));
        front.post("r3", "", "").await;
        assert_eq!(new.received().len(), 1 + usize::from(!has_part));
    }
}

/// Guards against a restarted engine that is closed because its earlier start refused connections.
#[tokio::test]
async fn verify_a_notice_of_an_earlier_start_does_not_close_a_later_one() {
    let (mut all, mut addresses) = (Vec::new(), Vec::new());
    for (number, born) in [(1, 1), (2, 2)] {
        let clock = TimerClock::new();
        let restarted = Entry { born: Some(born), ..entry("restarted", 1) };
        let config = Some(config(Repeats::AtMostOnce, 2, false));
        let gateway = gateway(clock, config, vec![restarted, entry("same", 1)], ample_budget());
        let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a port");
        addresses.iter().for_each(|address| gateway.peers().add(*address));
        addresses.push(socket.local_addr().expect("an address"));
        let rng = ChaCha8Rng::seed_from_u64(number);
        tokio::spawn(exchange(socket, number, rng, gateway.clone(), clock));
        all.push((gateway, clock));
    }
    let closed_until = |at: usize, id: &str| {
        let (gateway, clock) = &all[at];
        let upstream = Arc::clone(gateway.fleet().view().get(id).expect("listed"));
        upstream.state.slow_start().closed_until(clock.now())
    };

    for id in ["restarted", "same"] {
        let (gateway, clock) = &all[0];
        let upstream = Arc::clone(gateway.fleet().view().get(id).expect("listed"));
        upstream.state.close(Some(Millis(60_000)), clock.now()).expect("it was open");
    }

    until(|| closed_until(1, "same").is_some()).await;
    assert_eq!(closed_until(1, "restarted"), None);
}
