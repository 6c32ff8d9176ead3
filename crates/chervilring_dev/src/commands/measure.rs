//! The command that measures what the configuration costs.

use argh::FromArgs;
use chervilring_dev::measure::{calls, config_cost};

/// Sizes that are measured.
const SERVICES: [usize; 3] = [10, 100, 1_000];
const TEAMS: [usize; 3] = [10, 100, 750];

/// Entries, renewals of each and notes for which calls are counted.
const ENTRIES: [usize; 3] = [1, 3, 9];
const RENEWALS: u64 = 20;
const NOTES: u64 = 50;

/// measures the configuration: its size, the time it takes, and calls of the store
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "measure-config")]
pub(crate) struct MeasureArgs {}

/// Runs the measurement and prints it as tables.
pub(crate) fn run() -> eyre::Result<()> {
    println!("services teams document_bytes record_bytes parse_us apply_us write_us read_us");
    for services in SERVICES {
        for teams in TEAMS {
            let cost = config_cost(services, teams);
            let (document, record) = (cost.document, cost.record);
            let times = [cost.parse, cost.apply, cost.write, cost.read];
            let [parse, apply, write, read] = times.map(|span| span.as_micros());
            println!("{services} {teams} {document} {record} {parse} {apply} {write} {read}");
        }
    }
    println!("\nentries calls_per_renewal calls_per_note reads writes slowest_ms");
    for entries in ENTRIES {
        let found = calls(entries, RENEWALS, NOTES)?;
        let renewed = RENEWALS * entries as u64;
        let per_renewal = found.rest.total() as f64 / renewed as f64;
        let per_note = found.changes.total() as f64 / NOTES as f64;
        let (reads, writes) = (found.changes.txn_read, found.changes.txn_write);
        let slowest = found.slowest.as_secs_f64() * 1e3;
        println!("{entries} {per_renewal} {per_note} {reads} {writes} {slowest:.1}");
    }
    Ok(())
}
