//! Tests of an instance that gets more connections than it can read.

mod support;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

use anvilhook_gateway::configs::Repeats;
use support::fronts::{ample_budget, config, request, start, with_long_timeouts};
use support::upstreams::{Upstream, signed};
use support::wires::entry;

/// How long the instance has too little processor time.
const BUSY_TIME: Duration = Duration::from_millis(2_500);

/// How long it takes, at most, until an instance that is busy closes connections, and until one that no longer is
/// serves them.
const REACTION_TIME: Duration = Duration::from_millis(1_500);

/// What became of a connection with one request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fate {
    Answered,
    ClosedUnread,
}

/// Starts an instance with a thread of its own, which for a while handles events for a small part of the time only.
fn start_busy() -> (SocketAddr, Instant) {
    let (tx, rx) = mpsc::channel();
    thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        runtime.expect("a runtime").block_on(async {
            let upstream = Upstream::always(vec![signed("200 OK", "fine")]).await;
            let config = with_long_timeouts(&config(Repeats::Idempotent, 2, false));
            let entries = vec![entry("u", upstream.address.port())];
            let front = start(Some(config), entries, ample_budget()).await;
            tx.send((front.address, Instant::now())).expect("it is awaited");
            let until = Instant::now() + BUSY_TIME;
            while Instant::now() < until {
                thread::sleep(Duration::from_millis(150));
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
            std::future::pending::<()>().await;
        });
    });
    rx.recv().expect("it starts")
}

/// Sends a request on a new connection.
fn send(address: SocketAddr, number: usize) -> Fate {
    let mut stream = TcpStream::connect(address).expect("the instance listens");
    let text = request(&format!("r{number}"), "", "body").replace("2000", "30000");
    let mut buf = Vec::new();
    let is_written = stream.write_all(text.as_bytes()).is_ok();
    if is_written && stream.read_to_end(&mut buf).is_ok() && !buf.is_empty() {
        return Fate::Answered;
    }
    Fate::ClosedUnread
}

/// Guards against an instance that accepts all connections although it can't read them in time: their callers wait for
/// it until they leave, while other instances could serve them.
#[test]
fn verify_an_instance_that_can_t_keep_up_closes_new_connections_unread() {
    let (address, started_at) = start_busy();

    let mut sent = Vec::new();
    while started_at.elapsed() < BUSY_TIME {
        let number = sent.len();
        let at = started_at.elapsed();
        sent.push((at, thread::spawn(move || send(address, number))));
        thread::sleep(Duration::from_millis(20));
    }
    let fates = sent.into_iter().map(|(at, sent)| (at, sent.join().expect("no panic")));
    let fates: Vec<_> = fates.collect();
    thread::sleep(REACTION_TIME);
    let afterwards: Vec<_> = (0..5).map(|number| send(address, 1_000 + number)).collect();

    let late: Vec<_> = fates.iter().filter(|(at, _)| *at > REACTION_TIME).collect();
    let closed = late.iter().filter(|(_, fate)| *fate == Fate::ClosedUnread).count();
    assert!(closed * 2 > late.len(), "{closed} of {} connections closed", late.len());
    assert_eq!(afterwards, [Fate::Answered; 5]);
}
