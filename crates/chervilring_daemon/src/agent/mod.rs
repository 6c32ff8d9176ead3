//! The agent daemon.
