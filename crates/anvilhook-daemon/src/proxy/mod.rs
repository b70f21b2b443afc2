//! Runs a request at upstreams: attempts, retries, streams and their resumption.
//!
//! The verdict on a request is the greatest of its attempts' verdicts. A retry is sent only if the
//! verdict so far, the deadline and the service's retry budget all allow it.

mod attempts;
mod cancels;
mod choices;
mod claims;
mod failures;
mod requests;
mod rngs;
mod splits;
mod streams;
mod table_claims;
mod whole;

pub use attempts::{Proxy, ProxyOptions};
pub use cancels::{Held, in_flight_at};
pub use claims::{ClaimRequest, Claimed, Claims, NoClaims};
pub use failures::{Code, Failure};
pub use requests::{ProxyRequest, RequestKind};
pub use rngs::RequestRngs;
pub use streams::{CallerStream, StreamEnd, StreamStart};
pub use table_claims::TableClaims;
