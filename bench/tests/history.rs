//! The checker of histories: what it finds, and that it stays silent on sound ones.

use std::time::Duration;

use bench::history::{
    Edit, EditEnd, History, Kind, Options, Report, Run, Safeguard, Seen, Send, Told, check, run_all,
};
use unit::Outcome;

fn send(key: &str, path: &str, told: Option<Told>) -> Send {
    Send {
        path: path.to_string(),
        key: Some(key.to_string()),
        body: "slip".to_string(),
        entry: 0,
        at: Duration::ZERO,
        last: path.contains("last"),
        told,
    }
}

fn told(outcome: Outcome, reason: &str, text: &str) -> Option<Told> {
    Some(Told {
        at: Duration::ZERO,
        status: 200,
        outcome: Some(outcome),
        reason: reason.to_string(),
        text: text.to_string(),
        whole: true,
    })
}

fn run(path: &str) -> Run {
    Run {
        target: 1,
        path: path.to_string(),
        at: Duration::ZERO,
    }
}

fn history(sends: Vec<Send>, runs: &[&str]) -> History {
    History {
        sends,
        runs: runs.iter().map(|path| run(path)).collect(),
        ..History::default()
    }
}

fn kinds(history: &History) -> Vec<Kind> {
    let violations = check(history);
    violations.iter().map(|violation| violation.kind).collect()
}

/// A key that ran, was answered again, refused before that, and left open elsewhere.
fn sound() -> History {
    let again = told(Outcome::AlreadyRun, "", "/a slip");
    let mut history = history(
        vec![
            send("k", "/none", told(Outcome::NotRun, "no-claim", "{}")),
            send("k", "/a", told(Outcome::Ran, "", "/a slip")),
            send("k", "/b", again),
            send("k", "/last", told(Outcome::AlreadyRun, "already-run", "{}")),
            send("open", "/c", told(Outcome::Unknown, "lost", "{}")),
            send("open", "/last-c", told(Outcome::Unknown, "lost", "{}")),
            send("silent", "/d", None),
            send("silent", "/last-d", told(Outcome::Unknown, "lost", "{}")),
            send("free", "/e", told(Outcome::NotRun, "full", "{}")),
            send("free", "/last-e", told(Outcome::NotRun, "no-claim", "{}")),
            send("free", "/last-f", told(Outcome::Ran, "", "/last-f slip")),
        ],
        &["/a", "/last-f"],
    );
    history.seen = vec![seen(0, 3, "a"), seen(1, 3, "a"), seen(0, 5, "b")];
    history.edits = vec![edit("a", EditEnd::Accepted), edit("c", EditEnd::Unknown)];
    history.kept = vec!["a".to_string()];
    history
}

fn seen(daemon: usize, version: u64, name: &str) -> Seen {
    Seen {
        daemon,
        life: 1,
        at: Duration::ZERO,
        version,
        names: vec![name.to_string()],
    }
}

fn edit(name: &str, end: EditEnd) -> Edit {
    Edit {
        name: name.to_string(),
        at: Duration::ZERO,
        end,
    }
}

#[test]
fn a_sound_history_passes() {
    assert_eq!(check(&sound()), Vec::new());
}

#[test]
fn two_runs_of_a_key_are_reported() {
    // A slip lands twice: by two requests with one key, or by one request at two targets. Its
    // callers may have been told anything, even nothing.
    let sends = || vec![send("k", "/a", None), send("k", "/b", None)];
    assert_eq!(kinds(&history(sends(), &["/a", "/b"])), [Kind::TwoRuns]);
    assert_eq!(kinds(&history(sends(), &["/a", "/a"])), [Kind::TwoRuns]);
    assert_eq!(kinds(&history(sends(), &["/a"])), []);
}

#[test]
fn a_run_behind_not_run_is_reported() {
    // A caller is told "not run" and sends again; the first one lands after all. That the resend
    // ran is no fault, so the runs are told apart by their paths.
    let sends = || {
        let refused = told(Outcome::NotRun, "no-target", "{}");
        let ran = told(Outcome::Ran, "", "/b slip");
        vec![send("k", "/a", refused), send("k", "/b", ran)]
    };
    assert_eq!(kinds(&history(sends(), &["/b"])), []);
    let found = kinds(&history(sends(), &["/a", "/b"]));
    assert_eq!(found, [Kind::RunBehindNotRun, Kind::TwoRuns]);
}

#[test]
fn a_not_run_that_may_be_repeated_is_held_to_it_as_well() {
    let mut lookup = send("", "/look", told(Outcome::NotRun, "full", "{}"));
    lookup.key = None;
    assert_eq!(
        kinds(&history(vec![lookup], &["/look"])),
        [Kind::RunBehindNotRun]
    );
}

#[test]
fn answers_of_others_and_cut_ones_are_reported() {
    // A caller gets the answer to another's request, or the first half of its own as if it were
    // all. A half that its connection shows as cut is no lie.
    let case = |text: &str, whole: bool| {
        let mut answer = told(Outcome::Ran, "", text);
        if let Some(told) = &mut answer {
            told.whole = whole;
        }
        kinds(&history(vec![send("k", "/a", answer)], &["/a"]))
    };
    assert_eq!(case("/a slip", true), []);
    assert_eq!(case("/a sl", false), []);
    assert_eq!(case("/a sl", true), [Kind::WrongAnswer]);
    assert_eq!(case("/b slip", true), [Kind::WrongAnswer]);
    assert_eq!(case("/b", false), [Kind::WrongAnswer]);
    let mut broken = told(Outcome::Ran, "", "piece 0\npiece 1\n");
    let cut = |broken: &Option<Told>| {
        kinds(&history(
            vec![send("k", "/cut/a", broken.clone())],
            &["/cut/a"],
        ))
    };
    assert_eq!(cut(&broken), [Kind::WrongAnswer]);
    if let Some(told) = &mut broken {
        told.whole = false;
    }
    assert_eq!(cut(&broken), []);
    let other = told(Outcome::AlreadyRun, "", "/z slip");
    let joined = vec![send("k", "/a", other), send("k", "/b", None)];
    assert_eq!(kinds(&history(joined, &["/b"])), [Kind::WrongAnswer]);
}

#[test]
fn a_run_that_was_not_is_reported() {
    // An owner believes a cradle is reserved, and it is not: "ran" or "already run" was told, and
    // no target was reached.
    let ran = vec![send("k", "/a", told(Outcome::Ran, "", "/a slip"))];
    assert_eq!(kinds(&history(ran, &[])), [Kind::FalseRan]);
    let already = told(Outcome::AlreadyRun, "already-run", "{}");
    let already = vec![send("k", "/a", already)];
    assert_eq!(kinds(&history(already, &[])), [Kind::FalseAlreadyRun]);
}

#[test]
fn a_dead_key_is_reported() {
    // All requests of a key were refused as not run. Its caller sends it once more when all is
    // well again, and is put off for ever.
    let refused = || told(Outcome::NotRun, "no-claim", "{}");
    let lost = told(Outcome::Unknown, "lost", "{}");
    let sends = vec![send("k", "/a", refused()), send("k", "/last", lost)];
    assert_eq!(kinds(&history(sends, &[])), [Kind::DeadKey]);
    let sends = vec![send("k", "/a", refused()), send("k", "/last", refused())];
    assert_eq!(kinds(&history(sends, &[])), [Kind::DeadKey]);
}

#[test]
fn rules_that_revert_are_reported() {
    // A daemon goes back to an older version, or two daemons hold different rules to be the same
    // version: an accepted change is out of force somewhere.
    let case = |seen: Vec<Seen>| {
        kinds(&History {
            seen,
            ..History::default()
        })
    };
    assert_eq!(
        case(vec![seen(0, 5, "a"), seen(0, 3, "b")]),
        [Kind::Reverted]
    );
    assert_eq!(
        case(vec![seen(0, 5, "a"), seen(1, 5, "b")]),
        [Kind::Reverted]
    );
    assert_eq!(case(vec![seen(0, 5, "a"), seen(1, 3, "b")]), []);
}

#[test]
fn a_lost_edit_is_reported() {
    // Two operators edit at once, both are told that all is well, and the edit of one is gone.
    let lost = |end| {
        kinds(&History {
            edits: vec![edit("a", end)],
            ..History::default()
        })
    };
    assert_eq!(lost(EditEnd::Accepted), [Kind::LostEdit]);
    assert_eq!(lost(EditEnd::Unknown), []);
    assert_eq!(lost(EditEnd::Refused), []);
}

/// Runs histories without a safeguard, a few at a time, until the checker finds a violation.
async fn found(without: Safeguard, kinds: &[Kind]) -> bool {
    const AT_ONCE: u64 = 6;
    const MOST: u64 = 60;
    for seed in (1..=MOST).step_by(AT_ONCE as usize) {
        let report = run_all(&Options {
            seeds: AT_ONCE,
            seed,
            without: Some(without),
            ..Options::default()
        })
        .await;
        assert_eq!(report.failed, Vec::<String>::new());
        if kinds
            .iter()
            .any(|kind| report.violations.contains_key(&kind.to_string()))
        {
            return true;
        }
    }
    false
}

#[tokio::test(flavor = "multi_thread")]
async fn without_the_version_check_keys_run_twice() {
    // Two owners of a shard write its head, each over the other. A claim that the store had
    // confirmed is gone with that, and the next request with its key runs again.
    assert!(found(Safeguard::Fence, &[Kind::TwoRuns]).await);
}

#[tokio::test(flavor = "multi_thread")]
async fn without_the_claim_keys_run_twice() {
    // Entries run orders without asking the ledger. Each resend of a slip lands as well.
    assert!(found(Safeguard::Claim, &[Kind::TwoRuns]).await);
}

#[tokio::test(flavor = "multi_thread")]
async fn without_the_token_check_orders_run_behind_not_run() {
    // A link goes silent while an order runs. The entry asks the gate after it, and the gate says
    // without a look that it never came: the order is refused or goes to another target, though
    // it has run.
    let kinds = [Kind::RunBehindNotRun, Kind::TwoRuns];
    assert!(found(Safeguard::Token, &kinds).await);
}

#[tokio::test(flavor = "multi_thread")]
async fn histories_hold() {
    let report: Report = run_all(&Options::default()).await;
    println!("{report}");
    assert_eq!(report.failed, Vec::<String>::new());
    assert_eq!(report.violations, Default::default());
    assert_eq!(report.histories, 20);
}
