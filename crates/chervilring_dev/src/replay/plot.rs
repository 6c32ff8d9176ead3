//! A plot of response over the oracle's, one panel a trace.

use std::fmt::Write;

use super::report::Line;

const ROW: usize = 18;
const LEFT: usize = 330;
const WIDTH: usize = 560;

/// The ratio at the right edge; longer bars are cut there.
const RIGHT: f64 = 6.0;

/// Renders replays as bars: the median dark, the 99th percentile light, the oracle's as a line.
pub(crate) fn svg(lines: &[Line]) -> String {
    let height = ROW * (lines.len() + 3);
    let width = LEFT + WIDTH + 120;
    let mut out = String::new();
    let _ = writeln!(
        out,
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{width}\" height=\"{height}\" \
         font-family=\"sans-serif\" font-size=\"12\">"
    );
    let _ = writeln!(
        out,
        "<text x=\"8\" y=\"14\">Response over the oracle's in the last phase: median (dark) and \
         99th percentile (light)</text>"
    );
    let mut y = ROW * 2;
    let one = LEFT as f64 + WIDTH as f64 / RIGHT;
    for line in lines {
        let Some(last) = line.summary.phases.last() else {
            continue;
        };
        let median = last.reached.median / last.oracle.median;
        let tail = last.reached.tail / last.oracle.tail;
        let name = format!("{} · {}", line.summary.trace, line.summary.policy);
        let middle = y + ROW - 5;
        let _ = writeln!(out, "<text x=\"8\" y=\"{middle}\">{name}</text>");
        for (ratio, color, thick) in [(tail, "#9ec5e8", ROW - 4), (median, "#1f4e79", ROW - 10)] {
            let length = ratio.clamp(0.0, RIGHT) / RIGHT * WIDTH as f64;
            let top = y + (ROW - thick) / 2;
            let _ = writeln!(
                out,
                "<rect x=\"{LEFT}\" y=\"{top}\" width=\"{length:.1}\" height=\"{thick}\" fill=\"{color}\"/>"
            );
        }
        let x = LEFT + WIDTH + 6;
        let _ = writeln!(
            out,
            "<text x=\"{x}\" y=\"{middle}\">{median:.2} / {tail:.2}</text>"
        );
        y += ROW;
    }
    let top = ROW * 2;
    let _ = writeln!(
        out,
        "<line x1=\"{one:.1}\" x2=\"{one:.1}\" y1=\"{top}\" y2=\"{y}\" stroke=\"#b03030\"/>\n\
         <text x=\"{one:.1}\" y=\"{}\" fill=\"#b03030\">oracle</text>\n</svg>",
        y + ROW - 5
    );
    out
}
