//! The sending side of sessions.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::runtime::Handle;
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::queue::Queued;
use super::{Account, Ack, Batch, Full, Message, Queue, Transport, Unreachable};
use crate::control::{self, Event};
use crate::member::Identity;

/// Time after which an undelivered batch ends its session, with the opening of the session if that
/// comes before it. It is shorter than the time after which a silent host counts as lost.
const DELIVERY_TIMEOUT: Duration = Duration::from_millis(700);
/// Delay before a batch is sent again.
const RETRY_DELAY: Duration = Duration::from_millis(40);
/// Age of the last acknowledgement from which on a batch without messages goes ahead of messages on jobs. It
/// leaves the receiver the rest of the silence that it accepts for the batch to arrive.
pub const MAX_ACK_AGE: Duration = Duration::from_millis(400);
/// Maximum number of commands taken from the control thread at once.
const MAX_COMMANDS: usize = 256;

/// Input of the task that sends to an address.
enum Command {
    Message(Box<Message>, Instant),
    /// End the session and begin a new one.
    Reset,
}

/// Outgoing sessions. Each address has a task that sends its batches.
pub struct Outbox {
    me: Identity,
    transport: Arc<dyn Transport>,
    traffic: Handle,
    control: control::Handle,
    account: Arc<Account>,
    senders: HashMap<SocketAddr, mpsc::UnboundedSender<Command>>,
}

impl Outbox {
    /// Creates an outbox whose tasks run on the `traffic` runtime and report lost sessions to `control`.
    #[must_use]
    pub fn new(
        me: Identity,
        transport: Arc<dyn Transport>,
        traffic: Handle,
        control: control::Handle,
        account: Arc<Account>,
    ) -> Self {
        Self { me, transport, traffic, control, account, senders: HashMap::new() }
    }

    /// Queues a message for an address.
    pub fn send(&mut self, to: SocketAddr, message: Message) {
        self.enqueue(to, Command::Message(Box::new(message), Instant::now()));
    }

    /// Ends the session with the host at an address and drops its unsent messages.
    pub fn reset(&mut self, to: SocketAddr) {
        if self.senders.contains_key(&to) {
            self.enqueue(to, Command::Reset);
        }
    }

    fn enqueue(&mut self, to: SocketAddr, command: Command) {
        let sender = self.senders.entry(to).or_insert_with(|| {
            let (sender, commands) = mpsc::unbounded_channel();
            let task = Sender {
                to,
                batch: Batch {
                    from: self.me.clone(),
                    session: 1,
                    sequence: 0,
                    messages: Vec::new(),
                },
                queue: Queue::default(),
                acknowledged_at: None,
                transport: Arc::clone(&self.transport),
                control: self.control.clone(),
                account: Arc::clone(&self.account),
            };
            self.traffic.spawn(task.run(commands));
            sender
        });
        // Sending fails only if the task has ended, which it does only with the process.
        let _ = sender.send(command);
    }
}

/// Sends the batches for one address.
struct Sender {
    to: SocketAddr,
    batch: Batch,
    queue: Queue,
    /// Time at which the last acknowledged batch of the session was sent.
    acknowledged_at: Option<Instant>,
    transport: Arc<dyn Transport>,
    control: control::Handle,
    account: Arc<Account>,
}

impl Sender {
    /// Sends messages in batches until the outbox or the control thread is gone.
    async fn run(mut self, mut commands: mpsc::UnboundedReceiver<Command>) {
        let mut received = Vec::with_capacity(MAX_COMMANDS);
        loop {
            if self.queue.is_empty() {
                if commands.recv_many(&mut received, MAX_COMMANDS).await == 0 {
                    return;
                }
            } else {
                received.extend(std::iter::from_fn(|| commands.try_recv().ok()));
            }
            let enqueued = self.enqueue(received.drain(..));
            let delivered = match enqueued {
                Ok(()) => {
                    let messages = self.queue.next_batch(Instant::now());
                    self.deliver(messages).await
                }
                Err(Full) => Err(Unreachable::TimedOut),
            };
            if let Err(error) = delivered {
                self.begin_session();
                // The queued messages are lost too. The event below reports the loss to their senders.
                while commands.try_recv().is_ok() {}
                let refused = error == Unreachable::Refused;
                let lost = Event::SessionLost { address: self.to, refused };
                if self.control.send(lost).await.is_err() {
                    return;
                }
            }
        }
    }

    fn enqueue(&mut self, commands: impl Iterator<Item = Command>) -> Result<(), Full> {
        for command in commands {
            match command {
                Command::Message(message, at) => self.queue.push(*message, at)?,
                Command::Reset => self.begin_session(),
            }
        }
        Ok(())
    }

    /// Begins a new session and drops all messages of the present one.
    fn begin_session(&mut self) {
        self.batch.session += 1;
        self.batch.sequence = 0;
        self.batch.messages.clear();
        self.acknowledged_at = None;
        self.queue.clear();
    }

    /// Delivers messages. A batch without messages goes first where the receiver has not acknowledged one
    /// recently: messages on jobs that a network partition delays then arrive while the receiver has not
    /// heard this host for too long, and are void.
    async fn deliver(&mut self, messages: Vec<Queued>) -> Result<(), Unreachable> {
        if messages.is_empty() {
            return Ok(());
        }
        let deadline = Instant::now() + DELIVERY_TIMEOUT;
        let is_recent = self.acknowledged_at.is_some_and(|at| at.elapsed() < MAX_ACK_AGE);
        let is_about_jobs = messages.iter().any(|(message, _)| message.is_about_jobs());
        if self.batch.sequence == 0 || (is_about_jobs && !is_recent) {
            self.deliver_next(deadline).await?;
        }
        let (messages, queued): (Vec<_>, Vec<_>) = messages
            .into_iter()
            .map(|(message, at)| {
                let kind = message.kind();
                (message, (kind, at))
            })
            .unzip();
        self.batch.messages = messages;
        let delivered = self.deliver_next(deadline).await;
        self.batch.messages.clear();
        if delivered.is_ok() {
            for (kind, at) in queued {
                self.account.record_wait(kind, at.elapsed());
            }
        }
        delivered
    }

    /// Delivers the next batch of the session, repeating it until it is acknowledged or the deadline
    /// has passed.
    async fn deliver_next(&mut self, deadline: Instant) -> Result<(), Unreachable> {
        self.batch.sequence += 1;
        loop {
            let sent_at = Instant::now();
            match self.transport.deliver(self.to, &self.batch).await {
                Ok(Ack::Accepted) => {
                    self.acknowledged_at = Some(sent_at);
                    return Ok(());
                }
                Ok(Ack::SessionLost) => return Err(Unreachable::TimedOut),
                Err(Unreachable::Refused) => return Err(Unreachable::Refused),
                Err(Unreachable::TimedOut) if Instant::now() >= deadline => {
                    return Err(Unreachable::TimedOut);
                }
                Err(Unreachable::TimedOut) => tokio::time::sleep(RETRY_DELAY).await,
            }
        }
    }
}
