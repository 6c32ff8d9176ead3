//! Planner and runner processes of the model: starts, crashes, pauses and wake-ups.

use chervilring_core::runs::planner::PlannerSettings;
use chervilring_core::runs::{PAUSE_LIMIT, Planner, Runner};
use chervilring_wire::{Micros, Time};

use super::links::Packet;
use super::{Event, TICK, Without, World};
use crate::upstream::domain_of;

pub(super) struct Process<T> {
    pub(super) core: Option<T>,
    pub(super) incarnation: u64,
    pub(super) paused_until: Time,
    pub(super) last_wake: Time,
    /// How long the process was suspended in total, in microseconds; its monotonic clock did not
    /// count that.
    pub(super) suspended: u64,
    /// When the process was last started, or the end of its last pause.
    pub(super) undisturbed: Time,
    /// When the process next reads the evacuations in the store.
    pub(super) next_read: Time,
}

impl World {
    pub(super) fn start_planner(&mut self, p: usize) {
        let seed = self.rng.u64(..);
        let settings = PlannerSettings {
            seed,
            claims: self.without != Without::Claims,
            ..PlannerSettings::default()
        };
        let row = &mut self.planners[p];
        if row.core.is_some() {
            return;
        }
        row.incarnation += 1;
        row.paused_until = Time::default();
        row.last_wake = self.now;
        row.suspended = 0;
        row.undisturbed = self.now;
        row.next_read = self.now;
        row.core = Some(Planner::new(settings, self.now));
        self.planners_back = self.now;
        if row.incarnation == 1 {
            self.at(TICK + p as u64, Event::TickPlanner(p));
        }
    }

    pub(super) fn start_runner(&mut self, r: usize) {
        let now = self.now;
        let row = &mut self.runners[r];
        if row.core.is_some() {
            return;
        }
        row.incarnation += 1;
        row.paused_until = Time::default();
        row.last_wake = now;
        row.suspended = 0;
        row.undisturbed = now;
        row.next_read = now;
        // The wall clock may have jumped back between two incarnations.
        let fencing_token = 50_000 + row.incarnation * 10 - row.incarnation % 3 * 15;
        let name = format!("r{r}");
        row.core = Some(Runner::new(
            name.as_str().into(),
            domain_of(r),
            Micros::from_secs(1),
            fencing_token,
            now,
        ));
        if row.incarnation == 1 {
            self.at(TICK + r as u64, Event::TickRunner(r));
        }
        if let Some(record) = self.records.get(&r).cloned() {
            self.wake_runner(r, |core, now| core.restore(now, record, true));
        }
    }

    pub(super) fn kill_planner(&mut self, p: usize) {
        if self.planners[p].core.take().is_none() {
            return;
        }
        self.planners[p].paused_until = Time::default();
        self.end_links(|l| l.planner == p, &Packet::EndAtRunner);
        let broken: Vec<usize> = self
            .callers
            .iter()
            .filter(|((planner, _), _)| *planner == p)
            .map(|(_, &job)| job)
            .collect();
        self.callers.retain(|(planner, _), _| *planner != p);
        for job in broken {
            self.jobs[job].pending = None;
            self.resubmit(job);
        }
        let duration = self.rng.u64(200_000..1_500_000);
        self.at(duration, Event::StartPlanner(p));
    }

    pub(super) fn kill_runner(&mut self, r: usize) {
        if self.runners[r].core.take().is_none() {
            return;
        }
        self.runners[r].paused_until = Time::default();
        self.end_links(|l| l.runner == r, &Packet::EndAtPlanner);
        let duration = self.rng.u64(100_000..1_500_000);
        self.at(duration, Event::StartRunner(r));
    }

    pub(super) fn wake_planner(&mut self, p: usize, act: impl FnOnce(&mut Planner, Time)) {
        let watch = self.without != Without::PauseDetection;
        let Some((core, local, gap)) = wake(&mut self.planners[p], self.now) else {
            return;
        };
        if gap > PAUSE_LIMIT && watch {
            core.paused(local, gap);
        }
        act(core, local);
        core.tick(local);
        let steps = core.drain();
        for step in steps {
            self.planner_step(p, step);
        }
    }

    pub(super) fn wake_runner(&mut self, r: usize, act: impl FnOnce(&mut Runner, Time)) {
        let watch = self.without != Without::PauseDetection;
        let Some((core, local, gap)) = wake(&mut self.runners[r], self.now) else {
            return;
        };
        if gap > PAUSE_LIMIT && watch {
            core.paused(local, gap);
        }
        act(core, local);
        core.tick(local);
        let steps = core.drain();
        for step in steps {
            self.runner_step(r, step);
        }
    }
}

pub(super) fn process<T>() -> Process<T> {
    Process {
        core: None,
        incarnation: 0,
        paused_until: Time::default(),
        last_wake: Time::default(),
        suspended: 0,
        undisturbed: Time::default(),
        next_read: Time::default(),
    }
}

/// Returns a process's state machine, its local time and the time since its last wake-up; none
/// while it does not run.
pub(super) fn wake<T>(process: &mut Process<T>, now: Time) -> Option<(&mut T, Time, Micros)> {
    if now < process.paused_until {
        return None;
    }
    let core = process.core.as_mut()?;
    let gap = process.last_wake.duration_until(now);
    process.last_wake = now;
    Some((core, Time(now.0 - process.suspended), gap))
}

/// Pauses a process. Every other time its host is suspended, and its monotonic clock stops as well.
pub(super) fn pause<T>(process: &mut Process<T>, now: Time, duration: u64) {
    let from = process.paused_until.max(now);
    let end = Time(now.0 + duration);
    let more = from.duration_until(end).0;
    process.paused_until = from.max(end);
    process.undisturbed = process.paused_until;
    if duration.is_multiple_of(2) {
        process.suspended += more;
    }
}
