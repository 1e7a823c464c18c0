//! `check` and `explain`.

use appleshore::workspace::{Key, Salt};

use crate::kit::{file, run, run_with};

const RULES: &str = r#"{
  "caller": { "header": "x-caller" },
  "rules": [
    {
      "name": "destruction",
      "when": { "method": "POST", "path": "/vault/destroy/*" },
      "then": { "service": "vault-desk", "once": { "header": "idempotency-key" } }
    },
    { "name": "court", "when": { "path": "/files/**", "caller": "*@court" },
      "then": { "service": "file-registry", "urgency": "urgent" } },
    { "name": "files", "when": { "path": "/files/**" }, "then": { "service": "file-registry" } },
    { "name": "late", "when": { "path": "/files/a" }, "then": { "service": "vault-desk" } }
  ]
}"#;

#[tokio::test]
async fn check_lists_each_fault_with_its_place() {
    let text = "{ \"rules\": [\n  { \"name\": \"a\", \"then\": { \"servise\": \"x\" } },\n  { \"name\": \"a\" }\n] }";
    let path = file("faults.jsonc", text);
    let run = run(&["check", &path]).await;
    assert_eq!(run.code, Some(2), "{run:?}");
    let expected = [
        ":2:26: neither \"service\" nor \"refuse\"",
        ":2:28: unknown field \"servise\"",
        ":3:3: field \"then\" is missing",
        ":3:13: rule \"a\" is already defined",
        ": 4 faults",
    ];
    assert_eq!(run.err.lines().count(), expected.len(), "{run:?}");
    for (line, expected) in run.err.lines().zip(expected) {
        assert!(line.starts_with(&format!("{path}{expected}")), "{line}");
    }
}

#[tokio::test]
async fn check_warns_of_a_rule_that_can_never_match() {
    let path = file("warning.jsonc", RULES);
    let run = run(&["check", &path]).await;
    assert_eq!(run.code, Some(0), "{run:?}");
    let warning = "warning: rule \"late\" can never match: rule \"files\" matches first";
    assert_eq!(run.err, format!("{path}:12:5: {warning}\n"));
    assert_eq!(run.out, format!("{path}: no faults\n"));
}

#[tokio::test]
async fn check_reads_settings_and_missing_files() {
    let good = file("settings.jsonc", setting::Setting::example());
    assert_eq!(run(&["check", "--settings", &good]).await.code, Some(0));
    let bad = file("no-settings.jsonc", "{ \"slots\": 0 }");
    let faulty = run(&["check", "--settings", &bad]).await;
    assert_eq!(faulty.code, Some(2));
    assert!(faulty.err.contains(&format!("{bad}:1:12: ")), "{faulty:?}");
    let missing = run(&["check", "no such file"]).await;
    assert_eq!(missing.code, Some(2));
    assert!(
        missing.err.starts_with("read no such file: "),
        "{missing:?}"
    );
}

#[tokio::test]
async fn explain_names_the_rule_and_why_not_the_earlier_ones() {
    let path = file("explain.jsonc", RULES);
    let line = ["explain", &path, "--method", "GET", "--path", "/files//7"];
    let found = run(&[&line[..], &["--header", "x-caller=desk@clinic"]].concat()).await;
    assert_eq!(found.code, Some(0), "{found:?}");
    let expected = "rule \"destruction\" did not match: method is GET, expected POST\n\
                    rule \"court\" did not match: caller is \"desk@clinic\", expected \"*@court\"\n\
                    rule \"files\" matched\n\
                    caller: desk@clinic\n\
                    goes to service file-registry, routine, timeout 10s, retries 1\n";
    assert_eq!(found.out, expected);
    let court = run(&[&line[..], &["--caller", "clerk@court"]].concat()).await;
    assert!(court.out.contains("rule \"court\" matched"), "{court:?}");
}

#[tokio::test]
async fn explain_tells_what_becomes_of_the_key() {
    let path = file("key.jsonc", RULES);
    let line = [
        "explain",
        &path,
        "--method",
        "POST",
        "--path",
        "/vault/destroy/4",
    ];
    let keyed = run(&[&line[..], &["--header", "idempotency-key=4711"]].concat()).await;
    assert!(
        keyed
            .out
            .contains("at most once for its key \"4711\" in header idempotency-key")
    );
    let bare = run(&line).await;
    assert!(bare.out.contains("refused, no-key"), "{bare:?}");
}

#[tokio::test]
async fn explain_fails_for_what_no_rule_takes() {
    let path = file("none.jsonc", RULES);
    let none = run(&["explain", &path, "--method", "GET", "--path", "/x"]).await;
    assert_eq!(none.code, Some(1), "{none:?}");
    assert!(none.out.ends_with("no rule matched\n"), "{none:?}");
    let dots = run(&["explain", &path, "--method", "GET", "--path", "/files/../x"]).await;
    assert_eq!(dots.code, Some(1), "{dots:?}");
    assert!(dots.err.contains("dot segment"), "{dots:?}");
    let zones = RULES.replace("\"path\": \"/files/a\"", "\"zone\": \"longbien\"");
    let path = file("zones.jsonc", &zones);
    let zone = run(&["explain", &path, "--method", "GET", "--path", "/x"]).await;
    assert_eq!(zone.code, Some(2), "{zone:?}");
    assert!(
        zone.err.contains("rule \"late\" asks for the zone"),
        "{zone:?}"
    );
}

/// An operator sets a shell and the manual pages up. Both come from the command line itself, so that a
/// command which is added later is in them.
#[tokio::test]
async fn shells_and_manuals_know_each_command() {
    let bash = run(&["completions", "bash"]).await;
    assert_eq!(bash.code, Some(0), "{}", bash.err);
    let whole = run(&["manual"]).await;
    assert_eq!(whole.code, Some(0), "{}", whole.err);
    assert!(whole.out.contains(".TH"), "{}", whole.out);
    let commands = [
        "check", "explain", "rules", "dump", "drain", "claim", "trace",
    ];
    for command in commands {
        assert!(bash.out.contains(command), "completions of {command}");
        assert!(whole.out.contains(command), "manual of {command}");
        let page = run(&["manual", command]).await;
        assert!(
            page.out.contains(&format!("appleshore\\-{command}")),
            "{}",
            page.out
        );
    }
    let put = run(&["manual", "rules", "put"]).await;
    assert!(put.out.contains("if\\-version"), "{}", put.out);
    let none = run(&["manual", "nothing"]).await;
    assert_eq!(none.code, Some(2));
    assert!(none.err.contains("no command \"nothing\""), "{}", none.err);
}

const WORKSPACE_KEY: &str = "k-3f9b61c07d";

/// A document in which `WORKSPACE_KEY` belongs to each workspace of `owners`.
fn with_workspaces(owners: &[&str]) -> String {
    let salt = Salt::of(b"a configuration");
    let key = Key::new(WORKSPACE_KEY.as_bytes()).expect("a key");
    let digest = salt.digest(&key);
    let members = owners.iter().map(|name| {
        format!(
            r#"    "{name}": {{ "keys": ["{digest}"], "priority": 0, "rate": "174/s", "burst": 9 }}"#
        )
    });
    let members: Vec<String> = members.collect();
    format!(
        "{{\n  \"workspaces\": {{ \"salt\": \"{salt}\", \"members\": {{\n{}\n  }} }},\n  \"rules\": [\n    \
         {{ \"name\": \"open\", \"when\": {{ \"path\": \"/open\" }}, \"then\": {{ \"service\": \"desk\", \
         \"public\": true }} }},\n    {{ \"name\": \"rest\", \"then\": {{ \"service\": \"desk\", \
         \"priority\": 3 }} }}\n  ]\n}}",
        members.join(",\n")
    )
}

/// Guards against a fault of a workspace that is found only when the rules are in the store.
#[tokio::test]
async fn check_reports_faults_of_workspaces() {
    let path = file("two-owners.jsonc", &with_workspaces(&["pulo", "rest"]));
    let run = run(&["check", &path]).await;
    assert_eq!(run.code, Some(2), "{run:?}");
    let fault = "4:24: a key of workspace \"rest\" already belongs to workspace \"pulo\" at line 3";
    assert!(run.err.starts_with(&format!("{path}:{fault}")), "{run:?}");
}

/// Guards against a key that has to be given as an argument, where each user of the machine sees it, and
/// against one that is printed.
#[tokio::test]
async fn explain_tells_whose_key_it_reads() {
    let path = file("workspaces.jsonc", &with_workspaces(&["pulo"]));
    let line = [
        "explain",
        &path,
        "--method",
        "GET",
        "--path",
        "/a",
        "--key-stdin",
    ];
    let found = run_with(&line, &format!("{WORKSPACE_KEY}\n")).await;
    assert_eq!(found.code, Some(0), "{found:?}");
    let expected = "workspace pulo: priority 0, quota 174/s with burst 9, regions all\n";
    assert!(found.out.ends_with(expected), "{found:?}");
    assert!(found.out.contains("caller: pulo\n"), "{found:?}");
    assert!(found.out.contains("service desk, urgent,"), "{found:?}");
    let unknown = run_with(&line, "k-00").await;
    assert_eq!(unknown.code, Some(1), "{unknown:?}");
    assert!(unknown.err.contains("no-workspace"), "{unknown:?}");
    let empty = run_with(&line, "\n").await;
    assert_eq!(empty.code, Some(2), "{empty:?}");
    for run in [found, unknown, empty] {
        let output = run.out + &run.err;
        assert!(
            !output.contains(WORKSPACE_KEY) && !output.contains("k-00"),
            "{output}"
        );
    }
    let without = run(&line[..6]).await;
    assert!(
        without.out.contains("needs the key of a workspace"),
        "{without:?}"
    );
    let open = ["explain", &path, "--method", "GET", "--path", "/open"];
    assert!(run(&open).await.out.contains("public: no key"));
}
