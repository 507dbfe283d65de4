//! Sends the jobs of a workload to a fleet and measures the responses.

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

/// Faults of the targets of an embedded fleet.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Number of targets that fail every task at once.
    pub failing: usize,
    /// Number of targets that take twice the run time.
    pub slow: usize,
}

/// Result of one job.
#[derive(Clone, Copy, Debug)]
pub struct JobResult {
    /// Index of the job among the arrivals.
    pub arrival: usize,
    /// Time from the intended send time to the answer.
    pub response_time: Duration,
    /// Outcome of the job. `None` if no entry answered.
    pub outcome: Option<Outcome>,
}

/// Callers that are chosen at random, so that jobs spread over the entries as behind a load
/// balancer and not in rotation.
pub struct CallerPool {
    callers: Vec<Arc<Caller>>,
    random: StdRng,
}

impl CallerPool {
    /// Creates callers that each prefer a different entry.
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

    /// Picks a caller at random.
    pub fn pick(&mut self) -> Arc<Caller> {
        let number = self.random.random_range(0..self.callers.len());
        Arc::clone(&self.callers[number])
    }
}

/// Sends each job at its intended time, without waiting for earlier answers. Returns the results in
/// the order of the arrivals.
pub async fn send_all(
    mut callers: CallerPool,
    mix: &[Class],
    arrivals: &[Arrival],
    deadline: Duration,
    teams: usize,
) -> Vec<JobResult> {
    let started = tokio::time::Instant::now();
    let mut tasks = tokio::task::JoinSet::new();
    for (number, arrival) in arrivals.iter().enumerate() {
        let team = format!("team-{}", number % teams);
        let job = build_job(&mix[arrival.class], arrival, deadline, team);
        let send_at = started + arrival.at;
        tokio::time::sleep_until(send_at).await;
        let caller = callers.pick();
        tasks.spawn(async move {
            let outcome = caller.submit(&job).await.ok().map(|(_, answer)| answer.outcome());
            JobResult { arrival: number, response_time: send_at.elapsed(), outcome }
        });
    }
    let mut results = tasks.join_all().await;
    results.sort_by_key(|result| result.arrival);
    results
}

/// Measures the median response time of a target that is called directly and answers at once.
pub async fn measure_direct(target: SocketAddr) -> Duration {
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
        let started = Instant::now();
        let _ = client.send(request).await;
        times.push(started.elapsed());
    }
    times.sort();
    times[CALLS / 2]
}

/// Measures the median response time of a job with one task that a target answers at once. 0 if no
/// job is complete.
pub async fn measure_end_to_end(caller: &Caller, kind: &str) -> Duration {
    const CALLS: usize = 200;
    let mut times = Vec::with_capacity(CALLS);
    for _ in 0..CALLS {
        let job = Job::try_from(Draft {
            team: "team-0".to_owned(),
            kind: kind.to_owned(),
            deadline_ms: Some(10_000),
            tasks: vec![payload(0.0)],
        })
        .expect("the job is valid");
        let started = Instant::now();
        let answer = caller.submit(&job).await;
        if matches!(answer, Ok((_, Answer::Complete { .. }))) {
            times.push(started.elapsed());
        }
    }
    times.sort();
    times.get(times.len() / 2).copied().unwrap_or_default()
}

fn build_job(class: &Class, arrival: &Arrival, deadline: Duration, team: String) -> Job {
    let draft = Draft {
        team,
        kind: class.kind.clone(),
        deadline_ms: Some(u64::try_from(deadline.as_millis()).unwrap_or(u64::MAX)),
        tasks: arrival.tasks_ms.iter().map(|ms| payload(*ms)).collect(),
    };
    Job::try_from(draft).expect("the job is valid")
}

fn payload(ms: f64) -> Payload {
    let raw = RawValue::from_string(format!("{{\"ms\":{ms:.3}}}")).expect("the text is JSON");
    raw.into()
}
