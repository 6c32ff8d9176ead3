//! Shares of an upstream's room among planners whose runs wait.

use chervilring_core::runs::WorkOrder;
use chervilring_core::runs::planner::{JobAnswer, LinkNo};
use chervilring_core::runs::runner::{QueuedRun, ShareClass, Shares};
use chervilring_wire::{JobId, Micros, Resources, RunKey, Time, Urgency};
use quickcheck::quickcheck;

use super::world::{Event, Without, World, test_job};

const NOW: Time = Time(9_000_000);

/// The upstream runs ten of the runs at once.
const CAPACITY: Resources = Resources {
    cpu: 10_000,
    memory: 64_000,
    gpu: 0,
};

/// Returns a queued run of a planner that may wait for `slack` milliseconds.
fn queued(planner: u64, number: u32, priority: u32, slack: u64) -> QueuedRun {
    let urgency = Urgency {
        priority,
        slack: Micros::from_millis(slack),
        work: Micros(0),
        started: false,
        timely: true,
    };
    QueuedRun {
        run: RunKey {
            job: JobId(planner),
            occurrence: 0,
            step: 0,
            index: number,
            attempt: 1,
        },
        link: Some(LinkNo(planner)),
        class: ShareClass::from(&urgency),
        order: WorkOrder::new(NOW, &urgency),
        demand: Resources {
            cpu: 1_000,
            memory: 10,
            gpu: 0,
        },
    }
}

/// Returns the runs that make way in a queue whose planners have asked for this many runs each.
fn yielding(queue: &[QueuedRun], asked: &[(u64, u32)]) -> Vec<QueuedRun> {
    let mut shares = Shares::default();
    for &(planner, count) in asked {
        for number in 0..count {
            shares.record(NOW, &queued(planner, number, 1, 50), &CAPACITY);
        }
    }
    shares.yielding(NOW, queue.to_vec(), &CAPACITY)
}

/// Returns how many of these runs are of a planner.
fn count_of(runs: &[QueuedRun], planner: u64) -> usize {
    runs.iter().filter(|q| q.run.job.0 == planner).count()
}

#[test]
fn planners_keep_shares_of_a_full_queue_by_what_they_have_asked_for() {
    let mut queue: Vec<QueuedRun> = (0..20).map(|n| queued(1, n, 1, 50)).collect();
    queue.extend((0..20).map(|n| queued(2, n, 1, 50)));
    let gone = yielding(&queue, &[(1, 80), (2, 20)]);
    let kept = [20 - count_of(&gone, 1), 20 - count_of(&gone, 2)];
    assert_eq!(gone.len(), 30);
    assert!(kept == [8, 2] || kept == [7, 3], "{kept:?}");
}

#[test]
fn a_planner_with_little_demand_keeps_its_run_although_others_are_due_sooner() {
    let mut queue: Vec<QueuedRun> = (0..10).map(|n| queued(1, n, 1, 20)).collect();
    queue.push(queued(2, 0, 1, 400));
    let gone = yielding(&queue, &[(1, 500), (2, 1)]);
    assert_eq!((gone.len(), count_of(&gone, 2)), (1, 0));
}

#[test]
fn shares_that_are_not_used_go_to_others() {
    let mut queue: Vec<QueuedRun> = (0..9).map(|n| queued(1, n, 1, 50)).collect();
    queue.push(queued(2, 0, 1, 50));
    assert_eq!(yielding(&queue, &[(1, 10), (2, 500)]).len(), 0);
}

#[test]
fn demand_of_long_ago_does_not_count() {
    let mut shares = Shares::default();
    for number in 0..500 {
        shares.record(Time(0), &queued(1, number, 1, 50), &CAPACITY);
    }
    for number in 0..50 {
        shares.record(NOW, &queued(2, number, 1, 50), &CAPACITY);
    }
    let mut queue: Vec<QueuedRun> = (0..8).map(|n| queued(1, n, 1, 50)).collect();
    queue.extend((0..8).map(|n| queued(2, n, 1, 50)));
    let gone = shares.yielding(NOW, queue, &CAPACITY);
    assert!(count_of(&gone, 1) == 6 && gone.len() == 6, "{gone:?}");
}

#[test]
fn of_one_planner_the_last_in_the_order_of_work_make_way() {
    let queue: Vec<QueuedRun> = (0..15)
        .map(|n| queued(1, n, n % 3, 90 - u64::from(n)))
        .collect();
    let mut sorted = queue.clone();
    sorted.sort_by_key(|q| q.order);
    let last: Vec<RunKey> = sorted[10..].iter().rev().map(|q| q.run).collect();
    let gone: Vec<RunKey> = yielding(&queue, &[(1, 15)]).iter().map(|q| q.run).collect();
    assert_eq!(gone, last);
}

quickcheck! {
    /// No run makes way while one of a class that is all behind its own stays, and what stays fits.
    fn no_run_makes_way_for_one_of_a_later_class(rows: Vec<(u8, u8)>) -> bool {
        let row = |(n, (planner, priority)): (usize, &(u8, u8))| {
            queued(u64::from(planner % 3) + 1, n as u32, u32::from(priority % 3), 50)
        };
        let queue: Vec<QueuedRun> = rows.iter().enumerate().map(row).collect();
        let gone = yielding(&queue, &[(1, 9), (2, 3), (3, 1)]);
        let is_gone = |q: &&QueuedRun| gone.iter().any(|g| g.run == q.run);
        let first_gone = gone.iter().map(|q| q.class.priority).min();
        let last_kept = queue.iter().filter(|q| !is_gone(q)).map(|q| q.class.priority).max();
        let in_order = first_gone.is_none_or(|gone| last_kept.is_none_or(|kept| kept <= gone));
        in_order && gone.len() == rows.len().saturating_sub(10)
    }
}

/// Returns how many jobs of those that are submitted to a planner are completed, and of how many.
fn completed(world: &World, jobs: &[usize]) -> (usize, usize) {
    let done = |p: &&usize| {
        world.jobs[**p]
            .answers
            .iter()
            .any(|(_, a)| *a == JobAnswer::Completed)
    };
    (jobs.iter().filter(done).count(), jobs.len())
}

/// Submits `count` jobs of two tasks to one planner at an even rate.
fn submit_to(
    world: &mut World,
    planner: usize,
    first: u64,
    per_second: u64,
    count: u64,
) -> Vec<usize> {
    let submit = |n: u64| {
        let place = world.jobs.len();
        world.jobs.push(test_job(first + n, 2, 60));
        world.at(n * 1_000_000 / per_second, Event::Submit(place, planner));
        place
    };
    (0..count).map(submit).collect()
}

#[test]
fn a_planner_with_little_demand_is_served_at_a_full_upstream() {
    let mut world = World::new(31, 2, 1, Without::Nothing);
    world.run(300_000);
    // Five slots at speed 0.55: some 23 jobs a second, of which one planner asks for 60.
    let much = submit_to(&mut world, 0, 1_000, 60, 240);
    let little = submit_to(&mut world, 1, 5_000, 4, 16);
    world.run(8_000_000);
    let (done, asked) = completed(&world, &little);
    let (done_much, asked_much) = completed(&world, &much);
    let share = done as f64 / asked as f64;
    let share_much = done_much as f64 / asked_much as f64;
    assert!(
        share >= share_much * 0.9,
        "{share:.2} of little, {share_much:.2} of much"
    );
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}

#[test]
fn the_room_of_a_planner_that_is_killed_with_work_queued_goes_to_the_other() {
    let mut world = World::new(32, 2, 1, Without::Nothing);
    world.run(300_000);
    let lost = submit_to(&mut world, 0, 1_000, 40, 40);
    let stays = submit_to(&mut world, 1, 5_000, 12, 48);
    world.at(1_000_000, Event::KillPlanner(0));
    for &job in &lost {
        // Its callers do not come back.
        world.jobs[job].submissions = 5;
    }
    world.run(8_000_000);
    let later: Vec<usize> = stays.iter().copied().skip(24).collect();
    let (done, asked) = completed(&world, &later);
    assert!(
        done * 10 >= asked * 6,
        "{done} of {asked} after the other was lost"
    );
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}
