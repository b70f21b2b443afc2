//! A daemon process for tests.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};

use anvilhook_bench::sites::Site;
use anvilhook_core::units::Millis;
use anvilhook_daemon::instances::{Addresses, Announcement};
use anvilhook_http::clients::{Connection, collect_body};
use anvilhook_http::{ClientOptions, HttpClient};
use http::{Request, StatusCode};
use volo_http::body::Body;

/// How long one call of a probe may take.
const PROBE_TIMEOUT: Millis = Millis::from_secs(5);

/// The pause between two looks at something that is being waited for.
pub const LOOK_AGAIN: Millis = Millis(5);

/// `DaemonProcess` is a running `anvilhookd`. Dropping it kills the process.
pub struct DaemonProcess {
    child: Child,
    addresses: Addresses,
}

impl DaemonProcess {
    /// Starts the daemon before a site and waits until it is ready.
    pub async fn start(site: &Site, test: &str) -> Self {
        let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{test}.yaml"));
        std::fs::write(&file, site.settings_text(0)).expect("the settings can be written");
        let mut child = Command::new(env!("CARGO_BIN_EXE_anvilhookd"))
            .args(["--config".as_ref(), file.as_os_str()])
            .stdout(Stdio::piped())
            .spawn()
            .expect("the daemon can be started");
        let mut line = String::new();
        let stdout = child.stdout.take().expect("the standard output is piped");
        BufReader::new(stdout).read_line(&mut line).expect("a line is announced");
        let announced: Announcement = serde_json::from_str(&line).expect("the line is JSON");
        let daemon = Self { child, addresses: announced.addresses };
        daemon.wait_for_readiness(StatusCode::OK).await;
        daemon
    }

    /// Returns where callers are served.
    pub fn callers(&self) -> SocketAddr {
        self.addresses.callers
    }

    /// Asks a path of the operators' front.
    pub async fn probe(&self, path: &'static str) -> (StatusCode, String) {
        let client = HttpClient::try_new(&ClientOptions::default()).expect("a client");
        let req = Request::get(path).body(Body::empty()).expect("a request");
        let sending = client.send(self.addresses.operators, req, Connection::New, PROBE_TIMEOUT);
        let answer = sending.await.expect("the probe is answered");
        let status = answer.status();
        let body = collect_body(answer.into_body(), 1_048_576, PROBE_TIMEOUT).await;
        let body = body.expect("the answer is whole");
        (status, String::from_utf8_lossy(&body).into_owned())
    }

    /// Waits until `/readyz` answers with a status.
    pub async fn wait_for_readiness(&self, status: StatusCode) {
        while self.probe("/readyz").await.0 != status {
            tokio::time::sleep(LOOK_AGAIN.as_duration()).await;
        }
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        let pid = self.child.id().to_string();
        let sent = Command::new("kill").args(["-TERM", &pid]).status().expect("kill can be run");
        assert!(sent.success());
    }

    /// Waits for the process to end by itself.
    pub async fn ended(&mut self) -> ExitStatus {
        loop {
            if let Some(status) = self.child.try_wait().expect("the process can be asked") {
                return status;
            }
            tokio::time::sleep(LOOK_AGAIN.as_duration()).await;
        }
    }
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        // A process that has ended by itself cannot be killed, which is well.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
