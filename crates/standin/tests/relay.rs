//! The relay: what connections meet while a fault lasts, and afterwards.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use coltsfootshunt_standin::relay::{Fault, Relay};
use coltsfootshunt_testkit::{cases, wait_until};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// A server that sends back what it gets.
async fn echo() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a loopback port is free");
    let address = listener.local_addr().expect("a bound socket has an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut from, mut to) = stream.split();
                tokio::io::copy(&mut from, &mut to).await
            });
        }
    });
    address
}

/// A byte there and back.
async fn exchange(stream: &mut TcpStream) -> std::io::Result<u8> {
    stream.write_u8(7).await?;
    stream.read_u8().await
}

/// What a new connection meets.
async fn connect(to: SocketAddr) -> Result<u8, ErrorKind> {
    let mut stream = TcpStream::connect(to).await.map_err(|error| error.kind())?;
    exchange(&mut stream).await.map_err(|error| error.kind())
}

async fn broken_off(fault: Fault, wanted: ErrorKind) {
    let mut relay = Relay::start().await.expect("a loopback port is free");
    relay.forward_to(echo().await);
    let mut open = TcpStream::connect(relay.address).await.expect("it listens");
    assert_eq!(exchange(&mut open).await.ok(), Some(7));
    for round in 0..3 {
        relay.set_fault(fault);
        let reset = open.read_u8().await.map_err(|error| error.kind());
        assert_eq!(reset, Err(ErrorKind::ConnectionReset), "the open connection, round {round}");
        wait_until("the fault meets new connections", || async {
            (connect(relay.address).await == Err(wanted)).then_some(())
        })
        .await;
        for _ in 0..100 {
            assert_eq!(connect(relay.address).await, Err(wanted), "round {round}");
        }
        relay.set_fault(Fault::None);
        open = wait_until("the relay listens again", || async {
            let mut stream = TcpStream::connect(relay.address).await.ok()?;
            exchange(&mut stream).await.ok()?;
            Some(stream)
        })
        .await;
    }
}

/// Open and new connections while a fault lasts, and again after it.
fn breaks_off(fault: Fault, wanted: ErrorKind) {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(broken_off(fault, wanted));
}

cases! { breaks_off:
    by_a_reset(Fault::Reset, ErrorKind::ConnectionReset);
    by_a_refusal(Fault::Refuse, ErrorKind::ConnectionRefused);
}

#[tokio::test]
async fn a_port_taken_meanwhile_is_listened_on_once_it_is_free() {
    let mut relay = Relay::start().await.expect("a loopback port is free");
    relay.forward_to(echo().await);
    relay.set_fault(Fault::Refuse);
    let taken =
        wait_until("the port is free", || async { TcpListener::bind(relay.address).await.ok() });
    let taken = taken.await;
    relay.set_fault(Fault::None);
    tokio::time::sleep(Duration::from_millis(50)).await;
    drop(taken);
    wait_until("the relay listens again", || async { connect(relay.address).await.ok() }).await;
}
