//! Streams that callers continue after a break: which software began them, and what no other software may continue.

use std::sync::Arc;

use anvilhook_core::orders::Role;
use anvilhook_core::stream_origins::{Software, StreamOrigin};
use anvilhook_core::units::{Clock, Millis};
use http::header::{HeaderMap, HeaderName};

use super::Gateway;
use super::answers::{Outcome, OwnAnswer};
use super::failures::Failed;
use super::requests::Exchange;
use crate::configs::{Repeats, Route};
use crate::events::{RequestEvent, emit};
use crate::fleets::Upstream;
use crate::followers::LIST_SOURCE;
use crate::origins::{OriginKey, OriginLookup, request_hash};
use crate::wires::{HeaderNames, Wire};

/// The retry time for a caller whose stream other instances may know. This one may be cut off from them, and the caller
/// returns to another one.
const UNANSWERED_PAUSE: Millis = Millis(100);

/// The maximum length of the id of a continued stream, in bytes.
const MAX_ID_BYTES: usize = 200;

/// The age from which on the upstream table may lack the newest start of an upstream, as this instance has been cut off or
/// suspended. An instance that reads the table, or receives what others read, does so more often.
const MAX_LIST_AGE: Millis = Millis(4_000);

/// The reasons in the answers to requests that continue a stream: it is not known which software began it, not yet known,
/// none of that software is left, or the route's streams can't be continued.
const ORIGIN_UNKNOWN: &str = "stream_origin_unknown";
const ORIGIN_UNANSWERED: &str = "stream_origin_unanswered";
const SOFTWARE_GONE: &str = "software_version_gone";
const NOT_RESUMABLE: &str = "stream_not_resumable";

/// `ContinuedStream` is a stream of which the caller has received a part by an earlier request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct ContinuedStream {
    /// The id of the request that brought the first event, if the caller names it.
    pub id: Option<String>,
    /// The last event that the caller has received, if it names one.
    pub last_event: Option<u64>,
}

impl ContinuedStream {
    /// Returns the stream that the headers of a request on `route` name, if it continues one.
    ///
    /// # Errors
    ///
    /// The answer to a request with an invalid header.
    pub(super) fn of(
        route: &Route,
        headers: &HeaderMap,
        names: &HeaderNames,
    ) -> Result<Option<Self>, OwnAnswer> {
        if !matches!(route.repeats, Repeats::Stream { .. }) {
            return Ok(None);
        }
        let last_event = value(headers, &names.last_event_id, "invalid_last_event_id")?;
        let id = value(headers, &names.resumes, "invalid_continued_stream")?;
        if id.is_some_and(|id| id.len() > MAX_ID_BYTES) {
            return Err(OwnAnswer::invalid("invalid_continued_stream"));
        }
        let last_event = last_event.map(|text| text.parse());
        let last_event =
            last_event.transpose().map_err(|_| OwnAnswer::invalid("invalid_last_event_id"))?;
        let is_continued = id.is_some() || last_event.is_some();
        Ok(is_continued.then(|| Self { id: id.map(str::to_owned), last_event }))
    }
}

/// Returns a header's value, `None` if it is missing or empty.
fn value<'h>(
    headers: &'h HeaderMap,
    name: &HeaderName,
    reason: &'static str,
) -> Result<Option<&'h str>, OwnAnswer> {
    let Some(value) = headers.get(name) else { return Ok(None) };
    let text = value.to_str().map_err(|_| OwnAnswer::invalid(reason))?.trim();
    Ok((!text.is_empty()).then_some(text))
}

/// `ListedStart` is whether an upstream still is the start that is listed under its id.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ListedStart {
    /// It is, or each start has an id of its own.
    Runs,
    /// Another start answers.
    Replaced,
    /// It does not answer.
    NoAnswer,
    /// It is not asked: it is no model engine, or limits its requests.
    Unchecked,
}

impl Exchange {
    /// Returns whether the request may be sent to an upstream, by the software that began its stream.
    pub fn may_use(&self, upstream: &Upstream) -> bool {
        self.software.is_none_or(|software| software == upstream.software)
    }
}

impl<W: Wire, C: Clock> Gateway<W, C> {
    /// Restricts a request that continues a stream to the software that began the stream. Returns the answer if that
    /// is not known.
    ///
    /// Events of two software versions don't fit together, and upstreams don't check that. The caller can only start
    /// anew if the origin is lost.
    pub(super) async fn restrict_to_origin(&self, exchange: &mut Exchange) -> Option<Outcome> {
        let stream = exchange.continued.clone()?;
        if !exchange.route.repeats.is_repeatable() {
            return Some(Outcome::refused_for_good(NOT_RESUMABLE));
        }
        let looked_up_at = self.now();
        let request = stream.id.as_deref().map(request_hash);
        let key = |fingerprint| OriginKey { fingerprint, request };
        let mut origin = self.look_up_origin(key(exchange.fingerprint)).await;
        if let Some(other) = exchange.other_fingerprint
            && origin.software().is_none()
        {
            let found = self.look_up_origin(key(other)).await;
            // The origin is unknown only if it is by both.
            origin = if found == OriginLookup::Unknown { origin } else { found };
        }
        let upstream = origin.software().and_then(|software| self.any_of(software));
        emit(&RequestEvent::StreamContinued {
            request: &exchange.id,
            stream: stream.id.as_deref(),
            last_event: stream.last_event,
            origin: origin.as_str(),
            version: upstream.as_ref().and_then(|one| one.entry.version.as_deref()),
            took_ms: (self.now() - looked_up_at).0,
        });
        match origin {
            OriginLookup::Kept(software) | OriginLookup::Answered(software) => {
                exchange.software = Some(software);
                exchange.keep_service(upstream.as_deref());
                self.refuse_without_software(exchange)
            }
            OriginLookup::Unknown => Some(Outcome::refused_for_good(ORIGIN_UNKNOWN)),
            OriginLookup::Unanswered => Some(Outcome::refused(ORIGIN_UNANSWERED, UNANSWERED_PAUSE)),
        }
    }

    /// Returns a listed upstream of some software.
    fn any_of(&self, software: Software) -> Option<Arc<Upstream>> {
        let view = self.fleet().view();
        view.all().find(|upstream| upstream.software == software).cloned()
    }

    /// Returns the answer to a request that no listed upstream may answer, by the software that began its stream. It
    /// would be no use to wait: neither a version that has gone nor an engine that changes its role comes back
    /// within the time of most callers.
    pub(super) fn refuse_without_software(&self, exchange: &Exchange) -> Option<Outcome> {
        exchange.software?;
        let view = self.fleet().view();
        let mut upstreams = view.of_service(&exchange.service).iter();
        let may_answer = |one: &Upstream| !one.is_leaving() && one.role() != Some(Role::Prefill);
        let is_left = upstreams.any(|one| exchange.may_use(one) && may_answer(one));
        let refusal = || self.abandoned_for_good(exchange, SOFTWARE_GONE);
        (!is_left).then(refusal)
    }

    /// Returns the failure of an attempt to continue a stream at an engine that is not the listed start of its software.
    ///
    /// An engine may have restarted under its id with other software, and its entry shows that only later. One that limits
    /// its requests is asked only if the list is old: the call takes a share of the limit, which the stream needs.
    pub(super) async fn check_start(
        &self,
        exchange: &Exchange,
        upstream: &Upstream,
    ) -> Option<Failed> {
        exchange.software?;
        match self.listed_start(upstream).await {
            ListedStart::Runs => None,
            ListedStart::Unchecked if !self.has_old_list() => None,
            ListedStart::Unchecked | ListedStart::NoAnswer => {
                Some(Failed::not_sent("start_unknown"))
            }
            ListedStart::Replaced => Some(Failed::not_sent("started_again")),
        }
    }

    /// Asks an upstream whether it still is the start that is listed.
    async fn listed_start(&self, upstream: &Upstream) -> ListedStart {
        if upstream.entry.born.is_none() {
            return ListedStart::Runs;
        }
        let is_limited = upstream.state.request_limit().is_limited();
        if upstream.role().is_none() || (is_limited && !self.has_old_list()) {
            return ListedStart::Unchecked;
        }
        let Some(answer) = self.own_call(upstream, &self.wire().report()).await else {
            return ListedStart::NoAnswer;
        };
        match self.wire().engine_report(&answer.body) {
            Ok(report) if !upstream.entry.has_other_start(report.born) => ListedStart::Runs,
            _ => ListedStart::Replaced,
        }
    }

    /// Returns whether the upstream table may lack the newest start of an upstream.
    fn has_old_list(&self) -> bool {
        let age = self.metrics().source_age(LIST_SOURCE, self.now());
        age.is_some_and(|age| age > MAX_LIST_AGE)
    }

    /// Returns whether the software of an upstream that has begun a stream is known. An instance with an old list may
    /// have sent the request to another start, of other software, under the same id.
    pub(super) async fn knows_software(&self, exchange: &Exchange, upstream: &Upstream) -> bool {
        let needs_check =
            exchange.software.is_none() && exchange.is_repeatable() && self.has_old_list();
        !needs_check || self.listed_start(upstream).await == ListedStart::Runs
    }

    /// Returns whether the software of an upstream that continues a stream may have been replaced meanwhile.
    pub(super) fn is_other_software(&self, exchange: &Exchange, upstream: &Upstream) -> bool {
        exchange.software.is_some() && self.fleet().has_other_software(upstream)
    }

    /// Records that an upstream has begun the stream of a request, so that only its software continues it, in this
    /// answer or in an answer to a later request.
    pub(super) fn record_origin(
        &self,
        exchange: &mut Exchange,
        upstream: &Upstream,
        is_known: bool,
    ) {
        let is_replaced = self.fleet().has_other_software(upstream);
        if exchange.software.is_none() && (is_replaced || !is_known) {
            // The stream may come from either start of the upstream, so no upstream is known to fit.
            exchange.software = Some(Software::NONE);
            return;
        }
        let software = *exchange.software.get_or_insert(upstream.software);
        if exchange.route.repeats.is_repeatable() {
            let origin = StreamOrigin { request: request_hash(&exchange.id), software };
            let running = self.record_began(exchange.fingerprint, origin, upstream);
            exchange.running = Some(running);
        }
    }
}
