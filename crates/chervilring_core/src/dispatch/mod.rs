//! Queues and the choice of an upstream for each task.
