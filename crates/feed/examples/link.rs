//! Prints the bytes that messages take on a real link over loopback.
//!
//! `cargo run --release -p feed --example link`

use std::error::Error;
use std::net::Ipv4Addr;
use std::sync::Arc;

use feed::{Message, Packed, Push, over};
use roster::Beat;
use unit::{Era, Incarnation, Version};
use wire::codec::pack;
use wire::{Dialer, Frame, Identity, Listener, Note, Peer, Topic, Trust};

/// Messages of each kind.
const MESSAGES: u64 = 200;

#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<(), Box<dyn Error>> {
    let here = Ipv4Addr::LOCALHOST;
    let dials = Identity::fresh("desk-1".parse()?)?;
    let listens = Identity::fresh("desk-2".parse()?)?;
    let (name, known) = (dials.instance().clone(), dials.fingerprint());
    let trust = Trust::new(move |print| (*print == known).then(|| name.clone()));
    let listener = Arc::new(Listener::bind((here, 0).into(), &listens, trust)?);
    let peer = Peer {
        instance: listens.instance().clone(),
        address: listener.address()?,
        fingerprint: listens.fingerprint(),
    };
    tokio::spawn(echo(listener));
    let dialer = Arc::new(Dialer::bind(dials, here.into())?);
    let carrier = over(dialer.clone());
    let link = dialer.link(&peer).await?;
    println!("handshake: {} bytes of UDP payload", link.bytes());
    let beat = Beat {
        incarnation: Incarnation(1_700_000_000_000),
        total: u64::MAX / 3,
        rules: Version::of(70_000),
        era: Some(Era(1)),
        evacuations: 0,
    };
    let rules = |length: usize| {
        Message::Rules(Push {
            version: Version::of(70_000),
            text: Packed::of(&" ".repeat(length)).ok(),
        })
    };
    // The link finds out how large its packets may be; that is not to be counted.
    for _ in 0..MESSAGES {
        carrier(peer.clone(), pack(&rules(4_000))?).await?;
    }
    for message in [Message::Beat(beat), rules(4_000), rules(16_000)] {
        let payload = pack(&message)?;
        let before = link.bytes();
        for _ in 0..MESSAGES {
            carrier(peer.clone(), payload.clone()).await?;
            tokio::time::sleep(std::time::Duration::from_millis(30)).await;
        }
        let each = (link.bytes() - before) / MESSAGES;
        let (kind, size) = (message.kind(), payload.len());
        println!("{kind} of {size} bytes, and an answer of 20: {each} bytes of UDP payload");
    }
    Ok(())
}

/// Answers each note with 20 bytes.
async fn echo(listener: Arc<Listener>) -> Result<(), wire::Error> {
    let Some(handshake) = listener.accept().await else {
        return Ok(());
    };
    let link = handshake.finish().await?;
    loop {
        let mut stream = link.stream().await?;
        stream.receiver.recv().await?;
        let payload = vec![7; 20].into();
        let topic = Topic::Feed;
        stream.sender.push(&Frame::Note(Note { topic, payload }))?;
        stream.sender.finish().await?;
    }
}
