//! `anvilhook-standin`: runs one stand-in as a separate process.

use std::net::SocketAddr;

use anvilhook_core::orders::Role;
use anvilhook_core::units::Millis;
use anvilhook_standin::engines::{EngineOptions, EngineServer, EngineServerOptions};
use anvilhook_standin::faults::{Front, FrontOptions};
use anvilhook_standin::plain::{PlainServer, PlainServerOptions};
use anvilhook_standin::platform::{PlatformOptions, serve_at};
use argh::FromArgs;
use tokio::signal::unix::{SignalKind, signal};

/// The log level if `RUST_LOG` is not set.
const DEFAULT_LOG_LEVEL: &str = "info";

/// Run a stand-in for one of the services around anvilhook until it is interrupted.
#[derive(FromArgs)]
struct Args {
    #[argh(subcommand)]
    standin: Standin,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Standin {
    Engine(EngineArgs),
    Plain(PlainArgs),
    Platform(PlatformArgs),
}

/// a model engine
#[derive(FromArgs)]
#[argh(subcommand, name = "engine")]
struct EngineArgs {
    /// the address to listen on; port 0 has the kernel choose one
    #[argh(option)]
    address: SocketAddr,
    /// the role at the start: prefill, decode or mixed
    #[argh(option, default = "Role::Mixed", from_str_fn(parse_role))]
    role: Role,
    /// take orders with an old fencing number, too
    #[argh(switch)]
    ignores_fencing: bool,
    /// how many times faster than usual it does everything
    #[argh(option, default = "1.0")]
    speed: f64,
    /// the seed of what is left to chance
    #[argh(option, default = "0")]
    seed: u64,
}

/// one upstream of a plain service
#[derive(FromArgs)]
#[argh(subcommand, name = "plain")]
struct PlainArgs {
    /// the address to listen on; port 0 has the kernel choose one
    #[argh(option)]
    address: SocketAddr,
    /// how long a call takes, in milliseconds
    #[argh(option, default = "0")]
    run_time_ms: u64,
}

/// the platform: table, object store and instance list
#[derive(FromArgs)]
#[argh(subcommand, name = "platform")]
struct PlatformArgs {
    /// the address to listen on; port 0 has the kernel choose one
    #[argh(option)]
    address: SocketAddr,
}

fn main() -> eyre::Result<()> {
    let args: Args = argh::from_env();
    let _logger = flexi_logger::Logger::try_with_env_or_str(DEFAULT_LOG_LEVEL)?.start()?;
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    runtime.block_on(async {
        match args.standin {
            Standin::Engine(args) => run_engine(args).await,
            Standin::Plain(args) => run_plain(args).await,
            Standin::Platform(args) => run_platform(args).await,
        }
    })
}

async fn run_engine(args: EngineArgs) -> eyre::Result<()> {
    let engine = EngineOptions {
        role: args.role,
        checks_fencing: !args.ignores_fencing,
        seed: args.seed,
        ..EngineOptions::default()
    };
    let opts = EngineServerOptions {
        front: front_at(args.address),
        engine: engine.faster(args.speed),
        ..EngineServerOptions::default()
    };
    let server = EngineServer::start(opts).await?;
    run_until_interrupted("engine", server.front()).await
}

async fn run_plain(args: PlainArgs) -> eyre::Result<()> {
    let opts = PlainServerOptions {
        front: front_at(args.address),
        run_time: Millis(args.run_time_ms),
        ..PlainServerOptions::default()
    };
    let server = PlainServer::start(opts).await?;
    run_until_interrupted("plain service", server.front()).await
}

async fn run_platform(args: PlatformArgs) -> eyre::Result<()> {
    tokio::select! {
        served = serve_at(args.address, PlatformOptions::default()) => Ok(served?),
        ended = interrupted() => ended,
    }
}

fn front_at(address: SocketAddr) -> FrontOptions {
    FrontOptions { address, ..FrontOptions::default() }
}

async fn run_until_interrupted(name: &str, front: &Front) -> eyre::Result<()> {
    log::info!("stand-in {name} listening on {}", front.address());
    interrupted().await?;
    front.stop().await;
    Ok(())
}

/// Waits for an interrupt or termination signal.
///
/// The HTTP library installs its own handlers, so these signals no longer terminate the process by
/// default: without this wait the process would survive a SIGTERM.
async fn interrupted() -> eyre::Result<()> {
    let mut terminated = signal(SignalKind::terminate())?;
    tokio::select! {
        interrupted = tokio::signal::ctrl_c() => interrupted?,
        _ = terminated.recv() => {}
    }
    Ok(())
}

fn parse_role(text: &str) -> Result<Role, String> {
    match text {
        "prefill" => Ok(Role::Prefill),
        "decode" => Ok(Role::Decode),
        "mixed" => Ok(Role::Mixed),
        _ => Err(format!("role: expected prefill, decode or mixed, found {text:?}")),
    }
}
