//! The command line's arguments.

use anvilhook_core::names::{PoolName, ResourceName, UpstreamName, ZoneName};
use anvilhook_core::resources::{Kind, ResourceKey};
use argh::FromArgs;

/// Options that may stand anywhere on the line, each with a value.
const GLOBAL_OPTIONS: [&str; 5] = ["--server", "--token", "--token-file", "--output", "-o"];

/// Declare what the system should be, watch it converge, and read why it has not.
///
/// The server is an operators' front of any instance. Exit codes: 0 done, 1 wrong input, 2
/// unavailable, 3 not allowed, 4 not found, 5 conflict, 6 unknown whether accepted, 7 other failures.
#[derive(Debug, FromArgs)]
pub struct Options {
    /// the instance's address, such as 127.0.0.1:7300; else $ANVILHOOK_SERVER
    #[argh(option)]
    pub server: Option<String>,
    /// the bearer token; else --token-file, $ANVILHOOK_TOKEN or $ANVILHOOK_TOKEN_FILE
    #[argh(option)]
    pub token: Option<String>,
    /// a file that holds the bearer token
    #[argh(option)]
    pub token_file: Option<String>,
    /// table (the default) or json
    #[argh(option, short = 'o', default = "Output::Table")]
    pub output: Output,
    /// what to do
    #[argh(subcommand)]
    pub command: Command,
}

/// `Output` is the form of what a command shows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Output {
    /// For people.
    Table,
    /// For programs.
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

/// `Command` is what to do.
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
    /// Ask what became of a change.
    Change(ChangeArgs),
    /// Watch changes.
    Watch(WatchArgs),
    /// Show what a resource waits for.
    Why(WhyArgs),
    /// Show who changed what.
    Audit(AuditArgs),
    /// Show instances, revisions and lease holders.
    Status(StatusArgs),
    /// Tell the story of a request from logs.
    Explain(ExplainArgs),
}

/// Show resources: all, those of a kind, or one.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "get")]
pub struct GetArgs {
    /// a kind, or KIND/NAME
    #[argh(positional)]
    pub target: Option<Target>,
}

/// Declare the resources of YAML files, each of which may hold several documents. What refers to
/// another resource is sent after it, whatever the order in the files.
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
    /// delete only this version; else the one that stands now
    #[argh(option)]
    pub version: Option<u64>,
}

/// Declare a plan that takes engines of a pool out of service without cutting a request.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "drain")]
pub struct DrainArgs {
    /// the pool
    #[argh(positional)]
    pub pool: PoolName,
    /// an engine to drain; may be repeated
    #[argh(option)]
    pub engine: Vec<UpstreamName>,
    /// an availability zone to drain, one after the other; may be repeated
    #[argh(option)]
    pub zone: Vec<ZoneName>,
    /// the plan's name; else one is made up
    #[argh(option)]
    pub name: Option<ResourceName>,
    /// the most engines that drain at once, by default 1
    #[argh(option, default = "1")]
    pub max_at_once: u32,
    /// the least milliseconds between the drains of two engines, by default 0
    #[argh(option, default = "0")]
    pub pace_ms: u64,
    /// the fewest engines of the pool that must go on serving, by default 1
    #[argh(option, default = "1")]
    pub min_serving: u32,
}

/// Ask what became of a change whose answer was lost.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "change")]
pub struct ChangeArgs {
    /// the change's id
    #[argh(positional)]
    pub id: String,
    /// the revision that came with the id
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
    /// begin after this revision; else with what comes next
    #[argh(option)]
    pub from: Option<u64>,
    /// end after so many changes
    #[argh(option)]
    pub count: Option<u64>,
}

/// Show on one screen what is wanted of a resource, what is, and what it waits for.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "why")]
pub struct WhyArgs {
    /// KIND/NAME
    #[argh(positional, from_str_fn(parse_key))]
    pub key: ResourceKey,
}

/// Show who changed what, the newest changes unless --from is given.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "audit")]
pub struct AuditArgs {
    /// begin with this revision
    #[argh(option)]
    pub from: Option<u64>,
    /// the most entries, by default 20
    #[argh(option, default = "20")]
    pub limit: usize,
}

/// Show instances, the revisions in force on them, and who holds which lease.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub struct StatusArgs {}

/// Tell the story of one request over all instances, in order of time, with the beliefs behind its
/// decisions and how old they were. Needs no server: it reads the instances' logs.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct ExplainArgs {
    /// the request's id
    #[argh(positional)]
    pub request: String,
    /// log files, or - for standard input, which is read where none is given
    #[argh(positional)]
    pub files: Vec<String>,
    /// the same as --output json
    #[argh(switch)]
    pub json: bool,
}

/// `Target` is a kind or one resource.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Target {
    /// All of a kind.
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

/// `Early` is an end before anything is done.
pub(crate) struct Early {
    /// Whether help was asked for.
    pub is_help: bool,
    /// What to show.
    pub text: String,
}

/// Reads the arguments.
pub(crate) fn parse(args: &[&str]) -> Result<Options, Early> {
    Options::from_args(&["anvilhook"], &hoist(args)).map_err(|early| Early {
        is_help: early.status.is_ok(),
        text: format!("{}\n", early.output.trim_end()),
    })
}

/// Moves the global options to the front, where the library wants them.
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
