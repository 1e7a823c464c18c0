//! What both ends of a link say of themselves before anything else.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Buf, BytesMut};
use serde::{Deserialize, Serialize};
use timer::timeout;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use unit::{Fingerprint, Instance};

use crate::{Error, Note, codec};

/// How long the greeting of the other end may take.
const GREET_WITHIN: Duration = Duration::from_secs(1);

/// Longest greeting; one holds an announcement of some hundred bytes.
const MAX_GREETING: usize = 4_096;

/// Begins each greeting, so that another program that dials here is told apart.
const MAGIC: &[u8; 4] = b"AS\x01\n";

const LENGTH: usize = 4;

/// What one end of a link says of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Greeting {
    /// Its instance.
    pub instance: Instance,
    /// Which of its lives this is.
    pub fingerprint: Fingerprint,
    /// Its announcement, in the form of the roster.
    pub card: Vec<u8>,
}

/// Takes in what the named peer tells.
pub type Told = Arc<dyn Fn(&Instance, Note) + Send + Sync>;

/// How a daemon greets, and what it does with what others say.
#[derive(Clone)]
pub struct Greeter {
    /// The own greeting, as it stands now.
    pub own: Arc<dyn Fn() -> Greeting + Send + Sync>,
    /// Takes a peer's greeting in, before its link carries anything.
    pub heard: Arc<dyn Fn(&Greeting) + Send + Sync>,
    /// Takes in what a peer tells over a link that this daemon has dialled.
    pub told: Told,
}

impl Greeter {
    /// Greets, reads the other end's greeting and takes it in.
    pub(crate) async fn greet(&self, stream: &mut TcpStream) -> Result<Greeting, Error> {
        let from = stream.peer_addr().map_err(|e| Error::dial("a peer", e))?;
        let own = (self.own)();
        let exchanged = timeout(GREET_WITHIN, exchange(stream, &own));
        let exchanged = exchanged
            .await
            .map_err(|_| Error::dial(from, "no greeting"))?;
        let greeting = exchanged.map_err(|e| Error::dial(from, e))?;
        (self.heard)(&greeting);
        Ok(greeting)
    }
}

async fn exchange(stream: &mut TcpStream, own: &Greeting) -> Result<Greeting, String> {
    let text = |e: std::io::Error| e.to_string();
    let body = codec::pack(own).map_err(|e| e.to_string())?;
    let mut out = BytesMut::from(&MAGIC[..]);
    out.extend_from_slice(&(body.len() as u32).to_be_bytes());
    out.extend_from_slice(&body);
    stream.write_all(&out).await.map_err(text)?;
    let mut head = [0; MAGIC.len() + LENGTH];
    stream.read_exact(&mut head).await.map_err(text)?;
    let mut rest = head
        .strip_prefix(&MAGIC[..])
        .ok_or("the other end is no daemon")?;
    let length = rest.get_u32() as usize;
    if length > MAX_GREETING {
        return Err(format!("a greeting of {length} bytes"));
    }
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await.map_err(text)?;
    codec::unpack(&body).map_err(|e| e.to_string())
}
