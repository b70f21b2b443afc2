//! Enumerates all steps that can happen next in a world.

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
    Case, Defect, Held, Message, Next, ROLES, TICK, Violation, World, engine_name, instance_index,
    instance_name, lease_options,
};

/// The maximum time until an order is delivered after its sender closed the connection.
const DELIVERY_BOUND: Millis = TICK;

/// `Label` names what happened in a step. The path to a violation is reported as labels.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Label {
    Tick,
    Renew(usize),
    Release(usize),
    Check(usize),
    Decide(usize, usize),
    Act(usize),
    ActAnswerLost(usize),
    Deliver(usize),
    DeliverAnswerLost(usize),
    Lose(usize),
    Abandon(usize),
    Finish(usize),
    Crash(usize),
    Kill(usize),
}

pub type Steps = Vec<(Label, Result<World, Violation>)>;

/// Returns every world that can follow in one step, with the label of the step.
pub fn steps(world: &World, case: &Case, defect: Defect) -> Steps {
    let mut steps = Steps::new();
    push_time(world, case, &mut steps);
    push_network(world, &mut steps);
    push_engines(world, &mut steps);
    for acting in 0..world.instances.len() {
        if world.instances[acting].alive {
            push_instance(world, case, defect, acting, &mut steps);
        }
    }
    let drops_lapsed = defect != Defect::NoLeaseCheck;
    let normalized = |world: World| world.normalized(DELIVERY_BOUND, drops_lapsed);
    steps
        .into_iter()
        .map(|(label, next)| (label, next.map(normalized)))
        .filter(|(_, next)| next.as_ref() != Ok(world))
        .collect()
}

fn push_time(world: &World, case: &Case, steps: &mut Steps) {
    let next = world.now + TICK;
    let arrives_in_time =
        |expires_at: Option<Millis>| expires_at.is_none_or(|expires_at| expires_at > next);
    if world.now < case.end
        && world.messages.iter().all(|message| arrives_in_time(message.expires_at))
    {
        steps.push((Label::Tick, Ok(World { now: next, ..world.clone() })));
    }
}

fn push_network(world: &World, steps: &mut Steps) {
    for (index, message) in world.messages.iter().enumerate() {
        let mut next = world.clone();
        next.messages.remove(index);
        if message.expires_at.is_some() {
            steps.push((Label::Lose(index), Ok(next.clone())));
            let result = next.deliver(message).map(|_| next);
            steps.push((Label::Deliver(index), result));
            continue;
        }
        let is_accepted = match next.deliver(message) {
            Ok(is_accepted) => is_accepted,
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
        let call = if is_accepted { OrderCall::Accepted } else { OrderCall::NotTaken };
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

fn push_instance(world: &World, case: &Case, defect: Defect, acting: usize, steps: &mut Steps) {
    if world.kills > 0 && acting + 1 < world.instances.len() {
        let mut next = world.clone();
        next.kills -= 1;
        next.instances[acting].alive = false;
        close_connections(&mut next, acting);
        steps.push((Label::Kill(acting), Ok(next)));
    }
    match &world.instances[acting].next {
        Next::Choose => push_choices(world, case, defect, acting, steps),
        Next::AwaitAnswer(engine, stamp) => push_abandon(world, acting, *engine, *stamp, steps),
        _ => {
            steps.push((Label::Act(acting), Ok(act(world, acting, false))));
            let is_write = matches!(
                world.instances[acting].next,
                Next::Renew(_) | Next::Write(..) | Next::Take(..)
            );
            if is_write && world.lost_answers > 0 {
                steps.push((Label::ActAnswerLost(acting), Ok(act(world, acting, true))));
            }
        }
    }
}

fn close_connections(world: &mut World, acting: usize) {
    let expires_at = world.now + DELIVERY_BOUND;
    for message in world.messages.iter_mut().filter(|message| message.sender == acting) {
        message.expires_at.get_or_insert(expires_at);
    }
}

fn push_abandon(world: &World, acting: usize, engine: usize, stamp: Stamp, steps: &mut Steps) {
    let mut next = world.clone();
    if world.messages.iter().any(|message| message.sender == acting && message.expires_at.is_none())
    {
        if world.lost_answers == 0 {
            return;
        }
        next.lost_answers -= 1;
    }
    close_connections(&mut next, acting);
    let call = OrderCall::InDoubt(world.now);
    next.instances[acting].given[engine] = Some(GivenOrder { stamp, call });
    next.instances[acting].next = Next::Choose;
    steps.push((Label::Abandon(acting), Ok(next)));
}

fn push_choices(world: &World, case: &Case, defect: Defect, acting: usize, steps: &mut Steps) {
    let own = &world.instances[acting].own;
    if world.instances[acting].renewals > 0 && own.is_due(world.now, &lease_options()) {
        let mut next = world.clone();
        next.instances[acting].renewals -= 1;
        let row = next.instances[acting].own.begin(world.now);
        next.instances[acting].next = Next::Renew(row);
        steps.push((Label::Renew(acting), Ok(next)));
    }
    steps.push((Label::Check(acting), Ok(check_pool(world, case, acting))));
    if let Some(held) = &world.instances[acting].held {
        if case.releases && acting == 0 {
            let mut next = world.clone();
            next.instances[acting].next = Next::Write(Rc::new(held.row.release()), held.version);
            steps.push((Label::Release(acting), Ok(next)));
        }
        for engine in 0..world.engines.len() {
            let label = Label::Decide(acting, engine);
            steps.push((label, choose_order(world, defect, acting, engine)));
        }
    }
}

/// Reads the pool's row and the holder's session, and chooses the row to write, if any.
fn check_pool(world: &World, case: &Case, acting: usize) -> World {
    let mut next = adopt_pool(world, acting);
    let (row, version) = &world.pool;
    let instance = &mut next.instances[acting];
    if instance.held.is_some() {
        let dead = world.dead_instances();
        let cleared = row.uncleared.intersection(&dead).next().and_then(|name| row.clear(name));
        if let Some(cleared) = cleared {
            instance.next = Next::Write(Rc::new(cleared), *version);
        }
        return next;
    }
    if let Some(cleared) = row.clear(&instance_name(acting)) {
        instance.next = Next::Write(Rc::new(cleared), *version);
        return next;
    }
    if row.term.0 >= case.terms {
        return next;
    }
    let mut view = SessionView::Ended;
    let mut ended = None;
    if let Some(holder) = &row.holder {
        let other = instance_index(&holder.instance);
        let (session, at) = &world.sessions[other];
        let lapsed = instance.watches[other].observe(session, *at, world.now, &lease_options());
        view = match (session.is_active_for(holder), lapsed) {
            (false, _) => SessionView::Ended,
            (true, true) => SessionView::Lapsed,
            (true, false) => SessionView::Running,
        };
        ended = (view == SessionView::Lapsed).then(|| (session.end(), *at));
    }
    let own = instance.own.session().clone();
    if instance.own.may_order(world.now, &lease_options())
        && let Ok(taken) = row.take(&own, view)
    {
        instance.next = Next::Take(Rc::new(taken), *version, ended);
    }
    next
}

/// Reads an engine's state and decides what to do with it. The lease is checked at this point.
fn choose_order(
    world: &World,
    defect: Defect,
    acting: usize,
    index: usize,
) -> Result<World, Violation> {
    let instance = &world.instances[acting];
    let held = instance.held.as_ref().unwrap();
    let mut state = world.state(index);
    if defect == Defect::NoReadBeforeOrder {
        state = World { engines: World::new(&UNREAD_STATE).engines, ..world.clone() }.state(0);
        state.checks_fencing = world.engines[index].fencing.0;
    }
    let mut row = PoolRow::clone(&held.row);
    if defect == Defect::NoEvidence {
        row.uncleared.clear();
    }
    if defect == Defect::UnmarkedTooEarly {
        row.open.retain(|_, open| open.stamp.term == row.term);
    }
    let engine = engine_name(index);
    let marked = row.drains.is_marked(&engine);
    let desired = [Order::SetRole { role: ROLES[acting] }];
    let facts = EngineFacts {
        engine: &engine,
        fencing: effective_fencing(Fencing::Checks, &state, false),
        state: &state,
        read_at: world.now,
        uncleared_since: held.uncleared_since,
        given: instance.given[index],
        desired: &desired,
        drain: if marked { DrainProgress::Acknowledged } else { DrainProgress::NotMarked },
        may_order: defect == Defect::NoLeaseCheck
            || instance.own.may_order(world.now, &lease_options()),
        may_drain: true,
        may_load: true,
        recently_refused: false,
    };
    let options = SettleOptions { delivery_bound_ms: DELIVERY_BOUND };
    let decision = decide(&row, &facts, &options);

    let gives_order = matches!(decision, Decision::Record(_) | Decision::Give(_));
    if gives_order && world.pool.0.term > held.row.term {
        return Err("an instance relied on its lease after another had taken over the pool");
    }
    let mut next = world.clone();
    let instance = &mut next.instances[acting];
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
        Decision::Record(order) if defect == Defect::NoRecordBeforeOrder => {
            let row = held.row.record(&engine, order);
            let stamped = row.open[&engine].stamped();
            instance.held.as_mut().unwrap().row = Rc::new(row);
            send(&mut next.messages, acting, index, stamped)
        }
        Decision::Record(order) => write(held.row.record(&engine, order)),
        Decision::Give(stamped) => send(&mut next.messages, acting, index, stamped),
        Decision::Close => write(held.row.close(&engine)),
    };
    Ok(next)
}

/// Sends an order. Returns the sender's next step, which is to await the answer.
fn send(messages: &mut Vec<Message>, sender: usize, engine: usize, given: StampedOrder) -> Next {
    let StampedOrder { stamp, order } = given;
    messages.push(Message { sender, engine, stamp, order, expires_at: None });
    Next::AwaitAnswer(engine, stamp)
}

/// The initial world whose engine state an instance assumes if it never reads the engine.
const UNREAD_STATE: Case = Case {
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

/// Executes the pending read or compare-and-set at the table.
fn act(world: &World, acting: usize, answer_lost: bool) -> World {
    let mut next = world.clone();
    let chosen = std::mem::replace(&mut next.instances[acting].next, Next::Choose);
    next.lost_answers -= u8::from(answer_lost);
    match chosen {
        Next::Renew(row) => {
            let stored = &mut next.sessions[acting];
            let applied = next.instances[acting].own.version() == Some(stored.1);
            if applied {
                *stored = (Rc::new(row), stored.1 + 1);
            }
            if answer_lost {
                next.instances[acting].next = Next::ReadBackSession;
            } else if applied {
                next.instances[acting].own.confirm();
            } else {
                read_session(&mut next, acting);
            }
            next
        }
        Next::ReadBackSession => {
            read_session(&mut next, acting);
            next
        }
        Next::ReadBackPool => adopt_pool(&next, acting),
        Next::Write(row, version) => write_pool(next, acting, row, version, None, answer_lost),
        Next::Take(row, version, end) => write_pool(next, acting, row, version, end, answer_lost),
        Next::Choose | Next::AwaitAnswer(..) => next,
    }
}

fn write_pool(
    mut world: World,
    acting: usize,
    row: Rc<PoolRow>,
    version: u64,
    end: Option<(SessionRow, u64)>,
    answer_lost: bool,
) -> World {
    let session_of = |row: &SessionRow| instance_index(&row.session.instance);
    let session_unchanged =
        end.as_ref().is_none_or(|(row, at)| *at == world.sessions[session_of(row)].1);
    if world.pool.1 == version && session_unchanged {
        world.pool = (row, version + 1);
        if let Some((ended, at)) = end {
            let index = session_of(&ended);
            world.sessions[index] = (Rc::new(ended), at + 1);
        }
    }
    if answer_lost {
        world.instances[acting].next = Next::ReadBackPool;
        return world;
    }
    adopt_pool(&world, acting)
}

/// Reads the pool's row. Only the row in the table decides whether the instance still holds the pool.
fn adopt_pool(world: &World, acting: usize) -> World {
    let mut next = world.clone();
    let (row, version) = world.pool.clone();
    let instance = &mut next.instances[acting];
    let before = instance.held.take();
    if row.is_held_by(instance.own.session()) {
        let same = before.filter(|held| held.row.uncleared == row.uncleared);
        let uncleared_since = same.map_or(world.now, |held| held.uncleared_since);
        instance.held = Some(Held { row, version, uncleared_since });
    }
    next
}

fn read_session(world: &mut World, acting: usize) {
    let (row, version) = world.sessions[acting].clone();
    let instance = &mut world.instances[acting];
    if instance.own.read_back(Some((&row, version))) == SessionStatus::Ended {
        instance.held = None;
    }
}
