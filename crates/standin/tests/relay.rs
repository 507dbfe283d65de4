//! Behaviour of open and new connections through the relay during a fault and after it.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use coltsfootshunt_standin::relay::{Fault, Relay};
use coltsfootshunt_testkit::{cases, wait_until};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Starts a server that echoes all bytes.
async fn start_echo_server() -> SocketAddr {
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

/// Sends a byte and reads the echo.
async fn exchange(stream: &mut TcpStream) -> std::io::Result<u8> {
    stream.write_u8(7).await?;
    stream.read_u8().await
}

/// Opens a connection and exchanges a byte over it.
async fn connect(to: SocketAddr) -> Result<u8, ErrorKind> {
    let mut stream = TcpStream::connect(to).await.map_err(|error| error.kind())?;
    exchange(&mut stream).await.map_err(|error| error.kind())
}

async fn check_fault(fault: Fault, wanted: ErrorKind) {
    let mut relay = Relay::start().await.expect("a loopback port is free");
    relay.forward_to(start_echo_server().await);
    let mut connection = TcpStream::connect(relay.address).await.expect("the relay listens");
    assert_eq!(exchange(&mut connection).await.ok(), Some(7));
    for round in 0..3 {
        relay.set_fault(fault);
        let reset = connection.read_u8().await.map_err(|error| error.kind());
        assert_eq!(reset, Err(ErrorKind::ConnectionReset), "the open connection, round {round}");
        wait_until("the fault affects new connections", || async {
            (connect(relay.address).await == Err(wanted)).then_some(())
        })
        .await;
        for _ in 0..100 {
            assert_eq!(connect(relay.address).await, Err(wanted), "round {round}");
        }
        relay.set_fault(Fault::None);
        connection = wait_until("the relay listens again", || async {
            let mut stream = TcpStream::connect(relay.address).await.ok()?;
            exchange(&mut stream).await.ok()?;
            Some(stream)
        })
        .await;
    }
}

/// A fault resets the open connection, each new connection fails with `wanted`, and connections
/// work again after the fault.
fn breaks_connections(fault: Fault, wanted: ErrorKind) {
    let runtime = tokio::runtime::Runtime::new().expect("the runtime starts");
    runtime.block_on(check_fault(fault, wanted));
}

cases! { breaks_connections:
    reset(Fault::Reset, ErrorKind::ConnectionReset);
    refuse(Fault::Refuse, ErrorKind::ConnectionRefused);
}

#[tokio::test]
async fn rebinds_a_port_that_another_socket_held_meanwhile() {
    let mut relay = Relay::start().await.expect("a loopback port is free");
    relay.forward_to(start_echo_server().await);
    relay.set_fault(Fault::Refuse);
    let blocker =
        wait_until("the port is free", || async { TcpListener::bind(relay.address).await.ok() });
    let blocker = blocker.await;
    relay.set_fault(Fault::None);
    tokio::time::sleep(Duration::from_millis(50)).await;
    drop(blocker);
    wait_until("the relay listens again", || async { connect(relay.address).await.ok() }).await;
}
