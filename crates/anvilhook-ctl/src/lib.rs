//! The operators' command line, as a library so that tests can run it in-process.
//!
//! Each subcommand is a module. All of them write to a given output, so that tests can check the
//! output, and each failure maps to one of the documented exit codes.
#![forbid(unsafe_code)]

mod applies;
mod arguments;
mod audits;
mod changes;
mod connections;
mod deletes;
mod diffs;
mod documents;
mod drains;
mod exits;
mod explains;
mod gets;
mod statuses;
mod tables;
mod times;
mod watches;
mod whys;

use std::io::Write;

use anvilhook_api::ApiClient;
use rand_chacha::ChaCha8Rng;

pub use arguments::{Command, Options, Output};
pub use connections::Environment;
pub use exits::{Exit, Failure};

use exits::Result;

/// Runs one command line and returns its exit code.
///
/// `args` are the arguments without the program's name. The command's output goes to `out`, error
/// messages go to `err`.
pub async fn run(
    args: &[&str],
    environment: &Environment,
    rng: &mut ChaCha8Rng,
    out: &mut (impl Write + Send),
    err: &mut (impl Write + Send),
) -> Exit {
    let options = match arguments::parse(args) {
        Ok(options) => options,
        Err(early) if early.is_help => {
            return end(out.write_all(early.text.as_bytes()));
        }
        Err(early) => {
            // If the error output cannot be written, there is no other way to report the error.
            let _ = err.write_all(early.text.as_bytes());
            return Exit::BadInput;
        }
    };
    match run_command(options, environment, rng, out).await {
        Ok(()) => Exit::Done,
        Err(failure) => {
            let _ = writeln!(err, "anvilhook: {failure}");
            failure.exit
        }
    }
}

fn end(written: std::io::Result<()>) -> Exit {
    if written.is_ok() { Exit::Done } else { Exit::Failed }
}

async fn run_command(
    options: Options,
    environment: &Environment,
    rng: &mut ChaCha8Rng,
    out: &mut (impl Write + Send),
) -> Result<()> {
    if let Command::Explain(args) = &options.command {
        let output = if args.json { Output::Json } else { options.output };
        return explains::run(args, output, out);
    }
    let client: ApiClient = connections::connect(&options, environment)?;
    let mut cx = Context { client, output: options.output, rng, out };
    match options.command {
        Command::Get(args) => gets::run(&mut cx, &args).await,
        Command::Apply(args) => applies::run(&mut cx, &args).await,
        Command::Delete(args) => deletes::run(&mut cx, &args).await,
        Command::Drain(args) => drains::run(&mut cx, &args).await,
        Command::Change(args) => changes::run(&mut cx, &args).await,
        Command::Watch(args) => watches::run(&mut cx, &args).await,
        Command::Why(args) => whys::run(&mut cx, &args).await,
        Command::Audit(args) => audits::run(&mut cx, &args).await,
        Command::Status(_) => statuses::run(&mut cx).await,
        // `explain` needs no server and was handled above.
        Command::Explain(_) => Ok(()),
    }
}

/// `Context` holds the client, the output and the random generator for a subcommand.
struct Context<'a, W> {
    client: ApiClient,
    output: Output,
    rng: &'a mut ChaCha8Rng,
    out: &'a mut W,
}

impl<W: Write> Context<'_, W> {
    /// Writes a line.
    fn line(&mut self, text: impl std::fmt::Display) -> Result<()> {
        writeln!(self.out, "{text}").map_err(Failure::output)
    }

    /// Writes an answer as JSON.
    fn json<T: serde::Serialize>(&mut self, value: &T) -> Result<()> {
        let text = serde_json::to_string_pretty(value).map_err(Failure::output)?;
        self.line(text)
    }

    /// Writes a value as one line of JSON, for output that consists of a stream of values.
    fn json_line<T: serde::Serialize>(&mut self, value: &T) -> Result<()> {
        let text = serde_json::to_string(value).map_err(Failure::output)?;
        self.line(text)
    }
}
