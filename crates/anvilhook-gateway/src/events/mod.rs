//! The events that an instance logs, with their fields.
//!
//! A line is logged for each decision that affects a request or changes the instance's cached state. An
//! event's level and target determine whether it is retained when lines are produced faster than they can be
//! written: requests that simply succeed are dropped first, before events above `Info` and events about
//! cached state.

mod duties;
mod instances;
mod requests;
mod upstreams;

use std::sync::LazyLock;

use log::Level;
use log::kv::{Error, Key, Source, Value, VisitSource};
use prometheus_client::metrics::counter::Counter;
use serde::Serialize;

pub use duties::DutyEvent;
pub use instances::InstanceEvent;
pub use requests::RequestEvent;
pub use upstreams::{PartRuns, UpstreamEvent};

/// The target of lines about requests.
pub const REQUESTS: &str = "anvilhook::requests";

/// The target of lines about cached state.
pub const STATE: &str = "anvilhook::beliefs";

/// The number of lines that the process has dropped since its start because they could not be written fast
/// enough.
///
/// The log writer counts here, so that the metrics show the loss even if the log can't be read.
pub static LINES_DROPPED: LazyLock<Counter> = LazyLock::new(Counter::default);

/// `Evidence` is what shows that an engine has terminated.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Evidence {
    /// Its host refuses connections.
    Refused,
    /// The engine has restarted, or another engine has its address.
    Restarted,
    /// Its entry was removed after its connections had broken.
    Removed,
}

impl Evidence {
    /// Returns the text used in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Evidence::Refused => "refused",
            Evidence::Restarted => "restarted",
            Evidence::Removed => "removed",
        }
    }
}

/// `Event` is one line of the log, of any of the kinds.
pub trait Event: Serialize {
    /// The target of the line.
    const TARGET: &'static str = STATE;

    /// Returns the level of the line.
    fn level(&self) -> Level;
}

/// The key under which a line carries its event.
const EVENT_KEY: &str = "json";

/// Logs an event. The line carries it as one JSON object.
pub fn emit<E: Event>(event: &E) {
    let level = event.level();
    if !log::log_enabled!(target: E::TARGET, level) {
        return;
    }
    let Ok(json) = serde_json::to_string(event) else { return };
    let pairs = [(EVENT_KEY, json.as_str())];
    let record = log::Record::builder()
        .args(format_args!(""))
        .level(level)
        .target(E::TARGET)
        .key_values(&pairs)
        .build();
    log::logger().log(&record);
}

/// Returns the JSON object of a line that `emit` logged, `None` for any other line.
pub fn json_of(record: &log::Record<'_>) -> Option<String> {
    struct Find(Option<String>);

    impl<'kvs> VisitSource<'kvs> for Find {
        fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
            if key.as_str() == EVENT_KEY {
                self.0 = value.to_borrowed_str().map(str::to_owned);
            }
            Ok(())
        }
    }

    let mut find = Find(None);
    let source: &dyn Source = record.key_values();
    source.visit(&mut find).ok()?;
    find.0
}
