//! Explanations of where a job would go.

use chervilring_core::runs::Planner;
use chervilring_core::runs::planner::{
    Caller, ChoiceReason, JobAnswer, LinkNo, NewJob, Obstacle, Outcome, PlannerEvent,
    PlannerSettings, PlannerStep, Refusal, Step,
};
use chervilring_wire::{
    Evacuations, JobId, Micros, Resources, RunnerLevel, RunnerMessage, Time, UpstreamState,
};

use super::world::route;

const NOW: Time = Time(1_000_000);

fn cpu(cpu: u64) -> Resources {
    Resources {
        cpu,
        memory: 0,
        gpu: 0,
    }
}

/// Returns a planner with an upstream of eight cores for each number of free thousandths of a core.
fn planner(free: &[u64]) -> Planner {
    planner_with_links(1, free)
}

/// Returns such a planner whose links have this sequence number.
fn planner_with_links(link_seq: u64, free: &[u64]) -> Planner {
    let mut planner = Planner::new(PlannerSettings::default(), NOW);
    for (place, &free) in free.iter().enumerate() {
        let link = LinkNo(place as u64);
        let hello = RunnerMessage::Hello {
            name: format!("u{place}").as_str().into(),
            domain: format!("d{place}").as_str().into(),
            incarnation: 1,
            link_seq,
            replica_version: 0,
        };
        planner.message(NOW, link, hello);
        let state = UpstreamState {
            start_seq: 0,
            accepting: true,
            service: "work".into(),
            capacity: cpu(8_000),
            free: cpu(free),
            queued: Vec::new(),
            run_time: Micros::from_millis(400),
            speed: 1_000,
            labels: Vec::new(),
        };
        planner.message(NOW, link, RunnerMessage::State(state));
    }
    planner.drain();
    planner
}

/// Returns a job of tasks that take 80 ms each.
fn job(id: u64, count: u32, demand: u64) -> NewJob {
    NewJob {
        id: JobId(id),
        route: route(),
        config_version: 3,
        spec: "x".into(),
        request: "".into(),
        steps: vec![Step {
            count,
            demand: cpu(demand),
            declared_runtime: Micros::from_millis(80),
            ..Step::default()
        }],
        deadline: NOW + Micros::from_secs(2),
    }
}

/// Returns the reason for each upstream, by the name of its runner.
fn reasons(planner: &Planner, job: &NewJob) -> Vec<(String, u32, ChoiceReason)> {
    let explanation = planner.explain(NOW, job);
    let rows = explanation.steps[0].candidates.iter();
    let mut rows: Vec<_> = rows
        .map(|c| (c.runner.to_string(), c.tasks, c.reason))
        .collect();
    rows.sort_by(|a, b| a.0.cmp(&b.0));
    rows
}

#[test]
fn a_job_goes_where_it_was_explained_to_go_and_nothing_changes_before() {
    let mut planner = planner(&[4_000, 3_000, 8_000, 0]);
    for id in 1..6 {
        let before = format!("{planner:?}");
        let explanation = planner.explain(NOW, &job(id, 3, 1_000));
        assert_eq!(format!("{planner:?}"), before);
        assert_eq!(explanation.outcome, Outcome::Placed { waiting: 0 });
        let rows = explanation.steps[0].candidates.iter();
        let chosen = rows.filter(|c| c.tasks > 0);
        let mut chosen: Vec<_> = chosen.map(|c| (c.runner.clone(), c.tasks)).collect();
        planner.submit(NOW, Caller(id), job(id, 3, 1_000));
        let placed = planner.drain().into_iter().find_map(|step| match step {
            PlannerStep::Log(PlannerEvent::Placed { runners, .. }) => Some(runners),
            _ => None,
        });
        let mut placed = placed.expect("the job is placed");
        chosen.sort();
        placed.sort();
        assert_eq!(chosen, placed);
    }
}

#[test]
fn each_upstream_has_its_reason() {
    let mut planner = planner(&[8_000, 0, 8_000]);
    planner.set_evacuations(
        NOW,
        &Evacuations {
            revision: 2,
            domains: ["d2".into()].into(),
        },
    );
    planner.drain();
    assert_eq!(
        reasons(&planner, &job(1, 1, 4_000)),
        [
            ("u0".to_owned(), 1, ChoiceReason::Chosen),
            ("u1".to_owned(), 0, ChoiceReason::Obstacle(Obstacle::Late)),
            ("u2".to_owned(), 0, ChoiceReason::Evacuated),
        ]
    );
}

#[test]
fn a_job_without_room_waits_behind_more_urgent_ones() {
    let mut planner = planner(&[0]);
    for id in 1..3 {
        planner.submit(NOW, Caller(id), job(id, 1, 8_000));
    }
    let explanation = planner.explain(NOW, &job(9, 1, 8_000));
    let retry_after = PlannerSettings::default().retry_after;
    assert_eq!(explanation.outcome, Outcome::Queued { retry_after });
    let order = explanation.order.expect("an order");
    assert_eq!(order.ahead, 2);
    assert_eq!(order.objective, Micros::from_millis(188));
    assert_eq!(order.start_timeout, Micros::from_millis(47));
    let expected = explanation.steps[0].candidates[0].expected;
    assert_eq!(expected.map(|e| e.wait), Some(Micros::from_millis(400)));
}

#[test]
fn a_refusal_is_explained_with_its_time_to_retry() {
    let planner = planner(&[8_000]);
    let explanation = planner.explain(NOW, &job(1, 1, 9_000));
    let answered = Outcome::Answered {
        answer: JobAnswer::Refused(Refusal::Unfit),
        retry_after: PlannerSettings::default().retry_after,
    };
    assert_eq!(explanation.outcome, answered);
    let reasons = reasons(&planner, &job(1, 1, 9_000));
    assert_eq!(reasons, [("u0".to_owned(), 0, ChoiceReason::Unfit)]);
}

#[test]
fn a_job_in_hand_is_told() {
    let mut planner = planner(&[8_000]);
    planner.submit(NOW, Caller(1), job(1, 1, 1_000));
    let explanation = planner.explain(NOW, &job(1, 1, 1_000));
    assert_eq!(explanation.outcome, Outcome::InHand);
}

#[test]
fn claims_at_a_second_upstream_are_not_counted_as_places() {
    let planner = planner_with_links(RunnerLevel::ROOM.mark_link(1), &[4_000, 4_000]);
    let explanation = planner.explain(NOW, &job(1, 8, 1_000));
    assert_eq!(explanation.outcome, Outcome::Placed { waiting: 0 });
    let rows = explanation.steps[0].candidates.iter();
    assert_eq!(rows.map(|c| c.tasks).sum::<u32>(), 8);
}
