//! Arguments and helpers that several commands share.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use clap::{Arg, ArgAction, ArgMatches, value_parser};
use coltsfootshunt_core::config::{Config, Draft};
use coltsfootshunt_entry::platform::Http;
use coltsfootshunt_http::{Client, Method, Request, StatusCode};
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::error::Error;

const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);
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
        .help("Callers' address of an entry or of the load balancer; may be repeated")
        .required(true)
        .action(ArgAction::Append)
        .value_parser(value_parser!(SocketAddr))
}

pub fn platform(matches: &ArgMatches) -> Http {
    Http::new(*matches.get_one::<SocketAddr>("platform").expect("clap requires the argument"))
}

pub fn entries(matches: &ArgMatches) -> Vec<SocketAddr> {
    matches.get_many::<SocketAddr>("entry").into_iter().flatten().copied().collect()
}

pub fn file(matches: &ArgMatches) -> &Path {
    matches.get_one::<PathBuf>("file").expect("clap requires the argument")
}

/// Parses a JSON file.
pub fn read_json<T: DeserializeOwned>(path: &Path) -> Result<T, Error> {
    let path_text = path.display().to_string();
    let text = std::fs::read_to_string(path)
        .map_err(|cause| Error::ReadFile { path: path_text.clone(), cause })?;
    serde_json::from_str(&text).map_err(|cause| Error::ParseFile { path: path_text, cause })
}

/// Reads a configuration file and validates it.
pub fn read_config(path: &Path) -> Result<Config, Error> {
    let draft: Draft = read_json(path)?;
    Config::try_from(draft).map_err(Error::Configuration)
}

/// Sends a GET request to an operators' address. The body is null if it is not JSON.
pub async fn get_json(address: SocketAddr, path: &str) -> Result<(StatusCode, Value), Error> {
    let client = Client::new(MAX_RESPONSE_BYTES);
    let request =
        Request { method: Method::GET, address, path, body: Vec::new(), timeout: REQUEST_TIMEOUT };
    let (status, body) =
        client.send(request).await.map_err(|cause| Error::Entry { address, cause })?;
    Ok((status, serde_json::from_slice(&body).unwrap_or_default()))
}
