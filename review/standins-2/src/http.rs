//! HTTP/1.1 messages over blocking connections.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::TcpStream;

pub struct Head {
    pub first: String,
    pub fields: Vec<(String, String)>,
}

impl Head {
    pub fn field(&self, name: &str) -> Option<&str> {
        let known = self.fields.iter().find(|(known, _)| known == name);
        known.map(|(_, value)| value.as_str())
    }

    /// The second word of the first line: the target of a request, or the status of an answer.
    pub fn second(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }
}

fn ended() -> io::Error {
    io::ErrorKind::UnexpectedEof.into()
}

fn line(reader: &mut BufReader<TcpStream>) -> io::Result<String> {
    let mut bytes = Vec::new();
    reader.read_until(b'\n', &mut bytes)?;
    if !bytes.ends_with(b"\n") {
        return Err(ended());
    }
    let text = String::from_utf8_lossy(&bytes);
    Ok(text.trim_end_matches(['\r', '\n']).to_owned())
}

pub fn read_head(reader: &mut BufReader<TcpStream>) -> io::Result<Head> {
    let first = line(reader)?;
    let mut fields = Vec::new();
    loop {
        let field = line(reader)?;
        if field.is_empty() {
            return Ok(Head { first, fields });
        }
        if let Some((name, value)) = field.split_once(':') {
            fields.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

/// Reads a body. `on_chunk` gets each part of a chunked body as it arrives. A body that breaks off is an
/// error.
pub fn read_body(
    reader: &mut BufReader<TcpStream>,
    head: &Head,
    mut on_chunk: impl FnMut(&[u8]),
) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if head.field("transfer-encoding").is_some() {
        loop {
            let size = line(reader)?;
            let size = size.split(';').next().unwrap_or("");
            let size = usize::from_str_radix(size.trim(), 16).map_err(|_| ended())?;
            if size == 0 {
                while !line(reader)?.is_empty() {}
                return Ok(body);
            }
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            chunk.truncate(size);
            on_chunk(&chunk);
            body.extend_from_slice(&chunk);
        }
    }
    let length = head.field("content-length").unwrap_or("0");
    body.resize(length.parse().map_err(|_| ended())?, 0);
    reader.read_exact(&mut body)?;
    Ok(body)
}

pub fn write_json(stream: &mut TcpStream, status: u16, body: &str) -> io::Result<()> {
    let head = format!(
        "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(head.as_bytes())
}

pub fn write_chunk(stream: &mut TcpStream, bytes: &[u8]) -> io::Result<()> {
    let mut chunk = format!("{:x}\r\n", bytes.len()).into_bytes();
    chunk.extend_from_slice(bytes);
    chunk.extend_from_slice(b"\r\n");
    stream.write_all(&chunk)
}
