//! The way between clients and their machine: it passes bytes on after a fixed time.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

/// Passes connections to `address` on to `to`, each byte `delay` late, both ways.
pub fn start(address: SocketAddr, to: SocketAddr, delay: Duration) {
    let listener = TcpListener::bind(address).expect("a free address for the way");
    thread::spawn(move || {
        for near in listener.incoming().flatten() {
            let Ok(far) = TcpStream::connect(to) else {
                continue;
            };
            let _ = (near.set_nodelay(true), far.set_nodelay(true));
            let clones = (
                near.try_clone().expect("a socket"),
                far.try_clone().expect("a socket"),
            );
            carry(near, far, delay);
            carry(clones.1, clones.0, delay);
        }
    });
}

fn carry(mut from: TcpStream, mut to: TcpStream, delay: Duration) {
    let (sender, receiver) = mpsc::channel::<(Instant, Vec<u8>)>();
    thread::spawn(move || {
        let mut part = [0; 16 << 10];
        loop {
            let count = from.read(&mut part).unwrap_or(0);
            if sender
                .send((Instant::now() + delay, part[..count].to_vec()))
                .is_err()
                || count == 0
            {
                return;
            }
        }
    });
    thread::spawn(move || {
        for (at, bytes) in receiver {
            thread::sleep(at.saturating_duration_since(Instant::now()));
            if bytes.is_empty() || to.write_all(&bytes).is_err() {
                let _ = to.shutdown(Shutdown::Write);
                return;
            }
        }
    });
}
