//! Selects the instance to call and the token for it.

use std::net::SocketAddr;

use anvilhook_api::{ApiClient, ApiClientOptions};

use crate::arguments::Options;
use crate::exits::{Failure, Result};

/// `Environment` holds the environment variables that configure the command line.
#[derive(Clone, Debug, Default)]
pub struct Environment {
    /// `ANVILHOOK_SERVER`.
    pub server: Option<String>,
    /// `ANVILHOOK_TOKEN`.
    pub token: Option<String>,
    /// `ANVILHOOK_TOKEN_FILE`.
    pub token_file: Option<String>,
}

impl Environment {
    /// Reads the process's environment.
    pub fn from_process() -> Self {
        let read = |name: &str| std::env::var(name).ok().filter(|value| !value.is_empty());
        Self {
            server: read("ANVILHOOK_SERVER"),
            token: read("ANVILHOOK_TOKEN"),
            token_file: read("ANVILHOOK_TOKEN_FILE"),
        }
    }
}

/// Creates a client from the options and the environment.
pub(crate) fn connect(options: &Options, environment: &Environment) -> Result<ApiClient> {
    let server = options.server.as_ref().or(environment.server.as_ref());
    let Some(server) = server else {
        let message = "no server: give --server IP:PORT or set ANVILHOOK_SERVER to the operators' \
                       address of any instance";
        return Err(Failure::bad_input(message));
    };
    let address: SocketAddr = server.parse().map_err(|_| {
        let message = format!("--server {server}: expected IP:PORT, such as 127.0.0.1:7300");
        Failure::bad_input(message)
    })?;
    let token = token(options, environment)?;
    Ok(ApiClient::try_new(address, token.as_deref(), ApiClientOptions::default())?)
}

/// Returns the token. The command line takes precedence over the environment, and a token over a
/// token file.
fn token(options: &Options, environment: &Environment) -> Result<Option<String>> {
    if let Some(token) = &options.token {
        return Ok(Some(token.clone()));
    }
    if let Some(file) = &options.token_file {
        return read_token(file).map(Some);
    }
    if let Some(token) = &environment.token {
        return Ok(Some(token.clone()));
    }
    environment.token_file.as_deref().map(read_token).transpose()
}

fn read_token(file: &str) -> Result<String> {
    let read = std::fs::read_to_string(file);
    let text = read.map_err(|err| Failure::bad_input(format!("token file {file}: {err}")))?;
    Ok(text.trim().to_owned())
}
