//! HTTP/1.1 as the stand-ins need it.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

#[derive(Debug, Clone, Default)]
pub struct Request {
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }

    pub fn id(&self) -> &str {
        self.header("request-id").unwrap_or("")
    }

    /// The path without the query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }

    /// A decoded member of the query.
    pub fn query(&self, name: &str) -> String {
        let query = self.target.split_once('?').map_or("", |(_, query)| query);
        let mut members = query.split('&').filter_map(|member| member.split_once('='));
        let value = members.find(|(member, _)| *member == name);
        value.map_or_else(String::new, |(_, value)| decode(value))
    }
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        if bytes[at] == b'%' && at + 2 < bytes.len() {
            let code = u8::from_str_radix(&text[at + 1..at + 3], 16);
            decoded.push(code.unwrap_or(b'?'));
            at += 3;
        } else {
            decoded.push(bytes[at]);
            at += 1;
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let mut headers = headers.iter();
    let found = headers.find(|(known, _)| known.eq_ignore_ascii_case(name));
    found.map(|(_, value)| value.as_str())
}

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
            headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads a chunk of a chunked body; empty at its end.
fn read_chunk(reader: &mut impl BufRead) -> io::Result<Vec<u8>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let size = usize::from_str_radix(line.trim(), 16);
    let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
    let mut chunk = vec![0; size];
    reader.read_exact(&mut chunk)?;
    let mut end = String::new();
    reader.read_line(&mut end)?;
    Ok(chunk)
}

pub fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Request>> {
    let Some((first, headers)) = read_head(reader)? else {
        return Ok(None);
    };
    let mut request = Request {
        target: first.split(' ').nth(1).unwrap_or("").to_owned(),
        headers,
        body: Vec::new(),
    };
    if let Some(length) = request.header("content-length") {
        request.body = vec![0; length.parse().unwrap_or(0)];
        reader.read_exact(&mut request.body)?;
    } else if request.header("transfer-encoding").is_some() {
        loop {
            let chunk = read_chunk(reader)?;
            if chunk.is_empty() {
                break;
            }
            request.body.extend_from_slice(&chunk);
        }
    }
    Ok(Some(request))
}

/// Whether the other side has closed the connection, or sent what nobody waits for.
pub fn is_gone(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let peeked = stream.peek(&mut [0]);
    let _ = stream.set_nonblocking(false);
    match peeked {
        Ok(count) => count == 0,
        Err(error) => error.kind() != io::ErrorKind::WouldBlock,
    }
}

/// What a client saw of an answer.
#[derive(Debug, Clone, Default)]
pub struct Answer {
    /// Zero if there was none.
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    pub is_complete: bool,
    pub took: Duration,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }
}

/// A client's connection.
pub struct Connection {
    pub reader: BufReader<TcpStream>,
}

impl Connection {
    pub fn open(address: SocketAddr, time_limit: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(time_limit))?;
        Ok(Self {
            reader: BufReader::new(stream),
        })
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.reader.get_mut().write_all(bytes)
    }

    /// Reads the head of an answer.
    pub fn read_head(&mut self) -> io::Result<Answer> {
        let head = read_head(&mut self.reader)?;
        let (first, headers) = head.ok_or(io::ErrorKind::UnexpectedEof)?;
        let status = first.split(' ').nth(1).and_then(|code| code.parse().ok());
        Ok(Answer {
            status: status.unwrap_or(0),
            headers,
            ..Answer::default()
        })
    }

    /// Reads the next part of the body; `None` at its end.
    pub fn read_part(&mut self, answer: &Answer, left: &mut usize) -> io::Result<Option<Vec<u8>>> {
        if answer.header("transfer-encoding").is_some() {
            let chunk = read_chunk(&mut self.reader)?;
            return Ok((!chunk.is_empty()).then_some(chunk));
        }
        if *left == 0 {
            return Ok(None);
        }
        let mut part = vec![0; (*left).min(16 * 1024)];
        self.reader.read_exact(&mut part)?;
        *left -= part.len();
        Ok(Some(part))
    }

    /// Sends a request and reads its whole answer.
    pub fn call(&mut self, request: &[u8]) -> Answer {
        let started = Instant::now();
        let mut answer = Answer::default();
        if self.send(request).is_ok()
            && let Ok(head) = self.read_head()
        {
            answer = head;
            let mut left = answer
                .header("content-length")
                .and_then(|length| length.parse().ok())
                .unwrap_or(0);
            loop {
                match self.read_part(&answer, &mut left) {
                    Ok(Some(part)) => answer.body.extend_from_slice(&part),
                    Ok(None) => {
                        answer.is_complete = true;
                        break;
                    }
                    Err(_) => break,
                }
            }
        }
        answer.took = started.elapsed();
        answer
    }
}

/// Sends a request on a new connection.
pub fn call(address: SocketAddr, request: &[u8], time_limit: Duration) -> Answer {
    match Connection::open(address, time_limit) {
        Ok(mut connection) => connection.call(request),
        Err(_) => Answer::default(),
    }
}
