//! Defines and parses the command line's arguments.

use anvilhook_core::names::{PoolName, ResourceName, UpstreamName, ZoneName};
use anvilhook_core::resources::{Kind, ResourceKey};
use argh::FromArgs;

/// The options that are accepted anywhere on the command line. Each takes a value.
const GLOBAL_OPTIONS: [&str; 5] = ["--server", "--token", "--token-file", "--output", "-o"];

/// Declare the desired state of the system, watch it converge, and show why it has not converged.
///
/// The server is the operators' address of any instance. Exit codes: 0 done, 1 wrong input, 2
/// unavailable, 3 not allowed, 4 not found, 5 conflict, 6 unknown whether accepted, 7 other failures.
#[derive(Debug, FromArgs)]
pub struct Options {
    /// the instance's address, such as 127.0.0.1:7300; default: $ANVILHOOK_SERVER
    #[argh(option)]
    pub server: Option<String>,
    /// the bearer token; default: --token-file, $ANVILHOOK_TOKEN or $ANVILHOOK_TOKEN_FILE
    #[argh(option)]
    pub token: Option<String>,
    /// a file that contains the bearer token
    #[argh(option)]
    pub token_file: Option<String>,
    /// table (the default) or json
    #[argh(option, short = 'o', default = "Output::Table")]
    pub output: Output,
    /// the subcommand
    #[argh(subcommand)]
    pub command: Command,
}

/// `Output` is the format of a command's output.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Output {
    /// Text for operators.
    Table,
    /// JSON for programs.
    Json,
}

impl std::str::FromStr for Output {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "table" => Ok(Output::Table),
            "json" => Ok(Output::Json),
            _ => Err("output: expected table or json".to_owned()),
        }
    }
}

/// `Command` is the subcommand with its arguments.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum Command {
    /// Show resources.
    Get(GetArgs),
    /// Declare resources.
    Apply(ApplyArgs),
    /// Delete a resource.
    Delete(DeleteArgs),
    /// Take engines out of service.
    Drain(DrainArgs),
    /// Show the state of a change.
    Change(ChangeArgs),
    /// Watch changes.
    Watch(WatchArgs),
    /// Show the conditions that a resource is waiting for.
    Why(WhyArgs),
    /// Show the audit trail of changes.
    Audit(AuditArgs),
    /// Show instances, revisions and lease holders.
    Status(StatusArgs),
    /// Show the history of a request from logs.
    Explain(ExplainArgs),
}

/// Show all resources, the resources of a kind, or one resource.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "get")]
pub struct GetArgs {
    /// a kind, or KIND/NAME
    #[argh(positional)]
    pub target: Option<Target>,
}

/// Declare the resources of YAML files, each of which may contain several documents. A resource that
/// refers to another one is sent after it, regardless of the order in the files.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "apply")]
pub struct ApplyArgs {
    /// a file, or - for standard input; may be repeated
    #[argh(option, short = 'f')]
    pub file: Vec<String>,
    /// only check and show what would change
    #[argh(switch)]
    pub dry_run: bool,
}

/// Delete a resource.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "delete")]
pub struct DeleteArgs {
    /// KIND/NAME
    #[argh(positional, from_str_fn(parse_key))]
    pub key: ResourceKey,
    /// delete only this version; default: the current version
    #[argh(option)]
    pub version: Option<u64>,
}

/// Declare a plan that takes engines of a pool out of service without aborting requests.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "drain")]
pub struct DrainArgs {
    /// the pool
    #[argh(positional)]
    pub pool: PoolName,
    /// an engine to drain; may be repeated
    #[argh(option)]
    pub engine: Vec<UpstreamName>,
    /// an availability zone to drain; may be repeated, and zones are drained one after the other
    #[argh(option)]
    pub zone: Vec<ZoneName>,
    /// the plan's name; default: a generated name
    #[argh(option)]
    pub name: Option<ResourceName>,
    /// the maximum number of engines that drain at the same time, by default 1
    #[argh(option, default = "1")]
    pub max_at_once: u32,
    /// the minimum time between the drains of two engines, in milliseconds, by default 0
    #[argh(option, default = "0")]
    pub pace_ms: u64,
    /// the minimum number of engines of the pool that must continue to serve, by default 1
    #[argh(option, default = "1")]
    pub min_serving: u32,
}

/// Show the state of a change whose answer was lost.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "change")]
pub struct ChangeArgs {
    /// the change's id
    #[argh(positional)]
    pub id: String,
    /// the revision that was printed with the id
    #[argh(option)]
    pub base: Option<u64>,
}

/// Watch changes as they are accepted.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "watch")]
pub struct WatchArgs {
    /// show only this kind
    #[argh(positional)]
    pub kind: Option<Kind>,
    /// start after this revision; default: the current one
    #[argh(option)]
    pub from: Option<u64>,
    /// end after this number of changes
    #[argh(option)]
    pub count: Option<u64>,
}

/// Show the declared and the observed state of a resource, and the conditions that it is waiting for.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "why")]
pub struct WhyArgs {
    /// KIND/NAME
    #[argh(positional, from_str_fn(parse_key))]
    pub key: ResourceKey,
}

/// Show the audit trail: the newest changes, or those from a given revision.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "audit")]
pub struct AuditArgs {
    /// start with this revision
    #[argh(option)]
    pub from: Option<u64>,
    /// the maximum number of entries, by default 20
    #[argh(option, default = "20")]
    pub limit: usize,
}

/// Show instances, their active revisions, and the holders of leases.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub struct StatusArgs {}

/// Show the history of one request across all instances, ordered by time, with the cached state on
/// which its decisions were based and the age of that state. Reads the instances' logs and needs no
/// server.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct ExplainArgs {
    /// the request's id
    #[argh(positional)]
    pub request: String,
    /// log files, or - for standard input; default: standard input
    #[argh(positional)]
    pub files: Vec<String>,
    /// the same as --output json
    #[argh(switch)]
    pub json: bool,
}

/// `Target` is a kind or one resource.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Target {
    /// All resources of a kind.
    Kind(Kind),
    /// One resource.
    Key(ResourceKey),
}

impl std::str::FromStr for Target {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        if text.contains('/') {
            return parse_key(text).map(Target::Key);
        }
        text.parse().map(Target::Kind).map_err(|err: anvilhook_core::Error| err.to_string())
    }
}

fn parse_key(text: &str) -> Result<ResourceKey, String> {
    let Some((kind, name)) = text.split_once('/') else {
        return Err(format!("expected KIND/NAME, such as Engine/{text}"));
    };
    let kind = kind.parse().map_err(|err: anvilhook_core::Error| err.to_string())?;
    let name = ResourceName::try_new(name).map_err(|err| err.to_string())?;
    Ok(ResourceKey { kind, name })
}

/// `EarlyExit` ends the program before a command is run, because help was requested or the arguments
/// are wrong.
pub(crate) struct EarlyExit {
    /// Whether help was requested.
    pub is_help: bool,
    /// The text to print.
    pub text: String,
}

/// Parses the arguments.
pub(crate) fn parse(args: &[&str]) -> Result<Options, EarlyExit> {
    Options::from_args(&["anvilhook"], &hoist(args)).map_err(|early| EarlyExit {
        is_help: early.status.is_ok(),
        text: format!("{}\n", early.output.trim_end()),
    })
}

/// Moves the global options to the front, where the argument parser requires them.
fn hoist<'a>(args: &[&'a str]) -> Vec<&'a str> {
    let (mut front, mut rest) = (Vec::new(), Vec::new());
    let mut args = args.iter().copied();
    while let Some(arg) = args.next() {
        if GLOBAL_OPTIONS.contains(&arg) {
            front.push(arg);
            front.extend(args.next());
        } else {
            rest.push(arg);
        }
    }
    front.extend(rest);
    front
}
