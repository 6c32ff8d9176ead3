//! Tests of jobs and runs under leases, with planners, runners and upstreams in virtual time.

mod claims;
mod crashes;
mod dial;
mod down;
mod evacuation;
mod explain;
mod focused;
mod job_memory;
mod link_events;
mod order;
mod placing;
mod remote;
mod replaced;
mod replicas;
mod restarts;
mod retry_after;
mod run_times;
mod scarcity;
mod schedules;
mod slowdown;
mod unfit;
mod unheard;
mod units;
mod upstream;
mod work_order;
mod world;
