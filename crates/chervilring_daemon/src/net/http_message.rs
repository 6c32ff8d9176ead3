//! HTTP/1.1 requests and answers as bytes.

use bytes::Bytes;

/// The longest head of a request, in bytes.
pub(super) const MAX_HEAD: usize = 16 << 10;

/// The most headers of a request.
const MAX_HEADERS: usize = 64;

/// A request.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct HttpRequest {
    /// The method.
    pub method: String,
    /// The path with its query.
    pub path: String,
    /// The headers, their names in lower case.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Bytes,
}

impl HttpRequest {
    /// Returns the value of a header, whose name is given in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map(|(_, value)| value.as_str())
    }
}

/// An answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HttpAnswer {
    /// The status.
    pub status: u16,
    /// The media type of the body.
    pub media: &'static str,
    /// Seconds after which to come back.
    pub comeback: Option<u64>,
    /// The body.
    pub body: Vec<u8>,
}

impl HttpAnswer {
    /// Creates an answer with a JSON body; an empty one is left out.
    pub fn json(status: u16, body: Vec<u8>) -> Self {
        Self {
            status,
            media: "application/json",
            comeback: None,
            body,
        }
    }
}

/// What the start of the input of a connection is.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Input {
    /// A whole request, and the number of bytes that it took.
    Whole(HttpRequest, usize),
    /// The start of one that takes at least so many bytes.
    Partial(usize),
}

/// Reads the request at the start of `input`, with a body of at most `limit` bytes.
///
/// # Errors
///
/// Returns the status by which the request is refused.
pub(super) fn read_request(input: &[u8], limit: usize) -> Result<Input, u16> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    let len = match head.parse(input) {
        Ok(httparse::Status::Complete(len)) if len > MAX_HEAD => return Err(431),
        Ok(httparse::Status::Complete(len)) => len,
        Ok(httparse::Status::Partial) if input.len() > MAX_HEAD => return Err(431),
        Ok(httparse::Status::Partial) => return Ok(Input::Partial(input.len() + 1)),
        Err(httparse::Error::TooManyHeaders) => return Err(431),
        Err(_) => return Err(400),
    };
    let mut request = HttpRequest {
        method: head.method.unwrap_or("").to_owned(),
        path: head.path.unwrap_or("").to_owned(),
        ..HttpRequest::default()
    };
    for header in head.headers.iter() {
        let name = header.name.to_ascii_lowercase();
        let value = String::from_utf8_lossy(header.value).trim().to_owned();
        request.headers.push((name, value));
    }
    if request.header("transfer-encoding").is_some() {
        return Err(411);
    }
    let size = match request.header("content-length") {
        None => 0,
        Some(text) => text.parse::<usize>().map_err(|_| 400_u16)?,
    };
    if size > limit {
        return Err(413);
    }
    let Some(body) = input.get(len..len + size) else {
        return Ok(Input::Partial(len + size));
    };
    request.body = Bytes::copy_from_slice(body);
    Ok(Input::Whole(request, len + size))
}

/// Appends an answer to what is to be sent; `close` says that it is the last one of its connection.
pub(super) fn write_answer(out: &mut Vec<u8>, answer: &HttpAnswer, close: bool) {
    let HttpAnswer {
        status,
        media,
        comeback,
        body,
    } = answer;
    let mut head = vec![format!("HTTP/1.1 {status} {}", reason(*status))];
    if !body.is_empty() {
        head.push(format!("Content-Type: {media}"));
    }
    if let Some(seconds) = comeback {
        head.push(format!("Retry-After: {seconds}"));
    }
    if close {
        head.push("Connection: close".to_owned());
    }
    head.push(format!("Content-Length: {}\r\n\r\n", body.len()));
    out.extend_from_slice(head.join("\r\n").as_bytes());
    out.extend_from_slice(body);
}

/// Returns the usual phrase for a status.
fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        410 => "Gone",
        411 => "Length Required",
        413 => "Content Too Large",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Answer",
    }
}
