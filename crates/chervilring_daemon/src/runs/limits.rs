//! What a process may hold of what others send, by the limits of its host.
//!
//! A quarter of the memory goes to the buffers of callers, a quarter to their jobs, and a sixteenth to the
//! buffers of each other port. The rest is left to links, the configuration and what the process itself needs.

use crate::net::PortLimits;

/// How many descriptors a host keeps for files.
const FILE_DESCRIPTORS: usize = 200;

/// How many connections a port takes that only the host itself or the balancer calls.
const INTERNAL_CONNS: usize = 32;

/// The memory that a connection may take in the system and in tables, in bytes.
const CONN_MEMORY: usize = 16 << 10;

/// The limits of a host for one process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HostLimits {
    /// The memory, in bytes.
    pub memory: usize,
    /// The number of descriptors, those of files included.
    pub descriptors: usize,
}

impl Default for HostLimits {
    fn default() -> Self {
        Self {
            memory: 128 << 20,
            descriptors: 4_096,
        }
    }
}

impl HostLimits {
    /// Returns the limits of a port for callers, with bodies of up to `body` bytes.
    pub(super) fn callers(self, body: usize) -> PortLimits {
        let buffers = self.memory / 4;
        PortLimits {
            body,
            conns: (self.sockets() / 2).min(buffers / CONN_MEMORY),
            buffers,
        }
    }

    /// Returns the limits of another port, with bodies of up to `body` bytes.
    pub(super) fn internal(self, body: usize) -> PortLimits {
        PortLimits {
            body,
            conns: INTERNAL_CONNS,
            buffers: self.memory / 16,
        }
    }

    /// Returns how much the jobs of a planner may take, in bytes.
    pub(super) fn jobs(self) -> usize {
        self.memory / 4
    }

    /// Returns how many links a planner takes.
    pub(super) fn links(self) -> usize {
        self.sockets() / 4
    }

    fn sockets(self) -> usize {
        self.descriptors.saturating_sub(FILE_DESCRIPTORS)
    }
}
