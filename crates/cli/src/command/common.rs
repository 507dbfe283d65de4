//! Arguments and steps that several commands share.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use clap::{Arg, ArgAction, ArgMatches, value_parser};
use coltsfootshunt_core::config::{Config, Draft};
use coltsfootshunt_entry::platform::Http;
use coltsfootshunt_http::{Client, Method, Request, StatusCode};
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::error::Problem;

/// Time for a question to an operators' address.
const ASK_WITHIN: Duration = Duration::from_secs(3);
/// Largest answer to it, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

pub fn file_arg(help: &'static str) -> Arg {
    Arg::new("file").help(help).required(true).value_parser(value_parser!(PathBuf))
}

pub fn platform_arg() -> Arg {
    Arg::new("platform")
        .long("platform")
        .help("Address of the platform's service")
        .required(true)
        .value_parser(value_parser!(SocketAddr))
}

pub fn entries_arg() -> Arg {
    Arg::new("entry")
        .long("entry")
        .help("Callers' address of an entry or of the balancer; may be given several times")
        .required(true)
        .action(ArgAction::Append)
        .value_parser(value_parser!(SocketAddr))
}

pub fn platform(matches: &ArgMatches) -> Http {
    Http::new(*matches.get_one::<SocketAddr>("platform").expect("clap requires it"))
}

pub fn entries(matches: &ArgMatches) -> Vec<SocketAddr> {
    matches.get_many::<SocketAddr>("entry").into_iter().flatten().copied().collect()
}

pub fn file(matches: &ArgMatches) -> &Path {
    matches.get_one::<PathBuf>("file").expect("clap requires it")
}

/// Reads a JSON file.
pub fn read<T: DeserializeOwned>(path: &Path) -> Result<T, Problem> {
    let shown = path.display().to_string();
    let text = std::fs::read_to_string(path)
        .map_err(|cause| Problem::Unreadable { path: shown.clone(), cause })?;
    serde_json::from_str(&text).map_err(|cause| Problem::Malformed { path: shown, cause })
}

/// Reads and checks a configuration.
pub fn read_plan(path: &Path) -> Result<Config, Problem> {
    let draft: Draft = read(path)?;
    Config::try_from(draft).map_err(Problem::Configuration)
}

/// Asks an operators' address for JSON.
pub async fn ask(address: SocketAddr, path: &str) -> Result<(StatusCode, Value), Problem> {
    let client = Client::new(MAX_RESPONSE_BYTES);
    let request =
        Request { method: Method::GET, address, path, body: Vec::new(), timeout: ASK_WITHIN };
    let (status, body) =
        client.send(request).await.map_err(|cause| Problem::Entry { address, cause })?;
    Ok((status, serde_json::from_slice(&body).unwrap_or_default()))
}
