//! The caller.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use coltsfootshunt_core::answer::{Answer, Refusal};
use coltsfootshunt_core::job::{Draft, Job};
use coltsfootshunt_core::submission::Id;
use coltsfootshunt_http::{Client, Error as HttpError, Method, Request, StatusCode};
use derive_more::{Display, Error};
use serde::Deserialize;
use serde_json::json;

use super::{Identifier, Pool};

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
    pub identifier_batch: usize,
    /// Attempts to learn the answer under one identifier.
    pub attempts: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Self { entries: Vec::new(), identifier_batch: 16, attempts: 5 }
    }
}

/// Why there is no answer. The job may have run only in the last case.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// No entry gave an identifier; nothing was submitted.
    #[display("no entry gives an identifier: {_0}")]
    NoIdentifier(#[error(source)] IdentifierError),
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
pub enum IdentifierError {
    /// No entry is known.
    #[display("no entry is known")]
    NoEntry,
    /// It gave no response.
    #[display("{_0}")]
    Transport(#[error(source)] HttpError),
    /// It refused.
    #[display("{detail}")]
    Refused {
        /// Its words.
        detail: String,
    },
    /// Its response can't be read.
    #[display("{_0}")]
    Malformed(#[error(source)] serde_json::Error),
}

#[derive(Deserialize)]
struct Minted {
    identifiers: Vec<Id>,
}

/// A caller with its connections and its identifiers in hand.
pub struct Caller {
    settings: Settings,
    client: Client,
    hand: Mutex<Pool>,
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
    /// See [`Error`].
    pub async fn submit(&self, job: &Job) -> Result<(Id, Answer), Error> {
        let mut tried = 0;
        loop {
            let held = self.take_identifier().await?;
            let answer = self.submit_under(&held, job).await?;
            tried += 1;
            if !moves_on(&answer) || tried >= self.settings.entries.len() {
                return Ok((held.id, answer));
            }
            self.hand().discard(held.entry);
        }
    }

    /// An identifier of the entry whose turn it is, from those in hand or fresh.
    ///
    /// # Errors
    /// [`Error::NoIdentifier`].
    pub async fn take_identifier(&self) -> Result<Identifier, Error> {
        let mut cause = IdentifierError::NoEntry;
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
        Err(Error::NoIdentifier(cause))
    }

    /// Submits a job under an identifier until there is an answer. Doing so again is safe.
    ///
    /// # Errors
    /// [`Error::NoAnswer`].
    pub async fn submit_under(&self, held: &Identifier, job: &Job) -> Result<Answer, Error> {
        let body = serde_json::to_vec(&Draft::from(job)).expect("a checked job serializes");
        let path = format!("/v1/submissions/{}", held.id);
        let began = Instant::now();
        for attempt in 0..self.settings.attempts {
            let to = if attempt == 0 { held.entry } else { self.next_entry() };
            let left = (job.time + MARGIN).saturating_sub(began.elapsed()).max(MARGIN);
            let request = Request {
                method: Method::PUT,
                address: to,
                path: &path,
                body: body.clone(),
                timeout: left,
            };
            if let Some(answer) = self.answer_of(request).await {
                return Ok(answer);
            }
            tokio::time::sleep(AGAIN_AFTER).await;
        }
        Err(Error::NoAnswer { id: held.id.clone() })
    }

    /// Asks for the answer of an earlier submission, waiting up to `wait`.
    ///
    /// # Errors
    /// [`Error::NoAnswer`].
    pub async fn answer(&self, id: &Id, wait: Duration) -> Result<Answer, Error> {
        let path = format!("/v1/submissions/{id}?wait_ms={}", wait.as_millis());
        for _ in 0..self.settings.attempts {
            let to = self.next_entry();
            let within = wait + MARGIN;
            let request = Request {
                method: Method::GET,
                address: to,
                path: &path,
                body: Vec::new(),
                timeout: within,
            };
            if let Some(answer) = self.answer_of(request).await {
                return Ok(answer);
            }
            tokio::time::sleep(AGAIN_AFTER).await;
        }
        Err(Error::NoAnswer { id: id.clone() })
    }

    /// Cancels a submission and waits up to `wait` for its answer.
    ///
    /// # Errors
    /// [`Error::NoAnswer`].
    pub async fn cancel(&self, id: &Id, wait: Duration) -> Result<Answer, Error> {
        let path = format!("/v1/submissions/{id}?wait_ms={}", wait.as_millis());
        let to = self.next_entry();
        let within = wait + MARGIN;
        let request = Request {
            method: Method::DELETE,
            address: to,
            path: &path,
            body: Vec::new(),
            timeout: within,
        };
        let none = || Error::NoAnswer { id: id.clone() };
        self.answer_of(request).await.ok_or_else(none)
    }

    async fn answer_of(&self, request: Request<'_>) -> Option<Answer> {
        match self.client.send(request).await {
            Ok((StatusCode::ACCEPTED, _)) | Err(_) => None,
            Ok((_, body)) => serde_json::from_slice(&body).ok(),
        }
    }

    /// Fresh identifiers of one entry.
    async fn mint(&self, entry: SocketAddr) -> Result<Vec<Identifier>, IdentifierError> {
        let body = json!({ "count": self.settings.identifier_batch }).to_string().into_bytes();
        let path = "/v1/identifiers";
        let request =
            Request { method: Method::POST, address: entry, path, body, timeout: MINT_WITHIN };
        match self.client.send(request).await {
            Ok((StatusCode::OK, body)) => match serde_json::from_slice::<Minted>(&body) {
                Ok(minted) => Ok(hold(minted, entry)),
                Err(error) => Err(IdentifierError::Malformed(error)),
            },
            Ok((_, body)) => Err(IdentifierError::Refused {
                detail: String::from_utf8_lossy(&body).into_owned(),
            }),
            Err(broken) => Err(IdentifierError::Transport(broken)),
        }
    }

    fn next_entry(&self) -> SocketAddr {
        let turn = self.turn.fetch_add(1, Ordering::Relaxed);
        self.settings.entries[turn % self.settings.entries.len()]
    }

    fn hand(&self) -> std::sync::MutexGuard<'_, Pool> {
        self.hand.lock().expect("no holder of this lock panics")
    }
}

fn hold(minted: Minted, entry: SocketAddr) -> Vec<Identifier> {
    let issued_at = Instant::now();
    minted.identifiers.into_iter().map(|id| Identifier { id, entry, issued_at }).collect()
}

/// Whether another entry may take the job: this one said that it did not, and why is its own.
fn moves_on(answer: &Answer) -> bool {
    matches!(
        answer,
        Answer::NotRun { refusal: Refusal::Draining | Refusal::NotReady | Refusal::Retired }
    )
}
