//! Watches: a stream of changes, one message a line.

use std::io::{self, Write};

use serde_json::{Value, json};
use tiny_http::Request;

use super::counts::CallKind;
use super::faults::{Down, Fate};
use super::kv::Span;
use super::messages::{WatchRequest, event, header};
use super::server::{Shared, admit, break_off, respond};
use super::state::Refusal;

/// Streams the changes that a watch asks for until its client goes away or the service fails.
pub(super) fn stream(request: Request, watch: &WatchRequest, shared: &Shared) {
    match admit(CallKind::Watch, shared) {
        Ok(Fate::Answer) => {}
        Ok(Fate::Limit) => {
            let refusal = Refusal::new(429, 8, "etcdserver: too many requests");
            return respond(request, Err(refusal));
        }
        Ok(_) => return break_off(request),
        Err(refusal) => return respond(request, Err(refusal)),
    }
    let span = watch.create_request.span();
    let mut writer = request.into_writer();
    let _ = write_stream(
        &mut writer,
        &span,
        watch.create_request.start_revision.0,
        shared,
    );
}

fn write_stream(
    writer: &mut dyn Write,
    span: &Span,
    start: u64,
    shared: &Shared,
) -> io::Result<()> {
    writer.write_all(
        b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\
          Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n",
    )?;
    let state = shared.lock();
    let mut next = if start == 0 {
        state.kv.revision + 1
    } else {
        start
    };
    let created = json!({ "header": header(state.kv.revision), "created": true });
    drop(state);
    write_chunk(writer, &created)?;
    let mut state = shared.lock();
    loop {
        if state.closed || state.fates.faults.down == Down::Refuse {
            break;
        }
        let hung = state.fates.faults.down == Down::Hang || state.fates.faults.mute;
        if !hung && next <= state.kv.compacted {
            let compacted = state.kv.compacted.to_string();
            let canceled = json!({ "canceled": true, "compact_revision": compacted });
            drop(state);
            write_chunk(writer, &canceled)?;
            break;
        }
        let now = state.clock.now();
        state.kv.expire(now);
        let events = state.kv.events_from(span, next);
        if hung || events.is_empty() {
            next = if hung {
                next
            } else {
                next.max(state.kv.revision + 1)
            };
            state = shared.wait(state);
            continue;
        }
        next = next.max(state.kv.revision + 1);
        let events: Value = events.iter().map(event).collect();
        let message = json!({ "header": header(state.kv.revision), "events": events });
        drop(state);
        write_chunk(writer, &message)?;
        state = shared.lock();
    }
    writer.write_all(b"0\r\n\r\n")?;
    writer.flush()
}

/// Writes one message of a stream: a line of JSON in a chunk of its own.
fn write_chunk(writer: &mut dyn Write, message: &Value) -> io::Result<()> {
    let line = format!("{}\n", json!({ "result": message }));
    write!(writer, "{:x}\r\n{line}\r\n", line.len())?;
    writer.flush()
}
