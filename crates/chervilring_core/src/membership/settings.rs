//! Settings of the membership.

use chervilring_wire::{Member, Micros};

use super::constants;
use super::rules::Rules;

/// The settings of a [`super::Membership`].
#[derive(Debug, Clone)]
pub struct MemberSettings {
    /// The member as which the entry joins the ring.
    pub member: Member,
    /// How long the store keeps a lease that is not renewed.
    pub lease: Micros,
    /// How long one acknowledgement lets an entry start work. Shorter than the lease.
    pub authority: Micros,
    /// Time between heartbeats.
    pub heartbeat: Micros,
    /// The largest difference between any two wall clocks.
    pub skew: Micros,
    /// How long an id is remembered after its timestamp.
    pub window: Micros,
    /// The number of ids without a timestamp that are remembered.
    pub untimestamped: usize,
    pub(crate) rules: Rules,
}

/// Builds [`MemberSettings`].
#[derive(Debug)]
pub struct MemberSettingsBuilder(MemberSettings);

impl MemberSettings {
    /// Returns a builder with the default settings for an entry.
    pub fn builder(member: Member) -> MemberSettingsBuilder {
        MemberSettingsBuilder(Self {
            member,
            lease: constants::LEASE_DURATION,
            authority: constants::AUTHORITY_DURATION,
            heartbeat: constants::HEARTBEAT_INTERVAL,
            skew: constants::MAX_CLOCK_SKEW,
            window: constants::ID_WINDOW,
            untimestamped: constants::UNTIMESTAMPED_ID_LIMIT,
            rules: Rules::default(),
        })
    }
}

impl MemberSettingsBuilder {
    /// Sets how long the store keeps a lease that is not renewed.
    pub fn lease(mut self, duration: Micros) -> Self {
        self.0.lease = duration;
        self
    }

    /// Sets how long one acknowledgement lets the entry start work.
    pub fn authority(mut self, duration: Micros) -> Self {
        self.0.authority = duration;
        self
    }

    /// Sets the time between heartbeats.
    pub fn heartbeat(mut self, duration: Micros) -> Self {
        self.0.heartbeat = duration;
        self
    }

    /// Sets the largest difference between any two wall clocks.
    pub fn skew(mut self, duration: Micros) -> Self {
        self.0.skew = duration;
        self
    }

    /// Sets how long an id is remembered after its timestamp.
    pub fn window(mut self, duration: Micros) -> Self {
        self.0.window = duration;
        self
    }

    /// Sets how many ids without a timestamp are remembered.
    pub fn untimestamped(mut self, count: usize) -> Self {
        self.0.untimestamped = count;
        self
    }

    /// Sets which rules are in force. Only tests of the rules disable any.
    #[doc(hidden)]
    pub fn rules(mut self, rules: Rules) -> Self {
        self.0.rules = rules;
        self
    }

    /// Returns the settings.
    pub fn build(self) -> MemberSettings {
        self.0
    }
}
