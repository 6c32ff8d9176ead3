//! The upstreams of one service, as lanes in buckets of similar latency.
//!
//! A pick examines the buckets and a few lanes of one bucket, however many upstreams there are.

use super::health::{FailureRate, Health};
use super::policy::{Pick, PickRequest};
use super::speed::{LaneSpeed, ServiceSpeed};

/// Buckets for each doubling of the latency.
const BUCKETS_PER_DOUBLING: f64 = 4.0;

/// Latency below which lanes share the first bucket, in microseconds.
const MIN_LATENCY: f64 = 1_000.0;

/// Number of buckets; the last one holds all slower lanes.
const BUCKET_COUNT: usize = 64;

/// Lanes of a bucket that a pick examines.
const MAX_EXAMINED: usize = 16;

/// Position of a lane that is not among the available ones.
const NOT_LISTED: usize = usize::MAX;

/// An upstream that runs the service.
#[derive(Debug, Clone, Default)]
pub(crate) struct Lane {
    /// Row of the agent.
    pub(crate) agent: usize,
    /// Outcomes and ejection of the lane.
    pub(crate) health: Health,
    /// Learnt run times.
    pub(crate) speed: LaneSpeed,
    /// Expected time of a task on a free slot, round trip included, in microseconds.
    pub(crate) latency: f64,
    /// Slots of the upstream.
    pub(crate) total_slots: f64,
    /// Slots that other entries do not hold.
    pub(crate) available_slots: f64,
    /// Tasks that the lane may be sent now.
    pub(crate) capacity: u32,
    /// Attempts of this service that this entry has at the agent.
    pub(crate) own_attempts: u32,
    /// Tasks at the agent per slot, in thousandths.
    pub(crate) utilization: u32,
    /// Whether the lane may be given work at all.
    pub(crate) usable: bool,
    bucket: usize,
    /// Position among the available lanes of the bucket.
    position: usize,
    /// Contribution to the sums of the bucket.
    counted_slots: f64,
    counted_rate: f64,
    counted_full: f64,
}

/// Lanes of similar latency.
#[derive(Debug, Clone, Default)]
struct Bucket {
    available: Vec<usize>,
    /// Slots of the usable lanes that other entries do not hold.
    slots: f64,
    /// Tasks a microsecond that the usable lanes finish in these slots.
    rate: f64,
    /// Tasks a microsecond that the usable lanes finish in all slots.
    full_rate: f64,
}

/// The lanes of a service.
#[derive(Debug)]
pub(crate) struct Pool {
    pub(crate) lanes: Vec<Lane>,
    pub(crate) speed: ServiceSpeed,
    /// Failure rate over all lanes.
    pub(crate) failures: FailureRate,
    /// Ejected lanes.
    pub(crate) ejected: Vec<usize>,
    buckets: Vec<Bucket>,
    vacant: Vec<usize>,
    usable: usize,
}

impl Default for Pool {
    fn default() -> Self {
        Self {
            lanes: Vec::new(),
            speed: ServiceSpeed::default(),
            failures: FailureRate::default(),
            ejected: Vec::new(),
            buckets: vec![Bucket::default(); BUCKET_COUNT],
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

    /// Returns the rate at which the lanes finish tasks, in tasks a microsecond.
    pub(crate) fn rate(&self) -> f64 {
        self.buckets.iter().map(|b| b.rate).sum::<f64>().max(0.0)
    }

    /// Returns the rate that the lanes would have if other entries held no slots, in tasks a
    /// microsecond.
    pub(crate) fn full_rate(&self) -> f64 {
        self.buckets
            .iter()
            .map(|b| b.full_rate)
            .sum::<f64>()
            .max(0.0)
    }

    /// Returns the mean expected latency of the fastest bucket with slots, in microseconds.
    pub(crate) fn min_latency(&self) -> Option<f64> {
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
            position: NOT_LISTED,
            ..Lane::default()
        };
        index
    }

    /// Removes a lane.
    pub(crate) fn remove(&mut self, index: usize) {
        self.lanes[index].usable = false;
        self.reindex(index);
        self.ejected.retain(|&l| l != index);
        self.lanes[index].agent = usize::MAX;
        self.vacant.push(index);
    }

    /// Returns the number of lanes.
    pub(crate) fn len(&self) -> usize {
        self.lanes.len() - self.vacant.len()
    }

    /// Moves a lane to its bucket and updates the sums, after a change of its state.
    pub(crate) fn reindex(&mut self, index: usize) {
        self.unlist(index);
        let lane = &mut self.lanes[index];
        let bucket = &mut self.buckets[lane.bucket];
        bucket.slots -= lane.counted_slots;
        bucket.full_rate -= lane.counted_full;
        bucket.rate -= lane.counted_rate;
        if lane.counted_slots > 0.0 || lane.counted_rate > 0.0 {
            self.usable -= 1;
        }
        (lane.counted_slots, lane.counted_rate, lane.counted_full) = (0.0, 0.0, 0.0);
        if !lane.usable {
            return;
        }
        self.usable += 1;
        lane.bucket = bucket_of(lane.latency);
        lane.counted_slots = lane.available_slots.max(f64::MIN_POSITIVE);
        lane.counted_rate = lane.available_slots / lane.latency.max(1.0);
        lane.counted_full = lane.total_slots / lane.latency.max(1.0);
        let bucket = &mut self.buckets[lane.bucket];
        bucket.slots += lane.counted_slots;
        bucket.full_rate += lane.counted_full;
        bucket.rate += lane.counted_rate;
        if lane.capacity > 0 {
            lane.position = bucket.available.len();
            bucket.available.push(index);
        }
    }

    /// Removes a lane from the available ones of its bucket.
    fn unlist(&mut self, index: usize) {
        let lane = &mut self.lanes[index];
        let position = std::mem::replace(&mut lane.position, NOT_LISTED);
        if position == NOT_LISTED {
            return;
        }
        let available = &mut self.buckets[lane.bucket].available;
        available.swap_remove(position);
        if let Some(&moved) = available.get(position) {
            self.lanes[moved].position = position;
        }
    }

    /// Returns the lanes that may be sent a task now.
    ///
    /// The lane of the agent to avoid is left out unless it is the only one.
    pub(crate) fn available_lanes(&self, avoid: Option<usize>) -> Vec<usize> {
        let lanes = self
            .buckets
            .iter()
            .flat_map(|b| b.available.iter().copied());
        let mut available: Vec<usize> = lanes.collect();
        if available.len() > 1 {
            available.retain(|&l| Some(self.lanes[l].agent) != avoid);
        }
        available.sort_unstable();
        available
    }

    /// Returns the tasks at a lane's agent per slot, in thousandths.
    pub(crate) fn utilization(&self, lane: usize) -> u32 {
        self.lanes[lane].utilization
    }

    /// Returns the available lane with the earliest expected finish, for the first task in the
    /// queue that would finish later if it waited for a faster lane.
    ///
    /// Faster lanes are full. During the latency of the candidate they finish `latency * rate`
    /// tasks; all but the last `slots` of these start early enough to finish by then.
    pub(crate) fn earliest_finish(&self, request: PickRequest) -> Option<Pick> {
        let (mut slots, mut rate) = (0.0, 0.0);
        for bucket in &self.buckets {
            if let Some(lane) = self.fastest_available(bucket, request.avoid) {
                let ahead = self.lanes[lane].latency * rate - slots;
                let skip = ahead.max(0.0) as usize;
                return (request.queued as f64 > ahead).then_some(Pick { lane, skip });
            }
            slots += bucket.slots;
            rate += bucket.rate;
        }
        if request.avoid.is_some() && self.usable <= 1 {
            return self.earliest_finish(PickRequest {
                avoid: None,
                ..request
            });
        }
        None
    }

    /// Returns the fastest of the first available lanes of a bucket.
    fn fastest_available(&self, bucket: &Bucket, avoid: Option<usize>) -> Option<usize> {
        let allowed = |l: &usize| Some(self.lanes[*l].agent) != avoid;
        let available = bucket.available.iter().copied().filter(allowed);
        let latency = |l: &usize| self.lanes[*l].latency;
        available
            .take(MAX_EXAMINED)
            .min_by(|a, b| latency(a).total_cmp(&latency(b)))
    }
}

fn bucket_of(latency: f64) -> usize {
    let doublings = (latency / MIN_LATENCY).max(1.0).log2();
    ((doublings * BUCKETS_PER_DOUBLING) as usize).min(BUCKET_COUNT - 1)
}
