//! The sending side of sessions.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::runtime::Handle;
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::{Account, Ack, Batch, Message, Transport, Unreachable};
use crate::control::{self, Event};
use crate::member::Identity;

/// Time after which an undelivered batch ends its session, with the opening of the session if that
/// comes before it. It is shorter than the time after which a silent host counts as lost.
const DELIVERY_TIMEOUT: Duration = Duration::from_millis(700);
/// Delay before a batch is sent again.
const RETRY_DELAY: Duration = Duration::from_millis(40);
/// Maximum number of messages in one batch.
const MAX_BATCH_MESSAGES: usize = 256;

/// Input of the task that sends to an address.
enum Command {
    Message(Message, Instant),
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
        self.enqueue(to, Command::Message(message, Instant::now()));
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
    transport: Arc<dyn Transport>,
    control: control::Handle,
    account: Arc<Account>,
}

impl Sender {
    /// Sends messages in batches until the outbox or the control thread is gone.
    async fn run(mut self, mut commands: mpsc::UnboundedReceiver<Command>) {
        let mut received = Vec::with_capacity(MAX_BATCH_MESSAGES);
        let mut queued: Vec<(&'static str, Instant)> = Vec::new();
        while commands.recv_many(&mut received, MAX_BATCH_MESSAGES).await > 0 {
            for command in received.drain(..) {
                match command {
                    Command::Message(message, queued_at) => {
                        queued.push((message.kind(), queued_at));
                        self.batch.messages.push(message);
                    }
                    Command::Reset => {
                        queued.clear();
                        self.begin_session();
                    }
                }
            }
            if self.batch.messages.is_empty() {
                continue;
            }
            if let Err(error) = self.deliver().await {
                self.begin_session();
                queued.clear();
                // The queued messages are lost too. The event below reports the loss to their senders.
                while commands.try_recv().is_ok() {}
                let refused = error == Unreachable::Refused;
                let lost = Event::SessionLost { address: self.to, refused };
                if self.control.send(lost).await.is_err() {
                    return;
                }
            }
            for (kind, queued_at) in queued.drain(..) {
                self.account.record_wait(kind, queued_at.elapsed());
            }
            self.batch.messages.clear();
        }
    }

    /// Begins a new session and drops the messages of the current batch.
    fn begin_session(&mut self) {
        self.batch.session += 1;
        self.batch.sequence = 0;
        self.batch.messages.clear();
    }

    /// Delivers the messages of the current batch. Opens the session first, so that messages which a
    /// network partition delays arrive within a session whose sender was silent, and are void.
    async fn deliver(&mut self) -> Result<(), Unreachable> {
        let deadline = Instant::now() + DELIVERY_TIMEOUT;
        if self.batch.sequence == 0 {
            let messages = std::mem::take(&mut self.batch.messages);
            self.deliver_next(deadline).await?;
            self.batch.messages = messages;
        }
        self.deliver_next(deadline).await
    }

    /// Delivers the next batch of the session, repeating it until it is acknowledged or the deadline
    /// has passed.
    async fn deliver_next(&mut self, deadline: Instant) -> Result<(), Unreachable> {
        self.batch.sequence += 1;
        loop {
            match self.transport.deliver(self.to, &self.batch).await {
                Ok(Ack::Accepted) => return Ok(()),
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
