//! The caller.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use coltsfootshunt_core::answer::{Answer, Refusal};
use coltsfootshunt_core::job::{Draft, Job};
use coltsfootshunt_core::submission::Id;
use coltsfootshunt_http::{Call, Client, Failure as Broken, Method, StatusCode};
use derive_more::{Display, Error};
use serde::Deserialize;
use serde_json::json;

use super::{Hand, Held};

/// Largest answer, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 20;
/// Time to get identifiers.
const MINT_WITHIN: Duration = Duration::from_secs(2);
/// Time beyond a job's own that its answer is waited for.
const MARGIN: Duration = Duration::from_secs(3);
/// Time before another attempt.
const AGAIN_AFTER: Duration = Duration::from_millis(100);

/// How a caller behaves.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Entries, or the balancer in front of them.
    pub entries: Vec<SocketAddr>,
    /// Identifiers asked for at once.
    pub batch: usize,
    /// Attempts to learn the answer under one identifier.
    pub attempts: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Self { entries: Vec::new(), batch: 16, attempts: 5 }
    }
}

/// Why there is no answer. The job may have run only in the last case.
#[derive(Debug, Display, Error)]
pub enum Failure {
    /// No entry gave an identifier; nothing was submitted.
    #[display("no entry gives an identifier: {_0}")]
    NoIdentifier(#[error(source)] Unminted),
    /// The submission was sent and nobody answered for it.
    #[display("no answer for {id}; ask again under the same identifier")]
    NoAnswer {
        /// Its identifier.
        #[error(not(source))]
        id: Id,
    },
}

/// Why an entry gave no identifier.
#[derive(Debug, Display, Error)]
pub enum Unminted {
    /// No entry is known.
    #[display("no entry is known")]
    NoEntry,
    /// It gave no response.
    #[display("{_0}")]
    Broken(#[error(source)] Broken),
    /// It refused.
    #[display("{detail}")]
    Refused {
        /// Its words.
        detail: String,
    },
    /// Its response can't be read.
    #[display("{_0}")]
    Garbled(#[error(source)] serde_json::Error),
}

#[derive(Deserialize)]
struct Minted {
    identifiers: Vec<Id>,
}

/// A caller with its connections and its identifiers in hand.
pub struct Caller {
    settings: Settings,
    client: Client,
    hand: Mutex<Hand>,
    turn: AtomicUsize,
}

impl Caller {
    /// A caller with nothing in hand.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        let client = Client::new(MAX_RESPONSE_BYTES);
        Self { settings, client, hand: Mutex::default(), turn: AtomicUsize::new(0) }
    }

    /// Submits a job and waits for its answer. If the entry is stopping or full, another one is
    /// tried under a fresh identifier, since the first said that nothing ran.
    ///
    /// # Errors
    /// See [`Failure`].
    pub async fn submit(&self, job: &Job) -> Result<(Id, Answer), Failure> {
        let mut tried = 0;
        loop {
            let held = self.identifier().await?;
            let answer = self.submit_under(&held, job).await?;
            tried += 1;
            if !moves_on(&answer) || tried >= self.settings.entries.len() {
                return Ok((held.id, answer));
            }
            self.hand().drop_of(held.entry);
        }
    }

    /// An identifier of the entry whose turn it is, from those in hand or fresh.
    ///
    /// # Errors
    /// [`Failure::NoIdentifier`].
    pub async fn identifier(&self) -> Result<Held, Failure> {
        let mut cause = Unminted::NoEntry;
        for _ in 0..self.settings.entries.len() {
            let entry = self.next_entry();
            if let Some(held) = self.hand().take(entry, Instant::now()) {
                return Ok(held);
            }
            match self.mint(entry).await {
                Ok(fresh) => self.hand().add(fresh),
                Err(unminted) => cause = unminted,
            }
            if let Some(held) = self.hand().take(entry, Instant::now()) {
                return Ok(held);
            }
        }
        Err(Failure::NoIdentifier(cause))
    }

    /// Submits a job under an identifier until there is an answer. Doing so again is safe.
    ///
    /// # Errors
    /// [`Failure::NoAnswer`].
    pub async fn submit_under(&self, held: &Held, job: &Job) -> Result<Answer, Failure> {
        let body = serde_json::to_vec(&Draft::from(job)).expect("a checked job serializes");
        let path = format!("/v1/submissions/{}", held.id);
        let began = Instant::now();
        for attempt in 0..self.settings.attempts {
            let to = if attempt == 0 { held.entry } else { self.next_entry() };
            let left = (job.timeout + MARGIN).saturating_sub(began.elapsed()).max(MARGIN);
            let call =
                Call { method: Method::PUT, to, path: &path, body: body.clone(), within: left };
            if let Some(answer) = self.answer_of(call).await {
                return Ok(answer);
            }
            tokio::time::sleep(AGAIN_AFTER).await;
        }
        Err(Failure::NoAnswer { id: held.id.clone() })
    }

    /// Asks for the answer of an earlier submission, waiting up to `wait`.
    ///
    /// # Errors
    /// [`Failure::NoAnswer`].
    pub async fn answer(&self, id: &Id, wait: Duration) -> Result<Answer, Failure> {
        let path = format!("/v1/submissions/{id}?wait_ms={}", wait.as_millis());
        for _ in 0..self.settings.attempts {
            let to = self.next_entry();
            let within = wait + MARGIN;
            let call = Call { method: Method::GET, to, path: &path, body: Vec::new(), within };
            if let Some(answer) = self.answer_of(call).await {
                return Ok(answer);
            }
            tokio::time::sleep(AGAIN_AFTER).await;
        }
        Err(Failure::NoAnswer { id: id.clone() })
    }

    /// Cancels a submission and waits up to `wait` for its answer.
    ///
    /// # Errors
    /// [`Failure::NoAnswer`].
    pub async fn cancel(&self, id: &Id, wait: Duration) -> Result<Answer, Failure> {
        let path = format!("/v1/submissions/{id}?wait_ms={}", wait.as_millis());
        let to = self.next_entry();
        let within = wait + MARGIN;
        let call = Call { method: Method::DELETE, to, path: &path, body: Vec::new(), within };
        let none = || Failure::NoAnswer { id: id.clone() };
        self.answer_of(call).await.ok_or_else(none)
    }

    async fn answer_of(&self, call: Call<'_>) -> Option<Answer> {
        match self.client.send(call).await {
            Ok((StatusCode::ACCEPTED, _)) | Err(_) => None,
            Ok((_, body)) => serde_json::from_slice(&body).ok(),
        }
    }

    /// Fresh identifiers of one entry.
    async fn mint(&self, entry: SocketAddr) -> Result<Vec<Held>, Unminted> {
        let body = json!({ "count": self.settings.batch }).to_string().into_bytes();
        let path = "/v1/identifiers";
        let call = Call { method: Method::POST, to: entry, path, body, within: MINT_WITHIN };
        match self.client.send(call).await {
            Ok((StatusCode::OK, body)) => match serde_json::from_slice::<Minted>(&body) {
                Ok(minted) => Ok(hold(minted, entry)),
                Err(error) => Err(Unminted::Garbled(error)),
            },
            Ok((_, body)) => {
                Err(Unminted::Refused { detail: String::from_utf8_lossy(&body).into_owned() })
            }
            Err(broken) => Err(Unminted::Broken(broken)),
        }
    }

    fn next_entry(&self) -> SocketAddr {
        let turn = self.turn.fetch_add(1, Ordering::Relaxed);
        self.settings.entries[turn % self.settings.entries.len()]
    }

    fn hand(&self) -> std::sync::MutexGuard<'_, Hand> {
        self.hand.lock().expect("no holder of this lock panics")
    }
}

fn hold(minted: Minted, entry: SocketAddr) -> Vec<Held> {
    let since = Instant::now();
    minted.identifiers.into_iter().map(|id| Held { id, entry, since }).collect()
}

/// Whether another entry may take the job: this one said that it did not, and why is its own.
fn moves_on(answer: &Answer) -> bool {
    matches!(
        answer,
        Answer::NotRun { refusal: Refusal::Draining | Refusal::NotReady | Refusal::OwnerStopped }
    )
}
