//! Each failure of the table in `docs/design/hard-load.md`, and the rules that it rests on.

mod review;

use std::time::Duration;

use quota::{
    Age, Answer, Ask, Borrower, Daemon, Item, Lender, List, Member, Moment, Review, Setting, Take,
    View,
};
use unit::{Era, Incarnation, Rate, Version, Workspace};
use workspace::Quota;

const SETTING: Setting = Setting {
    window: Duration::from_secs(5),
    overage: 0.1,
    slack: 2,
};
const LIMIT: u32 = 40;
/// Of 40, with a fleet of 2, each has a share of 5 and 30 are lent; the margin is 6.
const LENDABLE: u32 = 30;
const MARGIN: u32 = 6;

fn quota(limit: u32) -> Quota {
    Quota {
        rate: Rate::of(f64::from(limit - limit / 6) / 5.0),
        burst: limit / 6,
    }
}

fn name() -> Workspace {
    "pulo".parse().expect("a workspace")
}

fn member(name: &str, life: u64) -> Member {
    Member {
        instance: name.parse().expect("an instance"),
        incarnation: Incarnation(life),
    }
}

fn list(number: u64, follows_settled: bool, allocators: &[&Member]) -> List {
    List {
        number,
        era: Era(0),
        settled: number == 1,
        follows_settled,
        complete: true,
        fleet: 2,
        allocators: allocators.iter().copied().cloned().collect(),
        daemons: Vec::new(),
        leaving: Vec::new(),
    }
}

fn at(ms: u64) -> Moment {
    Moment(Duration::from_millis(ms))
}

/// An allocator of the first list, confirmed at `ms`.
fn lender(ms: u64) -> Lender {
    let me = member("a", 1);
    let mut lender = Lender::new(me.clone(), SETTING);
    lender.confirm(at(ms), at(ms), Version::of(1), Some(&list(1, true, &[&me])));
    lender
}

fn confirm(lender: &mut Lender, ms: u64, list: &List) {
    lender.confirm(at(ms), at(ms), Version::of(list.number), Some(list));
}

/// What the allocator lends to `borrower`, which holds and wants as many.
fn lent(lender: &mut Lender, ms: u64, borrower: &Member, number: u64, held: u32, want: u32) -> u32 {
    let ask = Ask {
        incarnation: borrower.incarnation,
        number,
        list: Version::of(1),
        age_ms: 60_000,
        items: vec![Item {
            workspace: name(),
            held,
            want,
            tried: 0,
            returned: Vec::new(),
        }],
    };
    let answer = lender.ask(at(ms), &borrower.instance, &ask, |_| Some(quota(LIMIT)));
    answer.replies.first().map_or(0, |reply| reply.lent)
}

/// A borrower at `ms`, with the list of `allocator` and as many tokens as it wants for `count` requests.
fn borrower(ms: u64, allocator: &Member, count: u32) -> Borrower {
    let mut borrower = Borrower::new(Incarnation(9), SETTING);
    borrower.set_list(Version::of(1), &list(1, true, &[allocator]));
    borrower.set_limit(at(ms), &name(), LIMIT);
    for _ in 0..count {
        assert_eq!(borrower.take(at(ms), &name()), Take::Wait);
        borrower.set_waiting(&name(), true);
    }
    answer(&mut borrower, ms, allocator, count, LIMIT);
    for _ in 0..count {
        borrower.set_waiting(&name(), false);
    }
    borrower
}

/// Answers the next ask with `lent` tokens under `limit`.
fn answer(borrower: &mut Borrower, ms: u64, allocator: &Member, lent: u32, limit: u32) {
    let (_, ask) = borrower.asks(at(ms)).pop().expect("an ask");
    reply(borrower, ms, allocator, ask.number, lent, limit);
}

fn reply(borrower: &mut Borrower, ms: u64, from: &Member, number: u64, lent: u32, limit: u32) {
    let answer = Answer {
        lending: true,
        heard: true,
        renew_ms: 1_000,
        replies: vec![quota::Reply {
            workspace: name(),
            lent,
            limit,
            again_ms: 0,
            pace: None,
        }],
    };
    borrower.answered(at(ms), from, number, &answer);
}

fn take_all(borrower: &mut Borrower, ms: u64) -> u32 {
    let taken = std::iter::repeat_with(|| borrower.take(at(ms), &name()));
    taken
        .take_while(|take| matches!(take, Take::Spent(_)))
        .count() as u32
}

/// Tokens of a borrower that died were lent again while its requests were in the window, or never.
#[test]
fn tokens_of_a_dead_borrower_come_free_after_lease_and_window() {
    let mut lender = lender(0);
    let first = list(1, true, &[&member("a", 1)]);
    let (dead, other) = (member("b", 1), member("c", 1));
    assert_eq!(lent(&mut lender, 0, &dead, 1, 0, 99), LENDABLE);
    for (ms, expected) in [(9_900, 0), (10_000, LENDABLE)] {
        confirm(&mut lender, ms, &first);
        assert_eq!(lent(&mut lender, ms, &other, ms, 0, 99), expected);
    }
}

/// A restarted borrower was given the tokens that its former life held.
#[test]
fn restarted_borrower_starts_with_none() {
    let mut lender = lender(0);
    assert_eq!(lent(&mut lender, 0, &member("b", 1), 1, 0, 99), LENDABLE);
    assert_eq!(lent(&mut lender, 100, &member("b", 2), 1, 0, 99), 0);
}

/// A borrower that is cut off went on with loans that the allocator has lent to others.
#[test]
fn borrower_that_is_cut_off_keeps_only_its_share() {
    let allocator = member("a", 1);
    let mut borrower = borrower(1_000, &allocator, 8);
    assert_eq!(take_all(&mut borrower, 5_900), 13);
    // 5 s after the ask the loan ends, and with it the token of each request but those of the share.
    assert_eq!(take_all(&mut borrower, 6_000), 0);
    assert_eq!(take_all(&mut borrower, 10_900), 5);
}

/// The former life of a daemon has spent the same even share within the window.
#[test]
fn even_share_begins_a_window_after_the_start() {
    let mut borrower = Borrower::new(Incarnation(9), SETTING);
    borrower.set_list(Version::of(1), &list(1, true, &[&member("a", 1)]));
    borrower.set_limit(at(4_900), &name(), LIMIT);
    assert_eq!(take_all(&mut borrower, 4_900), 0);
    assert_eq!(take_all(&mut borrower, 5_000), 5);
}

/// An allocator that is cut off from the store lent on beside its successor.
#[test]
fn authority_ends_with_the_age_of_the_confirmation() {
    let mut lender = lender(0);
    assert!(lender.has_authority(at(2_500)));
    assert!(!lender.has_authority(at(2_501)));
    assert_eq!(lent(&mut lender, 2_501, &member("b", 1), 1, 0, 9), 0);
}

/// A restarted allocator lent by the list that names its former life.
#[test]
fn list_of_a_former_life_gives_no_authority() {
    let mut lender = Lender::new(member("a", 2), SETTING);
    confirm(&mut lender, 0, &list(1, true, &[&member("a", 1)]));
    assert!(!lender.has_authority(at(0)));
}

/// A new allocator lent what loans of its predecessor still covered.
#[test]
fn new_allocator_lends_the_margin_until_the_takeover_has_ended() {
    let me = member("n", 1);
    let former = list(4, true, &[&member("a", 1)]);
    let present = list(5, true, &[&me]);
    let mut lender = Lender::new(me, SETTING);
    confirm(&mut lender, 1_000, &former);
    confirm(&mut lender, 2_000, &present);
    // What a borrower reports is taken over beside the margin.
    assert_eq!(lent(&mut lender, 2_000, &member("b", 1), 1, 10, 10), 10);
    assert_eq!(lent(&mut lender, 2_000, &member("c", 1), 1, 0, 99), MARGIN);
    for (ms, number) in [(5_000, 2), (9_000, 3)] {
        confirm(&mut lender, ms, &present);
        let margin = lent(&mut lender, ms, &member("c", 1), number, 6, 6);
        assert_eq!(margin, MARGIN);
        let more = lent(&mut lender, ms, &member("b", 1), number, 10, 10);
        assert_eq!(more, 10);
    }
    confirm(&mut lender, 13_000, &present);
    assert_eq!(lent(&mut lender, 13_000, &member("b", 1), 4, 10, 10), 10);
    assert_eq!(lent(&mut lender, 13_000, &member("c", 1), 4, 6, 99), MARGIN);
    confirm(&mut lender, 14_500, &present);
    let all = lent(&mut lender, 14_500, &member("c", 1), 5, 6, 99);
    assert_eq!(all, LENDABLE - 10);
}

/// The margin was lent by two allocators after each other, or not at all by a process that had just
/// started.
#[test]
fn margin_is_lent_only_where_the_store_says_that_it_is_free() {
    let me = member("n", 1);
    let free = list(5, true, &[&me]);
    let in_use = list(5, false, &[&me]);
    let settled = List {
        settled: true,
        ..free.clone()
    };
    let older = List {
        era: Era(1),
        ..free.clone()
    };
    for (list, expected) in [(free, MARGIN), (in_use, 0), (settled, 0), (older, 0)] {
        let mut lender = Lender::new(me.clone(), SETTING);
        confirm(&mut lender, 10_000, &list);
        let lent = lent(&mut lender, 10_000, &member("c", 1), 1, 0, 99);
        assert_eq!(lent, expected, "{list:?}");
    }
}

fn report(lender: &mut Lender, ms: u64, name_of: &str, age_ms: u32, held: u32, want: u32) -> u32 {
    report_returned(lender, ms, name_of, age_ms, (held, want), &[])
}

/// What a daemon `name`, whose process runs for `age_ms`, tells and wants by list 5.
fn report_returned(
    lender: &mut Lender,
    ms: u64,
    name_of: &str,
    age_ms: u32,
    (held, want): (u32, u32),
    returned: &[Age],
) -> u32 {
    let ask = Ask {
        incarnation: Incarnation(1),
        number: ms,
        list: Version::of(5),
        age_ms,
        items: vec![Item {
            workspace: name(),
            held,
            want,
            tried: 0,
            returned: returned.to_vec(),
        }],
    };
    let from = member(name_of, 1).instance;
    let answer = lender.ask(at(ms), &from, &ask, |_| Some(quota(LIMIT)));
    answer.replies.first().map_or(0, |reply| reply.lent)
}

/// The successor `n`, by a list that names `b`, `c` and itself and is `complete` or not.
fn named(complete: bool) -> Lender {
    let me = member("n", 1);
    let list = List {
        complete,
        daemons: ["b", "c", "n"]
            .map(|name| member(name, 1).instance)
            .to_vec(),
        ..list(5, false, &[&me])
    };
    let mut lender = Lender::new(me, SETTING);
    confirm(&mut lender, 10_000, &list);
    lender
}

/// After a loss of all power requests were refused until loans that nobody held would have ended.
#[test]
fn takeover_ends_once_all_daemons_have_told_what_they_hold() {
    let mut lender = named(true);
    assert_eq!(report(&mut lender, 10_001, "b", 60_000, 4, 4), 4);
    assert_eq!(report(&mut lender, 10_002, "c", 60_000, 0, 9), 0);
    assert_eq!(
        report(&mut lender, 10_003, "b", 60_000, 4, 9),
        4,
        "n may hold some"
    );
    assert_eq!(report(&mut lender, 10_004, "n", 60_000, 0, 0), 0);
    let all = report(&mut lender, 10_005, "c", 60_000, 0, 99);
    assert_eq!(all, LENDABLE - 4);
}

/// Takeovers took their whole time after a loss of all power, since the lists still named daemons that
/// had been removed from the fleet before and never told what they held.
#[test]
fn takeover_does_not_wait_for_daemons_that_have_left_the_roster() {
    let mut lender = named(true);
    lender.set_present(at(10_000), |daemon| daemon.as_str() != "c");
    assert_eq!(report(&mut lender, 10_001, "b", 60_000, 4, 4), 4);
    assert_eq!(report(&mut lender, 10_002, "n", 60_000, 0, 0), 0);
    lender.set_present(at(14_900), |daemon| daemon.as_str() != "c");
    let list = lender.list().map(|(_, list)| list.clone());
    lender.confirm(at(14_900), at(14_900), Version::of(5), list.as_ref());
    let early = report(&mut lender, 14_999, "b", 65_000, 4, 9);
    assert_eq!(early, 4, "what c let pass may be in the window");
    assert_eq!(report(&mut lender, 14_999, "n", 65_000, 0, 9), 0);
    lender.confirm(at(15_000), at(15_000), Version::of(5), list.as_ref());
    // How much at once is up to the pace; it was nothing until the takeover had ended.
    assert!(report(&mut lender, 15_001, "n", 65_002, 0, 99) > 0);
}

/// The same, where the daemon has only been out of the roster for a moment.
#[test]
fn takeover_waits_for_a_daemon_that_is_back_in_the_roster() {
    let mut lender = named(true);
    lender.set_present(at(10_000), |daemon| daemon.as_str() != "c");
    assert_eq!(report(&mut lender, 10_001, "b", 60_000, 4, 4), 4);
    assert_eq!(report(&mut lender, 10_002, "n", 60_000, 0, 0), 0);
    lender.set_present(at(14_000), |_| true);
    let list = lender.list().map(|(_, list)| list.clone());
    lender.confirm(at(16_000), at(16_000), Version::of(5), list.as_ref());
    assert_eq!(report(&mut lender, 16_001, "b", 66_000, 4, 99), 4);
}

/// Daemons that were cut off with allocators came back without tokens, and were refused until the
/// takeover had taken its time. What they returned is still in the window.
#[test]
fn daemon_that_was_cut_off_borrows_again_once_it_has_told() {
    let mut lender = named(true);
    assert_eq!(report(&mut lender, 10_001, "b", 60_000, 4, 4), 4);
    assert_eq!(report(&mut lender, 10_002, "n", 60_000, 0, 0), 0);
    let list = lender.list().map(|(_, list)| list.clone());
    lender.confirm(at(18_000), at(18_000), Version::of(5), list.as_ref());
    assert_eq!(report(&mut lender, 18_000, "b", 68_000, 4, 4), 4);
    let hot = [Age { age: 100, count: 6 }];
    let first = report_returned(&mut lender, 18_000, "c", 68_000, (0, 9), &hot);
    assert_eq!(first, 0);
    let next = report(&mut lender, 18_200, "c", 68_200, 0, 99);
    assert_eq!(next, LENDABLE - 4 - 6);
}

/// What the former processes had spent in the window was lent again at once.
#[test]
fn takeover_waits_a_window_for_the_youngest_process() {
    let mut lender = named(true);
    for (ms, name, age) in [
        (10_001, "b", 800),
        (10_002, "c", 60_000),
        (10_003, "n", 2_000),
    ] {
        assert_eq!(report(&mut lender, ms, name, age, 0, 9), 0);
    }
    assert_eq!(report(&mut lender, 12_200, "c", 62_198, 0, 99), 0);
    let mut lender = named(true);
    for (ms, name, age) in [
        (10_001, "b", 4_800),
        (10_002, "c", 60_000),
        (10_003, "n", 3_200),
    ] {
        assert_eq!(report(&mut lender, ms, name, age, 0, 0), 0);
    }
    assert_eq!(report(&mut lender, 11_600, "c", 61_598, 0, 99), 0);
    assert_eq!(report(&mut lender, 11_803, "c", 61_801, 0, 99), LENDABLE);
}

/// A list from which nothing can be concluded doesn't name all that may hold loans.
#[test]
fn takeover_takes_its_time_by_an_incomplete_list() {
    let mut lender = named(false);
    for (ms, name) in [(10_001, "b"), (10_002, "c"), (10_003, "n")] {
        assert_eq!(report(&mut lender, ms, name, 60_000, 0, 0), 0);
    }
    assert_eq!(report(&mut lender, 10_004, "c", 60_000, 0, 99), 0);
    assert_eq!(
        report(&mut lender, 10_005, "x", 60_000, 0, 99),
        0,
        "not named"
    );
}

/// A store that came back from an older copy names allocators of another time as settled.
#[test]
fn list_of_a_later_era_is_not_settled_and_takes_over() {
    let mut lender = lender(0);
    let restored = list(1, true, &[&member("a", 1)]);
    let version = Version::in_era(Era(1), 1);
    lender.confirm(at(1_000), at(1_000), version, Some(&restored));
    assert_eq!(lent(&mut lender, 1_000, &member("b", 1), 1, 0, 99), 0);
    lender.confirm(at(13_500), at(13_500), version, Some(&restored));
    assert_eq!(
        lent(&mut lender, 13_500, &member("b", 1), 2, 0, 99),
        LENDABLE
    );
}

/// Tokens that were taken away by a lower limit, and lent again, were spent twice in a window.
#[test]
fn lower_limit_scales_what_is_held_at_once() {
    let allocator = member("a", 1);
    let mut borrower = borrower(1_000, &allocator, 8);
    borrower.set_limit(at(1_500), &name(), LIMIT / 4);
    assert_eq!(take_all(&mut borrower, 1_500), 2);
}

/// An answer under way brought tokens back that had been given up, and spent, since it was asked for.
#[test]
fn tokens_given_up_under_an_open_ask_stay_given_up() {
    let allocator = member("a", 1);
    let mut borrower = borrower(1_000, &allocator, 8);
    assert_eq!(take_all(&mut borrower, 1_500), 8);
    let (_, ask) = borrower.asks(at(2_100)).pop().expect("an ask");
    let held = ask.items[0].held;
    borrower.set_limit(at(2_200), &name(), LIMIT / 4);
    borrower.set_limit(at(2_300), &name(), LIMIT);
    reply(&mut borrower, 2_400, &allocator, ask.number, held, LIMIT);
    assert_eq!(take_all(&mut borrower, 2_400), 0);
}

/// A refused request that had taken a token out kept others from running for a window.
#[test]
fn token_of_a_request_that_has_not_run_comes_back() {
    let allocator = member("a", 1);
    let mut borrower = borrower(1_000, &allocator, 1);
    let Take::Spent(spent) = borrower.take(at(1_500), &name()) else {
        panic!("a token was lent");
    };
    borrower.refund(at(1_600), &name(), spent);
    assert_eq!(take_all(&mut borrower, 1_700), 1);
}

/// The successor `n` of an allocator that stopped as planned.
fn successor(ms: u64, next: &List) -> Lender {
    let mut lender = Lender::new(member("n", 1), SETTING);
    confirm(&mut lender, ms - 100, &list(1, true, &[&member("a", 1)]));
    confirm(&mut lender, ms, next);
    lender
}

/// A planned stop cost the workspaces of an allocator their tokens for a takeover.
#[test]
fn records_of_an_allocator_that_stops_end_the_takeover() {
    let mut old = lender(0);
    assert_eq!(lent(&mut old, 0, &member("b", 1), 1, 0, 10), 10);
    let next = list(2, true, &[&member("n", 1)]);
    old.stop();
    assert!(!old.has_authority(at(100)));
    let mut new = successor(200, &next);
    // It has returned four tokens meanwhile, which may have been spent just before.
    assert_eq!(lent(&mut new, 250, &member("b", 1), 2, 6, 6), 6);
    let (to, transfer) = old.transfers(at(200), &next).pop().expect("a transfer");
    assert_eq!(to, member("n", 1));
    assert_eq!(new.inherit(at(300), &member("a", 1).instance, &transfer), 1);
    let free = LENDABLE - 10;
    assert_eq!(lent(&mut new, 400, &member("c", 1), 1, 0, 99), free);
}

/// Records of an allocator that was itself taking over don't tell what its predecessor has lent.
#[test]
fn records_from_a_takeover_do_not_end_another() {
    let next = list(2, true, &[&member("n", 1)]);
    let mut lender = successor(200, &next);
    assert_eq!(lent(&mut lender, 200, &member("b", 1), 1, 5, 5), 5);
    lender.stop();
    assert!(
        lender
            .transfers(at(300), &list(3, false, &[&member("o", 1)]))
            .is_empty()
    );
}
