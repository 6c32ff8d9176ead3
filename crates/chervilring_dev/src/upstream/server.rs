//! The stand-in's HTTP server.

use std::io::Write;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use chervilring_daemon::http::Kicker;
use serde_json::json;
use tiny_http::{Header, Method, Request, Response, Server};

use super::counts::Counter;
use super::faults::{FaultSwitch, Faults};
use super::gate::Gate;
use super::task::{Task, respond};

/// How long a hanging task holds its thread.
const HANG_LIMIT: Duration = Duration::from_mins(5);

/// How long half an answer may take to get through before the connection is cut.
const HALF_WAIT: Duration = Duration::from_millis(20);

/// The stack of a thread that runs a task, in bytes.
const STACK: usize = 128 << 10;

/// What all threads of a stand-in share.
#[derive(Debug, Default)]
pub(super) struct Shared {
    pub(super) name: String,
    pub(super) speed: f64,
    pub(super) counter: Counter,
    pub(super) faults: FaultSwitch,
    /// Whether the stand-in has ended.
    pub(super) ended: AtomicBool,
    /// Whether it is to leave its agent.
    pub(super) left: AtomicBool,
    /// Whether the agent has been told.
    pub(super) gone: AtomicBool,
}

/// Serves requests until the stand-in has ended.
pub(super) fn serve(server: &Server, shared: &Arc<Shared>, gate: &Gate, kicker: &Kicker) {
    for request in server.incoming_requests() {
        if let Some(addr) = request.remote_addr() {
            kicker.served(*addr);
        }
        if shared.ended.load(Ordering::Relaxed) {
            return;
        }
        if *request.method() != Method::Post {
            control(request, shared, gate);
            continue;
        }
        let (shared, gate) = (Arc::clone(shared), gate.clone());
        let thread = thread::Builder::new().stack_size(STACK);
        // The request is answered by an error when there is no thread for it.
        let _ = thread.spawn(move || run(request, &shared, &gate));
    }
}

/// Answers those who control the stand-in.
fn control(mut request: Request, shared: &Shared, gate: &Gate) {
    let (status, body) = match (request.method(), request.url()) {
        (Method::Get, "/counts") => (200, json!(shared.counter.get())),
        (Method::Get, "/faults") => (200, json!(shared.faults.get())),
        (Method::Put, "/faults") => match serde_json::from_reader::<_, Faults>(request.as_reader())
        {
            Ok(faults) => {
                shared.faults.set(faults.clone());
                (200, json!(faults))
            }
            Err(e) => (400, json!({"detail": e.to_string()})),
        },
        (Method::Delete, "/faults") => {
            shared.faults.set(Faults::default());
            (200, json!(shared.faults.get()))
        }
        (Method::Delete, "/") => {
            shared.left.store(true, Ordering::Relaxed);
            (200, json!({"left": true}))
        }
        (Method::Delete, "/process") => {
            shared.ended.store(true, Ordering::Relaxed);
            gate.close();
            (200, json!({"ended": true}))
        }
        (_, path) => (404, json!({"detail": format!("no such path: {path}")})),
    };
    let response = respond(status, "application/json", body.to_string().into_bytes());
    // A client that has gone away needs no answer.
    let _ = request.respond(response);
}

/// Runs a task, with the faults in force.
fn run(mut request: Request, shared: &Shared, gate: &Gate) {
    let faults = shared.faults.get();
    let Ok(task) = Task::read(&mut request) else {
        return;
    };
    if faults.refuse {
        let _ = request.respond(refusal());
        return;
    }
    shared.counter.start(&task.key, task.late);
    if !faults.fail {
        shared
            .faults
            .work(task.work.div_f64(shared.speed), HANG_LIMIT);
    }
    shared.counter.end();
    let peer = request.remote_addr().copied();
    let faults = shared.faults.get();
    if faults.fail {
        let _ = request.respond(respond(500, "text/plain", b"failed on demand\n".to_vec()));
    } else if faults.drop {
        cut(gate, peer);
    } else if faults.cut {
        answer_half(request, task.answer(&shared.name));
        cut(gate, peer);
    } else {
        let _ = request.respond(task.answer(&shared.name));
    }
}

/// Writes the head and half of the body.
fn answer_half(request: Request, response: Response<std::io::Cursor<Vec<u8>>>) {
    let body = response.into_reader().into_inner();
    let mut writer = request.into_writer();
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n",
        body.len().max(2)
    );
    let _ = writer.write_all(head.as_bytes());
    let _ = writer.write_all(&body[..body.len() / 2]);
    let _ = writer.flush();
    thread::sleep(HALF_WAIT);
}

fn cut(gate: &Gate, peer: Option<SocketAddr>) {
    if let Some(peer) = peer {
        gate.cut(peer);
    }
}

fn refusal() -> Response<std::io::Cursor<Vec<u8>>> {
    let mut response = respond(503, "text/plain", b"refused on demand\n".to_vec());
    let headers = [("Chervilring-Verdict", "not-run"), ("Retry-After", "1")];
    for (name, value) in headers {
        if let Ok(header) = Header::from_bytes(name, value) {
            response.add_header(header);
        }
    }
    response
}
