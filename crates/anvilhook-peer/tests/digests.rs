//! Computes the cost of polling engines and publishing load sections as the fleet grows, from the
//! functions that determine it.

use std::collections::{BTreeMap, BTreeSet};

use anvilhook_core::membership::{READERS, choose_readers};
use anvilhook_core::names::UpstreamName;
use anvilhook_core::orders::Role;
use anvilhook_core::reports::LoadReport;
use anvilhook_core::routing::PollOptions;
use anvilhook_core::units::{Millis, Tokens};
use anvilhook_peer::PeerAddress;
use anvilhook_peer::gossip::{
    EngineDigest, GossipOptions, LoadSection, ReportDigest, Section, choose_partners, hops_within,
    spacing, traffic,
};

/// How often a reader polls an engine.
const READS_PER_S: usize = 4;

/// Returns the section of an instance that polls `reads` engines and uses `uses` engines.
fn section(reads: usize, uses: usize) -> LoadSection {
    let engine: UpstreamName = "engine-1".parse().unwrap();
    let report = LoadReport {
        boot: 1,
        seq: 1,
        age: Millis(0),
        role: Role::Mixed,
        model: None,
        leaving: false,
        queued_requests: 0,
        queued_prefill: Tokens(0),
        running_requests: 0,
        running_decode: Tokens(0),
        prefill_tokens_per_s: 1,
        decode_step_ms: 1.0,
        decode_step_per_request_ms: 0.0,
        max_batch: 1,
    };
    let sent = EngineDigest {
        engine: engine.clone(),
        boot: 1,
        seq: 1,
        requests: 1,
        prefill: Tokens(1),
        decode: Tokens(1),
    };
    LoadSection { engines: vec![sent; uses], reports: vec![ReportDigest { engine, report }; reads] }
}

/// Returns the instances that receive the section of `from`, including itself.
fn reached(links: &BTreeMap<usize, BTreeSet<usize>>, from: usize, hops: u8) -> BTreeSet<usize> {
    let mut known = BTreeSet::from([from]);
    for _ in 0..hops {
        let next = known.iter().flat_map(|at| &links[at]).copied().collect::<Vec<_>>();
        known.extend(next);
    }
    known
}

/// Returns each instance's partners in both directions.
fn links(members: &[PeerAddress]) -> BTreeMap<usize, BTreeSet<usize>> {
    let (unreachable, options) = (BTreeSet::new(), GossipOptions::default().partners);
    let index: BTreeMap<_, _> = members.iter().map(|member| &member.name).zip(0..).collect();
    let mut links: BTreeMap<usize, BTreeSet<usize>> = BTreeMap::new();
    for (at, me) in members.iter().enumerate() {
        for partner in choose_partners(&me.name, &me.zone, members, &unreachable, &options) {
            let other = index[&partner.name];
            links.entry(at).or_default().insert(other);
            links.entry(other).or_default().insert(at);
        }
    }
    links
}

#[test]
fn verify_cost_of_digests_as_the_fleet_grows() {
    let (gossip, polling) = (GossipOptions::default(), PollOptions::default());
    println!(
        "instances engines | polls/s if all poll all | polls/s by readers, for missed engines | \
         bytes/s per node, interval in ms"
    );
    for (count, engine_count) in [(3, 12), (9, 12), (27, 42), (81, 125), (390, 600)] {
        let members: Vec<PeerAddress> = (0..count)
            .map(|at| PeerAddress {
                name: format!("entry-{at}").parse().unwrap(),
                zone: format!("zone-{}", at % 5).parse().unwrap(),
                address: ([127, 0, 0, 1], 1).into(),
            })
            .collect();
        let index: BTreeMap<_, _> = members.iter().map(|member| &member.name).zip(0..).collect();
        let readers = |engine: usize| -> Vec<usize> {
            let engine: UpstreamName = format!("engine-{engine}").parse().unwrap();
            let names = members.iter().map(|member| (&member.name, &member.zone));
            choose_readers(&engine, names).into_iter().map(|name| index[name]).collect()
        };
        let readers: Vec<Vec<usize>> = (0..engine_count).map(readers).collect();
        let pairs: usize = readers.iter().map(Vec::len).sum();

        // An instance uses as many engines at a time as it sends requests per second.
        let bytes = section(pairs.div_ceil(count), engine_count.min(9)).wire_bytes();
        let degree = gossip.partners.degree().min(count - 1);
        let budget = gossip.load_bytes_per_s;
        let hops = hops_within(count, degree, bytes, budget, gossip.max_relayed_load_interval);
        let sections = traffic(count, degree, hops);
        let every = spacing(sections, bytes, budget).max(gossip.load_interval);
        let bytes_per_s = sections as u64 * bytes as u64 * 1_000 / every.0;

        // An instance that receives no report of an engine polls the engine itself.
        let links = links(&members);
        let reach: Vec<_> = (0..count).map(|at| reached(&links, at, hops)).collect();
        let covered = |readers: &Vec<usize>| -> BTreeSet<usize> {
            readers.iter().flat_map(|at| reach[*at].iter().copied()).collect()
        };
        let mut missed = vec![0; count];
        for covered in readers.iter().map(covered) {
            (0..count).filter(|at| !covered.contains(at)).for_each(|at| missed[at] += 1);
        }
        let per_engine = polling.missed_every.0;
        let rate = |missed: &u64| (missed * 1_000 / per_engine).min(polling.missed_per_s);
        let (missed_reads, max_missed): (u64, u64) =
            (missed.iter().map(rate).sum(), missed.iter().copied().max().unwrap_or(0));
        let (reads, before) = (pairs * READS_PER_S, count * engine_count * READS_PER_S);
        let missing_none = missed.iter().filter(|missed| **missed == 0).count();
        println!(
            "{count} {engine_count} | {before} | {reads} {missed_reads} | {bytes_per_s}, {} | \
             hops {hops}, engines missed by one instance at most {max_missed}, instances that miss \
             none {missing_none}",
            every.0
        );

        assert_eq!(pairs, READERS * engine_count, "each engine must have {READERS} readers");
        assert!(bytes_per_s <= u64::from(budget), "{count}: {bytes_per_s}");
        assert!(missed_reads <= polling.missed_per_s * count as u64);
    }
}
