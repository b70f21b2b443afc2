//! Metrics of the whole instance, which are read when they are scraped.

use std::fmt;

use anvilhook_core::units::Clock;
use anvilhook_engine::Upstreams;
use anvilhook_peer::PeerHandle;
use anvilhook_platform::Table;
use anvilhook_store::ConfigurationFollower;
use prometheus_client::collector::Collector;
use prometheus_client::encoding::{DescriptorEncoder, EncodeMetric};
use prometheus_client::metrics::MetricType;
use prometheus_client::metrics::counter::ConstCounter;
use prometheus_client::metrics::gauge::ConstGauge;
use tokio::sync::watch;

use super::load_counts::LoadCounts;
use crate::front::Front;
use crate::proxy::Claims;

/// `InstanceCollector` collects metrics from the state of the instance's parts.
pub(super) struct InstanceCollector<C, U, K, T> {
    pub front: Front<C, U, K>,
    pub follower: ConfigurationFollower<T>,
    pub instances: watch::Sender<usize>,
    pub link: PeerHandle,
    pub load_counts: LoadCounts,
}

impl<C, U, K, T> fmt::Debug for InstanceCollector<C, U, K, T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("InstanceCollector").finish_non_exhaustive()
    }
}

impl<C: Clock, U: Upstreams, K: Claims, T: Table> Collector for InstanceCollector<C, U, K, T> {
    fn encode(&self, mut encoder: DescriptorEncoder<'_>) -> Result<(), fmt::Error> {
        let links = self.link.view().linked.len();
        let gauges = [
            ("open_requests", "Callers' requests in flight", self.front.in_flight()),
            (
                "configuration_revision",
                "Revision of the applied configuration",
                self.follower.revision().0,
            ),
            (
                "announced_instances",
                "Announced instances, including this one",
                *self.instances.borrow() as u64,
            ),
            ("peer_links", "Instances with an established link", links as u64),
        ];
        for (name, help, value) in gauges {
            let gauge = ConstGauge::new(i64::try_from(value).unwrap_or(i64::MAX));
            gauge.encode(encoder.encode_descriptor(name, help, None, MetricType::Gauge)?)?;
        }

        let counts = self.link.counts();
        let loads = self.load_counts.sums();
        let counters = [
            ("load_reports_read", "Engines' load reports read for all instances", loads.read),
            (
                "load_reports_read_missed",
                "Engines' load reports read because no digest arrived",
                loads.read_missed,
            ),
            ("load_digests_applied", "Digests of newer load reports from peers", loads.digests),
            ("peer_received_bytes", "Bytes received from peers", counts.bytes_in),
            ("peer_sent_bytes", "Bytes sent to peers", counts.bytes_out),
            ("peer_links_opened", "Links that were established", counts.links_opened),
            ("peer_links_closed", "Links that broke or were closed", counts.links_closed),
            ("peer_connections_refused", "Connections that did not prove the key", counts.refused),
        ];
        for (name, help, value) in counters {
            let counter = ConstCounter::new(value);
            counter.encode(encoder.encode_descriptor(name, help, None, MetricType::Counter)?)?;
        }
        Ok(())
    }
}
