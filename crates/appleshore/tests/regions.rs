//! Regions, on whole daemons over loopback.

use appleshore::Part;
use http::Method;
use mesh::{Mesh, until};

const RULES: &str = r#"{ "rules": [
    { "name": "east", "when": { "path": "/east/**" },
      "then": { "service": "desk", "timeout": "5s", "regions": ["east"] } },
    { "name": "nowhere", "when": { "path": "/nowhere/**" },
      "then": { "service": "desk", "timeout": "5s", "regions": ["north"] } },
    { "name": "rest", "then": { "service": "desk", "timeout": "5s" } }
] }"#;

/// Two daemons in region `west` and two in `east`. No setting says how far apart they are.
async fn mesh() -> Mesh {
    let builder = Mesh::builder().instances(4).rules(RULES);
    let builder = builder
        .zones(&["w1", "w2", "e1", "e2"])
        .regions(&["west", "west", "east", "east"]);
    builder.start().await
}

fn runs(mesh: &Mesh, path: &str) -> Vec<u64> {
    let runs = |index| mesh.target(index).paths().get(path).copied().unwrap_or(0);
    (0..4).map(runs).collect()
}

#[tokio::test]
async fn requests_are_served_in_allowed_regions_only() {
    // Data that must stay in a region must not be read in another, also when that is nearer.
    let mesh = mesh().await;
    for _ in 0..20 {
        assert_eq!(mesh.get(0, "/east/a").await.status, 200);
    }
    let counts = runs(&mesh, "/east/a");
    assert_eq!((counts[0] + counts[1], counts[2] + counts[3]), (0, 20));
    let refused = mesh.get(0, "/nowhere/a").await;
    assert_eq!(refused.status, 503);
    assert_eq!(refused.reason, "no-region");
    assert_eq!(refused.outcome, "not-run");
    assert_eq!(refused.headers["retry-after"], "1");
    assert_eq!(mesh.runs_of("/nowhere/a"), 0);
}

#[tokio::test]
async fn requests_stay_in_their_region_and_bytes_are_counted() {
    // A daemon that does not know its region sends half of its requests over the dear way.
    let mesh = mesh().await;
    for _ in 0..100 {
        assert_eq!(mesh.get(0, "/a").await.status, 200);
    }
    let counts = runs(&mesh, "/a");
    assert!(counts[2] + counts[3] <= 15, "{counts:?}");
    for _ in 0..5 {
        mesh.get(0, "/east/a").await;
    }
    until("the bytes are counted", || {
        let dump = mesh.daemon(0).dump(Part::Entry).state;
        let region = &dump["services"][0]["choice"]["regions"]["east"];
        let count = |name: &str| region[name].as_u64().unwrap_or(0);
        // Each answer of the stand-in and its head have more than 20 bytes.
        count("requests") >= 5 && count("bytes") >= 5 * 20
    })
    .await;
    let operator = mesh.operator(0);
    let metrics = mesh.client.send(operator, Method::GET, "/metrics", &[], "");
    let metrics = String::from_utf8_lossy(&metrics.await.body).into_owned();
    let line = r#"appleshore_region_requests_total{from="west",to="east"}"#;
    assert!(metrics.contains(line), "{metrics}");
}
