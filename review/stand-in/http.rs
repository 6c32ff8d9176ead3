//! HTTP/1.1 as clients, workers and the store speak it: a server and a client.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A request.
pub struct Request {
    pub method: String,
    /// The path without its query.
    pub path: String,
    pub query: Vec<(String, String)>,
    /// The headers, their names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    /// Returns a parameter of the query, empty if there is none.
    pub fn param(&self, name: &str) -> &str {
        find(&self.query, name).unwrap_or("")
    }

    /// Returns a header by its name in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }
}

fn find<'a>(rows: &'a [(String, String)], name: &str) -> Option<&'a str> {
    rows.iter().find(|(n, _)| n == name).map(|(_, v)| &**v)
}

/// An answer.
#[derive(Debug, Clone)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Answer {
    /// Creates an answer with a JSON body.
    pub fn new(status: u16, body: String) -> Self {
        Self {
            status,
            headers: Vec::new(),
            body,
        }
    }
}

type Handler = dyn Fn(Request) -> Option<Answer> + Send + Sync;

/// A server; it ends when it is closed or dropped.
pub struct Server {
    closed: Arc<AtomicBool>,
    conns: Arc<Mutex<Vec<TcpStream>>>,
    accepting: Option<thread::JoinHandle<()>>,
}

impl Server {
    /// Listens on an address. A request that the handler answers with `None` gets no answer: its
    /// connection ends. `link` limits the bytes a second of answers on each connection.
    pub fn start(
        addr: SocketAddr,
        link: Option<u64>,
        handler: impl Fn(Request) -> Option<Answer> + Send + Sync + 'static,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(addr)?;
        listener.set_nonblocking(true)?;
        let closed = Arc::new(AtomicBool::new(false));
        let conns: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let handler: Arc<Handler> = Arc::new(handler);
        let (closing, open) = (Arc::clone(&closed), Arc::clone(&conns));
        let accepting = thread::spawn(move || {
            while !closing.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let handler = Arc::clone(&handler);
                if let Ok(copy) = stream.try_clone() {
                    open.lock().unwrap().push(copy);
                }
                thread::spawn(move || serve(stream, link, &*handler));
            }
        });
        Ok(Self {
            closed,
            conns,
            accepting: Some(accepting),
        })
    }

    /// Ends the server: nobody listens from then on, and all connections are closed.
    pub fn close(&mut self) {
        self.closed.store(true, Ordering::SeqCst);
        if let Some(accepting) = self.accepting.take() {
            // The thread cannot panic.
            drop(accepting.join());
        }
        for conn in self.conns.lock().unwrap().drain(..) {
            // The peer may have closed it before.
            drop(conn.shutdown(Shutdown::Both));
        }
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.close();
    }
}

fn serve(stream: TcpStream, link: Option<u64>, handler: &Handler) {
    // A connection that fails is over, as it would be for a real server.
    drop(serve_all(stream, link, handler));
}

fn serve_all(stream: TcpStream, link: Option<u64>, handler: &Handler) -> io::Result<()> {
    stream.set_nonblocking(false)?;
    stream.set_nodelay(true)?;
    let mut out = stream.try_clone()?;
    let mut input = BufReader::new(stream);
    while let Some(request) = read_request(&mut input)? {
        let Some(answer) = handler(request) else {
            return out.shutdown(Shutdown::Both);
        };
        let mut bytes = format!("HTTP/1.1 {} Answer\r\n", answer.status);
        bytes.push_str("Content-Type: application/json\r\n");
        for (name, value) in &answer.headers {
            bytes.push_str(&format!("{name}: {value}\r\n"));
        }
        bytes.push_str(&format!("Content-Length: {}\r\n\r\n", answer.body.len()));
        bytes.push_str(&answer.body);
        write_slowly(&mut out, bytes.as_bytes(), link)?;
    }
    Ok(())
}

/// Writes at the pace of a link.
fn write_slowly(out: &mut TcpStream, bytes: &[u8], link: Option<u64>) -> io::Result<()> {
    const PIECE: usize = 16 << 10;
    let Some(link) = link else {
        return out.write_all(bytes);
    };
    let begin = Instant::now();
    let mut sent = 0_u64;
    for piece in bytes.chunks(PIECE) {
        sent += piece.len() as u64;
        let due = begin + Duration::from_secs_f64(sent as f64 / link as f64);
        thread::sleep(due.saturating_duration_since(Instant::now()));
        out.write_all(piece)?;
    }
    Ok(())
}

fn read_request(input: &mut impl BufRead) -> io::Result<Option<Request>> {
    let Some((first, headers)) = read_head(input)? else {
        return Ok(None);
    };
    let mut words = first.split(' ');
    let method = words.next().unwrap_or("").to_owned();
    let target = words.next().unwrap_or("").to_owned();
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let pair = |row: &str| {
        let (name, value) = row.split_once('=')?;
        Some((name.to_owned(), value.replace("%2F", "/")))
    };
    Ok(Some(Request {
        method,
        path: path.to_owned(),
        query: query.split('&').filter_map(pair).collect(),
        body: read_body(input, &headers)?,
        headers,
    }))
}

type Head = (String, Vec<(String, String)>);

fn read_head(input: &mut impl BufRead) -> io::Result<Option<Head>> {
    let mut first = String::new();
    if input.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if input.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim();
        if line.is_empty() {
            return Ok(Some((first.trim().to_owned(), headers)));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

fn read_body(input: &mut impl Read, headers: &[(String, String)]) -> io::Result<String> {
    let len = find(headers, "content-length").and_then(|v| v.parse().ok());
    let mut body = vec![0; len.unwrap_or(0)];
    input.read_exact(&mut body)?;
    String::from_utf8(body).map_err(|_| io::ErrorKind::InvalidData.into())
}

/// Makes a call on a connection of its own and waits for the answer, for a time at most.
pub fn call(
    addr: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    wait: Duration,
) -> io::Result<Answer> {
    let mut stream = TcpStream::connect_timeout(&addr, wait)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(wait))?;
    let mut head = format!("{method} {path} HTTP/1.1\r\nConnection: close\r\n");
    if !headers.iter().any(|(name, _)| *name == "Host") {
        head.push_str(&format!("Host: {addr}\r\n"));
    }
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    if !body.is_empty() {
        head.push_str("Content-Type: application/json\r\n");
    }
    head.push_str(&format!("Content-Length: {}\r\n\r\n{body}", body.len()));
    stream.write_all(head.as_bytes())?;
    let mut input = BufReader::new(stream);
    let (first, headers) = read_head(&mut input)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let status = first.split(' ').nth(1).and_then(|s| s.parse().ok());
    Ok(Answer {
        status: status.ok_or(io::ErrorKind::InvalidData)?,
        body: read_body(&mut input, &headers)?,
        headers,
    })
}
