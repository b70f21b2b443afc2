//! Metrics of the caller front, stored in atomics.
//!
//! The metrics library's families and histograms take a lock at each observation. Here, each
//! service has its counters in arrays of atomics, which the library reads only when metrics are
//! scraped.

use std::fmt;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use anvilhook_core::Verdict;
use anvilhook_core::names::ServiceName;
use anvilhook_core::units::Millis;
use arc_swap::ArcSwap;
use prometheus_client::collector::Collector;
use prometheus_client::encoding::{DescriptorEncoder, EncodeMetric, NoLabelSet};
use prometheus_client::metrics::MetricType;
use prometheus_client::metrics::counter::{ConstCounter, Counter};
use prometheus_client::registry::Registry;

use crate::proxy::{Code, Failure};

/// The upper bounds of the latency buckets, in milliseconds.
const BUCKETS_MS: [u64; 14] =
    [1, 2, 5, 10, 25, 50, 100, 250, 500, 1_000, 2_500, 5_000, 15_000, 60_000];

/// The service label of requests for which no service was found.
const NO_SERVICE: &str = "";

const VERDICTS: [Verdict; 3] = [Verdict::NotRun, Verdict::MayHaveRun, Verdict::Ran];

/// `Latencies` is a histogram of latencies.
#[derive(Debug, Default)]
pub struct Latencies {
    counts: [AtomicU64; BUCKETS_MS.len() + 1],
    sum_ms: AtomicU64,
}

impl Latencies {
    /// Counts one latency.
    pub fn observe(&self, time: Millis) {
        let bucket = BUCKETS_MS.partition_point(|bound| *bound < time.0);
        self.counts[bucket].fetch_add(1, Ordering::Relaxed);
        self.sum_ms.fetch_add(time.0, Ordering::Relaxed);
    }

    /// Returns the sum in seconds, the count, and the counts by upper bound in seconds.
    fn read(&self) -> (f64, u64, Vec<(f64, u64)>) {
        let bounds = BUCKETS_MS.iter().map(|ms| Millis(*ms).as_secs_f64());
        let bounds = bounds.chain(std::iter::once(f64::MAX));
        let counts = self.counts.iter().map(|count| count.load(Ordering::Relaxed));
        let buckets: Vec<(f64, u64)> = bounds.zip(counts).collect();
        let sum = Millis(self.sum_ms.load(Ordering::Relaxed)).as_secs_f64();
        (sum, buckets.iter().map(|(_, count)| count).sum(), buckets)
    }
}

/// `ServiceMetrics` counts one service's requests.
#[derive(Debug)]
pub struct ServiceMetrics {
    service: String,
    /// Requests answered by an upstream.
    pub answered: Counter,
    /// Times from a request's arrival to the head of its answer.
    pub first_byte: Latencies,
    /// Times from a request's arrival to the end of its answer.
    pub whole: Latencies,
    /// Streams whose caller disconnected.
    pub abandoned: Counter,
    /// Attempts after a request's first.
    pub retries: Counter,
    /// Streams resumed at an engine.
    pub resumes: Counter,
    failed: Vec<[AtomicU64; VERDICTS.len()]>,
}

impl ServiceMetrics {
    fn new(service: &str) -> Self {
        let zeros = || [const { AtomicU64::new(0) }; VERDICTS.len()];
        Self {
            service: service.to_owned(),
            answered: Counter::default(),
            first_byte: Latencies::default(),
            whole: Latencies::default(),
            abandoned: Counter::default(),
            retries: Counter::default(),
            resumes: Counter::default(),
            failed: Code::ALL.iter().map(|_| zeros()).collect(),
        }
    }

    /// Counts a request that was not answered.
    pub fn failed(&self, failure: &Failure) {
        self.failed[failure.code as usize][failure.verdict as usize]
            .fetch_add(1, Ordering::Relaxed);
    }
}

/// `FrontMetrics` counts the requests of all services. Clones share the counts.
#[derive(Clone)]
pub struct FrontMetrics {
    services: Arc<ArcSwap<Vec<Arc<ServiceMetrics>>>>,
    unknown: Arc<ServiceMetrics>,
}

impl FrontMetrics {
    /// Creates the metrics and registers them.
    pub fn new(registry: &mut Registry) -> Self {
        let unknown = Arc::new(ServiceMetrics::new(NO_SERVICE));
        let services = Arc::new(ArcSwap::from_pointee(vec![Arc::clone(&unknown)]));
        let metrics = Self { services, unknown };
        registry.register_collector(Box::new(metrics.clone()));
        metrics
    }

    /// Returns the metrics of a service. They are retained after the service is removed from the
    /// configuration.
    pub fn service(&self, name: &ServiceName) -> Arc<ServiceMetrics> {
        let known = self.services.load();
        let found = known.iter().find(|metrics| metrics.service == name.as_str());
        if let Some(found) = found {
            return Arc::clone(found);
        }
        let added = Arc::new(ServiceMetrics::new(name.as_str()));
        self.services.rcu(|known| {
            let mut grown = Vec::clone(known);
            grown.push(Arc::clone(&added));
            grown
        });
        added
    }

    /// Returns the metrics of requests for which no service was found.
    pub fn unknown(&self) -> &Arc<ServiceMetrics> {
        &self.unknown
    }
}

impl Collector for FrontMetrics {
    fn encode(&self, mut encoder: DescriptorEncoder<'_>) -> fmt::Result {
        let services = self.services.load();
        let named = services.iter().filter(|metrics| metrics.service != NO_SERVICE);
        let named: Vec<&Arc<ServiceMetrics>> = named.collect();
        encode_requests(&mut encoder, &services)?;

        encode_latencies(
            &mut encoder,
            "first_byte_seconds",
            "Time from a request's arrival to the head of its answer",
            &named,
            |metrics| &metrics.first_byte,
        )?;
        encode_latencies(
            &mut encoder,
            "answer_seconds",
            "Time from a request's arrival to the end of its answer",
            &named,
            |metrics| &metrics.whole,
        )?;
        encode_counters(&mut encoder, "retries", "Attempts after the first", &named, |metrics| {
            &metrics.retries
        })?;
        encode_counters(
            &mut encoder,
            "abandoned_streams",
            "Streams whose caller disconnected",
            &named,
            |metrics| &metrics.abandoned,
        )?;
        encode_counters(
            &mut encoder,
            "resumed_streams",
            "Streams resumed at their engine over a new connection",
            &named,
            |metrics| &metrics.resumes,
        )
    }
}

impl fmt::Debug for FrontMetrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("FrontMetrics").finish_non_exhaustive()
    }
}

fn encode_requests(
    encoder: &mut DescriptorEncoder<'_>,
    services: &[Arc<ServiceMetrics>],
) -> fmt::Result {
    let help = "Requests of callers by outcome";
    let mut family = encoder.encode_descriptor("requests", help, None, MetricType::Counter)?;
    for metrics in services {
        let service = metrics.service.as_str();
        let answered = [("service", service), ("outcome", "answered"), ("verdict", "ran")];
        let count = ConstCounter::new(metrics.answered.get());
        count.encode(family.encode_family(&answered)?)?;
        for (code, counts) in Code::ALL.iter().zip(&metrics.failed) {
            for (verdict, count) in VERDICTS.iter().zip(counts) {
                let count = count.load(Ordering::Relaxed);
                // Most pairs never occur, so pairs with a count of zero are left out.
                if count == 0 {
                    continue;
                }
                let labels = [
                    ("service", service),
                    ("outcome", code.as_str()),
                    ("verdict", verdict.as_str()),
                ];
                ConstCounter::new(count).encode(family.encode_family(&labels)?)?;
            }
        }
    }
    Ok(())
}

fn encode_counters(
    encoder: &mut DescriptorEncoder<'_>,
    name: &str,
    help: &str,
    services: &[&Arc<ServiceMetrics>],
    counter: impl Fn(&ServiceMetrics) -> &Counter,
) -> fmt::Result {
    let mut family = encoder.encode_descriptor(name, help, None, MetricType::Counter)?;
    for metrics in services {
        let labels = [("service", metrics.service.as_str())];
        let count = ConstCounter::new(counter(metrics).get());
        count.encode(family.encode_family(&labels)?)?;
    }
    Ok(())
}

fn encode_latencies(
    encoder: &mut DescriptorEncoder<'_>,
    name: &str,
    help: &str,
    services: &[&Arc<ServiceMetrics>],
    latencies: impl Fn(&ServiceMetrics) -> &Latencies,
) -> fmt::Result {
    let mut family = encoder.encode_descriptor(name, help, None, MetricType::Histogram)?;
    for metrics in services {
        let labels = [("service", metrics.service.as_str())];
        let (sum, count, buckets) = latencies(metrics).read();
        let mut histogram = family.encode_family(&labels)?;
        histogram.encode_histogram::<NoLabelSet>(sum, count, &buckets, None)?;
    }
    Ok(())
}
