//! Heartbeats and leaves that two threads receive at the same moment.

use std::sync::{Arc, Barrier};
use std::thread;
use std::time::Duration;

use gate::Gate;
use target::{Heartbeat, Heartbeats, Server};

const ROUNDS: u64 = 20_000;

fn server() -> Arc<Server> {
    let target = "127.0.0.1:9".parse().expect("an address");
    let service = "vault-desk".parse().expect("a name");
    let heartbeats = Heartbeats {
        period: Duration::ZERO,
        health_path: Arc::new(|| None),
        cold_target: Arc::new(Default::default),
    };
    let server = Server::builder(service, target, Gate::builder(4).build());
    Arc::new(server.heartbeats(heartbeats).build())
}

fn ready(life: &str, sequence: u64, slots: u16) -> Heartbeat {
    Heartbeat {
        life: life.to_string(),
        born: None,
        ready: true,
        slots,
        cold: Duration::ZERO,
        sequence,
    }
}

/// Guards against a gate that is opened for a stage that was read before a leave.
#[tokio::test]
async fn gate_stays_closed_if_a_heartbeat_meets_a_leave() {
    let runtime = tokio::runtime::Handle::current();
    let server = server();
    let barrier = Barrier::new(2);
    let open = thread::scope(|scope| {
        let (barrier, server, runtime) = (&barrier, &server, &runtime);
        scope.spawn(move || {
            let _guard = runtime.enter();
            for round in 0..ROUNDS {
                let life = format!("life-{round}");
                server.receive_heartbeat(&ready(&life, 1, 4));
                barrier.wait();
                server.receive_heartbeat(&ready(&life, 2, 5));
                barrier.wait();
                // The end of the life lets the next one begin.
                server.receive_heartbeat(&Heartbeat {
                    ready: false,
                    ..ready(&life, 3, 5)
                });
                barrier.wait();
            }
        });
        let leaver = scope.spawn(move || {
            let _guard = runtime.enter();
            let mut open = 0;
            for round in 0..ROUNDS {
                barrier.wait();
                server.receive_leave(&format!("life-{round}"), None);
                barrier.wait();
                open += usize::from(!server.gate().dump().leaving);
                barrier.wait();
            }
            open
        });
        leaver.join().expect("no panic")
    });
    assert_eq!(open, 0, "of {ROUNDS} leaves");
}
