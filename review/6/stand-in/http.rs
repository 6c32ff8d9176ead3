//! A small HTTP/1.1 server and client.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

#[derive(Debug, Clone)]
pub struct Request {
    pub method: String,
    /// The path with its query.
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let row = self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        row.map(|(_, value)| value.as_str())
    }

    /// Returns a field of the query.
    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.path.split_once('?')?;
        let mut rows = query.split('&').filter_map(|r| r.split_once('='));
        rows.find(|(n, _)| *n == name).map(|(_, v)| decode(v))
    }
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let code = bytes.get(at + 1..at + 3);
        let code = code.and_then(|c| std::str::from_utf8(c).ok());
        let code = code.and_then(|c| u8::from_str_radix(c, 16).ok());
        match (bytes[at], code) {
            (b'%', Some(byte)) => {
                out.push(byte);
                at += 3;
            }
            (byte, _) => {
                out.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// A response.
#[derive(Debug, Clone, Default)]
pub struct Reply {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Reply {
    pub fn json(status: u16, body: impl Into<String>) -> Self {
        Self {
            status,
            headers: Vec::new(),
            body: body.into(),
        }
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        let row = self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        row.map(|(_, value)| value.as_str())
    }
}

/// A server that can be ended with all its connections, as by the end of its process.
#[derive(Clone)]
pub struct Server {
    addr: SocketAddr,
    over: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    /// Starts a server. A request without an answer ends its connection.
    pub fn start(
        addr: SocketAddr,
        answer: impl Fn(Request) -> Option<Reply> + Send + Sync + 'static,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(addr)?;
        let this = Self {
            addr: listener.local_addr()?,
            over: Arc::default(),
            connections: Arc::default(),
        };
        let server = this.clone();
        let answer = Arc::new(answer);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if server.over.load(Ordering::SeqCst) {
                    return;
                }
                if let Ok(copy) = stream.try_clone() {
                    server.connections.lock().unwrap().push(copy);
                }
                let answer = Arc::clone(&answer);
                thread::spawn(move || drop(serve(&stream, &*answer)));
            }
        });
        Ok(this)
    }

    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    pub fn end(&self) {
        self.over.store(true, Ordering::SeqCst);
        for stream in self.connections.lock().unwrap().drain(..) {
            drop(stream.shutdown(Shutdown::Both));
        }
        // Wakes the thread that accepts; it closes the listening socket.
        drop(TcpStream::connect(self.addr));
        thread::sleep(Duration::from_millis(2));
    }
}

fn serve(stream: &TcpStream, answer: &dyn Fn(Request) -> Option<Reply>) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut input = BufReader::new(stream);
    while let Some(request) = read_request(&mut input)? {
        let Some(reply) = answer(request) else {
            return stream.shutdown(Shutdown::Both);
        };
        let mut text = format!("HTTP/1.1 {} Answer\r\n", reply.status);
        for (name, value) in &reply.headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        let length = reply.body.len();
        text.push_str("Content-Type: application/json\r\n");
        text.push_str(&format!("Content-Length: {length}\r\n\r\n{}", reply.body));
        let mut output = stream;
        output.write_all(text.as_bytes())?;
    }
    Ok(())
}

type Head = (String, Vec<(String, String)>);

/// Reads the first line and the headers.
fn read_head(input: &mut impl BufRead) -> io::Result<Option<Head>> {
    let mut first = String::new();
    if input.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if input.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some((first, headers)));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.to_owned(), value.trim().to_owned()));
        }
    }
}

fn read_body(input: &mut impl BufRead, headers: &[(String, String)]) -> io::Result<Vec<u8>> {
    let row = headers.iter().find(|(n, _)| n.eq_ignore_ascii_case("content-length"));
    let length = row.and_then(|(_, v)| v.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    input.read_exact(&mut body)?;
    Ok(body)
}

fn read_request(input: &mut impl BufRead) -> io::Result<Option<Request>> {
    let Some((first, headers)) = read_head(input)? else {
        return Ok(None);
    };
    let body = read_body(input, &headers)?;
    let mut words = first.split_whitespace();
    Ok(Some(Request {
        method: words.next().unwrap_or("").to_owned(),
        path: words.next().unwrap_or("").to_owned(),
        headers,
        body,
    }))
}

/// Sends a request on a connection of its own and reads the answer.
pub fn call(
    addr: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &str,
    patience: Duration,
) -> io::Result<Reply> {
    let mut stream = TcpStream::connect_timeout(&addr, patience)?;
    stream.set_read_timeout(Some(patience))?;
    stream.set_nodelay(true)?;
    let mut text = format!("{method} {path} HTTP/1.1\r\nContent-Type: application/json\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if !headers.iter().any(|(n, _)| *n == "Host") {
        text.push_str(&format!("Host: {addr}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n{body}", body.len()));
    stream.write_all(text.as_bytes())?;
    let mut input = BufReader::new(&stream);
    let head = read_head(&mut input)?;
    let (first, headers) = head.ok_or_else(|| io::Error::other("the connection ended"))?;
    let body = read_body(&mut input, &headers)?;
    let status = first.split_whitespace().nth(1).and_then(|s| s.parse().ok());
    Ok(Reply {
        status: status.ok_or_else(|| io::Error::other("no status"))?,
        headers,
        body: String::from_utf8_lossy(&body).into_owned(),
    })
}
