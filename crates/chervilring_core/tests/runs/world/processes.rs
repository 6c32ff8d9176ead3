//! Planners and runners of the model: their starts, deaths, freezes and wakings.

use chervilring_core::runs::planner::PlannerSettings;
use chervilring_core::runs::{PAUSE_LIMIT, Planner, Runner};
use chervilring_wire::{Micros, Time};

use super::links::Packet;
use super::{Happening, TICK, Without, World};

pub(super) struct Process<T> {
    pub(super) core: Option<T>,
    pub(super) life: u64,
    pub(super) frozen: Time,
    pub(super) looked: Time,
    /// How long it was suspended so far: its steady clock did not count that.
    pub(super) skew: u64,
}

impl World {
    pub(super) fn start_planner(&mut self, p: usize) {
        let seed = self.rng.u64(..);
        let settings = PlannerSettings {
            seed,
            ..PlannerSettings::default()
        };
        let row = &mut self.planners[p];
        if row.core.is_some() {
            return;
        }
        row.life += 1;
        row.frozen = Time::default();
        row.looked = self.now;
        row.skew = 0;
        row.core = Some(Planner::new(settings, self.now));
        self.planners_back = self.now;
        if row.life == 1 {
            self.at(TICK + p as u64, Happening::TickPlanner(p));
        }
    }

    pub(super) fn start_runner(&mut self, r: usize) {
        let now = self.now;
        let row = &mut self.runners[r];
        if row.core.is_some() {
            return;
        }
        row.life += 1;
        row.frozen = Time::default();
        row.looked = now;
        row.skew = 0;
        // The wall clock may have jumped back between two lives.
        let fence = 50_000 + row.life * 10 - row.life % 3 * 15;
        let name = format!("r{r}");
        row.core = Some(Runner::new(
            name.as_str().into(),
            "d".into(),
            Micros::from_secs(1),
            fence,
            now,
        ));
        if row.life == 1 {
            self.at(TICK + r as u64, Happening::TickRunner(r));
        }
        if let Some(record) = self.kept.get(&r).cloned() {
            self.wake_runner(r, |core, now| core.restore(now, record, true));
        }
    }

    pub(super) fn kill_planner(&mut self, p: usize) {
        if self.planners[p].core.take().is_none() {
            return;
        }
        self.planners[p].frozen = Time::default();
        self.end_links(|l| l.planner == p, &Packet::EndAtRunner);
        let broken: Vec<usize> = self
            .callers
            .iter()
            .filter(|((planner, _), _)| *planner == p)
            .map(|(_, &job)| job)
            .collect();
        self.callers.retain(|(planner, _), _| *planner != p);
        for job in broken {
            self.jobs[job].open = None;
            self.resend(job);
        }
        let span = self.rng.u64(200_000..1_500_000);
        self.at(span, Happening::StartPlanner(p));
    }

    pub(super) fn kill_runner(&mut self, r: usize) {
        if self.runners[r].core.take().is_none() {
            return;
        }
        self.runners[r].frozen = Time::default();
        self.end_links(|l| l.runner == r, &Packet::EndAtPlanner);
        let span = self.rng.u64(100_000..1_500_000);
        self.at(span, Happening::StartRunner(r));
    }

    pub(super) fn wake_planner(&mut self, p: usize, act: impl FnOnce(&mut Planner, Time)) {
        let watch = self.without != Without::PauseWatch;
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
        let watch = self.without != Without::PauseWatch;
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
        life: 0,
        frozen: Time::default(),
        looked: Time::default(),
        skew: 0,
    }
}

/// Returns what a process decides with, its own time and how long it has not looked; none while it
/// does not run.
pub(super) fn wake<T>(process: &mut Process<T>, now: Time) -> Option<(&mut T, Time, Micros)> {
    if now < process.frozen {
        return None;
    }
    let core = process.core.as_mut()?;
    let gap = process.looked.duration_until(now);
    process.looked = now;
    Some((core, Time(now.0 - process.skew), gap))
}

/// Has a process stand still. Every other time its host is suspended: the steady clock stands
/// still as well.
pub(super) fn freeze<T>(process: &mut Process<T>, now: Time, span: u64) {
    let from = process.frozen.max(now);
    let end = Time(now.0 + span);
    let more = from.duration_until(end).0;
    process.frozen = from.max(end);
    if span.is_multiple_of(2) {
        process.skew += more;
    }
}
