//! The merge rule, and what depends on it.

use proptest::prelude::*;
use roster::{BUCKETS, Merge, Policy, Record, Roster, State};
use tokio::time::Instant;
use unit::Incarnation;

use crate::world::{SECOND, record, records, roster};

fn any_record() -> impl Strategy<Value = Record> {
    let state = prop_oneof![Just(State::Live), Just(State::Leaving), Just(State::Gone)];
    (0..4u64, state, 0..2u16, 0..3u16).prop_map(|(incarnation, state, port, number)| Record {
        incarnation: Incarnation(incarnation),
        state,
        link: ([127, 0, 0, 1], port).into(),
        ..record("levis", number)
    })
}

fn same(record: Record) -> Record {
    Record {
        instance: self::record("levis", 0).instance,
        ..record
    }
}

proptest! {
    #[test]
    fn merging_is_a_join(a in any_record(), b in any_record(), c in any_record()) {
        let (a, b, c) = (same(a), same(b), same(c));
        prop_assert_eq!(a.clone().join(a.clone()), a.clone());
        prop_assert_eq!(a.clone().join(b.clone()), b.clone().join(a.clone()));
        let left = a.clone().join(b.clone()).join(c.clone());
        prop_assert_eq!(left, a.join(b.join(c)));
    }

    #[test]
    fn rosters_agree_whatever_the_order(
        received in proptest::collection::vec(any_record(), 0..40),
        twice in 0..40usize,
    ) {
        let now = Instant::now();
        let own = record("sorel", 0);
        let mut first = Roster::new(now, own.clone(), Policy::default(), 1);
        let mut second = Roster::new(now, own, Policy::default(), 2);
        for record in &received {
            first.merge(now, record.clone());
        }
        for record in received.iter().rev().chain(received.iter().take(twice)) {
            second.merge(now, record.clone());
        }
        prop_assert_eq!(first.summary(), second.summary());
        for record in &received {
            prop_assert_eq!(first.get(&record.instance), second.get(&record.instance));
        }
    }
}

/// Guards against a stopped instance becoming a target again. Minutes after it stopped, a daemon
/// that was paused relays its old announcement; the record of its end supersedes that.
#[test]
fn an_old_relay_does_not_revive_a_gone_instance() {
    let mut now = Instant::now();
    let other = record("levis", 1);
    let mut roster = roster(now, &record("levis", 0), std::slice::from_ref(&other));
    let gone = Record {
        state: State::Gone,
        ..other.clone()
    };
    assert_eq!(roster.merge(now, gone), Merge::Changed);
    for _ in 0..3_600 {
        now += SECOND;
        roster.review(now);
    }
    assert_eq!(roster.merge(now, other.clone()), Merge::Old);
    assert_eq!(roster.live(&other.service).len(), 1);
    let next = Record {
        incarnation: Incarnation(2),
        ..other
    };
    assert_eq!(roster.merge(now, next), Merge::Changed);
    assert_eq!(roster.peers().count(), 1);
}

/// Guards against an unlimited number of tombstones. They are dropped after six hours, also where a
/// neighbour still has one, and an exchange doesn't bring them back.
#[test]
fn tombstones_expire() {
    let mut now = Instant::now();
    let other = record("levis", 1);
    let mut early = roster(now, &record("levis", 0), &[]);
    let mut late = roster(now, &record("levis", 2), &[]);
    let gone = Record {
        state: State::Gone,
        ..other.clone()
    };
    early.merge(now, gone.clone());
    now += SECOND * 3_600;
    late.merge(now, gone);
    now += SECOND * 5 * 3_600;
    early.review(now);
    late.review(now);
    assert_eq!(early.get(&other.instance), None);
    for bucket in early.differing_buckets(late.summary()) {
        let back = late.exchange(now, bucket, early.bucket(bucket));
        early.exchange(now, bucket, back.reply);
    }
    assert_eq!(early.get(&other.instance), None);
    now += SECOND * 3_600;
    late.review(now);
    assert_eq!(late.get(&other.instance), None);
}

/// One of 1,800 records differs between two daemons. Sending all records would cost 200 KB each
/// time; only the differing bucket is sent, and the reply holds only the missing record.
#[test]
fn only_what_differs_is_exchanged() {
    let now = Instant::now();
    let all = records(&["sorel", "trois-rivieres", "levis", "rimouski"], 450);
    let mut ours = roster(now, &all[0], &all);
    let mut theirs = roster(now, &all[1], &all[..1799]);
    let missing = theirs.differing_buckets(ours.summary());
    assert_eq!(missing.len(), 1);
    let sent = theirs.bucket(missing[0]);
    assert!(sent.len() < 3 * 1_800 / BUCKETS, "{}", sent.len());
    let back = ours.exchange(now, missing[0], sent);
    assert_eq!(back.reply, all[1799..]);
    theirs.exchange(now, missing[0], back.reply);
    assert_eq!(ours.summary(), theirs.summary());
}
