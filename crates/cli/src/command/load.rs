//! `load`: open-loop load on an embedded fleet, with figures.

use std::process::ExitCode;
use std::time::Duration;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use coltsfootshunt_caller::{Caller, Settings};
use coltsfootshunt_entry::settings::{Admission, Policy, QueueOrder, Sharing};

use crate::fleet::{Fleet, Size};
use crate::load::{
    Class, Crest, Crowd, Faults, Report, Shape, Source, direct, run as send, through,
};
use crate::problem::Problem;

/// Work unless stated: jobs of 40 tasks of about 0.2 s.
const MIX: &str = "short:200:0.5:1:40";

pub fn command() -> Command {
    Command::new("load")
        .about("Load an embedded fleet with open-loop arrivals and print response time over ideal")
        .arg(number("load", "0.7", "Work that arrives against all slots"))
        .arg(
            Arg::new("rate")
                .long("rate")
                .help("Jobs a second, in place of the load")
                .value_parser(value_parser!(f64)),
        )
        .arg(number("seconds", "20", "Length of the run"))
        .arg(number("deadline-ms", "10000", "Deadline of each job"))
        .arg(number("crest", "1", "Factor of a swing in the middle third of the run"))
        .arg(count("zones", "4", "Availability zones"))
        .arg(count("entries", "8", "Entries"))
        .arg(count("targets", "50", "Targets with 8 slots each"))
        .arg(count("teams", "2", "Teams"))
        .arg(count("failing", "0", "Targets that fail every task at once"))
        .arg(count("slow", "0", "Targets that take twice the time"))
        .arg(count("seed", "1", "Seed of the arrivals"))
        .arg(
            Arg::new("mix")
                .long("mix")
                .help("Class of work, kind:median_ms:sigma:weight:width; may be repeated")
                .action(ArgAction::Append),
        )
        .arg(choice("order", ["slack", "arrival"], "Order of waiting jobs"))
        .arg(choice("admission", ["predicted", "everything"], "Which jobs are let in"))
        .arg(choice("sharing", ["loans", "none"], "Whom to borrow slots from"))
        .arg(flag("json", "Print the figures as JSON"))
        .arg(flag("logs", "Let the entries write their logs to standard error"))
}

pub async fn run(matches: &ArgMatches) -> Result<ExitCode, Problem> {
    let mix = mix(matches)?;
    let size = size(matches, &mix);
    let shape = shape(matches, &mix, &size);
    let arrivals = shape.draw();
    let fleet = Fleet::start(&size).await?;
    let caller = Caller::new(Settings { entries: fleet.callers(), ..Settings::default() });
    let direct = direct(fleet.targets[0].address).await;
    let through = through(&caller, &mix[0].kind).await;
    break_targets(&fleet, faults(matches));
    let before = fleet.metrics.render();
    let deadline = millis(matches, "deadline-ms");
    let crowd = Crowd::new(&fleet.callers(), shape.seed);
    let ended = send(crowd, &mix, &arrivals, deadline, size.teams).await;
    let after = fleet.metrics.render();
    let report = Report::new(&Source {
        mix: &mix,
        arrivals: &arrivals,
        ended: &ended,
        slots: shape.slots,
        direct,
        through,
        counters: (&before, &after),
    });
    if matches.get_flag("json") {
        println!("{}", serde_json::to_string_pretty(&report).expect("figures serialize"));
    } else {
        println!("{}", report.table());
    }
    Ok(ExitCode::SUCCESS)
}

fn mix(matches: &ArgMatches) -> Result<Vec<Class>, Problem> {
    let texts = matches.get_many::<String>("mix").into_iter().flatten();
    let mut mix =
        texts.map(|text| Class::try_from(text.as_str())).collect::<Result<Vec<_>, _>>()?;
    if mix.is_empty() {
        mix.push(Class::try_from(MIX)?);
    }
    Ok(mix)
}

fn size(matches: &ArgMatches, mix: &[Class]) -> Size {
    let mut kinds: Vec<_> =
        mix.iter().map(|class| (class.kind.clone(), (class.median_ms as u64).max(1))).collect();
    kinds.sort();
    kinds.dedup_by(|a, b| a.0 == b.0);
    Size {
        zones: get(matches, "zones"),
        entries: get(matches, "entries"),
        targets: get(matches, "targets"),
        teams: get(matches, "teams"),
        kinds,
        policy: policy(matches),
        logs: matches.get_flag("logs"),
        ..Size::default()
    }
}

fn policy(matches: &ArgMatches) -> Policy {
    let is = |name: &str, value: &str| matches.get_one::<String>(name).is_some_and(|v| v == value);
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

fn shape(matches: &ArgMatches, mix: &[Class], size: &Size) -> Shape {
    let lasts = Duration::from_secs_f64(float(matches, "seconds"));
    let factor = float(matches, "crest");
    let third = lasts / 3;
    Shape {
        mix: mix.to_vec(),
        load: float(matches, "load"),
        rate: matches.get_one::<f64>("rate").copied(),
        slots: size.targets * size.slots as usize,
        lasts,
        crest: (factor > 1.0).then_some(Crest { factor, from: third, lasts: third }),
        seed: get(matches, "seed") as u64,
    }
}

fn faults(matches: &ArgMatches) -> Faults {
    Faults { failing: get(matches, "failing"), slow: get(matches, "slow") }
}

fn break_targets(fleet: &Fleet, faults: Faults) {
    const TWICE: u32 = 200;
    for target in fleet.targets.iter().take(faults.failing) {
        target.set_failing(true);
    }
    for target in fleet.targets.iter().rev().take(faults.slow) {
        target.set_run_time_percent(TWICE);
    }
}

fn number(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).help(help).default_value(default).value_parser(value_parser!(f64))
}

fn count(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).help(help).default_value(default).value_parser(value_parser!(usize))
}

fn choice(name: &'static str, values: [&'static str; 2], help: &'static str) -> Arg {
    Arg::new(name).long(name).help(help).default_value(values[0]).value_parser(values)
}

fn flag(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).help(help).action(ArgAction::SetTrue)
}

fn get(matches: &ArgMatches, name: &str) -> usize {
    *matches.get_one::<usize>(name).expect("it has a default")
}

fn float(matches: &ArgMatches, name: &str) -> f64 {
    *matches.get_one::<f64>(name).expect("it has a default")
}

fn millis(matches: &ArgMatches, name: &str) -> Duration {
    Duration::from_secs_f64(float(matches, name) / 1e3)
}
