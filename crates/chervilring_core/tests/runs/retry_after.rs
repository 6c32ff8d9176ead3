//! When callers of refused jobs are to come back.

use chervilring_core::runs::Planner;
use chervilring_core::runs::planner::{
    Caller, Drain, NewJob, PlannerSettings, PlannerStep, Step, retry_after,
};
use chervilring_wire::{JobId, Micros, Resources, Time};
use quickcheck::quickcheck;

use super::world::route;

const MS: fn(u64) -> Micros = Micros::from_millis;

quickcheck! {
    fn retry_after_is_a_whole_second_and_never_less_than_the_least(ahead: u32, returning: u32, random: u8) -> bool {
        let drain = Drain { ahead: Micros(u64::from(ahead)), returning: Micros(u64::from(returning)) };
        let delay = retry_after(Micros::from_secs(1), &drain, f64::from(random) / 256.0);
        delay.0.is_multiple_of(1_000_000) && delay >= Micros::from_secs(1)
    }
}

/// Returns the mean of the delays that 256 callers are told, in milliseconds, and how many differ.
fn delays(ahead: Micros, returning: Micros) -> (u64, usize) {
    let drain = Drain { ahead, returning };
    let delay =
        |n: u32| retry_after(Micros::from_secs(1), &drain, f64::from(n) / 256.0).as_millis();
    let mut all: Vec<u64> = (0..256).map(delay).collect();
    let mean = all.iter().sum::<u64>() / 256;
    all.sort_unstable();
    all.dedup();
    (mean, all.len())
}

#[test]
fn retry_after_grows_with_what_is_ahead_and_is_spread_over_callers() {
    let idle = delays(Micros(0), Micros(0));
    assert_eq!(idle, (1_000, 1));
    let burst = delays(MS(100), MS(900));
    let long = delays(MS(3_000), MS(2_000));
    assert!((1_400..=1_600).contains(&burst.0), "{burst:?}");
    assert!((5_200..=5_800).contains(&long.0), "{long:?}");
    assert!(burst.1 >= 2 && long.1 >= 5, "{burst:?} {long:?}");
}

#[test]
fn long_delays_are_spread_as_well() {
    let (mean, different) = delays(MS(120_000), MS(60_000));
    assert!(mean <= 30_000, "{mean}");
    assert!(different >= 10, "{different}");
}

/// Callers that come before the first upstream is known wait for no work.
#[test]
fn without_upstreams_callers_return_after_the_least_delay() {
    let now = Time(1_000_000);
    let mut planner = Planner::new(PlannerSettings::default(), now);
    for id in 1..=20 {
        let job = NewJob {
            id: JobId(id),
            route: route(),
            config_version: 1,
            spec: "x".into(),
            request: "".into(),
            steps: vec![Step {
                count: 8,
                demand: Resources {
                    cpu: 7_000,
                    memory: 0,
                    gpu: 0,
                },
                declared_runtime: MS(500),
                ..Step::default()
            }],
            deadline: now + Micros::from_secs(3),
        };
        planner.submit(now, Caller(id), job);
    }
    planner.tick(now + Micros::from_secs(2));
    let steps = planner.drain();
    let delays: Vec<Micros> = steps
        .iter()
        .filter_map(|step| match step {
            PlannerStep::Answer { retry_after, .. } => Some(*retry_after),
            _ => None,
        })
        .collect();
    assert_eq!(delays, vec![Micros::from_secs(1); 20]);
}
