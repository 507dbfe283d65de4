//! Heartbeats on a narrow link.
//!
//! Load pattern: a fleet of 18 hosts on links of 250 kB/s. A steward sends up to 100 heartbeats a second, which with
//! what is around them took a quarter of its link.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use coltsfootshunt_core::name::Zone;
use coltsfootshunt_testkit::cases;
use tokio::net::TcpListener;

use super::{batch, control, count_bytes};
use crate::lease::{Suffix, Token};
use crate::member::tests::identity;
use crate::member::{Claim, Echo, Heartbeat};
use crate::peer::{Account, Ack, Batch, Message, Rpc, Transport, serve};
use crate::routing::Load;

/// Rate of a narrow link, in bytes per second.
const LINK: u64 = 250_000;
/// Maximum number of heartbeats per second from a steward.
const STEWARD_RATE: u64 = 100;
/// Part of the link, as a divisor, that heartbeats may take.
const PART: u64 = 10;

fn heartbeat(load: Load, is_steward: bool) -> Heartbeat {
    let token = Token(111_842_500_000_123);
    let claim = Claim { zone: Zone::try_from("riga-a").unwrap(), token };
    Heartbeat {
        claims: if is_steward { vec![claim] } else { Vec::new() },
        load,
        config_version: 41,
        knows_targets: true,
        highest_token: token,
        token_suffix: Some(Suffix::from(3_907)),
        next_in_ms: Some(250),
        stamp_ms: Some(3_141_592_653),
        echo: Some(Echo { stamp_ms: 2_718_281_828, held_ms: 187 }),
        ..Heartbeat::default()
    }
}

fn busy_load() -> Load {
    Load {
        free_slots: 3,
        free_fast_slots: 1,
        queued_long: 12,
        fast_ends_ms: [12, 48, 97, 133, 188, 250, 301, 444].map(Some),
        slots: 64,
        fastest_permille: 640,
        completions_per_s: 215,
        waits_ms: [15, 37, 88, 140, 262, 410],
    }
}

/// Bytes of a heartbeat on the socket, in both directions, after the first one of a session.
fn leaves_room_with(load: Load, is_steward: bool) {
    let batches = 40;
    let traffic = async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let upstream = listener.local_addr().unwrap();
        let account = Arc::new(Account::new(identity("you", "b", 250).zone));
        let _server = serve(listener, control(), Arc::clone(&account)).unwrap();
        let counted = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let to = counted.local_addr().unwrap();
        let bytes = Arc::new(AtomicU64::new(0));
        tokio::spawn(count_bytes(counted, upstream, Arc::clone(&bytes)));
        let rpc = Rpc::new(account);
        let mut opening = 0;
        for sequence in 1..=batches {
            let mut batch = batch(4_503_599_627_370_495, 7, sequence);
            if sequence > 1 {
                let heartbeat = heartbeat(load, is_steward);
                batch = Batch { messages: vec![Message::Heartbeat(heartbeat)], ..batch };
            }
            assert_eq!(rpc.deliver(to, &batch).await, Ok(Ack::Accepted));
            if sequence == 1 {
                opening = bytes.load(Ordering::Relaxed);
            }
        }
        let each = (bytes.load(Ordering::Relaxed) - opening) / (batches - 1);
        assert!(each <= LINK / PART / STEWARD_RATE, "{each} bytes");
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(traffic);
}

cases! { leaves_room_with:
    the_heartbeats_of_a_busy_steward(busy_load(), true);
    the_heartbeats_of_other_hosts(Load::default(), false);
}
