//! HTTP/1.1 over blocking sockets, with a thread for each connection.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A request that was read completely.
#[derive(Clone, Debug, Default)]
pub struct Request {
    pub method: String,
    /// Path without the query.
    pub path: String,
    /// Query as sent, without the question mark.
    pub query: String,
    /// Names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(found, _)| found == name).map(|(_, value)| value.as_str())
    }

    /// Returns a decoded parameter of the query.
    pub fn parameter(&self, name: &str) -> Option<String> {
        let mut pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(found, _)| *found == name).map(|(_, value)| decode(value))
    }
}

/// What a server does with a request.
#[derive(Clone, Debug)]
pub enum Reply {
    /// Status and body.
    Answer(u16, String),
    /// No answer: the connection is closed after this time.
    Silence(Duration),
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let escaped = bytes.get(at + 1..at + 3).filter(|_| bytes[at] == b'%');
        let escaped = escaped.and_then(|digits| std::str::from_utf8(digits).ok());
        match escaped.and_then(|digits| u8::from_str_radix(digits, 16).ok()) {
            Some(byte) => {
                decoded.push(byte);
                at += 3;
            }
            None => {
                decoded.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// Serves requests for the life of the process.
pub fn serve(listener: TcpListener, handler: impl Fn(Request) -> Reply + Send + Sync + 'static) {
    let handler = Arc::new(handler);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            std::thread::spawn(move || {
                // An error means that the caller has closed the connection.
                serve_connection(&stream, &*handler).ok();
                stream.shutdown(Shutdown::Both).ok();
            });
        }
    });
}

fn serve_connection(stream: &TcpStream, handler: &dyn Fn(Request) -> Reply) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut writer = stream.try_clone()?;
    while let Some(request) = read_request(&mut reader)? {
        match handler(request) {
            Reply::Answer(status, body) => {
                let head = format!(
                    "HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\n\
                     Content-Length: {}\r\n\r\n{body}",
                    body.len()
                );
                writer.write_all(head.as_bytes())?;
            }
            Reply::Silence(time) => {
                std::thread::sleep(time);
                return Ok(());
            }
        }
    }
    Ok(())
}

/// Reads a start line and headers. `None` at the end of the stream.
fn read_head(reader: &mut impl BufRead) -> io::Result<Option<(String, Vec<(String, String)>)>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some((first.trim_end().to_owned(), headers)));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

fn read_body(reader: &mut impl Read, headers: &[(String, String)]) -> io::Result<String> {
    let length = headers.iter().find(|(name, _)| name == "content-length");
    let length = length.and_then(|(_, value)| value.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(String::from_utf8_lossy(&body).into_owned())
}

fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Request>> {
    let Some((first, headers)) = read_head(reader)? else { return Ok(None) };
    let mut parts = first.split(' ');
    let method = parts.next().unwrap_or_default().to_owned();
    let target = parts.next().unwrap_or_default();
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let body = read_body(reader, &headers)?;
    Ok(Some(Request { method, path: path.to_owned(), query: query.to_owned(), headers, body }))
}

/// Sends one request on a connection of its own and returns status and body of the answer.
pub fn call(
    address: SocketAddr,
    request: &Request,
    timeout: Duration,
) -> io::Result<(u16, String)> {
    let deadline = Instant::now() + timeout;
    let mut stream = TcpStream::connect_timeout(&address, timeout)?;
    stream.set_nodelay(true)?;
    let mut head = format!("{} {} HTTP/1.1\r\n", request.method, request.path);
    for (name, value) in &request.headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str(&format!("content-length: {}\r\n\r\n{}", request.body.len(), request.body));
    stream.write_all(head.as_bytes())?;
    let left = deadline.saturating_duration_since(Instant::now());
    stream.set_read_timeout(Some(left.max(Duration::from_millis(1))))?;
    let mut reader = BufReader::new(stream);
    let Some((first, headers)) = read_head(&mut reader)? else {
        return Err(io::ErrorKind::ConnectionAborted.into());
    };
    let status = first.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
    Ok((status, read_body(&mut reader, &headers)?))
}
