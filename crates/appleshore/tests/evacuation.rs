//! A zone is evacuated and taken back, on whole daemons over loopback.

use bytes::Bytes;
use mesh::{Mesh, until};
use store::Condition;

const ZONES: [&str; 2] = ["longbien", "gialam"];

async fn mesh() -> Mesh {
    let builder = Mesh::builder().instances(4).zones(&ZONES);
    builder
        .settings(r#""evacuation_prefix": "evacuations/""#)
        .start()
        .await
}

async fn evacuate(mesh: &Mesh, zone: &str) {
    let store = mesh.platform.store();
    let key = format!("evacuations/{zone}");
    let put = store.put(&key, Bytes::from("{}"), Condition::Any).await;
    put.expect("the platform takes the evacuation");
    wait_until(mesh, zone, true).await;
}

async fn take_back(mesh: &Mesh, zone: &str) {
    let store = mesh.platform.store();
    let key = format!("evacuations/{zone}");
    let deleted = store.delete(&key, Condition::Any).await;
    deleted.expect("the platform ends the evacuation");
    wait_until(mesh, zone, false).await;
}

/// Waits until all gates of a zone are closed or open, and all entries have heard of it.
async fn wait_until(mesh: &Mesh, zone: &str, evacuated: bool) {
    let of_zone = |index: &usize| ZONES[index % ZONES.len()] == zone;
    until("the evacuation is in force", || {
        let gates = (0..4).filter(of_zone).all(|index| {
            let gate = mesh.daemon(index).dump(appleshore::Part::Gate).state;
            gate["evacuated"] == evacuated
        });
        let entries = (0..4).all(|index| {
            let entry = mesh.daemon(index).dump(appleshore::Part::Entry).state;
            let known = entry["services"][0]["choice"]["evacuated"].as_u64();
            known.is_some_and(|known| (known > 0) == evacuated)
        });
        gates && entries
    })
    .await;
}

fn runs_in(mesh: &Mesh, zone: &str) -> u64 {
    let of_zone = (0..4).filter(|index| ZONES[index % ZONES.len()] == zone);
    let runs = of_zone.map(|index| mesh.target(index).paths().values().sum::<u64>());
    runs.sum()
}

#[tokio::test]
async fn targets_of_an_evacuated_zone_get_nothing_until_it_is_taken_back() {
    let mesh = mesh().await;
    evacuate(&mesh, "gialam").await;
    let before = runs_in(&mesh, "gialam");
    for number in 0..40 {
        let answer = mesh.get(number % 4, &format!("/echo/{number}")).await;
        assert_eq!((answer.status, answer.outcome.as_str()), (200, "ran"));
    }
    assert_eq!(runs_in(&mesh, "gialam"), before);
    take_back(&mesh, "gialam").await;
    let mut number = 100;
    while runs_in(&mesh, "gialam") == before {
        assert!(number < 1_000, "the zone gets nothing after the evacuation");
        mesh.get(number % 4, &format!("/echo/{number}")).await;
        number += 1;
    }
}

/// With no zone left, requests hung until their deadlines in place of a refusal.
#[tokio::test]
async fn request_is_refused_at_once_when_all_zones_are_evacuated() {
    let mesh = mesh().await;
    for zone in ZONES {
        evacuate(&mesh, zone).await;
    }
    let answer = mesh.get(0, "/echo/none").await;
    let head = (answer.status, answer.outcome.as_str());
    assert_eq!(head, (503, "not-run"), "{answer:?}");
    assert_eq!(answer.reason, "evacuated");
    assert!(answer.headers.contains_key("retry-after"), "{answer:?}");
    assert_eq!(mesh.runs_of("/echo/none"), 0);
}
