//! What an entry is told about itself and about time.

use chervilring_wire::{Member, Micros};

use super::constants;
use super::rules::Rules;

/// The settings of a [`super::Membership`].
#[derive(Debug, Clone)]
pub struct MemberSettings {
    /// The entry itself, as it joins the ring.
    pub member: Member,
    /// How long the store keeps a lease that is not renewed.
    pub lease: Micros,
    /// How long one confirmation lets an entry start work; shorter than the lease.
    pub authority: Micros,
    /// Time between heartbeats.
    pub heartbeat: Micros,
    /// By how much any two wall clocks may differ.
    pub skew: Micros,
    /// How long an id is remembered after its stamp.
    pub window: Micros,
    /// Ids without a stamp that are remembered.
    pub unstamped: usize,
    pub(crate) rules: Rules,
}

/// Builds [`MemberSettings`].
#[derive(Debug)]
pub struct MemberSettingsBuilder(MemberSettings);

impl MemberSettings {
    /// Starts from the usual settings for an entry.
    pub fn builder(member: Member) -> MemberSettingsBuilder {
        MemberSettingsBuilder(Self {
            member,
            lease: constants::LEASE,
            authority: constants::AUTHORITY,
            heartbeat: constants::HEARTBEAT,
            skew: constants::SKEW,
            window: constants::WINDOW,
            unstamped: constants::UNSTAMPED_LIMIT,
            rules: Rules::default(),
        })
    }
}

impl MemberSettingsBuilder {
    /// Sets how long the store keeps a lease that is not renewed.
    pub fn lease(mut self, span: Micros) -> Self {
        self.0.lease = span;
        self
    }

    /// Sets how long one confirmation lets the entry start work.
    pub fn authority(mut self, span: Micros) -> Self {
        self.0.authority = span;
        self
    }

    /// Sets the time between heartbeats.
    pub fn heartbeat(mut self, span: Micros) -> Self {
        self.0.heartbeat = span;
        self
    }

    /// Sets by how much any two wall clocks may differ.
    pub fn skew(mut self, span: Micros) -> Self {
        self.0.skew = span;
        self
    }

    /// Sets how long an id is remembered after its stamp.
    pub fn window(mut self, span: Micros) -> Self {
        self.0.window = span;
        self
    }

    /// Sets how many ids without a stamp are remembered.
    pub fn unstamped(mut self, count: usize) -> Self {
        self.0.unstamped = count;
        self
    }

    /// Sets which rules are kept; only tests of the rules themselves leave any out.
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
