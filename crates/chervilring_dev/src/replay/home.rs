//! Entries: the real dispatcher, without callers, peers and store around it.

use std::sync::Arc;

use chervilring_core::config::{Config, Limits, Quota, Rules, Selector, Service};
use chervilring_core::dispatch::{DispatchSettings, Dispatcher, Policy};
use chervilring_wire::{
    DomainName, EntryId, Incarnation, Member, Micros, Ring, RingVersion, TaskKey, Time,
};
use rustc_hash::FxHashMap;

use super::trace::Head;

/// An entry.
#[derive(Debug)]
pub(crate) struct Home {
    pub(crate) id: EntryId,
    pub(crate) domain: DomainName,
    pub(crate) dispatcher: Dispatcher,
    /// When its next wake-up is due.
    pub(crate) wake: Time,
    /// Answers to be confirmed, by host and life.
    pub(crate) received: FxHashMap<(usize, u64), Vec<TaskKey>>,
}

/// Creates one entry in each failure domain.
pub(crate) fn homes(head: &Head, policy: Policy, seed: u64) -> Vec<Home> {
    let config = Arc::new(config(head));
    let domains = head.deployment.domains.iter().enumerate();
    let homes = domains.map(|(i, domain)| {
        let settings = DispatchSettings::new(domain.clone())
            .seed(seed + i as u64)
            .policy(policy);
        let mut dispatcher = Dispatcher::new(settings);
        dispatcher.configure(Time::default(), &config);
        Home {
            id: EntryId {
                name: format!("entry-{}", i + 1).into(),
                incarnation: Incarnation(1),
            },
            domain: domain.clone(),
            dispatcher,
            wake: Time::NEVER,
            received: FxHashMap::default(),
        }
    });
    homes.collect()
}

/// Returns the ring of these entries.
pub(crate) fn ring(homes: &[Home]) -> Ring {
    let members = homes.iter().enumerate().map(|(i, home)| Member {
        entry: home.id.clone(),
        domain: home.domain.clone(),
        addr: ([127, 0, 0, 1], 1 + i as u16).into(),
        draining: false,
    });
    Ring {
        version: RingVersion(1),
        retired: RingVersion(1),
        past: Vec::new(),
        members: members.collect(),
    }
}

/// Returns the configuration that a trace is played under.
pub(crate) fn config(head: &Head) -> Config {
    let mut rules = Rules::new(true, Micros::from_secs(15));
    rules.hedge_percent = 5;
    let quotas = head.quotas.iter().map(|(team, rate)| {
        let quota = Quota {
            rate: *rate,
            burst: *rate,
        };
        (team.clone(), quota)
    });
    let service = Service {
        name: (&*head.deployment.service).into(),
        selector: Selector::default(),
        limits: Limits::default(),
        rules,
        quotas: quotas.collect(),
    };
    let mut config = Config::empty();
    let name = service.name.clone();
    config.services.insert(name, Arc::new(service));
    config
}
