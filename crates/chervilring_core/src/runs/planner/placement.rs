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
    /// Runs of this size that it has room for.
    pub room: u64,
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
    /// Whether tasks of its job have been started, so that late is better than never.
    pub started: bool,
}

/// A choice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Choice {
    /// The offer at this place.
    Take(usize),
    /// It does better to wait: those with room are too slow for it.
    Wait,
    /// There is no room at all.
    Full,
}

/// Chooses between offers; `tie` turns equal ones into a random order.
///
/// Of those that meet the objective the slowest class is taken, and in it the one with most free:
/// planners that choose at the same time then seldom meet.
pub fn choose(offers: &[Offer], wish: &Wish, mut tie: impl FnMut() -> f64) -> Choice {
    let mut best: Option<(usize, f64)> = None;
    let mut last: Option<(usize, Micros)> = None;
    for (place, offer) in offers.iter().enumerate() {
        if offer.room == 0 {
            continue;
        }
        if last.is_none_or(|(_, run)| offer.run < run) {
            last = Some((place, offer.run));
        }
        if !in_time(offer, wish) {
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
    let Some((place, run)) = last else {
        return Choice::Full;
    };
    // A faster upstream may become free in time.
    let hope = offers.iter().any(|offer| in_time(offer, wish));
    if wish.started && !hope && wish.now + run < wish.deadline {
        return Choice::Take(place);
    }
    Choice::Wait
}

/// How much chance weighs beside the free share.
const SPREAD: f64 = 0.2;

/// How much a slow upstream that is fast enough is preferred to a fast one.
const SLOW_BONUS: f64 = 0.5;

/// Returns whether a task is expected to meet the objective there.
fn in_time(offer: &Offer, wish: &Wish) -> bool {
    let reserve = Micros((offer.run.0 as f64 * RESERVE) as u64);
    let end = wish.now + offer.run + reserve + MARGIN;
    end <= wish.objective
}

/// Returns how well a task is placed there.
fn score(offer: &Offer, wish: &Wish) -> f64 {
    let left = wish.now.until(wish.objective).0.max(1) as f64;
    offer.free + SLOW_BONUS * (offer.run.0 as f64 / left)
}
