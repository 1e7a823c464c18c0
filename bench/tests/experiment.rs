//! Experiments: what a workload may say, and what comes out of a run.

use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

use bench::experiment::{Comparison, Workload, load, run};

const SMALL: &str = r#"{
    "name": "eight", "targets": 8, "slots": 6, "zones": 2, "service": "20ms", "load": 80,
    "goal": { "urgent": "150ms", "routine": "300ms" },
    "spells": { "factor": 5, "length": "800ms", "gap": "3s" },
    "rounds": 1, "seeds": 2,
    "modes": [{ "name": "no <reports>", "without": ["rides", "probes", "notices"] }]
}"#;

fn workloads() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("workloads")
}

fn parsed(text: &str) -> Workload {
    Workload::parse(text).expect("a good workload")
}

fn mean(comparison: &Comparison, figure: &str) -> f64 {
    let mean = comparison.mean("appleshore", "all", figure);
    mean.expect("a figure")
}

fn experiment(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_bench"));
    let command = command.arg("experiment").args(arguments);
    command.output().expect("the binary runs")
}

#[test]
fn every_workload_of_the_repository_is_read() {
    let files = fs::read_dir(workloads()).expect("a directory");
    let paths: Vec<PathBuf> = files.map(|file| file.expect("a file").path()).collect();
    assert!(paths.len() >= 3, "{paths:?}");
    for path in paths {
        load(&path).expect("a good workload");
    }
}

#[test]
fn the_small_workload_keeps_its_bounds() {
    let workload = load(&workloads().join("small.json")).expect("a good workload");
    let comparison = run(&workload, 1, 2);
    let broken: Vec<String> = comparison
        .broken()
        .iter()
        .map(ToString::to_string)
        .collect();
    assert!(broken.is_empty(), "{broken:?}");
    assert!(!comparison.has_false_not_run());
}

#[test]
fn the_same_seeds_give_the_same_figures_whatever_runs_beside() {
    let workload = parsed(SMALL);
    let alone = run(&workload, 7, 1).to_string();
    assert_eq!(alone, run(&workload, 7, 4).to_string());
    assert_ne!(alone, run(&workload, 8, 1).to_string());
}

#[test]
fn modes_are_asked_for_the_same() {
    // Differences are taken seed by seed, which means little if the load differs as well.
    let directory = tempfile::tempdir().expect("a directory");
    let json = directory.path().join("figures.json").display().to_string();
    let workload = directory.path().join("workload.json");
    fs::write(&workload, SMALL).expect("written");
    let ended = experiment(&[&workload.display().to_string(), "--json", &json]);
    assert!(ended.status.success(), "{ended:?}");
    let figures = fs::read_to_string(&json).expect("figures");
    let figures: serde_json::Value = serde_json::from_str(&figures).expect("JSON");
    let came = |mode: usize| -> Vec<f64> {
        let seconds = figures["modes"][mode]["seconds"]
            .as_array()
            .expect("seconds");
        let sum = |second: &serde_json::Value| {
            let counts = second.as_array().expect("counts").iter();
            counts.filter_map(serde_json::Value::as_f64).sum()
        };
        seconds.iter().map(sum).collect()
    };
    assert!(came(0).iter().sum::<f64>() > 1_000.0, "{:?}", came(0));
    assert_eq!(came(0), came(1));
}

#[test]
fn troubles_of_the_workload_cost_callers() {
    // Targets that are never slow, and such as are slow ten times for long.
    let quiet = SMALL.replace("\"800ms\", \"gap\": \"3s\"", "\"1ms\", \"gap\": \"1m\"");
    let rough = SMALL.replace("\"factor\": 5", "\"factor\": 10");
    let [quiet, rough] = [quiet, rough].map(|text| mean(&run(&parsed(&text), 1, 2), "in_time"));
    assert!(quiet > rough + 1.0, "quiet {quiet}, rough {rough}");
}

#[test]
fn callers_that_come_back_are_refused_less_often() {
    // There is room for them again when the burst is over.
    let burst = r#""fault": { "kind": "storm", "times": 4, "length": "100ms" }, "rounds""#;
    let burst = SMALL
        .replace("\"load\": 80", "\"load\": 50")
        .replace("\"rounds\"", burst);
    let returning = burst.replace("\"rounds\"", "\"returns\": true, \"rounds\"");
    let [once, twice] = [burst, returning].map(|text| mean(&run(&parsed(&text), 1, 2), "refused"));
    assert!(once > 0.0 && twice < once, "once {once}, twice {twice}");
}

#[test]
fn shares_add_up_to_all_requests() {
    let comparison = run(&parsed(SMALL), 1, 2);
    let shares = ["in_time", "late", "refused", "failed"].map(|figure| mean(&comparison, figure));
    let sum: f64 = shares.iter().sum();
    assert!((sum - 100.0).abs() < 1e-6, "{shares:?}");
}

#[test]
fn faults_of_a_workload_are_named_with_their_place() {
    let cases = [
        ("{}", "line 1, column 1: field \"name\" is missing"),
        (
            "{\n  \"name\": \"a\",\n  \"slotz\": 3\n}",
            "line 3, column 3: unknown field \"slotz\"",
        ),
        (
            r#"{ "name": "a", "targets": 0 }"#,
            "line 1, column 27: 0 is out of range: expected a whole number from 1 to 400",
        ),
        (
            r#"{ "name": "a", "service": "0s" }"#,
            "0s is out of range: expected more than 0s, up to 1m",
        ),
        (
            r#"{ "name": "a", "goal": { "urgent": "1s" } }"#,
            "field \"routine\" is missing",
        ),
        (
            r#"{ "name": "a", "fault": { "kind": "storm", "length": "1s" } }"#,
            "field \"times\" is missing",
        ),
        (
            r#"{ "name": "a", "fault": { "kind": "cold", "length": "3s" } }"#,
            "3s is out of range: expected less than 3s",
        ),
        (
            r#"{ "name": "a", "modes": [{ "name": "appleshore" }] }"#,
            "mode \"appleshore\" is there already",
        ),
        (
            r#"{ "name": "a", "modes": [{ "name": "b", "without": ["copies"] }] }"#,
            "unknown \"copies\": expected one of rides, probes, notices, hand-overs, hedges",
        ),
        (
            r#"{ "name": "a", "bounds": [{ "mode": "b", "class": "all", "figure": "p99", "most": 1 }] }"#,
            "unknown \"b\": expected appleshore",
        ),
        (
            r#"{ "name": "a", "bounds": [{ "mode": "appleshore", "class": "all", "figure": "p99" }] }"#,
            "a bound needs \"least\", \"most\" or both",
        ),
        (
            r#"{ "name": "a", "targets": 400, "slots": 1000, "service": "1ms" }"#,
            "requests in a run: expected at most 5000000",
        ),
    ];
    for (text, expected) in cases {
        let error = Workload::parse(text).expect_err(text).to_string();
        assert!(error.contains(expected), "{text}: {error}");
    }
}

#[test]
fn the_command_writes_figures_and_a_page() {
    let directory = tempfile::tempdir().expect("a directory");
    let file = |name: &str| directory.path().join(name).display().to_string();
    let [workload, json, html] = ["small.json", "figures.json", "page.html"].map(file);
    fs::write(&workload, SMALL).expect("written");
    let ended = experiment(&[&workload, "--json", &json, "--html", &html, "--seeds", "3"]);
    assert!(ended.status.success(), "{ended:?}");
    let printed = String::from_utf8_lossy(&ended.stdout).into_owned();
    assert!(printed.starts_with("eight, 3 seeds"), "{printed}");
    let figures = fs::read_to_string(&json).expect("figures");
    let figures: serde_json::Value = serde_json::from_str(&figures).expect("JSON");
    assert_eq!(figures["seeds"], serde_json::json!([1, 2, 3]));
    assert_eq!(figures["modes"][1]["rows"][0]["figure"], "in_time");
    let page = fs::read_to_string(&html).expect("a page");
    assert_eq!(page.matches("<svg").count(), 2);
    assert!(page.contains("no &lt;reports&gt;") && !page.contains("<reports>"));
}

#[test]
fn the_command_fails_with_the_cause() {
    let directory = tempfile::tempdir().expect("a directory");
    let path = directory.path().join("workload.json");
    let name = path.display().to_string();
    let bound = r#""bounds": [{ "mode": "appleshore", "class": "all", "figure": "in_time", "least": 100.5 }], "rounds""#;
    fs::write(&path, SMALL.replace("\"rounds\"", bound)).expect("written");
    let missing = directory.path().join("none.json").display().to_string();
    let cases = [
        (name.as_str(), "in_time of all with appleshore is "),
        (missing.as_str(), "none.json: No such file"),
    ];
    for (file, expected) in cases {
        let ended = experiment(&[file]);
        let said = String::from_utf8_lossy(&ended.stderr).into_owned();
        assert!(!ended.status.success() && said.contains(expected), "{said}");
    }
}
