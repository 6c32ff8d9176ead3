//! A raw HTTP client that can misbehave.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};

use crate::fixture::BOUND;

pub(crate) struct Client {
    pub(crate) stream: BufReader<TcpStream>,
}

#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) headers: Vec<(String, String)>,
    pub(crate) body: Vec<u8>,
}

impl Answer {
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub(crate) fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body).unwrap()
    }
}

impl Client {
    pub(crate) fn connect(addr: SocketAddr) -> Self {
        let stream = TcpStream::connect(addr).unwrap();
        stream.set_read_timeout(Some(BOUND)).unwrap();
        Self {
            stream: BufReader::new(stream),
        }
    }

    /// Sends bytes; an error means that the server closed the connection.
    pub(crate) fn send(&mut self, bytes: &[u8]) {
        let _ = self.stream.get_mut().write_all(bytes);
    }

    /// Sends a request; `headers` are lines that end in CRLF.
    pub(crate) fn request(&mut self, method: &str, path: &str, headers: &str, body: &[u8]) {
        let length = body.len();
        let head = format!("{method} {path} HTTP/1.1\r\nContent-Length: {length}\r\n{headers}\r\n");
        self.send(&[head.as_bytes(), body].concat());
    }

    pub(crate) fn call(&mut self, method: &str, path: &str, headers: &str, body: &[u8]) -> Answer {
        self.request(method, path, headers, body);
        self.answer().expect("the server closed the connection")
    }

    /// Reads an answer, which must state its length; `None` when the connection is closed.
    pub(crate) fn answer(&mut self) -> Option<Answer> {
        loop {
            let answer = self.read_answer()?;
            if answer.status >= 200 {
                return Some(answer);
            }
        }
    }

    fn read_answer(&mut self) -> Option<Answer> {
        let status_line = self.line()?;
        let status = status_line.split(' ').nth(1)?.parse().unwrap();
        let mut headers = Vec::new();
        loop {
            let line = self.line()?;
            let Some((name, value)) = line.split_once(": ") else {
                break;
            };
            headers.push((name.to_owned(), value.to_owned()));
        }
        let mut answer = Answer {
            status,
            headers,
            body: Vec::new(),
        };
        if status >= 200 {
            let length = answer.header("Content-Length").expect("a stated length");
            answer.body = vec![0; length.parse().unwrap()];
            self.stream.read_exact(&mut answer.body).unwrap();
        }
        Some(answer)
    }

    fn line(&mut self) -> Option<String> {
        let mut line = String::new();
        match self.stream.read_line(&mut line) {
            Ok(0) | Err(_) => None,
            Ok(_) => Some(line.trim_end().to_owned()),
        }
    }
}
