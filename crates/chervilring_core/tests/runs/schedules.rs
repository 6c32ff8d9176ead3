//! Random schedules of faults, each from its seed. No task runs twice at a time, no upstream
//! exceeds its capacity, and no run that is reported as never started has started.

mod crashes;

use std::env;
use std::ops::RangeInclusive;

use super::world::{Direction, Event, OddReport, Reader, Without, World, test_job};

/// The number of schedules in a plain test run. `CHERVILRING_SCHEDULES` sets another number, and
/// `CHERVILRING_FIRST` the first seed.
const SCHEDULES: u64 = 250;

/// The maximum delay by which answers of upstreams may overtake each other, in microseconds.
const JITTER: u64 = 25_000;

/// By when an upstream has ended what runs after its lease has expired, in milliseconds (`docs/GUARANTEES.md`).
const MAX_END_DELAY: u64 = 40;

/// The period in which faults occur, in microseconds.
const FAULTS: u64 = 6_000_000;

fn schedules() -> RangeInclusive<u64> {
    let number = |name: &str, other: u64| {
        let given = env::var(name).ok();
        given.map_or(other, |text| text.parse().expect("a number"))
    };
    let first = number("CHERVILRING_FIRST", 1);
    let count = number("CHERVILRING_SCHEDULES", SCHEDULES);
    first..=first + count - 1
}

/// Runs a schedule and returns the world after it.
fn play(seed: u64, without: Without) -> World {
    play_in(World::new(seed, 3, 4, without), seed, without)
}

/// Runs a schedule in which upstreams also leave calls unanswered, for as long as some runs take,
/// and answers overtake each other.
fn play_mute(seed: u64) -> World {
    let mut world = World::new(seed, 3, 4, Without::Nothing);
    world.jitter = JITTER;
    let mut rng = fastrand::Rng::with_seed(seed ^ 0x3417E);
    for _ in 0..rng.u32(1..6) {
        let span = rng.u64(30_000..3_000_000);
        let share = rng.f64().max(0.3);
        world.at(
            rng.u64(0..FAULTS),
            Event::Mute(rng.usize(0..4), span, share),
        );
    }
    play_in(world, seed, Without::Nothing)
}

fn play_in(mut world: World, seed: u64, without: Without) -> World {
    world.run(300_000);
    if without == Without::CapacityAccounting {
        world.overstate();
    }
    let mut rng = fastrand::Rng::with_seed(seed ^ 0x5EED);
    if rng.bool() {
        world.late_share = 0.1;
    }
    let jobs = rng.u64(20..80);
    for id in 0..jobs {
        let mut job = test_job(id + 1, rng.u32(1..6), [60, 200, 900][rng.usize(0..3)]);
        job.work = (job.work as f64 * (0.6 + rng.f64())) as u64;
        job.fails = rng.f64() < 0.03;
        let place = world.add_job(rng.u64(0..FAULTS), job);
        if rng.f64() < 0.3 {
            let span = rng.u64(0..FAULTS);
            world.at(span, Event::ResetCaller(place));
        }
    }
    for _ in 0..rng.u32(1..7) {
        let at = rng.u64(0..FAULTS);
        let (p, r) = (rng.usize(0..3), rng.usize(0..4));
        let span = rng.u64(50_000..4_000_000);
        let way = [Direction::Both, Direction::ToPlanner, Direction::ToRunner][rng.usize(0..3)];
        match rng.u32(0..9) {
            0 => world.at(at, Event::KillPlanner(p)),
            1 => world.at(at, Event::KillRunner(r)),
            2 | 3 => world.at(at, Event::FreezePlanner(p, span)),
            4 => world.at(at, Event::FreezeRunner(r, span)),
            5 => world.at(at, Event::Crash(r, span)),
            6 => {
                for r in 0..4 {
                    world.at(at, Event::Cut(p, r, way, span));
                }
            }
            7 => {
                for p in 0..3 {
                    world.at(at, Event::KillPlanner(p));
                }
            }
            _ => world.at(at, Event::Cut(p, r, way, span)),
        }
    }
    // Runners close links as they come to prefer other planners.
    let mut parts = fastrand::Rng::with_seed(seed ^ 0x9A27);
    for _ in 0..parts.u32(0..8) {
        let (p, r) = (parts.usize(0..3), parts.usize(0..4));
        world.at(parts.u64(0..FAULTS), Event::CloseLink(p, r));
    }
    world.run(FAULTS + 12_000_000);
    world
}

/// Runs the schedule of `CHERVILRING_SEED`. `CHERVILRING_TRACE` prints all events.
#[test]
fn one_schedule() {
    let world = play(given_seed(), Without::Nothing);
    assert_eq!(world.violations, Vec::<String>::new());
}

/// Seeds that once violated a guarantee, with the cause.
const FOUND: &[(u64, &str)] = &[
    (
        106,
        "each retry extended the lease of an upstream that did not answer",
    ),
    (
        281,
        "runs started by a new incarnation of the upstream were reported as expired",
    ),
    (
        2188,
        "the lease of a new incarnation counted as expired before it was known",
    ),
    (
        8571,
        "a new link lasted two seconds without an answered heartbeat",
    ),
];

#[test]
fn found_schedules_violate_no_guarantee() {
    for &(seed, cause) in FOUND {
        let violations = play(seed, Without::Nothing).violations;
        assert_eq!(violations, Vec::<String>::new(), "seed {seed}: {cause}");
    }
}

/// Returns the first seed whose schedule violates a guarantee, and the violation.
fn first_violation(
    mut seeds: RangeInclusive<u64>,
    play: impl Fn(u64) -> World,
) -> Option<(u64, String)> {
    seeds.find_map(|seed| {
        let world = play(seed);
        world.violations.first().map(|v| (seed, v.clone()))
    })
}

/// Returns the seed of `CHERVILRING_SEED`.
fn given_seed() -> u64 {
    let given = env::var("CHERVILRING_SEED").ok();
    given.map_or(1, |text| text.parse().expect("a seed"))
}

#[test]
fn no_schedule_violates_a_guarantee() {
    let found = first_violation(schedules(), |seed| play(seed, Without::Nothing));
    assert_eq!(found, None);
}

/// The seed of a schedule with mute upstreams that once violated a guarantee: when a start was left
/// unanswered and its retry was refused, the run counted as never started.
const FOUND_MUTE: u64 = 53;

#[test]
fn the_found_schedule_with_mute_upstreams_violates_no_guarantee() {
    assert_eq!(play_mute(FOUND_MUTE).violations, Vec::<String>::new());
}

#[test]
fn no_schedule_with_mute_upstreams_violates_a_guarantee() {
    assert_eq!(first_violation(schedules(), play_mute), None);
}

/// Runs a schedule in which packets between processes are also lost and retransmitted, so that the
/// first message of one connection can arrive after those of the next.
fn play_lossy(seed: u64) -> World {
    let mut world = World::new(seed, 3, 4, Without::Nothing);
    let mut rng = fastrand::Rng::with_seed(seed ^ 0x1055);
    for _ in 0..rng.u32(1..4) {
        let lose = Event::LosePackets(rng.u64(300_000..3_000_000), 0.02 + rng.f64() * 0.2);
        world.at(rng.u64(0..FAULTS), lose);
    }
    play_in(world, seed, Without::Nothing)
}

/// The seed of a schedule with lost packets that once violated a guarantee: a hello that arrived
/// after that of the next link was taken to mean that the runs over the next link had ended.
const FOUND_LOSSY: u64 = 6;

#[test]
fn the_found_schedule_with_lost_packets_violates_no_guarantee() {
    assert_eq!(play_lossy(FOUND_LOSSY).violations, Vec::<String>::new());
}

#[test]
fn no_schedule_with_lost_packets_violates_a_guarantee() {
    assert_eq!(first_violation(schedules(), play_lossy), None);
}

/// Runs one schedule with lost packets, as `one_schedule` does.
#[test]
fn one_schedule_with_lost_packets() {
    let world = play_lossy(given_seed());
    assert_eq!(world.violations, Vec::<String>::new());
}

/// Runs one schedule with mute upstreams, as `one_schedule` does.
#[test]
fn one_schedule_with_mute_upstreams() {
    let world = play_mute(given_seed());
    assert_eq!(world.violations, Vec::<String>::new());
}

/// Runs a schedule in which failure domains are evacuated and taken back, while the store does not
/// answer some of the processes or is slow.
fn play_evacuated(seed: u64, without: Without) -> World {
    let mut world = World::new(seed, 3, 4, without);
    let mut rng = fastrand::Rng::with_seed(seed ^ 0xE7AC);
    if rng.bool() {
        world.store_delay = rng.u64(4_000..400_000);
    }
    for _ in 0..rng.u32(1..4) {
        let span = rng.u64(50_000..6_000_000);
        world.at(rng.u64(0..FAULTS), Event::Evacuate(rng.usize(0..2), span));
    }
    // A domain that is taken back and evacuated again within a tenth of a second.
    if rng.bool() {
        let (at, domain) = (rng.u64(0..FAULTS), rng.usize(0..2));
        world.at(at, Event::TakeBack(domain));
        let again = at + rng.u64(1..100_000);
        world.at(again, Event::Evacuate(domain, 3_000_000));
    }
    let readers = (0..3)
        .map(Reader::Planner)
        .chain((0..4).map(Reader::Runner));
    for reader in readers {
        if rng.bool() {
            let span = rng.u64(500_000..8_000_000);
            world.at(rng.u64(0..FAULTS), Event::StoreAway(reader, span));
        }
    }
    play_in(world, seed, without)
}

#[test]
fn no_schedule_with_evacuations_violates_a_guarantee() {
    let play = |seed| play_evacuated(seed, Without::Nothing);
    assert_eq!(first_violation(schedules(), play), None);
}

/// Runs one schedule with evacuations, as `one_schedule` does.
#[test]
fn one_schedule_with_evacuations() {
    let world = play_evacuated(given_seed(), Without::Nothing);
    assert_eq!(world.violations, Vec::<String>::new());
}

/// Runs a schedule in which upstreams are back soon after they have crashed, some with a start time
/// that lies before that of the incarnation before; their runners are killed or they drain soon after
/// that.
fn play_restarts(seed: u64, without: Without) -> World {
    let mut world = World::new(seed, 3, 4, without);
    let mut rng = fastrand::Rng::with_seed(seed ^ 0x2E57);
    for up in &mut world.upstreams {
        up.is_set_back = rng.bool();
    }
    for _ in 0..rng.u32(2..8) {
        let (at, r) = (rng.u64(0..FAULTS), rng.usize(0..4));
        let down = rng.u64(5_000..400_000);
        world.at(at, Event::Crash(r, down));
        if rng.bool() {
            let kill = at + down + rng.u64(0..500_000);
            world.at(kill, Event::KillRunner(r));
        }
        if rng.bool() {
            let drain = at + down + rng.u64(0..1_500_000);
            world.at(drain, Event::Drain(r));
        }
    }
    play_in(world, seed, without)
}

#[test]
fn no_schedule_with_quick_restarts_violates_a_guarantee() {
    let play = |seed| play_restarts(seed, Without::Nothing);
    assert_eq!(first_violation(schedules(), play), None);
}

/// Guards against an upstream that is given no work, and whose reports and ends are dropped, because its
/// start time has fallen.
#[test]
fn every_upstream_that_is_back_is_used_again() {
    for seed in 1..=100 {
        let world = play_restarts(seed, Without::Nothing);
        assert_eq!(world.unused_upstreams(), Vec::<usize>::new(), "seed {seed}");
    }
}

/// Runs a schedule in which upstreams leave most stops unanswered and carry them out late, while planners
/// are killed and cut off.
fn play_late_stops(seed: u64) -> World {
    let mut world = World::new(seed, 3, 4, Without::Nothing);
    let mut rng = fastrand::Rng::with_seed(seed ^ 0x1A7E);
    world.late_stops = 0.5 + rng.f64() * 0.5;
    for _ in 0..rng.u32(1..5) {
        world.at(rng.u64(0..FAULTS), Event::KillPlanner(rng.usize(0..3)));
        let (p, r) = (rng.usize(0..3), rng.usize(0..4));
        let cut = Event::Cut(p, r, Direction::Both, rng.u64(300_000..2_000_000));
        world.at(rng.u64(0..FAULTS), cut);
    }
    play_in(world, seed, Without::Nothing)
}

/// Guards against runs that keep their lease as long as the upstream answers for its lists and not for
/// their stops.
#[test]
fn no_schedule_with_late_stops_violates_a_guarantee() {
    assert_eq!(first_violation(schedules(), play_late_stops), None);
}

/// Runs one schedule with late stops, as `one_schedule` does.
#[test]
fn one_schedule_with_late_stops() {
    let world = play_late_stops(given_seed());
    assert_eq!(world.violations, Vec::<String>::new());
}

/// The kinds of reports that are not of a runner's upstream.
const ODD_REPORTS: [OddReport; 3] = [
    OddReport::Foreign,
    OddReport::ForeignSameId,
    OddReport::Late,
];

/// Runs a schedule in which upstreams are replaced, some while they drain, leave single calls unanswered, and
/// runners get reports that are not of their upstream.
fn play_replaced(seed: u64) -> World {
    let mut world = World::new(seed, 3, 4, Without::Nothing);
    let mut rng = fastrand::Rng::with_seed(seed ^ 0x5ACE);
    delay_ends(&mut world, seed);
    for _ in 0..rng.u32(3..12) {
        let (mut at, r) = (rng.u64(0..FAULTS), rng.usize(0..4));
        match rng.u32(0..4) {
            0 => world.at(at, Event::Renew(r, rng.u64(5_000..900_000))),
            1 => world.at(at, Event::Release(r, rng.u64(0..3_000_000))),
            _ => {}
        }
        if rng.bool() {
            at += rng.u64(0..900_000);
            world.at(at, Event::LeaveCalls(r, rng.u32(1..4)));
        }
        for _ in 0..rng.u32(0..3) {
            let kind = ODD_REPORTS[rng.usize(0..ODD_REPORTS.len())];
            let after = rng.u64(0..300_000);
            world.at(at + after, Event::OddReport(r, kind));
        }
    }
    play_in(world, seed, Without::Nothing)
}

/// Guards against runs that count as over, or an upstream that loses its place, because another one reports.
#[test]
fn no_schedule_with_replaced_upstreams_violates_a_guarantee() {
    assert_eq!(first_violation(schedules(), play_replaced), None);
}

/// Guards against an upstream that gets no work because of one that it took the place of, or of a report that
/// is not of any.
#[test]
fn every_successor_is_used() {
    for seed in 1..=100 {
        let world = play_replaced(seed);
        assert_eq!(world.unused_upstreams(), Vec::<usize>::new(), "seed {seed}");
    }
}

/// Makes upstreams late with ending what runs when their lease has expired.
fn delay_ends(world: &mut World, seed: u64) {
    let mut rng = fastrand::Rng::with_seed(seed ^ 0xDE1A);
    for up in &mut world.upstreams {
        up.end_delay = rng.u64(0..MAX_END_DELAY);
    }
}

/// Runs a schedule in which upstreams leave calls unanswered and are late with ending what runs when their lease
/// has expired, by up to the time that is assumed.
fn play_late_ends(seed: u64) -> World {
    let mut world = World::new(seed, 3, 4, Without::Nothing);
    let mut rng = fastrand::Rng::with_seed(seed ^ 0x1A7E5);
    delay_ends(&mut world, seed);
    for _ in 0..rng.u32(1..6) {
        let mute = Event::Mute(rng.usize(0..4), rng.u64(300_000..3_000_000), 1.0);
        world.at(rng.u64(0..FAULTS), mute);
    }
    play_in(world, seed, Without::Nothing)
}

/// Guards against runs that count as over when their lease has expired, while an upstream on a busy host is
/// late with ending them.
#[test]
fn no_schedule_with_late_ends_of_leases_violates_a_guarantee() {
    assert_eq!(first_violation(schedules(), play_late_ends), None);
}

/// Runs one schedule with late ends of leases, as `one_schedule` does.
#[test]
fn one_schedule_with_late_ends_of_leases() {
    let world = play_late_ends(given_seed());
    assert_eq!(world.violations, Vec::<String>::new());
}

/// Runs one schedule with replaced upstreams, as `one_schedule` does.
#[test]
fn one_schedule_with_replaced_upstreams() {
    let world = play_replaced(given_seed());
    assert_eq!(world.violations, Vec::<String>::new());
}

/// Runs one schedule with quick restarts of upstreams, as `one_schedule` does.
#[test]
fn one_schedule_with_quick_restarts() {
    let world = play_restarts(given_seed(), Without::Nothing);
    assert_eq!(world.violations, Vec::<String>::new());
}

/// Guards against a lease that is stretched by the clock of another incarnation of the upstream.
#[test]
fn without_calls_bound_to_an_incarnation_a_task_runs_twice() {
    let runs_twice = |seed| {
        let violations = play_restarts(seed, Without::BoundCalls).violations;
        violations.iter().any(|v| v.contains("runs on"))
    };
    assert!((1..=400).any(runs_twice));
}

/// Returns whether a schedule with evacuations violates them when a mechanism is left out.
fn evacuations_are_broken(without: Without) -> bool {
    let found = first_violation(1..=400, |seed| play_evacuated(seed, without));
    found.is_some_and(|(_, violation)| violation.contains("was evacuated at"))
}

#[test]
fn without_the_check_at_the_runner_evacuations_are_broken() {
    assert!(evacuations_are_broken(Without::EvacuationCheck));
}

#[test]
fn without_sharing_among_peers_evacuations_are_broken() {
    assert!(evacuations_are_broken(Without::EvacuationSharing));
}

#[test]
fn without_the_runners_own_reads_evacuations_are_broken() {
    assert!(evacuations_are_broken(Without::EvacuationReads));
}

#[test]
fn without_the_order_of_revisions_evacuations_are_broken() {
    assert!(evacuations_are_broken(Without::EvacuationOrder));
}

#[test]
fn every_waiting_caller_is_answered() {
    for seed in 1..=40 {
        let mut world = play(seed, Without::Nothing);
        // Callers of long jobs submit them up to six times.
        world.run(12_000_000);
        assert!(world.starts > 0, "seed {seed}: nothing was started");
        for job in &world.jobs {
            let open = job.pending.is_some();
            assert!(!open, "seed {seed}: job {} hangs", job.id);
        }
        for planner in 0..3 {
            let linked = world.runners_at(planner);
            assert_eq!(
                linked, 4,
                "seed {seed}: planner {planner} has not regained all runners"
            );
        }
    }
}

/// Returns the message of the first violation when a mechanism is left out.
fn found_without(without: Without) -> String {
    let found = first_violation(1..=400, |seed| play(seed, without));
    found.expect("a schedule that violates a guarantee").1
}

#[test]
fn without_leases_a_task_runs_twice() {
    assert!(found_without(Without::Leases).contains("runs on"));
}

#[test]
fn without_pause_detection_a_guarantee_is_violated() {
    found_without(Without::PauseDetection);
}

#[test]
fn without_link_loss_detection_a_task_runs_twice() {
    assert!(found_without(Without::LinkLossDetection).contains("runs on"));
}

#[test]
fn without_the_resubmission_delay_a_task_runs_twice() {
    assert!(found_without(Without::ResubmitDelay).contains("runs on"));
}

#[test]
fn without_capacity_accounting_an_upstream_exceeds_its_capacity() {
    assert!(found_without(Without::CapacityAccounting).contains("over its capacity"));
}

/// Runs a schedule in which two or more planners claim the same places: bursts of wide jobs whose
/// tasks take whole upstreams, at the time of the faults.
fn play_claims(seed: u64, without: Without) -> World {
    let mut world = World::new(seed, 3, 4, without);
    let mut rng = fastrand::Rng::with_seed(seed ^ 0xC1A1);
    // Runners hear of the jobs in different orders.
    world.hop_jitter = [0, 3_000][rng.usize(0..2)];
    for burst in 0..rng.u64(10..40) {
        let at = rng.u64(0..FAULTS);
        for job in 0..rng.u64(2..5) {
            let mut wide = test_job(10_000 + burst * 10 + job, rng.u32(2..5), 60);
            wide.demand.cpu = [1_600, 4_000, 8_000][rng.usize(0..3)];
            world.add_job(at + rng.u64(0..3_000), wide);
        }
    }
    play_in(world, seed, without)
}

#[test]
fn no_schedule_with_claims_violates_a_guarantee() {
    let mut claims = (0, 0);
    let found = schedules().find_map(|seed| {
        let world = play_claims(seed, Without::Nothing);
        claims = (claims.0 + world.claims.0, claims.1 + world.claims.1);
        world.violations.first().map(|v| (seed, v.clone()))
    });
    assert_eq!(found, None);
    assert!(
        claims.0 > 0 && claims.1 > 0,
        "{claims:?} claims and confirmations"
    );
}

/// Runs one schedule with claims, as `one_schedule` does.
#[test]
fn one_schedule_with_claims() {
    let world = play_claims(given_seed(), Without::Nothing);
    assert_eq!(world.violations, Vec::<String>::new());
}

#[test]
fn without_the_wait_for_confirmations_a_guarantee_is_violated() {
    let found = first_violation(1..=400, |seed| play_claims(seed, Without::Confirmation));
    assert!(found.is_some());
}
