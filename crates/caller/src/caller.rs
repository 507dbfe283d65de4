//! Client that submits jobs to entries.

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

/// Limit of a response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 20;
/// Timeout of a request for identifiers.
const IDENTIFIER_TIMEOUT: Duration = Duration::from_secs(2);
/// Time to wait for an answer beyond the job's own time or the requested wait.
const ANSWER_MARGIN: Duration = Duration::from_secs(3);
/// Delay before another request for the same answer.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Settings of a [`Caller`].
#[derive(Clone, Debug)]
pub struct Settings {
    /// Addresses of the entries, or of the load balancer in front of them.
    pub entries: Vec<SocketAddr>,
    /// Number of identifiers to request at once.
    pub identifier_batch: usize,
    /// Maximum number of requests for the answer under one identifier.
    pub attempts: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Self { entries: Vec::new(), identifier_batch: 16, attempts: 5 }
    }
}

/// Why a call returned no answer. The job may have run only after [`Self::NoAnswer`].
#[derive(Debug, Display, Error)]
pub enum Error {
    /// No entry issued an identifier, so nothing was submitted.
    #[display("no entry issued an identifier: {_0}")]
    NoIdentifier(#[error(source)] IdentifierError),
    /// The submission may have been sent, but no answer arrived.
    #[display("no answer for {id}; ask again under the same identifier")]
    NoAnswer {
        /// Identifier of the submission.
        #[error(not(source))]
        id: Id,
    },
}

/// Why an entry issued no identifier.
#[derive(Debug, Display, Error)]
pub enum IdentifierError {
    /// The settings list no entry.
    #[display("the settings list no entry")]
    NoEntry,
    /// The request got no complete response.
    #[display("{_0}")]
    Transport(#[error(source)] HttpError),
    /// The entry responded with a status other than 200.
    #[display("{detail}")]
    Refused {
        /// Body of the response.
        detail: String,
    },
    /// The response can't be decoded.
    #[display("{_0}")]
    Malformed(#[error(source)] serde_json::Error),
}

#[derive(Deserialize)]
struct IssuedIdentifiers {
    identifiers: Vec<Id>,
}

/// Client with its connections and a pool of unused identifiers.
pub struct Caller {
    settings: Settings,
    client: Client,
    pool: Mutex<Pool>,
    /// Number of entries chosen so far, from which the next one in turn follows.
    choices: AtomicUsize,
}

impl Caller {
    /// Creates a caller with an empty pool of identifiers.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        let client = Client::new(MAX_RESPONSE_BYTES);
        Self { settings, client, pool: Mutex::default(), choices: AtomicUsize::new(0) }
    }

    /// Submits a job and waits for its answer. If the entry refuses because it is stopping, has
    /// stopped or is not ready, tries another entry under a new identifier. This is safe because a
    /// refused job does not run.
    ///
    /// # Errors
    /// See [`enum@Error`].
    pub async fn submit(&self, job: &Job) -> Result<(Id, Answer), Error> {
        let mut entries_tried = 0;
        loop {
            let identifier = self.take_identifier().await?;
            let answer = self.submit_under(&identifier, job).await?;
            entries_tried += 1;
            if !can_try_another_entry(&answer) || entries_tried >= self.settings.entries.len() {
                return Ok((identifier.id, answer));
            }
            self.pool().discard(identifier.entry);
        }
    }

    /// Takes an unused identifier of the next entry in turn, requesting new ones if the pool has
    /// none. Skips entries that issue none.
    ///
    /// # Errors
    /// Returns [`Error::NoIdentifier`] if no entry issued an identifier.
    pub async fn take_identifier(&self) -> Result<Identifier, Error> {
        let mut cause = IdentifierError::NoEntry;
        for _ in 0..self.settings.entries.len() {
            let entry = self.next_entry();
            if let Some(identifier) = self.pool().take(entry, Instant::now()) {
                return Ok(identifier);
            }
            match self.request_identifiers(entry).await {
                Ok(issued) => self.pool().add(issued),
                Err(error) => cause = error,
            }
            if let Some(identifier) = self.pool().take(entry, Instant::now()) {
                return Ok(identifier);
            }
        }
        Err(Error::NoIdentifier(cause))
    }

    /// Submits a job under an identifier, repeating the request until there is an answer. Calling
    /// this again with the same identifier and job is safe.
    ///
    /// # Errors
    /// Returns [`Error::NoAnswer`] if no request got an answer.
    pub async fn submit_under(&self, identifier: &Identifier, job: &Job) -> Result<Answer, Error> {
        let body = serde_json::to_vec(&Draft::from(job)).expect("a valid job serializes");
        let path = format!("/v1/submissions/{}", identifier.id);
        let started = Instant::now();
        for attempt in 0..self.settings.attempts {
            let address = if attempt == 0 { identifier.entry } else { self.next_entry() };
            let timeout =
                (job.timeout + ANSWER_MARGIN).saturating_sub(started.elapsed()).max(ANSWER_MARGIN);
            let request =
                Request { method: Method::PUT, address, path: &path, body: body.clone(), timeout };
            if let Some(answer) = self.request_answer(request).await {
                return Ok(answer);
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
        Err(Error::NoAnswer { id: identifier.id.clone() })
    }

    /// Requests the answer to an earlier submission, for which the entry waits up to `wait`.
    ///
    /// # Errors
    /// Returns [`Error::NoAnswer`] if no request got an answer.
    pub async fn answer(&self, id: &Id, wait: Duration) -> Result<Answer, Error> {
        let path = format!("/v1/submissions/{id}?wait_ms={}", wait.as_millis());
        for _ in 0..self.settings.attempts {
            let address = self.next_entry();
            let timeout = wait + ANSWER_MARGIN;
            let request =
                Request { method: Method::GET, address, path: &path, body: Vec::new(), timeout };
            if let Some(answer) = self.request_answer(request).await {
                return Ok(answer);
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
        Err(Error::NoAnswer { id: id.clone() })
    }

    /// Cancels a submission and returns its answer, for which the entry waits up to `wait`.
    ///
    /// # Errors
    /// Returns [`Error::NoAnswer`] if no request got an answer.
    pub async fn cancel(&self, id: &Id, wait: Duration) -> Result<Answer, Error> {
        let path = format!("/v1/submissions/{id}?wait_ms={}", wait.as_millis());
        let address = self.next_entry();
        let timeout = wait + ANSWER_MARGIN;
        let request =
            Request { method: Method::DELETE, address, path: &path, body: Vec::new(), timeout };
        let no_answer = || Error::NoAnswer { id: id.clone() };
        self.request_answer(request).await.ok_or_else(no_answer)
    }

    /// Requests an answer and decodes it. `None` if the request failed or the answer is pending.
    async fn request_answer(&self, request: Request<'_>) -> Option<Answer> {
        match self.client.send(request).await {
            Ok((StatusCode::ACCEPTED, _)) | Err(_) => None,
            Ok((_, body)) => serde_json::from_slice(&body).ok(),
        }
    }

    /// Requests new identifiers from one entry.
    async fn request_identifiers(
        &self,
        entry: SocketAddr,
    ) -> Result<Vec<Identifier>, IdentifierError> {
        let body = json!({ "count": self.settings.identifier_batch }).to_string().into_bytes();
        let path = "/v1/identifiers";
        let request = Request {
            method: Method::POST,
            address: entry,
            path,
            body,
            timeout: IDENTIFIER_TIMEOUT,
        };
        match self.client.send(request).await {
            Ok((StatusCode::OK, body)) => {
                match serde_json::from_slice::<IssuedIdentifiers>(&body) {
                    Ok(issued) => Ok(with_origin(issued, entry)),
                    Err(error) => Err(IdentifierError::Malformed(error)),
                }
            }
            Ok((_, body)) => Err(IdentifierError::Refused {
                detail: String::from_utf8_lossy(&body).into_owned(),
            }),
            Err(error) => Err(IdentifierError::Transport(error)),
        }
    }

    fn next_entry(&self) -> SocketAddr {
        let choices = self.choices.fetch_add(1, Ordering::Relaxed);
        self.settings.entries[choices % self.settings.entries.len()]
    }

    fn pool(&self) -> std::sync::MutexGuard<'_, Pool> {
        self.pool.lock().expect("no thread panics while it holds this lock")
    }
}

/// Adds the issuing entry and the time of issue to each identifier.
fn with_origin(issued: IssuedIdentifiers, entry: SocketAddr) -> Vec<Identifier> {
    let issued_at = Instant::now();
    issued.identifiers.into_iter().map(|id| Identifier { id, entry, issued_at }).collect()
}

/// Whether another entry may accept the job: it did not run, and the reason concerns only the entry
/// that refused it.
fn can_try_another_entry(answer: &Answer) -> bool {
    matches!(
        answer,
        Answer::NotRun { refusal: Refusal::Draining | Refusal::NotReady | Refusal::OwnerStopped }
    )
}
