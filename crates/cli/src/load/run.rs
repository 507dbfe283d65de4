//! One run against a fleet.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use coltsfootshunt_caller::{Caller, Settings};
use coltsfootshunt_core::answer::{Answer, Outcome};
use coltsfootshunt_core::job::{Draft, Job, Payload};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::value::RawValue;

use super::{Arrival, Class};

/// Which targets of an embedded fleet misbehave.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Targets that fail every task at once.
    pub failing: usize,
    /// Targets that take twice the time.
    pub slow: usize,
}

/// What became of one job.
#[derive(Clone, Copy, Debug)]
pub struct Ended {
    /// Its place among the arrivals.
    pub arrival: usize,
    /// Time from the intended send time to the answer.
    pub response: Duration,
    /// The outcome; none where nobody answered.
    pub outcome: Option<Outcome>,
}

/// Many callers, so that entries are chosen as behind a balancer and not in turn.
pub struct Crowd {
    callers: Vec<Arc<Caller>>,
    random: StdRng,
}

impl Crowd {
    /// Callers that each begin with another entry.
    #[must_use]
    pub fn new(entries: &[SocketAddr], seed: u64) -> Self {
        const CALLERS: usize = 32;
        let caller = |number: usize| {
            let mut entries = entries.to_vec();
            let count = entries.len();
            entries.rotate_left(number % count);
            Arc::new(Caller::new(Settings { entries, ..Settings::default() }))
        };
        let callers = (0..CALLERS).map(caller).collect();
        Self { callers, random: StdRng::seed_from_u64(seed) }
    }

    /// Any caller.
    pub fn any(&mut self) -> Arc<Caller> {
        let number = self.random.random_range(0..self.callers.len());
        Arc::clone(&self.callers[number])
    }
}

/// Sends all arrivals at their times, whatever becomes of earlier ones.
pub async fn run(
    mut crowd: Crowd,
    mix: &[Class],
    arrivals: &[Arrival],
    deadline: Duration,
    teams: usize,
) -> Vec<Ended> {
    let began = tokio::time::Instant::now();
    let mut tasks = tokio::task::JoinSet::new();
    for (number, arrival) in arrivals.iter().enumerate() {
        let team = format!("team-{}", number % teams);
        let job = job(&mix[arrival.class], arrival, deadline, team);
        let due = began + arrival.at;
        tokio::time::sleep_until(due).await;
        let caller = crowd.any();
        tasks.spawn(async move {
            let outcome = caller.submit(&job).await.ok().map(|(_, answer)| answer.outcome());
            Ended { arrival: number, response: due.elapsed(), outcome }
        });
    }
    let mut ended = tasks.join_all().await;
    ended.sort_by_key(|ended| ended.arrival);
    ended
}

/// Median time of a call straight to a target that answers at once.
pub async fn direct(target: SocketAddr) -> Duration {
    const CALLS: usize = 200;
    let client = coltsfootshunt_http::Client::new(1 << 20);
    let mut times = Vec::with_capacity(CALLS);
    for _ in 0..CALLS {
        let body = br#"{"task":"direct/0","kind":"short","within_ms":1000,"input":{}}"#.to_vec();
        let request = coltsfootshunt_http::Request {
            method: coltsfootshunt_http::Method::POST,
            address: target,
            path: "/v1/tasks",
            body,
            timeout: Duration::from_secs(1),
        };
        let began = Instant::now();
        let _ = client.send(request).await;
        times.push(began.elapsed());
    }
    times.sort();
    times[CALLS / 2]
}

/// Median time of a job with one task that a target answers at once.
pub async fn through(caller: &Caller, kind: &str) -> Duration {
    const CALLS: usize = 200;
    let mut times = Vec::with_capacity(CALLS);
    for _ in 0..CALLS {
        let job = Job::try_from(Draft {
            team: "team-0".to_owned(),
            kind: kind.to_owned(),
            deadline_ms: Some(10_000),
            tasks: vec![payload(0.0)],
        })
        .expect("the draft is whole");
        let began = Instant::now();
        let answer = caller.submit(&job).await;
        if matches!(answer, Ok((_, Answer::Complete { .. }))) {
            times.push(began.elapsed());
        }
    }
    times.sort();
    times.get(times.len() / 2).copied().unwrap_or_default()
}

fn job(class: &Class, arrival: &Arrival, deadline: Duration, team: String) -> Job {
    let draft = Draft {
        team,
        kind: class.kind.clone(),
        deadline_ms: Some(u64::try_from(deadline.as_millis()).unwrap_or(u64::MAX)),
        tasks: arrival.tasks_ms.iter().map(|ms| payload(*ms)).collect(),
    };
    Job::try_from(draft).expect("the draft is whole")
}

fn payload(ms: f64) -> Payload {
    let raw = RawValue::from_string(format!("{{\"ms\":{ms:.3}}}")).expect("this is JSON");
    raw.into()
}
