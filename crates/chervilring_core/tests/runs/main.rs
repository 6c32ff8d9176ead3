//! Jobs of tasks under leases: planners, runners and upstreams in virtual time.

mod beliefs;
mod copies;
mod dial;
mod down;
mod focused;
mod order;
mod placing;
mod restarts;
mod schedules;
mod unfit;
mod units;
mod upstream;
mod world;
