//! Which upstream runs a task.
//!
//! The load that this answers: upstreams of very different speed, most of them busy. A slow one
//! still meets the objective of a short task, and leaves a fast one free for a long task that
//! needs it.

use chervilring_wire::{Micros, Time};

/// What can go wrong on the way and in the declared size, on top of the expected run time.
const MARGIN: Micros = Micros::from_millis(12);

/// The part of the expected run time that is kept as a reserve for wrong declarations.
const RESERVE: f64 = 0.08;

/// An upstream that could take a task.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Offer {
    /// How long the task is expected to run there.
    pub run: Micros,
    /// How long it is expected to wait for room before that.
    pub wait: Micros,
    /// Whether the upstream may be used at all.
    pub open: bool,
    /// Whether its queue is full of what goes first.
    pub full: bool,
    /// The share of its processor that is free.
    pub free: f64,
}

/// What a task asks of a choice.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Wish {
    /// The time of the choice.
    pub now: Time,
    /// When the objective of its job is missed.
    pub objective: Time,
    /// When its caller stops waiting.
    pub deadline: Time,
    /// Until when the task may wait for room on an upstream.
    pub latest: Time,
    /// Whether tasks of its job have been started, so that late is better than never.
    pub started: bool,
}

/// A choice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Choice {
    /// The offer at this place.
    Take(usize),
    /// None is good enough as yet.
    Wait,
}

/// Chooses between offers; `tie` turns equal ones into a random order.
///
/// Of those that meet the objective one without a wait is taken; of these a slow one rather than a
/// fast one, and the one with most free: planners that choose at the same time then seldom meet. A
/// job that has been started and is late goes where it ends first, behind all that is in time; one
/// that has not been started and can only be late goes where there is room to spare.
pub fn choose(offers: &[Offer], wish: &Wish, mut tie: impl FnMut() -> f64) -> Choice {
    let mut best: Option<(usize, f64)> = None;
    let mut hope = false;
    for (place, offer) in offers.iter().enumerate().filter(|(_, o)| o.open) {
        hope = hope || ends(offer, Micros(0), wish) <= wish.objective;
        let late = ends(offer, offer.wait, wish) > wish.objective;
        if offer.full || late || wish.now + offer.wait > wish.latest {
            continue;
        }
        let score = score(offer, wish) + tie() * SPREAD;
        if best.is_none_or(|(_, other)| score > other) {
            best = Some((place, score));
        }
    }
    if let Some((place, _)) = best {
        return Choice::Take(place);
    }
    if hope {
        return Choice::Wait;
    }
    choose_late(offers, wish).map_or(Choice::Wait, Choice::Take)
}

/// Chooses for a job that can only be late.
fn choose_late(offers: &[Offer], wish: &Wish) -> Option<usize> {
    let end = |offer: &Offer| wish.now + offer.wait + offer.run;
    let roomy = |offer: &Offer| offer.wait == Micros(0) && offer.free >= LATE_ROOM;
    let fits = |offer: &Offer| {
        let usable = offer.open && !offer.full && end(offer) < wish.deadline;
        usable && (wish.started || roomy(offer))
    };
    let rows = offers.iter().enumerate().filter(|(_, o)| fits(o));
    rows.min_by_key(|(_, o)| end(o)).map(|(place, _)| place)
}

/// The share of an upstream that stays free for jobs that can be in time.
const LATE_ROOM: f64 = 0.3;

/// How much chance weighs beside the free share.
const SPREAD: f64 = 0.2;

/// How much a slow upstream that is fast enough is preferred to a fast one.
const SLOW_BONUS: f64 = 0.5;

/// How much a wait for room weighs, as a share of the time that is left.
const WAIT_COST: f64 = 8.0;

/// Returns when a task ends at the latest there, after a wait.
fn ends(offer: &Offer, wait: Micros, wish: &Wish) -> Time {
    let reserve = Micros((offer.run.0 as f64 * RESERVE) as u64);
    wish.now + wait + offer.run + reserve + MARGIN
}

/// Returns how well a task is placed there.
fn score(offer: &Offer, wish: &Wish) -> f64 {
    let left = wish.now.duration_until(wish.objective).0.max(1) as f64;
    let slow = SLOW_BONUS * (offer.run.0 as f64 / left);
    let wait = WAIT_COST * (offer.wait.0 as f64 / left);
    offer.free + slow - wait
}
