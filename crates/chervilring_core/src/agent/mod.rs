//! The agent beside an upstream: its slots, and the last word on whether a task starts.
