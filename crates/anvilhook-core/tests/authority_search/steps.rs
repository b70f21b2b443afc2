//! All steps that can happen next in a world.

use std::rc::Rc;

use anvilhook_core::authority::{
    Decision, EngineFacts, GivenOrder, OrderCall, PoolRow, SessionView, SettleOptions, decide,
    effective_fencing,
};
use anvilhook_core::drains::{DrainCause, DrainProgress};
use anvilhook_core::leases::{SessionRow, SessionStatus};
use anvilhook_core::orders::{Order, Stamp, StampedOrder};
use anvilhook_core::resources::Fencing;
use anvilhook_core::units::Millis;

use crate::world::{
    Broken, Case, Held, Message, Next, ROLES, TICK, Violation, World, engine_name, instance_index,
    instance_name, lease_options,
};

/// How long an order can be on its way after its sender closed the connection.
const DELIVERY_BOUND: Millis = TICK;

/// What happened in a step, for the report of a violation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Label {
    Tick,
    Renew(usize),
    Release(usize),
    Look(usize),
    Decide(usize, usize),
    Act(usize),
    ActAnswerLost(usize),
    Deliver(usize),
    DeliverAnswerLost(usize),
    Lose(usize),
    GiveUp(usize),
    Finish(usize),
    Crash(usize),
    Kill(usize),
}

pub type Steps = Vec<(Label, Result<World, Violation>)>;

/// Returns every world that can come next.
pub fn steps(world: &World, case: &Case, broken: Broken) -> Steps {
    let mut steps = Steps::new();
    push_time(world, case, &mut steps);
    push_network(world, &mut steps);
    push_engines(world, &mut steps);
    for me in 0..world.instances.len() {
        if world.instances[me].alive {
            push_instance(world, case, broken, me, &mut steps);
        }
    }
    let lapse = broken != Broken::NoLeaseCheck;
    let normal = |world: World| world.normal(DELIVERY_BOUND, lapse);
    steps
        .into_iter()
        .map(|(label, next)| (label, next.map(normal)))
        .filter(|(_, next)| next.as_ref() != Ok(world))
        .collect()
}

fn push_time(world: &World, case: &Case, steps: &mut Steps) {
    let next = world.now + TICK;
    let in_time = |gone_at: Option<Millis>| gone_at.is_none_or(|gone_at| gone_at > next);
    if world.now < case.end && world.messages.iter().all(|message| in_time(message.gone_at)) {
        steps.push((Label::Tick, Ok(World { now: next, ..world.clone() })));
    }
}

fn push_network(world: &World, steps: &mut Steps) {
    for (index, message) in world.messages.iter().enumerate() {
        let mut next = world.clone();
        next.messages.remove(index);
        if message.gone_at.is_some() {
            steps.push((Label::Lose(index), Ok(next.clone())));
            let result = next.deliver(message).map(|_| next);
            steps.push((Label::Deliver(index), result));
            continue;
        }
        let taken = match next.deliver(message) {
            Ok(taken) => taken,
            Err(violation) => {
                steps.push((Label::Deliver(index), Err(violation)));
                continue;
            }
        };
        if next.lost_answers > 0 {
            let mut lost = next.clone();
            lost.lost_answers -= 1;
            steps.push((Label::DeliverAnswerLost(index), Ok(lost)));
        }
        let call = if taken { OrderCall::Accepted } else { OrderCall::NotTaken };
        let sender = &mut next.instances[message.sender];
        sender.given[message.engine] = Some(GivenOrder { stamp: message.stamp, call });
        sender.next = Next::Choose;
        steps.push((Label::Deliver(index), Ok(next)));
    }
}

fn push_engines(world: &World, steps: &mut Steps) {
    for index in 0..world.engines.len() {
        if world.engines[index].running.is_some() {
            let mut next = world.clone();
            next.finish(index);
            steps.push((Label::Finish(index), Ok(next)));
        }
        if world.crashes > 0 {
            let mut next = world.clone();
            next.crashes -= 1;
            next.crash(index);
            steps.push((Label::Crash(index), Ok(next)));
        }
    }
}

fn push_instance(world: &World, case: &Case, broken: Broken, me: usize, steps: &mut Steps) {
    if world.kills > 0 && me + 1 < world.instances.len() {
        let mut next = world.clone();
        next.kills -= 1;
        next.instances[me].alive = false;
        close_connections(&mut next, me);
        steps.push((Label::Kill(me), Ok(next)));
    }
    match &world.instances[me].next {
        Next::Choose => push_choices(world, case, broken, me, steps),
        Next::AwaitAnswer(engine, stamp) => push_give_up(world, me, *engine, *stamp, steps),
        _ => {
            steps.push((Label::Act(me), Ok(act(world, me, false))));
            let writes = matches!(
                world.instances[me].next,
                Next::Renew(_) | Next::Write(..) | Next::Take(..)
            );
            if writes && world.lost_answers > 0 {
                steps.push((Label::ActAnswerLost(me), Ok(act(world, me, true))));
            }
        }
    }
}

fn close_connections(world: &mut World, me: usize) {
    let gone_at = world.now + DELIVERY_BOUND;
    for message in world.messages.iter_mut().filter(|message| message.sender == me) {
        message.gone_at.get_or_insert(gone_at);
    }
}

fn push_give_up(world: &World, me: usize, engine: usize, stamp: Stamp, steps: &mut Steps) {
    let mut next = world.clone();
    if world.messages.iter().any(|message| message.sender == me && message.gone_at.is_none()) {
        if world.lost_answers == 0 {
            return;
        }
        next.lost_answers -= 1;
    }
    close_connections(&mut next, me);
    let call = OrderCall::InDoubt(world.now);
    next.instances[me].given[engine] = Some(GivenOrder { stamp, call });
    next.instances[me].next = Next::Choose;
    steps.push((Label::GiveUp(me), Ok(next)));
}

fn push_choices(world: &World, case: &Case, broken: Broken, me: usize, steps: &mut Steps) {
    let own = &world.instances[me].own;
    if world.instances[me].renewals > 0 && own.is_due(world.now, &lease_options()) {
        let mut next = world.clone();
        next.instances[me].renewals -= 1;
        let row = next.instances[me].own.begin(world.now);
        next.instances[me].next = Next::Renew(row);
        steps.push((Label::Renew(me), Ok(next)));
    }
    steps.push((Label::Look(me), Ok(look(world, case, me))));
    if let Some(held) = &world.instances[me].held {
        if case.releases && me == 0 {
            let mut next = world.clone();
            next.instances[me].next = Next::Write(Rc::new(held.row.release()), held.version);
            steps.push((Label::Release(me), Ok(next)));
        }
        for engine in 0..world.engines.len() {
            let label = Label::Decide(me, engine);
            steps.push((label, choose_order(world, broken, me, engine)));
        }
    }
}

/// Reads the pool's row and the holder's session, and chooses what to write.
fn look(world: &World, case: &Case, me: usize) -> World {
    let mut next = adopt_pool(world, me);
    let (row, version) = &world.pool;
    let instance = &mut next.instances[me];
    if instance.held.is_some() {
        let gone = world.gone();
        let cleared = row.uncleared.intersection(&gone).next().and_then(|name| row.clear(name));
        if let Some(cleared) = cleared {
            instance.next = Next::Write(Rc::new(cleared), *version);
        }
        return next;
    }
    if let Some(cleared) = row.clear(&instance_name(me)) {
        instance.next = Next::Write(Rc::new(cleared), *version);
        return next;
    }
    if row.term.0 >= case.terms {
        return next;
    }
    let mut view = SessionView::Ended;
    let mut end = None;
    if let Some(holder) = &row.holder {
        let other = instance_index(&holder.instance);
        let (session, at) = &world.sessions[other];
        let lapsed = instance.watches[other].observe(session, *at, world.now, &lease_options());
        view = match (session.is_active_for(holder), lapsed) {
            (false, _) => SessionView::Ended,
            (true, true) => SessionView::Lapsed,
            (true, false) => SessionView::Running,
        };
        end = (view == SessionView::Lapsed).then(|| (session.end(), *at));
    }
    let own = instance.own.session().clone();
    if instance.own.may_order(world.now, &lease_options())
        && let Ok(taken) = row.take(&own, view)
    {
        instance.next = Next::Take(Rc::new(taken), *version, end);
    }
    next
}

/// Reads an engine's state and decides on it; the lease is checked here.
fn choose_order(
    world: &World,
    broken: Broken,
    me: usize,
    index: usize,
) -> Result<World, Violation> {
    let instance = &world.instances[me];
    let held = instance.held.as_ref().unwrap();
    let mut state = world.state(index);
    if broken == Broken::NoReadBeforeOrder {
        state = World { engines: World::new(&UNREAD).engines, ..world.clone() }.state(0);
        state.checks_fencing = world.engines[index].fencing.0;
    }
    let mut row = PoolRow::clone(&held.row);
    if broken == Broken::NoEvidence {
        row.uncleared.clear();
    }
    if broken == Broken::UnmarkedTooEarly {
        row.open.retain(|_, open| open.stamp.term == row.term);
    }
    let engine = engine_name(index);
    let marked = row.drains.is_marked(&engine);
    let desired = [Order::SetRole { role: ROLES[me] }];
    let facts = EngineFacts {
        engine: &engine,
        fencing: effective_fencing(Fencing::Checks, &state, false),
        state: &state,
        read_at: world.now,
        uncleared_since: held.uncleared_since,
        given: instance.given[index],
        desired: &desired,
        drain: if marked { DrainProgress::Acknowledged } else { DrainProgress::NotMarked },
        may_order: broken == Broken::NoLeaseCheck
            || instance.own.may_order(world.now, &lease_options()),
        may_drain: true,
        may_load: true,
        recently_refused: false,
    };
    let options = SettleOptions { delivery_bound_ms: DELIVERY_BOUND };
    let decision = decide(&row, &facts, &options);

    let gives = matches!(decision, Decision::Record(_) | Decision::Give(_));
    if gives && world.pool.0.term > held.row.term {
        return Err("an instance trusted its lease after another had taken the pool");
    }
    let mut next = world.clone();
    let instance = &mut next.instances[me];
    let write = |row| Next::Write(Rc::new(row), held.version);
    instance.next = match decision {
        Decision::Idle | Decision::Wait(_) => Next::Choose,
        Decision::RaiseTerm(seen) => write(held.row.raise(seen)),
        Decision::Mark | Decision::Unmark => {
            let mut row = PoolRow::clone(&held.row);
            match decision {
                Decision::Mark => row.drains.mark(&engine, DrainCause::Change),
                _ => row.drains.unmark(&engine, &DrainCause::Change),
            }
            write(row)
        }
        Decision::Record(order) if broken == Broken::NoRecordBeforeOrder => {
            let row = held.row.record(&engine, order);
            let stamped = row.open[&engine].stamped();
            instance.held.as_mut().unwrap().row = Rc::new(row);
            send(&mut next.messages, me, index, stamped)
        }
        Decision::Record(order) => write(held.row.record(&engine, order)),
        Decision::Give(stamped) => send(&mut next.messages, me, index, stamped),
        Decision::Close => write(held.row.close(&engine)),
    };
    Ok(next)
}

/// Sends an order; what comes next is its answer.
fn send(messages: &mut Vec<Message>, sender: usize, engine: usize, given: StampedOrder) -> Next {
    let StampedOrder { stamp, order } = given;
    messages.push(Message { sender, engine, stamp, order, gone_at: None });
    Next::AwaitAnswer(engine, stamp)
}

/// What an instance takes for an engine's state that never reads it.
const UNREAD: Case = Case {
    name: "",
    engines: &[Fencing::Checks],
    lengths: &[1],
    end: Millis::ZERO,
    renewals: 0,
    lost_answers: 0,
    kills: 0,
    crashes: 0,
    terms: 0,
    releases: false,
};

/// Carries out a read or a compare-and-set at the table.
fn act(world: &World, me: usize, answer_lost: bool) -> World {
    let mut next = world.clone();
    let chosen = std::mem::replace(&mut next.instances[me].next, Next::Choose);
    next.lost_answers -= u8::from(answer_lost);
    match chosen {
        Next::Renew(row) => {
            let stored = &mut next.sessions[me];
            let applied = next.instances[me].own.version() == Some(stored.1);
            if applied {
                *stored = (Rc::new(row), stored.1 + 1);
            }
            if answer_lost {
                next.instances[me].next = Next::ReadBackSession;
            } else if applied {
                next.instances[me].own.confirm();
            } else {
                read_session(&mut next, me);
            }
            next
        }
        Next::ReadBackSession => {
            read_session(&mut next, me);
            next
        }
        Next::ReadBackPool => adopt_pool(&next, me),
        Next::Write(row, version) => write_pool(next, me, row, version, None, answer_lost),
        Next::Take(row, version, end) => write_pool(next, me, row, version, end, answer_lost),
        Next::Choose | Next::AwaitAnswer(..) => next,
    }
}

fn write_pool(
    mut world: World,
    me: usize,
    row: Rc<PoolRow>,
    version: u64,
    end: Option<(SessionRow, u64)>,
    answer_lost: bool,
) -> World {
    let session_of = |row: &SessionRow| instance_index(&row.session.instance);
    let session_stands =
        end.as_ref().is_none_or(|(row, at)| *at == world.sessions[session_of(row)].1);
    if world.pool.1 == version && session_stands {
        world.pool = (row, version + 1);
        if let Some((ended, at)) = end {
            let index = session_of(&ended);
            world.sessions[index] = (Rc::new(ended), at + 1);
        }
    }
    if answer_lost {
        world.instances[me].next = Next::ReadBackPool;
        return world;
    }
    adopt_pool(&world, me)
}

/// Reads the pool's row; only the table says whether the pool is still held.
fn adopt_pool(world: &World, me: usize) -> World {
    let mut next = world.clone();
    let (row, version) = world.pool.clone();
    let instance = &mut next.instances[me];
    let before = instance.held.take();
    if row.is_held_by(instance.own.session()) {
        let same = before.filter(|held| held.row.uncleared == row.uncleared);
        let uncleared_since = same.map_or(world.now, |held| held.uncleared_since);
        instance.held = Some(Held { row, version, uncleared_since });
    }
    next
}

fn read_session(world: &mut World, me: usize) {
    let (row, version) = world.sessions[me].clone();
    let instance = &mut world.instances[me];
    if instance.own.read_back(Some((&row, version))) == SessionStatus::Ended {
        instance.held = None;
    }
}
