//! HTTP/1.1 on blocking sockets, as the stand-ins need it.

use std::io::{self, Read, Write};
use std::net::TcpStream;

/// A message: its first line, its header fields in lower case, and its body.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub first: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        let found = self.fields.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        let code = self.first.split(' ').nth(1);
        code.and_then(|code| code.parse().ok()).unwrap_or(0)
    }

    pub fn length(&self) -> Option<usize> {
        self.field("content-length")
            .and_then(|text| text.parse().ok())
    }

    pub fn is_chunked(&self) -> bool {
        self.field("transfer-encoding").is_some()
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }
}

/// Reads messages of one connection, with what was read beyond the last one.
pub struct Reader {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Reader {
        Reader {
            stream,
            buffer: Vec::new(),
        }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut part = [0; 16 << 10];
        let count = self.stream.read(&mut part)?;
        self.buffer.extend_from_slice(&part[..count]);
        Ok(count)
    }

    /// Reads one message; `Ok(None)` if the connection ends before its first byte.
    pub fn read(&mut self, is_answer: bool) -> io::Result<Option<Message>> {
        let Some(mut message) = self.read_head()? else {
            return Ok(None);
        };
        message.body = match is_answer && !message.is_chunked() && message.length().is_none() {
            true => self.rest()?,
            false => self.read_body(&message)?,
        };
        Ok(Some(message))
    }

    /// Reads the body of a message whose head has been read, as its head says.
    pub fn read_body(&mut self, head: &Message) -> io::Result<Vec<u8>> {
        match (head.is_chunked(), head.length()) {
            (true, _) => self.chunks(),
            (false, Some(length)) => self.exact(length),
            (false, None) => Ok(Vec::new()),
        }
    }

    /// Reads the head of one message; its body is left on the connection.
    pub fn read_head(&mut self) -> io::Result<Option<Message>> {
        let end = loop {
            if let Some(at) = find(&self.buffer, b"\r\n\r\n") {
                break at;
            }
            if self.fill()? == 0 {
                return match self.buffer.is_empty() {
                    true => Ok(None),
                    false => Err(cut("in a head")),
                };
            }
        };
        let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let first = lines.next().unwrap_or("").to_string();
        let fields = lines.filter_map(|line| line.split_once(':'));
        let fields =
            fields.map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_string()));
        Ok(Some(Message {
            first,
            fields: fields.collect(),
            body: Vec::new(),
        }))
    }

    /// Reads up to `length` bytes of a body; fewer if the connection ends.
    pub fn read_up_to(&mut self, length: usize) -> Vec<u8> {
        while self.buffer.len() < length && self.fill().is_ok_and(|count| count > 0) {}
        let count = self.buffer.len().min(length);
        self.buffer.drain(..count).collect()
    }

    fn exact(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            if self.fill()? == 0 {
                return Err(cut("in a body"));
            }
        }
        Ok(self.buffer.drain(..length).collect())
    }

    fn rest(&mut self) -> io::Result<Vec<u8>> {
        while self.fill()? > 0 {}
        Ok(std::mem::take(&mut self.buffer))
    }

    fn chunks(&mut self) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let end = loop {
                if let Some(at) = find(&self.buffer, b"\r\n") {
                    break at;
                }
                if self.fill()? == 0 {
                    return Err(cut("in a chunk's size"));
                }
            };
            let line: Vec<u8> = self.buffer.drain(..end + 2).collect();
            let text = String::from_utf8_lossy(&line[..end]).into_owned();
            let size = usize::from_str_radix(text.split(';').next().unwrap_or("").trim(), 16);
            let size = size.map_err(|_| cut("at a chunk without size"))?;
            let data = self.exact(size + 2)?;
            if size == 0 {
                return Ok(body);
            }
            body.extend_from_slice(&data[..size]);
        }
    }
}

pub fn find(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes
        .windows(wanted.len())
        .position(|window| window == wanted)
}

fn cut(place: &str) -> io::Error {
    io::Error::new(
        io::ErrorKind::UnexpectedEof,
        format!("the connection ended {place}"),
    )
}

/// Writes an answer with a length.
pub fn answer(stream: &mut TcpStream, status: &str, fields: &str, body: &[u8]) -> io::Result<()> {
    let head = format!(
        "HTTP/1.1 {status}\r\n{fields}content-length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(&[head.as_bytes(), body].concat())
}
