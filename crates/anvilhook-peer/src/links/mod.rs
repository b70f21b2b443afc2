//! Runs the link over capnp-rpc. The library's futures are bound to one thread, so the link has a
//! separate thread.

pub(crate) mod connections;
pub(crate) mod dialers;
pub(crate) mod hubs;
pub(crate) mod meters;
pub(crate) mod services;

use std::net::TcpListener as StdListener;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use anvilhook_core::units::Clock;
use arc_swap::ArcSwap;
use rand::SeedableRng;
use rand::rngs::SysRng;
use rand_chacha::ChaCha8Rng;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};
use tokio::task::LocalSet;
use tokio::time::{MissedTickBehavior, interval};

use crate::errors::{Error, Result};
use crate::gossip::{AckSection, DemandSection, LoadSection};
use crate::handles::{Counters, PeerHandle, PeerView, Published, Received};
use crate::options::{PeerAddress, PeerOptions};
use dialers::Dialer;
use hubs::Hub;

/// How often the link checks for pending work.
const TICK: Duration = Duration::from_millis(50);

/// How often the link checks for missing partners.
const DIAL_TICK: Duration = Duration::from_millis(200);

/// How long the link waits after the system failed to accept a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// `PeerLink` starts an instance's link to the other instances.
#[derive(Debug)]
pub struct PeerLink;

impl PeerLink {
    /// Starts the link on a separate thread.
    ///
    /// `announced` holds the instances known at the start, from the instance list or the settings.
    /// `PeerHandle::set_announced` replaces them.
    ///
    /// # Errors
    ///
    /// `Error::Start` if the listener or the thread cannot be used.
    pub fn start<C: Clock>(
        options: PeerOptions,
        listener: StdListener,
        announced: Vec<PeerAddress>,
        clock: C,
    ) -> Result<PeerHandle> {
        listener.set_nonblocking(true).map_err(Error::start)?;
        let published = Arc::new(Published {
            configuration: watch::Sender::new(None),
            acks: watch::Sender::new(AckSection::default()),
            load: watch::Sender::new(LoadSection::default()),
            demand: watch::Sender::new(DemandSection::default()),
            announced: watch::Sender::new(announced),
            stopped: watch::Sender::new(false),
        });
        let received = Arc::new(Received {
            configuration: watch::Sender::new(None),
            view: ArcSwap::from_pointee(PeerView::default()),
            changes: watch::Sender::new(0),
            counters: Counters::default(),
        });
        let inputs = Inputs::subscribe(&published);
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_io()
            .enable_time()
            .build()
            .map_err(Error::start)?;
        let thread_received = Arc::clone(&received);
        std::thread::Builder::new()
            .name("anvilhook-peer".into())
            .spawn(move || {
                let hub = Hub::new(options, thread_received, clock.clone());
                let main = run(hub, listener, inputs, clock);
                let ended = LocalSet::new().block_on(&runtime, main);
                if let Err(err) = ended {
                    log::error!("peer link failed: {err}");
                }
            })
            .map_err(Error::start)?;
        Ok(PeerHandle { published, received })
    }
}

/// `Inputs` receives the values published by the handle. The channels close when the last handle is
/// dropped.
struct Inputs {
    configuration: watch::Receiver<Option<Arc<anvilhook_core::resources::Configuration>>>,
    acks: watch::Receiver<AckSection>,
    load: watch::Receiver<LoadSection>,
    demand: watch::Receiver<DemandSection>,
    announced: watch::Receiver<Vec<PeerAddress>>,
    stopped: watch::Receiver<bool>,
}

impl Inputs {
    fn subscribe(published: &Published) -> Self {
        Self {
            configuration: published.configuration.subscribe(),
            acks: published.acks.subscribe(),
            load: published.load.subscribe(),
            demand: published.demand.subscribe(),
            announced: published.announced.subscribe(),
            stopped: published.stopped.subscribe(),
        }
    }
}

async fn run<C: Clock>(
    hub: Rc<Hub<C>>,
    listener: StdListener,
    mut inputs: Inputs,
    clock: C,
) -> Result<()> {
    let listener = TcpListener::from_std(listener).map_err(Error::start)?;
    let rng = ChaCha8Rng::try_from_rng(&mut SysRng).map_err(Error::start)?;
    let mut dialer = Dialer::new(Rc::clone(&hub), clock, rng);
    // The instances known at the start count as a change.
    inputs.announced.mark_changed();
    let unauthenticated = Arc::new(Semaphore::new(hub.options.max_unauthenticated));
    let mut tick = interval(TICK);
    let mut dial_tick = interval(DIAL_TICK);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    dial_tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let changed = tokio::select! {
            changed = inputs.configuration.changed() => {
                let newest = inputs.configuration.borrow_and_update().clone();
                hub.with_node(|node| {
                    newest.map(|newest| node.offer_configuration(newest));
                });
                changed
            }
            changed = inputs.acks.changed() => {
                let acks = inputs.acks.borrow_and_update().clone();
                hub.write_acks(acks);
                changed
            }
            changed = inputs.load.changed() => {
                let load = inputs.load.borrow_and_update().clone();
                hub.with_node(|node| node.write_load(load));
                changed
            }
            changed = inputs.demand.changed() => {
                let demand = inputs.demand.borrow_and_update().clone();
                hub.with_node(|node| node.write_demand(demand));
                changed
            }
            changed = inputs.announced.changed() => {
                let announced = inputs.announced.borrow_and_update().clone();
                hub.set_announced(&announced);
                dialer.set_announced(announced);
                changed
            }
            stopped = inputs.stopped.changed() => {
                if stopped.is_err() || *inputs.stopped.borrow_and_update() {
                    return Ok(());
                }
                Ok(())
            }
            accepted = listener.accept() => {
                match accepted {
                    Ok((stream, _address)) => serve(&hub, stream, &unauthenticated),
                    // The system has run out of a resource, so an immediate retry would only spin.
                    Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
                }
                Ok(())
            }
            ended = dialer.next_ended() => {
                dialer.record_ended(ended);
                Ok(())
            }
            _ = tick.tick() => {
                hub.tick();
                Ok(())
            }
            _ = dial_tick.tick() => {
                dialer.dial_missing();
                Ok(())
            }
        };
        if changed.is_err() {
            // The last handle was dropped.
            return Ok(());
        }
    }
}

/// Serves a connection in a separate task, unless too many connections are unauthenticated.
fn serve<C: Clock>(hub: &Rc<Hub<C>>, stream: TcpStream, unauthenticated: &Arc<Semaphore>) {
    let Ok(permit) = Arc::clone(unauthenticated).try_acquire_owned() else {
        return;
    };
    let hub = Rc::clone(hub);
    tokio::task::spawn_local(async move {
        let accepted = connections::accept(Rc::clone(&hub), stream).await;
        drop(permit);
        match accepted {
            Ok((driver, established)) => {
                let ended = connections::run(hub, driver, established).await;
                log::debug!("accepted peer link closed: {ended}");
            }
            Err(err) => log::debug!("peer connection refused: {err}"),
        }
    });
}
