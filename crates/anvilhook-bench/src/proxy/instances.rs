//! The instance under measurement, as a process of its own.

use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};

use anvilhook_daemon::instances::{Announcement, Instance, Parts};
use anvilhook_daemon::observability::{ProcessUsage, read_usage_of};
use anvilhook_daemon::settings;
use eyre::{OptionExt, WrapErr};

use crate::sites::Site;

/// `InstanceProcess` is a running instance. Dropping it kills the process.
#[derive(Debug)]
pub struct InstanceProcess {
    child: Child,
    callers: SocketAddr,
}

impl InstanceProcess {
    /// Starts this program once more as an instance of a site, and waits until it is ready.
    ///
    /// # Errors
    ///
    /// Any failure to start it.
    pub async fn start(site: &Site) -> eyre::Result<Self> {
        let file =
            std::env::temp_dir().join(format!("anvilhook-bench-{}.yaml", std::process::id()));
        std::fs::write(&file, site.settings_text(0)).wrap_err("write the settings")?;
        let mut child = Command::new(std::env::current_exe()?)
            .args(["proxy", "--instance"])
            .arg(&file)
            .stdout(Stdio::piped())
            .spawn()
            .wrap_err("start the instance")?;
        let stdout = child.stdout.take().ok_or_eyre("the instance has no standard output")?;
        let mut line = String::new();
        BufReader::new(stdout).read_line(&mut line)?;
        std::fs::remove_file(&file).wrap_err("remove the settings")?;
        let announced: Announcement =
            serde_json::from_str(&line).wrap_err("read what the instance announces")?;
        Ok(Self { child, callers: announced.addresses.callers })
    }

    /// Returns where callers are served.
    pub fn callers(&self) -> SocketAddr {
        self.callers
    }

    /// Returns what the process has used.
    ///
    /// # Errors
    ///
    /// If the kernel does not tell.
    pub fn usage(&self) -> eyre::Result<ProcessUsage> {
        read_usage_of(self.child.id()).ok_or_eyre("the kernel does not tell the process's usage")
    }
}

impl Drop for InstanceProcess {
    fn drop(&mut self) {
        // A process that has ended by itself cannot be killed, which is well.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Runs an instance until it is killed.
pub async fn serve(settings: &Path) -> eyre::Result<()> {
    let instance = Instance::start(settings::load(settings)?, Parts::of_this_process()).await?;
    instance.ready().await;
    let mut stdout = std::io::stdout();
    writeln!(stdout, "{}", serde_json::to_string(instance.announcement())?)?;
    stdout.flush()?;
    std::future::pending().await
}
