//! Counts the bytes of sent digests by section and scope.

use std::collections::BTreeMap;

use postcard::ser_flavors::Size;
use postcard::serialize_with_flavor;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use serde::Serialize;

use super::digests::{Digest, Scope};

/// `SectionLabels` name a section of the digests of one scope.
#[derive(Clone, Copy, Debug, EncodeLabelSet, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct SectionLabels {
    /// The scope of the digest: `instance`, `zone` or `far`.
    pub scope: &'static str,
    /// `loads`, `cached`, `notices`, `suspects`, `work`, `rows`, `usage` or `account_work`; `rest` is
    /// the sender's identity and the watches.
    pub section: &'static str,
}

/// `SectionBytes` counts the bytes of sent digests by section.
///
/// An instance on a narrow link answers late when its digests fill the link. The total does not
/// show which section to reduce; these counters do.
#[derive(Clone, Debug, Default)]
pub struct SectionBytes {
    bytes: Family<SectionLabels, Counter>,
}

impl SectionBytes {
    /// Returns the counters, for a metrics registry.
    pub(crate) fn family(&self) -> Family<SectionLabels, Counter> {
        self.bytes.clone()
    }

    /// Counts a digest of `len` bytes that was sent `times` times.
    ///
    /// ```
    /// use anvilhook_gateway::peers::{Digest, EngineLoad, SectionBytes};
    ///
    /// let load = EngineLoad { engine: 1, in_flight: 2, reading_ms: 3, fetching_ms: 4 };
    /// let digest = Digest { loads: vec![load], ..Digest::default() };
    /// let bytes = SectionBytes::default();
    /// bytes.record(&digest, 100, 2);
    /// assert_eq!(bytes.totals()["instance"]["loads"], 2 * 5);
    /// assert_eq!(bytes.totals()["instance"].values().sum::<u64>(), 2 * 100);
    /// ```
    pub fn record(&self, digest: &Digest, len: usize, times: usize) {
        let scope = scope_name(digest.scope);
        let sections = [
            ("loads", encoded_len(&digest.loads)),
            ("cached", encoded_len(&digest.cached)),
            ("notices", encoded_len(&digest.notices)),
            ("suspects", encoded_len(&digest.suspects)),
            ("work", encoded_len(&digest.work)),
            ("rows", encoded_len(&digest.rows)),
            ("usage", encoded_len(&digest.usage)),
            ("account_work", digest.account_work.as_ref().map_or(0, encoded_len)),
        ];
        let named: usize = sections.iter().map(|(_, len)| len).sum();
        for (section, len) in sections.into_iter().chain([("rest", len.saturating_sub(named))]) {
            let count = self.bytes.get_or_create(&SectionLabels { scope, section });
            count.inc_by((len * times) as u64);
        }
    }

    /// Returns the bytes sent so far, by scope and section.
    pub fn totals(&self) -> BTreeMap<&'static str, BTreeMap<&'static str, u64>> {
        const SCOPES: [&str; 3] = ["instance", "zone", "far"];
        const SECTIONS: [&str; 9] = [
            "loads",
            "cached",
            "notices",
            "suspects",
            "work",
            "rows",
            "usage",
            "account_work",
            "rest",
        ];
        let total = |scope, section| {
            self.bytes.get(&SectionLabels { scope, section }).map_or(0, |count| count.get())
        };
        let of = |scope| SECTIONS.map(|section| (section, total(scope, section))).into();
        SCOPES.map(|scope| (scope, of(scope))).into()
    }
}

fn scope_name(scope: Scope) -> &'static str {
    match scope {
        Scope::Instance => "instance",
        Scope::Zone(_) => "zone",
        Scope::Far => "far",
    }
}

/// Returns how many bytes a value takes in a datagram.
fn encoded_len<T: Serialize>(value: &T) -> usize {
    serialize_with_flavor(value, Size::default()).unwrap_or(0)
}
