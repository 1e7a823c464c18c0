//! Stand-ins for what surrounds the daemons, and the daemons as processes, for the cases of a review.

pub mod daemon;
pub mod distance;
pub mod http;
pub mod json;
pub mod store;
pub mod upstream;

use json::Json;

/// A configuration: idempotent requests under `/read/`, others under `/book/`.
pub fn config(version: u64, service: &str, timeout_ms: u64) -> Json {
    let text = format!(
        r#"{{"version":"r{version}",
        "routes":{{"columns":["name","host","path_prefix","kind","timeout_ms","target_latency_ms","priority","service","max_attempts","weighted_clusters"],
        "rows":[["r-read","desk.example","/read/","idempotent",{timeout_ms},800,2,"{service}",2,null],
                ["r-book","desk.example","/book/","non_idempotent",{timeout_ms},800,1,"{service}",2,null]]}},
        "services":{{"columns":["name","health_path","max_connections","protocol","tls"],"rows":[["{service}","/health",260,"h1",false]]}},
        "limits":{{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#
    );
    Json::parse(&text).expect("a configuration")
}
