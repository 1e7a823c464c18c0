//! What an open link costs: memory, idle bytes, its handshake, and a small message on it.

use std::net::{IpAddr, Ipv4Addr};
use std::time::Duration;

use bytes::Bytes;
use serde::Serialize;
use tokio::time::{sleep, sleep_until};
use unit::Instance;
use wire::{Dialer, Error, Frame, Identity, Link, Listener, Note, Peer, Stream, Topic, Trust};

use super::slope::Slope;
use super::system::{Outcome, resident, thread_cpu};

const SIZES: [usize; 3] = [10, 50, 200];
/// Seconds without a message; a link closes after ten.
const QUIET: u64 = 5;
/// Payload of a beat in bytes.
const PAYLOAD: usize = 20;
/// Links that carry messages, how many each, and the pause between two.
const BUSY: usize = 50;
const MESSAGES: u32 = 40;
const PAUSE: Duration = Duration::from_millis(75);

/// What was measured of links. Both ends are in this process.
#[derive(Debug, Clone, Serialize)]
pub struct Links {
    /// Bytes of memory of both ends.
    pub memory: Slope,
    /// What links add to it once they have carried messages.
    pub used: Slope,
    /// Bytes a second of links without messages.
    pub idle: Slope,
    /// Microseconds of processor time of a handshake, both ends.
    pub handshake_us: f64,
    /// UDP payload of a handshake and the probing of packet sizes that follows, both ways.
    pub handshake_bytes: f64,
    /// Microseconds of processor time of a message and its answer, both ends.
    pub message_us: f64,
    /// UDP payload of a message and its answer, both ways.
    pub message_bytes: f64,
}

impl Links {
    /// Bytes of memory of one end of a link that carries messages.
    pub(crate) fn end(&self) -> f64 {
        (self.memory.fit.slope + self.used.fit.slope) / 2.0
    }

    /// Bytes on the network of a message and its answer: UDP payload, and 28 bytes of IP and UDP for
    /// each of about four packets, the acknowledgements among them.
    pub(crate) fn message(&self) -> f64 {
        self.message_bytes + 4.0 * 28.0
    }
}

/// Measures links on loopback.
pub(crate) fn measure() -> Outcome<Links> {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    let runtime = builder.enable_all().build()?;
    let links = runtime.block_on(links());
    // Kept for good, with all its links: freed pages would hide the memory of what follows.
    std::mem::forget(runtime);
    links
}

async fn links() -> Outcome<Links> {
    let here = IpAddr::V4(Ipv4Addr::LOCALHOST);
    let dials = Identity::fresh("desk-1".parse()?)?;
    let listens = Identity::fresh("desk-2".parse()?)?;
    let (name, known) = (dials.instance().clone(), dials.fingerprint());
    let trust = Trust::new(move |print| (*print == known).then(|| name.clone()));
    let listener = Listener::bind((here, 0).into(), &listens, trust)?;
    let peer = Peer {
        instance: listens.instance().clone(),
        address: listener.address()?,
        fingerprint: listens.fingerprint(),
    };
    tokio::spawn(serve(listener));
    let dialer = Dialer::bind(dials, here)?;

    let (empty, cpu) = (resident()?, thread_cpu()?);
    let mut links = Vec::new();
    let mut memory = Vec::new();
    for size in SIZES {
        grow(&dialer, &peer, &mut links, size).await?;
        memory.push((size, resident()? - empty));
    }
    let handshake_us = (thread_cpu()? - cpu) * 1e6 / links.len() as f64;
    // Just after the handshake a link finds out how large its packets may be.
    sleep(Duration::from_secs(1)).await;
    let handshake_bytes = total(&links) / links.len() as f64;
    let idle = idle(&links).await;
    let (mut used, unused) = (Vec::new(), resident()?);
    for size in SIZES {
        for link in &links[..size] {
            several(link).await?;
        }
        used.push((size, resident()? - unused));
    }
    let (message_us, message_bytes) = messages(&links[..BUSY]).await?;
    std::mem::forget((dialer, links));
    Ok(Links {
        memory: Slope::of("open links, memory of both ends, bytes", "links", &memory),
        used: Slope::of(
            "memory that use adds, both ends, bytes",
            "links used",
            &used,
        ),
        idle: Slope::of("idle links, bytes/s", "links", &idle),
        handshake_us,
        handshake_bytes,
        message_us,
        message_bytes,
    })
}

async fn grow(
    dialer: &Dialer,
    peer: &Peer,
    links: &mut Vec<Link>,
    size: usize,
) -> Result<(), Box<dyn std::error::Error>> {
    while links.len() < size {
        let instance: Instance = format!("desk-{}", links.len()).parse()?;
        let peer = Peer {
            instance,
            ..peer.clone()
        };
        links.push(dialer.link(&peer).await?);
    }
    Ok(())
}

fn total(links: &[Link]) -> f64 {
    links.iter().map(Link::bytes).sum::<u64>() as f64
}

async fn idle(links: &[Link]) -> Vec<(usize, f64)> {
    let before: Vec<u64> = links.iter().map(Link::bytes).collect();
    sleep(Duration::from_secs(QUIET)).await;
    let spent = |size: &usize| {
        let now = links[..*size].iter().map(Link::bytes);
        let bytes: u64 = now.zip(&before).map(|(now, before)| now - before).sum();
        (*size, bytes as f64 / QUIET as f64)
    };
    SIZES.iter().map(spent).collect()
}

/// Processor time in microseconds and bytes of a message, sent alone as beats are.
async fn messages(links: &[Link]) -> Outcome<(f64, f64)> {
    let (bytes, cpu) = (total(links), thread_cpu()?);
    let mut busy = tokio::task::JoinSet::new();
    for (place, link) in links.iter().cloned().enumerate() {
        let offset = PAUSE * place as u32 / links.len() as u32;
        busy.spawn(async move {
            let begin = tokio::time::Instant::now() + offset;
            for number in 0..MESSAGES {
                sleep_until(begin + PAUSE * number).await;
                link.ask(&note()).await?;
            }
            Ok::<(), Error>(())
        });
    }
    while let Some(done) = busy.join_next().await {
        done??;
    }
    let count = f64::from(MESSAGES) * links.len() as f64;
    let us = (thread_cpu()? - cpu) * 1e6 / count;
    Ok((us, (total(links) - bytes) / count))
}

/// Eight messages at once on one link.
async fn several(link: &Link) -> Result<(), Error> {
    let mut asks = tokio::task::JoinSet::new();
    for _ in 0..8 {
        let link = link.clone();
        asks.spawn(async move { link.ask(&note()).await });
    }
    while let Some(done) = asks.join_next().await {
        if let Ok(Err(error)) = done {
            return Err(error);
        }
    }
    Ok(())
}

fn note() -> Frame {
    Frame::Note(Note {
        topic: Topic::Feed,
        payload: Bytes::from_static(&[7; PAYLOAD]),
    })
}

/// Answers each frame with itself.
async fn serve(listener: Listener) {
    while let Some(handshake) = listener.accept().await {
        tokio::spawn(async move {
            let inbound = handshake.finish().await?;
            while let Ok(stream) = inbound.stream().await {
                tokio::spawn(answer(stream));
            }
            Ok::<(), Error>(())
        });
    }
}

async fn answer(stream: Stream) -> Result<(), Error> {
    let Stream {
        mut sender,
        mut receiver,
    } = stream;
    while let Some(frame) = receiver.recv().await? {
        sender.push(&frame)?;
    }
    sender.finish().await
}
