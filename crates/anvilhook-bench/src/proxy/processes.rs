//! Runs the processes of the bench: the measured instance, and the upstream that direct calls go
//! to.
//!
//! The upstream does not share the callers' process, because it would be woken by the same thread
//! there, and a direct call would cost less than any call between two processes.

use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};

use anvilhook_daemon::instances::{Announcement, Instance, Parts};
use anvilhook_daemon::observability::{ProcessUsage, read_usage_of};
use anvilhook_daemon::settings;
use anvilhook_standin::faults::FrontOptions;
use anvilhook_standin::plain::{PlainServer, PlainServerOptions};
use eyre::{OptionExt, WrapErr};

use crate::sites::Site;

/// `BenchProcess` is another process of this program. Dropping it kills the process.
#[derive(Debug)]
struct BenchProcess {
    child: Child,
    announced: String,
}

impl BenchProcess {
    /// Starts the process and waits for the line that announces that it is ready.
    fn start(args: &[&str]) -> eyre::Result<Self> {
        let mut child = Command::new(std::env::current_exe()?)
            .arg("proxy")
            .args(args)
            .stdout(Stdio::piped())
            .spawn()
            .wrap_err("start a process of the bench")?;
        let stdout = child.stdout.take().ok_or_eyre("the process has no standard output")?;
        let mut announced = String::new();
        BufReader::new(stdout).read_line(&mut announced)?;
        Ok(Self { child, announced })
    }
}

impl Drop for BenchProcess {
    fn drop(&mut self) {
        // Killing a process that has already terminated fails, which is harmless.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// `InstanceProcess` is a running instance.
#[derive(Debug)]
pub struct InstanceProcess {
    process: BenchProcess,
    callers: SocketAddr,
}

impl InstanceProcess {
    /// Starts an instance of a site and waits until it is ready.
    ///
    /// # Errors
    ///
    /// Returns an error if the instance cannot be started.
    pub fn start(site: &Site) -> eyre::Result<Self> {
        let file =
            std::env::temp_dir().join(format!("anvilhook-bench-{}.yaml", std::process::id()));
        std::fs::write(&file, site.settings_text(0)).wrap_err("write the settings")?;
        let path = file.to_str().ok_or_eyre("the directory for temporary files is not text")?;
        let started = BenchProcess::start(&["--instance", path]);
        std::fs::remove_file(&file).wrap_err("remove the settings")?;
        let process = started?;
        let announced: Announcement = serde_json::from_str(&process.announced)
            .wrap_err("read what the instance announces")?;
        Ok(Self { process, callers: announced.addresses.callers })
    }

    /// Returns the address that serves callers.
    pub fn callers(&self) -> SocketAddr {
        self.callers
    }

    /// Returns the processor time and memory that the process has used.
    ///
    /// # Errors
    ///
    /// Returns an error if the kernel does not report them.
    pub fn usage(&self) -> eyre::Result<ProcessUsage> {
        let usage = read_usage_of(self.process.child.id());
        usage.ok_or_eyre("the kernel does not report the process's usage")
    }
}

/// `UpstreamProcess` is a running plain upstream.
#[derive(Debug)]
pub struct UpstreamProcess {
    _process: BenchProcess,
    address: SocketAddr,
}

impl UpstreamProcess {
    /// Starts an upstream.
    ///
    /// # Errors
    ///
    /// Returns an error if the upstream cannot be started.
    pub fn start() -> eyre::Result<Self> {
        let process = BenchProcess::start(&["--upstream"])?;
        let address = process.announced.trim().parse().wrap_err("read the upstream's address")?;
        Ok(Self { _process: process, address })
    }

    /// Returns the address on which the upstream listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

/// Runs an instance until it is killed.
pub async fn serve_instance(settings: &Path) -> eyre::Result<()> {
    let instance = Instance::start(settings::load(settings)?, Parts::of_this_process()).await?;
    instance.ready().await;
    announce(&serde_json::to_string(instance.announcement())?)?;
    std::future::pending().await
}

/// Runs a plain upstream until it is killed.
pub async fn serve_upstream() -> eyre::Result<()> {
    let front = FrontOptions { holds_connections: false, ..FrontOptions::default() };
    let upstream = PlainServer::start(PlainServerOptions { front, ..Default::default() }).await?;
    announce(&upstream.address().to_string())?;
    std::future::pending().await
}

fn announce(line: &str) -> eyre::Result<()> {
    let mut stdout = std::io::stdout();
    writeln!(stdout, "{line}")?;
    stdout.flush()?;
    Ok(())
}
