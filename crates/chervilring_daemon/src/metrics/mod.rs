//! Counters and gauges, in the Prometheus exposition format.
