//! `load`: measures an embedded fleet under open-loop load.

use std::process::ExitCode;
use std::time::Duration;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use coltsfootshunt_caller::{Caller, Settings};
use coltsfootshunt_entry::settings::{Admission, Policy, QueueOrder, Sharing};

use crate::error::Error;
use crate::fleet::{Fleet, Options};
use crate::load::{
    CallerPool, Class, Faults, Measurements, Peak, Report, Workload, measure_direct,
    measure_end_to_end, send_all,
};

/// Default of `--mix`: jobs of 40 tasks with a median run time of 0.2 s.
const DEFAULT_CLASS: &str = "short:200:0.5:1:40";

pub fn command() -> Command {
    Command::new("load")
        .about("Measure response times of an embedded fleet under open-loop load")
        .arg(number_arg("load", "0.7", "Arriving work as a share of the capacity"))
        .arg(
            Arg::new("rate")
                .long("rate")
                .help("Jobs per second, instead of --load")
                .value_parser(value_parser!(f64)),
        )
        .arg(number_arg("seconds", "20", "Duration of the run, in seconds"))
        .arg(number_arg("deadline-ms", "10000", "Deadline of each job, in milliseconds"))
        .arg(number_arg("crest", "1", "Factor on the rate in the middle third of the run"))
        .arg(count_arg("zones", "4", "Number of availability zones"))
        .arg(count_arg("entries", "8", "Number of entries"))
        .arg(count_arg("targets", "50", "Number of targets, with 8 slots each"))
        .arg(count_arg("teams", "2", "Number of teams"))
        .arg(count_arg("failing", "0", "Number of targets that fail every task at once"))
        .arg(count_arg("slow", "0", "Number of targets that take twice the run time"))
        .arg(count_arg("seed", "1", "Seed of the generated arrivals"))
        .arg(
            Arg::new("mix")
                .long("mix")
                .help("Class of jobs as kind:median_ms:sigma:weight:width; may be repeated")
                .action(ArgAction::Append),
        )
        .arg(choice_arg("order", ["slack", "arrival"], "Order of the queue"))
        .arg(choice_arg("admission", ["predicted", "everything"], "Which jobs are admitted"))
        .arg(choice_arg("sharing", ["loans", "none"], "Whether entries borrow slots"))
        .arg(flag_arg("json", "Print the report as JSON"))
        .arg(flag_arg("logs", "Have the entries write their logs to standard error"))
}

pub async fn run(matches: &ArgMatches) -> Result<ExitCode, Error> {
    let mix = mix(matches)?;
    let options = fleet_options(matches, &mix);
    let workload = workload(matches, &mix, &options);
    let arrivals = workload.generate();
    let fleet = Fleet::start(&options).await?;
    let caller = Caller::new(Settings { entries: fleet.caller_addresses(), ..Settings::default() });
    let direct = measure_direct(fleet.targets[0].address).await;
    let end_to_end = measure_end_to_end(&caller, &mix[0].kind).await;
    inject_faults(&fleet, faults(matches));
    let before = fleet.metrics.render();
    let deadline = millis_value(matches, "deadline-ms");
    let callers = CallerPool::new(&fleet.caller_addresses(), workload.seed);
    let results = send_all(callers, &mix, &arrivals, deadline, options.teams).await;
    let after = fleet.metrics.render();
    let report = Report::new(&Measurements {
        mix: &mix,
        arrivals: &arrivals,
        results: &results,
        slots: workload.slots,
        direct,
        end_to_end,
        counters: (&before, &after),
    });
    if matches.get_flag("json") {
        println!("{}", serde_json::to_string_pretty(&report).expect("a report can be serialized"));
    } else {
        println!("{}", report.table());
    }
    Ok(ExitCode::SUCCESS)
}

fn mix(matches: &ArgMatches) -> Result<Vec<Class>, Error> {
    let texts = matches.get_many::<String>("mix").into_iter().flatten();
    let mut mix =
        texts.map(|text| Class::try_from(text.as_str())).collect::<Result<Vec<_>, _>>()?;
    if mix.is_empty() {
        mix.push(Class::try_from(DEFAULT_CLASS)?);
    }
    Ok(mix)
}

fn fleet_options(matches: &ArgMatches, mix: &[Class]) -> Options {
    let mut kinds: Vec<_> =
        mix.iter().map(|class| (class.kind.clone(), (class.median_ms as u64).max(1))).collect();
    kinds.sort();
    kinds.dedup_by(|a, b| a.0 == b.0);
    Options {
        zones: count_value(matches, "zones"),
        entries: count_value(matches, "entries"),
        targets: count_value(matches, "targets"),
        teams: count_value(matches, "teams"),
        kinds,
        policy: policy(matches),
        has_logs: matches.get_flag("logs"),
        ..Options::default()
    }
}

fn policy(matches: &ArgMatches) -> Policy {
    let is = |name: &str, value: &str| {
        matches.get_one::<String>(name).is_some_and(|given| given == value)
    };
    Policy {
        order: if is("order", "arrival") { QueueOrder::Arrival } else { QueueOrder::Slack },
        admission: if is("admission", "everything") {
            Admission::Everything
        } else {
            Admission::Predicted
        },
        sharing: if is("sharing", "none") { Sharing::None } else { Sharing::Loans },
    }
}

fn workload(matches: &ArgMatches, mix: &[Class], options: &Options) -> Workload {
    let duration = Duration::from_secs_f64(number_value(matches, "seconds"));
    let factor = number_value(matches, "crest");
    let third = duration / 3;
    Workload {
        mix: mix.to_vec(),
        load: number_value(matches, "load"),
        rate: matches.get_one::<f64>("rate").copied(),
        slots: options.targets * options.slots_per_target as usize,
        duration,
        peak: (factor > 1.0).then_some(Peak { factor, start: third, duration: third }),
        seed: count_value(matches, "seed") as u64,
    }
}

fn faults(matches: &ArgMatches) -> Faults {
    Faults { failing: count_value(matches, "failing"), slow: count_value(matches, "slow") }
}

fn inject_faults(fleet: &Fleet, faults: Faults) {
    const SLOW_RUN_TIME_PERCENT: u32 = 200;
    for target in fleet.targets.iter().take(faults.failing) {
        target.set_failing(true);
    }
    for target in fleet.targets.iter().rev().take(faults.slow) {
        target.set_run_time_percent(SLOW_RUN_TIME_PERCENT);
    }
}

fn number_arg(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).help(help).default_value(default).value_parser(value_parser!(f64))
}

fn count_arg(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).help(help).default_value(default).value_parser(value_parser!(usize))
}

fn choice_arg(name: &'static str, values: [&'static str; 2], help: &'static str) -> Arg {
    Arg::new(name).long(name).help(help).default_value(values[0]).value_parser(values)
}

fn flag_arg(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).help(help).action(ArgAction::SetTrue)
}

fn count_value(matches: &ArgMatches, name: &str) -> usize {
    *matches.get_one::<usize>(name).expect("the argument has a default")
}

fn number_value(matches: &ArgMatches, name: &str) -> f64 {
    *matches.get_one::<f64>(name).expect("the argument has a default")
}

fn millis_value(matches: &ArgMatches, name: &str) -> Duration {
    Duration::from_secs_f64(number_value(matches, name) / 1e3)
}
