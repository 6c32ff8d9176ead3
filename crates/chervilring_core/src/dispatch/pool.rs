//! The upstreams of one service, as lanes sorted by speed.
//!
//! Lanes are kept in buckets of about equal speed, so that a choice looks at buckets and at a few
//! lanes of one bucket, however many upstreams there are.

use super::health::{FailureShare, Health};
use super::policy::{Ask, Pick};
use super::speed::{LaneSpeed, ServiceSpeed};

/// Buckets for each doubling of the span.
const PER_DOUBLING: f64 = 4.0;

/// The span below which lanes are not told apart, in microseconds.
const SHORTEST: f64 = 1_000.0;

/// Buckets; the last one takes all lanes that are slower still.
const BUCKETS: usize = 64;

/// Lanes of a bucket that a choice looks at.
const LOOKED_AT: usize = 16;

/// The place of a lane that is not open.
const NOWHERE: usize = usize::MAX;

/// An upstream that does the service.
#[derive(Debug, Clone, Default)]
pub(crate) struct Lane {
    /// The row of the agent.
    pub(crate) agent: usize,
    /// How well it does.
    pub(crate) health: Health,
    /// What is learnt of its run times.
    pub(crate) speed: LaneSpeed,
    /// Expected span of a task on an empty slot, in microseconds, round trip included.
    pub(crate) span: f64,
    /// All slots.
    pub(crate) all: f64,
    /// Slots that other entries do not hold.
    pub(crate) mine: f64,
    /// Tasks that it may be sent now.
    pub(crate) open: u32,
    /// Attempts of this service that this entry has there.
    pub(crate) own: u32,
    /// Tasks there for each slot, in thousandths.
    pub(crate) fill: u32,
    /// Whether it may be given work at all.
    pub(crate) usable: bool,
    bucket: usize,
    /// Its place among the open lanes of its bucket.
    place: usize,
    /// What it adds to the sums of its bucket.
    slots: f64,
    rate: f64,
    whole: f64,
}

/// Lanes of about equal speed.
#[derive(Debug, Clone, Default)]
struct Bucket {
    open: Vec<usize>,
    /// Slots of the usable lanes.
    slots: f64,
    /// Tasks that the usable lanes finish in a microsecond.
    rate: f64,
    /// The same with the slots that other entries hold.
    whole: f64,
}

/// The lanes of a service.
#[derive(Debug)]
pub(crate) struct Pool {
    pub(crate) lanes: Vec<Lane>,
    pub(crate) speed: ServiceSpeed,
    /// How often answers are failures, over all lanes.
    pub(crate) failures: FailureShare,
    /// Lanes that were taken out as sick.
    pub(crate) out: Vec<usize>,
    buckets: Vec<Bucket>,
    vacant: Vec<usize>,
    usable: usize,
}

impl Default for Pool {
    fn default() -> Self {
        Self {
            lanes: Vec::new(),
            speed: ServiceSpeed::default(),
            failures: FailureShare::default(),
            out: Vec::new(),
            buckets: vec![Bucket::default(); BUCKETS],
            vacant: Vec::new(),
            usable: 0,
        }
    }
}

impl Pool {
    /// Returns how many lanes may be given work.
    pub(crate) fn usable(&self) -> usize {
        self.usable
    }

    /// Returns the tasks that the lanes finish in a microsecond.
    pub(crate) fn rate(&self) -> f64 {
        self.buckets.iter().map(|b| b.rate).sum::<f64>().max(0.0)
    }

    /// Returns the tasks that the lanes would finish in a microsecond if no other entry held slots.
    pub(crate) fn whole_rate(&self) -> f64 {
        self.buckets.iter().map(|b| b.whole).sum::<f64>().max(0.0)
    }

    /// Returns the expected span of a task on the fastest lanes.
    pub(crate) fn shortest(&self) -> Option<f64> {
        let mut usable = self
            .buckets
            .iter()
            .filter(|b| b.rate > 0.0 && b.slots > 0.01);
        usable.next().map(|b| b.slots / b.rate)
    }

    /// Adds a lane for an agent and returns its index.
    pub(crate) fn add(&mut self, agent: usize) -> usize {
        let index = self.vacant.pop().unwrap_or_else(|| {
            self.lanes.push(Lane::default());
            self.lanes.len() - 1
        });
        self.lanes[index] = Lane {
            agent,
            place: NOWHERE,
            ..Lane::default()
        };
        index
    }

    /// Takes a lane away.
    pub(crate) fn remove(&mut self, index: usize) {
        self.lanes[index].usable = false;
        self.settle(index);
        self.out.retain(|&l| l != index);
        self.lanes[index].agent = usize::MAX;
        self.vacant.push(index);
    }

    /// Returns how many lanes there are.
    pub(crate) fn len(&self) -> usize {
        self.lanes.len() - self.vacant.len()
    }

    /// Puts a lane where its state belongs, after a change.
    pub(crate) fn settle(&mut self, index: usize) {
        self.unlist(index);
        let lane = &mut self.lanes[index];
        let bucket = &mut self.buckets[lane.bucket];
        bucket.slots -= lane.slots;
        bucket.whole -= lane.whole;
        bucket.rate -= lane.rate;
        if lane.slots > 0.0 || lane.rate > 0.0 {
            self.usable -= 1;
        }
        (lane.slots, lane.rate, lane.whole) = (0.0, 0.0, 0.0);
        if !lane.usable {
            return;
        }
        self.usable += 1;
        lane.bucket = bucket_of(lane.span);
        lane.slots = lane.mine.max(f64::MIN_POSITIVE);
        lane.rate = lane.mine / lane.span.max(1.0);
        lane.whole = lane.all / lane.span.max(1.0);
        let bucket = &mut self.buckets[lane.bucket];
        bucket.slots += lane.slots;
        bucket.whole += lane.whole;
        bucket.rate += lane.rate;
        if lane.open > 0 {
            lane.place = bucket.open.len();
            bucket.open.push(index);
        }
    }

    /// Takes a lane out of the open ones.
    fn unlist(&mut self, index: usize) {
        let lane = &mut self.lanes[index];
        let place = std::mem::replace(&mut lane.place, NOWHERE);
        if place == NOWHERE {
            return;
        }
        let open = &mut self.buckets[lane.bucket].open;
        open.swap_remove(place);
        if let Some(&moved) = open.get(place) {
            self.lanes[moved].place = place;
        }
    }

    /// Returns the lanes that may be sent a task now.
    pub(crate) fn open(&self, avoid: Option<usize>) -> Vec<usize> {
        let lanes = self.buckets.iter().flat_map(|b| b.open.iter().copied());
        let mut open: Vec<usize> = lanes.collect();
        if open.len() > 1 {
            open.retain(|&l| Some(self.lanes[l].agent) != avoid);
        }
        open.sort_unstable();
        open
    }

    /// Returns the tasks at a lane's agent for each of its slots, in thousandths.
    pub(crate) fn fill(&self, lane: usize) -> u32 {
        self.lanes[lane].fill
    }

    /// Returns the open lane with the earliest expected finish, for the first task in the queue that
    /// would finish later if it waited for a faster one.
    ///
    /// Faster lanes are full. Over the span of the candidate they finish `span * rate` tasks; all
    /// but the last `slots` of these have been started early enough to be done by then.
    pub(crate) fn earliest(&self, ask: Ask) -> Option<Pick> {
        let (mut slots, mut rate) = (0.0, 0.0);
        for bucket in &self.buckets {
            if let Some(lane) = self.best(bucket, ask.avoid) {
                let ahead = self.lanes[lane].span * rate - slots;
                let skip = ahead.max(0.0) as usize;
                return (ask.queued as f64 > ahead).then_some(Pick { lane, skip });
            }
            slots += bucket.slots;
            rate += bucket.rate;
        }
        if ask.avoid.is_some() && self.usable <= 1 {
            return self.earliest(Ask { avoid: None, ..ask });
        }
        None
    }

    /// Returns the lane with the shortest span among some open ones of a bucket.
    fn best(&self, bucket: &Bucket, avoid: Option<usize>) -> Option<usize> {
        let allowed = |l: &usize| Some(self.lanes[*l].agent) != avoid;
        let open = bucket.open.iter().copied().filter(allowed);
        let span = |l: &usize| self.lanes[*l].span;
        open.take(LOOKED_AT)
            .min_by(|a, b| span(a).total_cmp(&span(b)))
    }
}

fn bucket_of(span: f64) -> usize {
    let doublings = (span / SHORTEST).max(1.0).log2();
    ((doublings * PER_DOUBLING) as usize).min(BUCKETS - 1)
}
