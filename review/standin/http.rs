//! HTTP/1.1 with bodies of known length: a server with a thread for each connection, and a client.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// A request or an answer.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// First line without its end.
    pub first_line: String,
    /// Header lines, names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.iter().find(|(known, _)| known == name).map_or("", |(_, value)| value)
    }

    /// Returns the method, the path and the query of a request.
    pub fn target(&self) -> (&str, &str, &str) {
        let mut words = self.first_line.split(' ');
        let (method, target) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        (method, path, query)
    }

    /// Returns the status of an answer.
    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|word| word.parse().ok()).unwrap_or(0)
    }
}

/// What a server does with a request.
pub enum Reply {
    Answer(u16, String),
    /// No answer: the connection stays open for this time and is closed then.
    Silence(Duration),
}

/// Reads a message. Fails with `UnexpectedEof` if the connection ends before it is complete.
pub fn read(stream: &mut impl Read) -> io::Result<Message> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte)?;
        head.push(byte[0]);
    }
    let head = String::from_utf8_lossy(&head).into_owned();
    let mut lines = head.trim_end().split("\r\n");
    let mut message =
        Message { first_line: lines.next().unwrap_or("").into(), ..Message::default() };
    for line in lines {
        if let Some((name, value)) = line.split_once(':') {
            message.headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
    let length: usize = message.header("content-length").parse().unwrap_or(0);
    let mut body = vec![0; length];
    stream.read_exact(&mut body)?;
    message.body = String::from_utf8_lossy(&body).into_owned();
    Ok(message)
}

/// The open connections of a server.
#[derive(Clone, Debug, Default)]
pub struct Connections(Arc<Mutex<Vec<TcpStream>>>);

impl Connections {
    /// Closes all open connections, as the end of the server's process does.
    pub fn close(&self) {
        let mut open = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        for stream in open.drain(..) {
            stream.shutdown(Shutdown::Both).ok();
        }
    }

    fn add(&self, stream: &TcpStream) {
        let mut open = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        // Forgets connections that have ended.
        open.retain(|stream| stream.peer_addr().is_ok());
        open.extend(stream.try_clone());
    }
}

/// Serves requests in background threads for the life of the process.
pub fn serve(
    listener: TcpListener,
    handler: impl Fn(&Message) -> Reply + Send + Sync + 'static,
) -> Connections {
    let handler = Arc::new(handler);
    let connections = Connections::default();
    let open = connections.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            open.add(&stream);
            let handler = handler.clone();
            std::thread::spawn(move || serve_connection(stream, &*handler));
        }
    });
    connections
}

fn serve_connection(stream: TcpStream, handler: &dyn Fn(&Message) -> Reply) {
    stream.set_nodelay(true).ok();
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = io::BufReader::new(stream);
    while let Ok(request) = read(&mut reader) {
        match handler(&request) {
            Reply::Answer(status, body) => {
                let answer = format!(
                    "HTTP/1.1 {status} -\r\nContent-Type: application/json\r\n\
                     Content-Length: {}\r\n\r\n{body}",
                    body.len()
                );
                if writer.write_all(answer.as_bytes()).is_err() {
                    break;
                }
            }
            Reply::Silence(span) => {
                std::thread::sleep(span);
                break;
            }
        }
    }
    writer.shutdown(Shutdown::Both).ok();
}

/// How a call ended for the client.
#[derive(Debug)]
pub enum Outcome {
    Answer(Message),
    /// The server could not be reached; the request was not sent.
    Unreachable(String),
    /// The connection ended before a complete answer.
    Broken(String),
    /// The client stopped waiting and closed the connection.
    Left,
}

impl std::fmt::Display for Outcome {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Outcome::Answer(answer) => write!(f, "answer {} {}", answer.status(), answer.body),
            Outcome::Unreachable(reason) => write!(f, "not sent: {reason}"),
            Outcome::Broken(reason) => write!(f, "connection ended without an answer: {reason}"),
            Outcome::Left => f.write_str("client stopped waiting"),
        }
    }
}

/// Sends a request on a connection of its own and waits for the answer, at most for `wait`.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &str,
    wait: Duration,
) -> Outcome {
    let until = Instant::now() + wait;
    let stream = match TcpStream::connect_timeout(&address, wait) {
        Ok(stream) => stream,
        Err(error) => return Outcome::Unreachable(error.to_string()),
    };
    stream.set_nodelay(true).ok();
    let mut request = format!("{method} {path} HTTP/1.1\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        request.push_str(&format!("{name}: {value}\r\n"));
    }
    request.push_str("\r\n");
    request.push_str(body);
    let mut writer = &stream;
    if let Err(error) = writer.write_all(request.as_bytes()) {
        return Outcome::Broken(error.to_string());
    }
    let rest = until.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
    stream.set_read_timeout(Some(rest)).ok();
    match read(&mut io::BufReader::new(&stream)) {
        Ok(answer) => Outcome::Answer(answer),
        Err(error)
            if matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) =>
        {
            Outcome::Left
        }
        Err(error) => Outcome::Broken(error.to_string()),
    }
}

/// Decodes the query of a request.
pub fn parameter(query: &str, name: &str) -> Option<String> {
    let pair = query.split('&').find_map(|pair| {
        let (known, value) = pair.split_once('=')?;
        (known == name).then_some(value)
    })?;
    let (bytes, mut decoded, mut at) = (pair.as_bytes(), Vec::new(), 0);
    while at < bytes.len() {
        match bytes[at] {
            b'%' => {
                let digits = std::str::from_utf8(bytes.get(at + 1..at + 3)?).ok()?;
                decoded.push(u8::from_str_radix(digits, 16).ok()?);
                at += 3;
            }
            byte => {
                decoded.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8(decoded).ok()
}
