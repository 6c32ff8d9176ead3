//! Counters, gauges and histograms, in the Prometheus exposition format.

use std::fmt;
use std::sync::Arc;

use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};

/// The prefix of the name of every metric.
const NAMESPACE: &str = "chervilring";

/// Upper bounds of the buckets of duration histograms, in seconds.
const DURATION_BOUNDS: [f64; 15] = [
    0.000_1, 0.000_25, 0.000_5, 0.001, 0.002_5, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5,
    10.0,
];

/// The metrics of one process. Clones share them.
#[derive(Clone)]
pub struct Metrics {
    registry: Registry,
    provider: Arc<SdkMeterProvider>,
    meter: Meter,
}

impl Metrics {
    /// Creates the metrics of a process without any instrument.
    ///
    /// # Errors
    ///
    /// Returns an error when the exporter cannot be registered.
    pub fn new() -> eyre::Result<Self> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .with_namespace(NAMESPACE)
            .without_target_info()
            .scope_info_enabled(false)
            .build()?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter(NAMESPACE);
        Ok(Self {
            registry,
            provider: Arc::new(provider),
            meter,
        })
    }

    /// Creates a counter that is added to where things happen. Its exposed name ends in `_total`.
    pub fn counter(&self, name: &'static str, help: &'static str) -> Counter<u64> {
        let counter = self.meter.u64_counter(name).with_description(help).build();
        counter.add(0, &[]);
        counter
    }

    /// Creates a counter that follows a total kept elsewhere.
    pub fn total(&self, name: &'static str, help: &'static str) -> Total {
        Total {
            counter: self.counter(name, help),
            last: 0,
        }
    }

    /// Creates a gauge.
    pub fn gauge(&self, name: &'static str, help: &'static str) -> Gauge<u64> {
        self.meter.u64_gauge(name).with_description(help).build()
    }

    /// Creates a histogram of durations in seconds. Its exposed name ends in `_seconds`.
    pub fn durations(&self, name: &'static str, help: &'static str) -> Histogram<f64> {
        self.meter
            .f64_histogram(name)
            .with_unit("s")
            .with_description(help)
            .with_boundaries(DURATION_BOUNDS.to_vec())
            .build()
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn text(&self) -> String {
        let families = self.registry.gather();
        TextEncoder::new()
            .encode_to_string(&families)
            .unwrap_or_else(|error| format!("# the metrics cannot be encoded: {error}\n"))
    }
}

impl fmt::Debug for Metrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Metrics")
            .field("provider", &self.provider)
            .finish_non_exhaustive()
    }
}

/// A counter that follows a total kept elsewhere, such as in the counters of the core.
#[derive(Debug)]
pub struct Total {
    counter: Counter<u64>,
    last: u64,
}

impl Total {
    /// Brings the counter up to `total`. A total that fell, because its owner was made anew, is
    /// counted from there on.
    pub fn set(&mut self, total: u64) {
        if total > self.last {
            self.counter.add(total - self.last, &[]);
        }
        self.last = total;
    }
}
