//! Moving runs that wait at one upstream to another that has room.
//!
//! The load that this answers: most upstreams are busy, so that a run is sent to the queue of the one
//! that is expected to have room first. Run times are declared roughly; when another upstream has
//! room before, the run is called back and sent there.

use std::collections::BTreeMap;

use chervilring_wire::{Micros, PlannerMessage, Resources, RunKey, Time, UpstreamState};

use super::event::PlannerEvent;
use super::job::{Job, TaskState};
use super::links::LinkNo;
use super::placement::ends;
use super::placing::could_run;
use super::state::{Planner, PlannerStep};
use crate::runs::speed::run_at;

/// How long a run is taken to be on its way before it counts as waiting.
const UNDER_WAY: Micros = Micros::from_millis(8);

/// An upstream with room that nothing asks for.
struct Room<'a> {
    link: LinkNo,
    state: &'a UpstreamState,
    free: Resources,
}

/// A run that is called back.
struct Move {
    from: LinkNo,
    to: LinkNo,
    run: RunKey,
    no: u64,
    task: usize,
}

impl Planner {
    /// Calls back runs that wait while other upstreams have room for them, as many as these have room
    /// for.
    pub(super) fn rebalance(&mut self, now: Time) {
        let mut rooms = self.rooms(now);
        if rooms.is_empty() {
            return;
        }
        let mut moves: Vec<Move> = Vec::new();
        for (&no, job) in self.jobs.iter().filter(|(_, j)| !j.withdrawn) {
            self.choose_moves(now, no, job, &mut rooms, &mut moves);
        }
        let mut called: BTreeMap<LinkNo, Vec<RunKey>> = BTreeMap::new();
        for row in moves {
            let name = |link| self.links.get(&link).map(|u| u.name.clone());
            let (Some(from), Some(to)) = (name(row.from), name(row.to)) else {
                continue;
            };
            let Some(job) = self.jobs.get_mut(&row.no) else {
                continue;
            };
            if let TaskState::Sent { waits, .. } = &mut job.tasks[row.task].state {
                // It is called back once.
                *waits = false;
            }
            let run = row.run;
            let event = PlannerEvent::CalledBack { run, from, to };
            self.steps.push(PlannerStep::Log(event));
            called.entry(row.from).or_default().push(run);
        }
        for (link, runs) in called {
            let message = PlannerMessage::Withdraw(runs);
            self.steps.push(PlannerStep::Send { link, message });
        }
    }

    /// Returns the upstreams that have room.
    fn rooms(&self, now: Time) -> Vec<Room<'_>> {
        let mut rooms = Vec::new();
        for (&link, upstream) in &self.links {
            let Some((state, _)) = upstream.state.as_ref().filter(|(s, _)| s.open) else {
                continue;
            };
            let profile = self.profiles.get(&upstream.name);
            if profile.is_none_or(|p| p.health.limit(now).is_some()) {
                continue;
            }
            let free = state.free.minus(&upstream.ahead(Micros(u64::MAX)));
            if free.cpu > 0 {
                rooms.push(Room { link, state, free });
            }
        }
        rooms
    }

    /// Chooses the tasks of a job that wait and could begin at once elsewhere, in time.
    fn choose_moves(
        &self,
        now: Time,
        no: u64,
        job: &Job,
        rooms: &mut [Room],
        moves: &mut Vec<Move>,
    ) {
        let service = &job.new.route.service;
        for (task, row) in job.tasks.iter().enumerate() {
            let TaskState::Sent {
                link: from,
                at,
                waits: true,
            } = row.state
            else {
                continue;
            };
            if now < at + UNDER_WAY {
                continue;
            }
            let step = job.step(task);
            let fits = |room: &&mut Room| {
                let does = room.state.service == *service && could_run(room.state, step);
                let run = run_at(room.state.speed, step.size);
                let timely = ends(now, Micros::default(), run) <= job.objective;
                room.link != from && does && timely && room.free.holds(&step.demand)
            };
            let Some(room) = rooms.iter_mut().filter(fits).max_by_key(|r| r.free.cpu) else {
                continue;
            };
            room.free = room.free.minus(&step.demand);
            let run = job.run(task);
            let to = room.link;
            moves.push(Move {
                from,
                to,
                run,
                no,
                task,
            });
        }
    }
}
