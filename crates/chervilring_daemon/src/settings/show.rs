//! Writing settings, for `--check`.

use std::fmt;

use chervilring_wire::Micros;

use super::source::variable_name;

/// Writes a setting as an assignment of its environment variable.
pub(super) fn show(
    f: &mut fmt::Formatter<'_>,
    setting: &str,
    value: &dyn fmt::Display,
) -> fmt::Result {
    writeln!(f, "{}={value}", variable_name(setting))
}

/// Returns a span with its unit.
pub(super) fn span(span: Micros) -> String {
    format!("{}ms", span.as_millis())
}
