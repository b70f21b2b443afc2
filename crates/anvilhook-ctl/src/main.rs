//! Entry point of the operators' command line.

use std::process::ExitCode;

use anvilhook_ctl::{Environment, run};

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    let environment = Environment::from_process();
    let mut rng = rand::make_rng();
    let (mut out, mut err) = (std::io::stdout(), std::io::stderr());
    let exit = run(&args, &environment, &mut rng, &mut out, &mut err).await;
    ExitCode::from(exit.code())
}
