//! The sending side of sessions.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::runtime::Handle;
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::{Ack, Batch, Message, Transport, Unreachable};
use crate::control::{self, Event};
use crate::member::Identity;

/// Time after which a batch that can't be delivered ends its session; below the time after which a
/// silent host counts as lost.
const GIVE_UP_AFTER: Duration = Duration::from_millis(700);
/// Pause before a batch is repeated.
const REPEAT_AFTER: Duration = Duration::from_millis(40);
/// Messages in one batch.
const BATCH: usize = 256;

enum Parcel {
    Message(Message),
    /// End the session.
    Reset,
}

/// A sending task for each address.
pub struct Outbox {
    me: Identity,
    transport: Arc<dyn Transport>,
    traffic: Handle,
    control: control::Handle,
    senders: HashMap<SocketAddr, mpsc::UnboundedSender<Parcel>>,
}

impl Outbox {
    /// Links that run on the traffic runtime.
    #[must_use]
    pub fn new(
        me: Identity,
        transport: Arc<dyn Transport>,
        traffic: Handle,
        control: control::Handle,
    ) -> Self {
        Self { me, transport, traffic, control, senders: HashMap::new() }
    }

    /// Sends a message.
    pub fn send(&mut self, to: SocketAddr, message: Message) {
        self.push(to, Parcel::Message(message));
    }

    /// Ends the session with a host; what is still unsent is dropped.
    pub fn reset(&mut self, to: SocketAddr) {
        if self.senders.contains_key(&to) {
            self.push(to, Parcel::Reset);
        }
    }

    fn push(&mut self, to: SocketAddr, parcel: Parcel) {
        let sender = self.senders.entry(to).or_insert_with(|| {
            let (sender, parcels) = mpsc::unbounded_channel();
            let sending = Sending {
                to,
                batch: Batch {
                    from: self.me.clone(),
                    session: 1,
                    sequence: 0,
                    messages: Vec::new(),
                },
                transport: Arc::clone(&self.transport),
                control: self.control.clone(),
            };
            self.traffic.spawn(sending.run(parcels));
            sender
        });
        // The task ends only with the process.
        let _ = sender.send(parcel);
    }
}

struct Sending {
    to: SocketAddr,
    batch: Batch,
    transport: Arc<dyn Transport>,
    control: control::Handle,
}

impl Sending {
    async fn run(mut self, mut parcels: mpsc::UnboundedReceiver<Parcel>) {
        let mut taken = Vec::with_capacity(BATCH);
        while parcels.recv_many(&mut taken, BATCH).await > 0 {
            for parcel in taken.drain(..) {
                match parcel {
                    Parcel::Message(message) => self.batch.messages.push(message),
                    Parcel::Reset => self.begin(),
                }
            }
            if self.batch.messages.is_empty() {
                continue;
            }
            self.batch.sequence += 1;
            if let Err(cause) = self.deliver().await {
                self.begin();
                // Whoever sent what still waits hears that it is lost.
                while parcels.try_recv().is_ok() {}
                let refused = cause == Unreachable::Refused;
                let lost = Event::SessionLost { address: self.to, refused };
                if self.control.send(lost).await.is_err() {
                    return;
                }
            }
            self.batch.messages.clear();
        }
    }

    fn begin(&mut self) {
        self.batch.session += 1;
        self.batch.sequence = 0;
        self.batch.messages.clear();
    }

    async fn deliver(&self) -> Result<(), Unreachable> {
        let give_up = Instant::now() + GIVE_UP_AFTER;
        loop {
            match self.transport.deliver(self.to, &self.batch).await {
                Ok(Ack::Accepted) => return Ok(()),
                Ok(Ack::SessionLost) => return Err(Unreachable::TimedOut),
                Err(Unreachable::Refused) => return Err(Unreachable::Refused),
                Err(Unreachable::TimedOut) if Instant::now() >= give_up => {
                    return Err(Unreachable::TimedOut);
                }
                Err(Unreachable::TimedOut) => tokio::time::sleep(REPEAT_AFTER).await,
            }
        }
    }
}
