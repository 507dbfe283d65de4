//! Command line of the entry process.

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use clap::{Arg, Command, value_parser};
use coltsfootshunt_entry::app::App;
use coltsfootshunt_entry::drain::Exit;
use coltsfootshunt_entry::log::{Json, Log, observe_panics};
use coltsfootshunt_entry::settings::Settings;
use metrics_exporter_prometheus::PrometheusBuilder;
use miette::{IntoDiagnostic, Result};
use tokio::signal::unix::{SignalKind, signal};

fn main() -> Result<ExitCode> {
    let matches = command().get_matches();
    if matches.get_flag("platform") {
        return run_on_platform(matches.get_flag("check"));
    }
    let path = matches
        .get_one::<PathBuf>("settings")
        .expect("clap requires the settings file unless --platform is given");
    let settings = Settings::read(path)?;
    if matches.get_flag("check") {
        println!("the settings are valid");
        return Ok(ExitCode::SUCCESS);
    }
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(settings.traffic_threads)
        .thread_name("traffic")
        .enable_all()
        .build()
        .into_diagnostic()?;
    let exit = runtime.block_on(run(settings))?;
    Ok(ExitCode::from(exit.code()))
}

fn command() -> Command {
    Command::new("coltsfootshunt-entry")
        .about("Takes jobs from callers and sends their tasks to targets")
        .version(env!("CARGO_PKG_VERSION"))
        .arg(
            Arg::new("settings")
                .help("Settings file, JSON with comments")
                .required_unless_present("platform")
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(
            Arg::new("platform")
                .long("platform")
                .help("Run on the users' platform, with the settings file that the platform writes")
                .conflicts_with("settings")
                .action(clap::ArgAction::SetTrue),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .help("Check the settings and exit")
                .action(clap::ArgAction::SetTrue),
        )
}

fn run_on_platform(check: bool) -> Result<ExitCode> {
    if check {
        let path = coltsfootshunt_platform::Settings::path().into_diagnostic()?;
        coltsfootshunt_platform::Settings::read(&path).into_diagnostic()?;
        println!("the settings are valid");
        return Ok(ExitCode::SUCCESS);
    }
    let metrics = PrometheusBuilder::new().install_recorder().into_diagnostic()?;
    coltsfootshunt_platform::run(metrics).into_diagnostic()?;
    Ok(ExitCode::SUCCESS)
}

async fn run(settings: Settings) -> Result<Exit> {
    let metrics = PrometheusBuilder::new().install_recorder().into_diagnostic()?;
    let level = settings.log;
    let log = Box::new(move |identity: &_| {
        let log: Arc<dyn Log> = Arc::new(Json::new(level, identity));
        observe_panics(&log);
        log
    });
    let app = App::start(settings, log, metrics).await.into_diagnostic()?;
    println!("{}", announcement(&app));
    let mut terminate = signal(SignalKind::terminate()).into_diagnostic()?;
    let mut interrupt = signal(SignalKind::interrupt()).into_diagnostic()?;
    let app = Arc::new(app);
    let app_to_stop = Arc::clone(&app);
    let signal_task = tokio::spawn(async move {
        loop {
            tokio::select! {
                _ = terminate.recv() => {}
                _ = interrupt.recv() => {}
            }
            app_to_stop.stop().await;
        }
    });
    let exit = app.exit().await;
    signal_task.abort();
    Ok(exit)
}

/// The line written to standard output once the entry listens: its incarnation and its addresses.
fn announcement(app: &App) -> serde_json::Value {
    serde_json::json!({
        "incarnation": app.incarnation,
        "callers": app.addresses.callers,
        "operators": app.addresses.operators,
        "peers": app.addresses.peers,
    })
}
