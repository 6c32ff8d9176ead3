//! The order of work where there is not room for all of it.

use chervilring_core::runs::WorkOrder;
use chervilring_wire::{Micros, Time, Urgency};
use quickcheck::quickcheck;

const MS: fn(u64) -> Micros = Micros::from_millis;

/// When the work of each test arrives.
const NOW: Time = Time(100_000_000);

/// By how much a step of priority may put work behind, and the least that says so.
const STEP: Micros = Micros::from_millis(150);

fn urgency(priority: u32, slack: Micros) -> Urgency {
    Urgency {
        priority,
        slack,
        work: Micros(0),
        started: false,
        timely: true,
    }
}

fn order(urgency: &Urgency) -> WorkOrder {
    WorkOrder::new(NOW, urgency)
}

quickcheck! {
    fn less_slack_goes_first(slack: u32, priority: u8, started: bool) -> bool {
        let less = Urgency { started, ..urgency(u32::from(priority), Micros(u64::from(slack))) };
        let more = Urgency { slack: less.slack + Micros(1), ..less };
        order(&less) < order(&more)
    }

    fn a_more_urgent_priority_goes_first(slack: u32, priority: u8) -> bool {
        let priority = u32::from(priority);
        let slack = Micros(u64::from(slack));
        order(&urgency(priority, slack)) < order(&urgency(priority + 1, slack))
    }

    fn less_work_goes_first(slack: u32, work: u32) -> bool {
        let light = urgency(1, Micros(u64::from(slack)));
        let heavy = Urgency { work: Micros(u64::from(work) + 1), ..light };
        order(&light) < order(&heavy)
    }

    fn tasks_of_started_jobs_go_before_new_work(slack: u32, priority: u8) -> bool {
        let new = urgency(u32::from(priority) + 1, Micros(u64::from(slack)));
        let started = Urgency { started: true, ..new };
        order(&started) < order(&new)
    }

    fn late_work_goes_last(late: u16, timely: u32) -> bool {
        let first = Urgency { timely: false, ..urgency(0, Micros(u64::from(late))) };
        order(&urgency(9, Micros(u64::from(timely)))) < order(&first)
    }

    /// Work is put behind by nothing that arrives after its slack, its handicap and its work are over.
    fn nothing_waits_without_end(slack: u16, work: u16, priority: u8, later: u32, other: u16) -> bool {
        let cheapest = Urgency { work: Micros(u64::from(work)), ..urgency(u32::from(priority), MS(u64::from(slack))) };
        let bound = MS(u64::from(slack)) + Micros(STEP.0 * u64::from(priority)) + cheapest.work;
        let arrival = NOW + bound + Micros(u64::from(later) + 1);
        let newer = WorkOrder::new(arrival, &urgency(0, MS(u64::from(other))));
        order(&cheapest) < newer
    }
}
