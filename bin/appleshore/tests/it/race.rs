//! `rules get` and `rules put`: conditions, races, and answers that are lost.

use std::time::Duration;

use unit::Version;

use crate::kit::{document, file, serve};

#[tokio::test]
async fn get_gives_the_text_and_the_version() {
    let served = serve().await;
    assert_eq!(served.get(&[]).await.code, Some(1), "there are none yet");
    let text = document(&[("a", "x")]);
    let version = served.write(&text).await;
    let got = served.get(&[]).await;
    assert_eq!((got.code, got.out), (Some(0), text));
    assert_eq!(got.err, format!("version {version}\n"));
    let only = served.get(&["--version-only"]).await;
    assert_eq!(only.out, format!("{version}\n"));
}

#[tokio::test]
async fn put_without_a_condition_is_refused() {
    let served = serve().await;
    let path = file("bare.jsonc", &document(&[("a", "x")]));
    let absent = served.put(&path, &[]).await;
    assert_eq!(absent.code, Some(2), "{absent:?}");
    assert!(absent.err.contains("--if-absent"), "{absent:?}");
    let text = document(&[("b", "x")]);
    let version = served.write(&text).await;
    let bare = served.put(&path, &[]).await;
    assert_eq!(bare.code, Some(2), "{bare:?}");
    assert!(
        bare.err.contains(&format!("--if-version {version};")),
        "{bare:?}"
    );
    assert_eq!(served.read().await, Some((text, version)));
}

#[tokio::test]
async fn invalid_document_is_never_sent() {
    // The operator sees the place and the cause. The check comes before any write, under every
    // condition, since daemons would refuse the document and serve on by older rules that nobody
    // can read in the store any more.
    let served = serve().await;
    let path = file("invalid.jsonc", "{ \"rules\": 7 }");
    for condition in ["--if-absent", "--force"] {
        let run = served.put(&path, &[condition]).await;
        assert_eq!(run.code, Some(2), "{run:?}");
        assert!(run.err.starts_with(&format!("{path}:1:12: ")), "{run:?}");
    }
    assert_eq!(served.read().await, None);
}

#[tokio::test]
async fn loser_of_a_race_is_told_what_won() {
    // Two operators read version 1 and put their changes. The second one gets exit code 3, the
    // winner's version, and the rules in which the winner differs from its own file; the winner's
    // rules stay, because the write names the version that it replaces.
    let served = serve().await;
    let base = served
        .write(&document(&[("a", "x"), ("b", "x"), ("c", "x")]))
        .await;
    let winner = document(&[("c", "x"), ("b", "y"), ("d", "x")]);
    let loser = document(&[("a", "x"), ("b", "x"), ("c", "x")]);
    let (winner_path, loser_path) = (file("winner.jsonc", &winner), file("loser.jsonc", &loser));
    let condition = ["--if-version", &base.to_string()];
    let won = served.put(&winner_path, &condition).await;
    assert_eq!((won.code, won.out.as_str()), (Some(0), "version 2\n"));
    let lost = served.put(&loser_path, &condition).await;
    assert_eq!(lost.code, Some(3), "{lost:?}");
    let expected = "rules put: another change won: the key \"rules\" is at version 2; nothing was \
                    written.\nVersion 2 against the file:\n  added: \"d\"\n  removed: \"a\"\n  \
                    changed: \"b\"\n  order: the rules that both have stand in another order\n";
    assert!(lost.err.starts_with(expected), "{lost:?}");
    assert!(
        lost.err.ends_with("put again with --if-version 2.\n"),
        "{lost:?}"
    );
    assert_eq!(served.read().await, Some((winner, Version::of(2))));
    let forced = served.put(&loser_path, &["--force"]).await;
    assert_eq!((forced.code, forced.out.as_str()), (Some(0), "version 3\n"));
}

#[tokio::test]
async fn lost_answer_of_a_write_that_landed_is_told_as_written() {
    // The write takes effect and its answer is cut off. The operator sees that it is written, with
    // its version, because the command reads back and finds its own text at a new version.
    let served = serve().await;
    let text = document(&[("a", "x")]);
    served.platform.fault().lose_next(1);
    let run = served
        .put(&file("lost.jsonc", &text), &["--if-absent"])
        .await;
    assert_eq!(
        (run.code, run.out.as_str()),
        (Some(0), "version 1\n"),
        "{run:?}"
    );
    assert!(run.err.contains("an answer was lost"), "{run:?}");
    assert_eq!(served.read().await, Some((text, Version::of(1))));
    assert_eq!(served.platform.count_of("appleshore-rules").put, 1);
}

#[tokio::test]
async fn write_that_lands_after_it_was_given_up_lands_once() {
    // The first write hangs on its way beyond the command's time-out, and nothing is there when
    // the command reads back. It sends the same write again, which lands. The first one arrives at
    // last and meets another version than it names, so that it can't undo a change made since.
    let served = serve().await;
    let delay = Duration::from_millis(1_500);
    served
        .platform
        .fault_of("appleshore-rules")
        .delay_next(1, delay);
    let path = file("late.jsonc", &document(&[("a", "x")]));
    let run = served
        .put(&path, &["--if-absent", "--timeout", "300ms"])
        .await;
    assert_eq!(
        (run.code, run.out.as_str()),
        (Some(0), "version 1\n"),
        "{run:?}"
    );
    let since = document(&[("b", "x")]);
    served.write(&since).await;
    tokio::time::sleep(delay).await;
    assert_eq!(served.read().await, Some((since, Version::of(2))));
}

#[tokio::test]
async fn lost_answer_without_a_way_to_read_back_stays_open() {
    // The write lands, its answer is lost, and reads are refused from then on. The operator is
    // told neither "written" nor "not written", but how to find out.
    let served = serve().await;
    let faults = served.platform.fault_of("appleshore-rules");
    faults.lose_next(1);
    faults.limit_reads(unit::Rate::of(0.0), 1);
    let same = served.platform.store_named("appleshore-rules");
    assert_eq!(
        same.get("rules").await,
        Ok(None),
        "this takes the only read"
    );
    let path = file("open.jsonc", &document(&[("a", "x")]));
    let run = served.put(&path, &["--if-absent"]).await;
    assert_eq!(run.code, Some(1), "{run:?}");
    assert!(
        run.err.contains("may or may not have been written"),
        "{run:?}"
    );
    assert!(served.read().await.is_some(), "it was written in this case");
}

#[tokio::test]
async fn store_that_is_down_is_told_as_not_written() {
    let served = serve().await;
    served.platform.fault().down(true);
    let path = file("down.jsonc", &document(&[("a", "x")]));
    let run = served.put(&path, &["--if-absent"]).await;
    assert_eq!(run.code, Some(1), "{run:?}");
    assert!(run.err.contains("not done"), "{run:?}");
}
