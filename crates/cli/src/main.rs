//! Command line of coltsfootshunt for operators, callers and load experiments.

mod command;
mod error;
mod fleet;
mod load;
mod logs;
mod losses;

use std::process::ExitCode;

fn main() -> miette::Result<ExitCode> {
    let matches = command::root().get_matches();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .map_err(error::Error::Runtime)?;
    let code = runtime.block_on(command::run(&matches))?;
    Ok(code)
}
