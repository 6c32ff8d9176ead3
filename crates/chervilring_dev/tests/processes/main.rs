//! Our programs as separate processes, with the failures that they must stand.

mod common;
mod configuration;
mod declared;
mod ids;
mod kill;
mod stop;
mod upstreams;
