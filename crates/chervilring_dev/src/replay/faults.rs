//! Faults of a trace, put into effect.

use super::trace::Change;
use super::upstream::Mood;
use super::world::{Event, World};

impl World<'_> {
    /// Puts a fault of the trace into effect.
    pub(crate) fn fault(&mut self, index: usize) {
        match self.trace.faults[index].change {
            Change::Slow { worker, factor } => self.hosts[worker].factor = factor,
            Change::Fail { worker } => self.hosts[worker].mood = Mood::Failing,
            Change::Mute { worker } => self.hosts[worker].mood = Mood::Mute,
            Change::Heal { worker } => {
                self.hosts[worker].mood = Mood::Well;
                self.hosts[worker].factor = 1.0;
            }
            Change::Lose { worker } => self.hosts[worker].agent = None,
            Change::Return { worker } => self.at(self.now, Event::Boot(worker)),
            Change::Restart { worker, away } => {
                let now = self.now;
                let host = &mut self.hosts[worker];
                host.away = Some(away);
                host.left = Some(now);
                if let Some(agent) = &mut host.agent {
                    agent.begin_stop(now);
                }
                self.run_host(worker);
            }
            // Dispatch asks nothing of the store; replay against processes does.
            Change::Store { .. } => {}
        }
    }
}
