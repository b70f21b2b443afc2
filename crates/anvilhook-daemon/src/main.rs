//! Runs `anvilhookd`, one instance of anvilhook.

use std::io::Write;
use std::path::PathBuf;
use std::process::ExitCode;

use anvilhook_daemon::instances::{Instance, Parts, StopSignals};
use anvilhook_daemon::observability::start_logging;
use anvilhook_daemon::settings::{self, Settings};
use argh::FromArgs;

/// The exit status for invalid settings.
const BAD_SETTINGS: u8 = 2;

/// Run one instance of anvilhook until SIGTERM, SIGINT or SIGHUP, which stop it gracefully.
#[derive(FromArgs)]
struct Args {
    /// the settings file, in YAML
    #[argh(option)]
    config: PathBuf,
    /// only check the settings file
    #[argh(switch)]
    check: bool,
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let settings = match settings::load(&args.config) {
        Ok(settings) => settings,
        Err(err) => {
            eprintln!("anvilhookd: {err}");
            return ExitCode::from(BAD_SETTINGS);
        }
    };
    if args.check {
        println!("{}: good", args.config.display());
        return ExitCode::SUCCESS;
    }
    match run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("anvilhookd: {err:#}");
            ExitCode::FAILURE
        }
    }
}

fn run(settings: Settings) -> eyre::Result<()> {
    let _logging = start_logging(&settings.logging)?;
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    runtime.block_on(async {
        // The signal handlers are installed first, so that a signal during the start stops the
        // instance gracefully.
        let signals = StopSignals::try_new()?;
        let instance = Instance::start(settings, Parts::of_this_process()).await?;

        // The process that started this one reads the addresses that the kernel chose.
        let mut stdout = std::io::stdout();
        writeln!(stdout, "{}", serde_json::to_string(&instance.announcement())?)?;
        stdout.flush()?;

        let signal = signals.received().await;
        log::info!("stopping on {signal}");
        instance.stop().await;
        Ok(())
    })
}
