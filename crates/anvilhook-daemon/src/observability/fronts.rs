//! Serves `/metrics`, `/healthz` and `/readyz`.

use std::sync::Arc;

use anvilhook_http::{Phase, Shutdown, answers};
use http::{Response, StatusCode};
use prometheus_client::registry::Registry;
use tokio::sync::watch;
use volo_http::body::Body;
use volo_http::server::route::{Router, get};

/// `Readiness` is whether the platform's balancer should send callers to this instance. Clones
/// share it.
#[derive(Clone, Debug)]
pub struct Readiness {
    configured: watch::Sender<bool>,
    shutdown: Shutdown,
}

impl Readiness {
    /// Creates the readiness of an instance that has no configuration yet.
    pub fn new(shutdown: Shutdown) -> Self {
        Self { configured: watch::Sender::new(false), shutdown }
    }

    /// Records that a configuration is applied.
    pub fn set_configured(&self) {
        self.configured.send_replace(true);
    }

    /// Waits until a configuration is applied.
    pub async fn configured(&self) {
        // `self` holds the sender, so the channel can't close during the wait.
        let _ = self.configured.subscribe().wait_for(|configured| *configured).await;
    }

    /// Returns the reason why no callers should be sent here, or `None` if the instance is ready.
    pub fn not_ready_reason(&self) -> Option<&'static str> {
        if self.shutdown.phase() != Phase::Serving {
            Some("stopping")
        } else if !*self.configured.borrow() {
            Some("no configuration yet")
        } else {
            None
        }
    }
}

/// Returns the routes of the probes and the metrics.
pub fn probe_router(registry: Arc<Registry>, readiness: Readiness) -> Router {
    let metrics = move || {
        let registry = Arc::clone(&registry);
        async move { metrics_text(&registry) }
    };
    let readyz = move || {
        let readiness = readiness.clone();
        async move { ready_answer(&readiness) }
    };
    Router::new()
        .route("/metrics", get(metrics))
        .route("/healthz", get(async || answers::text(StatusCode::OK, "ok\n")))
        .route("/readyz", get(readyz))
}

/// Answers with all metrics in the OpenMetrics text format.
pub fn metrics_text(registry: &Registry) -> Response<Body> {
    let mut text = String::new();
    match prometheus_client::encoding::text::encode(&mut text, registry) {
        Ok(()) => answers::text(StatusCode::OK, text),
        Err(err) => answers::text(StatusCode::INTERNAL_SERVER_ERROR, err.to_string()),
    }
}

fn ready_answer(readiness: &Readiness) -> Response<Body> {
    match readiness.not_ready_reason() {
        None => answers::text(StatusCode::OK, "ready\n"),
        Some(why) => answers::text(StatusCode::SERVICE_UNAVAILABLE, format!("not ready: {why}\n")),
    }
}
