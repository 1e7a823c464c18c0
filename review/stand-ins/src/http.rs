//! HTTP/1.1 messages on blocking sockets.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

const MAX_HEAD: usize = 64 << 10;

/// A connection with the bytes that were read ahead.
pub struct Connection {
    pub stream: TcpStream,
    input: Vec<u8>,
}

/// The first line and the header fields of a message.
#[derive(Debug, Clone)]
pub struct Head {
    /// The three parts of the first line.
    pub first: [String; 3],
    pub fields: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let mut fields = self.fields.iter();
        let found = fields.find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first[1].parse().unwrap_or(0)
    }
}

fn cut(what: &str) -> io::Error {
    io::Error::new(io::ErrorKind::UnexpectedEof, what.to_string())
}

impl Connection {
    pub fn new(stream: TcpStream) -> Connection {
        // Only the delays get longer without it.
        let _ = stream.set_nodelay(true);
        Connection {
            stream,
            input: Vec::new(),
        }
    }

    pub fn open(address: SocketAddr, limit: Duration) -> io::Result<Connection> {
        let stream = TcpStream::connect_timeout(&address, limit)?;
        stream.set_read_timeout(Some(limit))?;
        stream.set_write_timeout(Some(limit))?;
        Ok(Connection::new(stream))
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut piece = [0; 16 << 10];
        match self.stream.read(&mut piece)? {
            0 => Err(cut("closed")),
            count => {
                self.input.extend_from_slice(&piece[..count]);
                Ok(())
            }
        }
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.input.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.input.drain(..=end).collect();
                let text = String::from_utf8_lossy(&line);
                return Ok(text.trim_end_matches(['\r', '\n']).to_string());
            }
            if self.input.len() > MAX_HEAD {
                return Err(io::Error::other("a line without an end"));
            }
            self.fill()?;
        }
    }

    /// Reads a head; `None` if the peer has closed between two messages.
    pub fn head(&mut self) -> io::Result<Option<Head>> {
        let first = match self.line() {
            Ok(line) => line,
            Err(error) if error.kind() == io::ErrorKind::UnexpectedEof && self.input.is_empty() => {
                return Ok(None);
            }
            Err(error) => return Err(error),
        };
        let mut parts = first.splitn(3, ' ').map(str::to_string);
        let mut next = || parts.next().unwrap_or_default();
        let first = [next(), next(), next()];
        let mut fields = Vec::new();
        loop {
            let line = self.line()?;
            if line.is_empty() {
                return Ok(Some(Head { first, fields }));
            }
            let (name, value) = line
                .split_once(':')
                .ok_or_else(|| io::Error::other("a field"))?;
            fields.push((name.trim().to_string(), value.trim().to_string()));
        }
    }

    fn exactly(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.input.len() < count {
            self.fill()?;
        }
        Ok(self.input.drain(..count).collect())
    }

    /// Reads the whole body behind `head`. A body that ends early is an error.
    pub fn body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        let encoding = head.get("transfer-encoding").unwrap_or_default();
        if encoding.eq_ignore_ascii_case("chunked") {
            return self.chunks();
        }
        let length = head.get("content-length").unwrap_or("0");
        let length = length.parse().map_err(|_| io::Error::other("a length"))?;
        self.exactly(length)
    }

    fn chunks(&mut self) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let line = self.line()?;
            let size = line.split(';').next().unwrap_or_default().trim();
            let size = usize::from_str_radix(size, 16).map_err(|_| io::Error::other("a chunk"))?;
            if size == 0 {
                while !self.line()?.is_empty() {}
                return Ok(body);
            }
            body.extend(self.exactly(size)?);
            if !self.line()?.is_empty() {
                return Err(io::Error::other("a chunk's end"));
            }
        }
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Writes an answer with its length.
    pub fn answer(
        &mut self,
        status: &str,
        fields: &[(&str, String)],
        body: &[u8],
    ) -> io::Result<()> {
        let mut out = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
        for (name, value) in fields {
            out.push_str(&format!("{name}: {value}\r\n"));
        }
        out.push_str("\r\n");
        let mut out = out.into_bytes();
        out.extend_from_slice(body);
        self.write(&out)
    }
}

/// Sends one request on a connection of its own and reads its answer.
pub fn exchange(
    address: SocketAddr,
    request: &[u8],
    limit: Duration,
) -> io::Result<(Head, Vec<u8>)> {
    let mut connection = Connection::open(address, limit)?;
    connection.write(request)?;
    let head = connection
        .head()?
        .ok_or_else(|| cut("closed without an answer"))?;
    let body = connection.body(&head)?;
    Ok((head, body))
}
