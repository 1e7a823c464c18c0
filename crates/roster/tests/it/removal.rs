//! Removal by votes, and recovery from false removals.

use roster::{Finding, Merge, Policy, Record, Roster, Shared, State, Verdict, Vote};
use tokio::time::Instant;
use unit::{Incarnation, Instance};

use crate::world::{SECOND, World, record, records, roster};

const ZONES: [&str; 4] = ["sorel", "trois-rivieres", "levis", "rimouski"];

fn silent(observer: &Instance, about: &Record) -> Vote {
    Vote {
        observer: observer.clone(),
        about: about.instance.clone(),
        incarnation: about.incarnation,
        verdict: Verdict::Silent,
    }
}

/// Guards against removal by a single observer. A daemon whose link to a target has failed votes
/// against it repeatedly; this makes the target suspect and never removes it, also where the
/// instance has no other observer. Otherwise callers elsewhere would lose a working target.
#[test]
fn one_observer_removes_no_instance() {
    for (zones, each) in [(4, 10), (1, 2), (2, 1), (3, 1)] {
        let mut now = Instant::now();
        let all = records(&ZONES[..zones], each);
        let about = &all[1];
        let mut roster = roster(now, &all[0], &all);
        let observers = roster.observers(&about.instance);
        let vote = silent(&observers[0], about);
        for _ in 0..600 {
            now += SECOND;
            roster.review(now);
            assert_eq!(roster.count_vote(now, &vote), Finding::Counted);
        }
        assert_eq!(roster.get(&about.instance), Some(about));
        let live = roster.live(&about.service);
        let target = live.iter().find(|target| target.instance == about.instance);
        assert!(target.is_some_and(|target| target.suspect));
    }
}

/// Three observers remove an instance if one is of its own zone. A vote doesn't count if it comes
/// from an instance that is no observer, is about an earlier incarnation, was withdrawn, or is a
/// minute old.
#[test]
fn a_quorum_of_observers_removes() {
    let now = Instant::now();
    let all = records(&ZONES, 10);
    let about = &all[5];
    let mut roster = roster(now, &all[0], &all);
    let observers = roster.observers(&about.instance);
    assert_eq!(observers.len(), 4 + 3);
    let far = |name: &&Instance| !name.as_str().starts_with("sorel");
    let is_stranger = |record: &&Record| {
        let mut fresh = self::roster(now, &all[0], &all);
        fresh.count_vote(now, &silent(&record.instance, about)) == Finding::Ignored
    };
    let stranger = all[10..].iter().find(is_stranger);
    assert!(stranger.is_some());
    let old = Vote {
        incarnation: Incarnation(0),
        ..silent(&observers[3], about)
    };
    assert_eq!(roster.count_vote(now, &old), Finding::Ignored);
    let mut roster = self::roster(now, &all[0], &all);
    let home: Vec<&Instance> = observers.iter().filter(|name| !far(name)).collect();
    roster.count_vote(now, &silent(home[0], about));
    roster.count_vote(now, &silent(home[1], about));
    let withdrawn = Vote {
        verdict: Verdict::Heard,
        ..silent(home[1], about)
    };
    assert_eq!(roster.count_vote(now, &withdrawn), Finding::Counted);
    assert_eq!(
        roster.count_vote(now, &silent(home[2], about)),
        Finding::Counted
    );
    let later = now + SECOND * 61;
    assert_eq!(
        roster.count_vote(later, &silent(home[1], about)),
        Finding::Counted
    );
    assert_eq!(
        roster.count_vote(later, &silent(home[2], about)),
        Finding::Counted
    );
    let last = roster.count_vote(later, &silent(home[0], about));
    assert!(matches!(last, Finding::Removed(gone) if gone.state == State::Gone));
}

/// Guards against removing the instances of a zone that is only cut off. Without a vote from the
/// instance's own zone, votes from one other zone, however many, don't suffice: a majority of the
/// other zones is required.
#[test]
fn one_zone_removes_no_instance_of_another() {
    let now = Instant::now();
    let all = records(&ZONES, 10);
    let about = &all[5];
    let mut roster = roster(now, &all[0], &all);
    let abroad = all[10..].iter().map(|record| &record.instance);
    let mut counted =
        abroad.filter(|name| roster.count_vote(now, &silent(name, about)) == Finding::Counted);
    // The first votes come from one zone. They are counted; removal needs a vote of another zone.
    let zones: Vec<String> = counted
        .by_ref()
        .map(|name| {
            name.as_str()
                .rsplit_once('-')
                .expect("name with a number")
                .0
                .to_string()
        })
        .collect();
    assert!(
        zones.len() >= 4 && zones.iter().all(|zone| *zone == zones[0]),
        "{zones:?}"
    );
    assert_eq!(
        roster.get(&about.instance).map(|record| record.state),
        Some(State::Gone)
    );
}

/// A target stops without announcing it. Callers avoid it within seconds, and once several
/// observers have missed its heartbeats for a minute all daemons remove it, without calls to the
/// platform.
#[test]
fn a_dead_instance_is_suspect_then_removed() {
    let mut world = World::new(&records(&ZONES, 6));
    world.run(30, &|_, _| true);
    let dead: Instance = "levis-3".parse().unwrap();
    world.rosters.remove(&dead);
    world.run(30, &|_, _| true);
    let removed = |roster: &Roster| {
        roster
            .get(&dead)
            .is_none_or(|record| record.state == State::Gone)
    };
    assert!(!world.rosters.values().any(removed));
    let suspects = world
        .rosters
        .keys()
        .filter(|name| world.counts(name.as_str()).1 == 1);
    assert!(suspects.count() >= 4);
    world.run(60, &|_, _| true);
    assert!(world.rosters.values().all(removed));
    assert_eq!((world.writes, world.reads), (0, 0));
}

/// A daemon's own network fails, so it receives nothing for ten minutes. It must assume that it is
/// cut off and cast no votes. The others remove it, and it refutes that when it returns.
#[test]
fn a_daemon_that_is_cut_off_abstains() {
    let mut world = World::new(&records(&ZONES, 6));
    world.run(30, &|_, _| true);
    let cut: Instance = "levis-3".parse().unwrap();
    world.run(600, &|from, to| *from != cut && *to != cut);
    assert!(world.rosters[&cut].cut_off(world.now));
    assert_eq!(world.counts("levis-3").0, 24);
    assert_eq!(world.counts("levis-2"), (23, 0));
    world.run(60, &|_, _| true);
    assert!(
        world
            .rosters
            .keys()
            .all(|name| world.counts(name.as_str()) == (24, 0))
    );
    assert_eq!(
        world.roster("levis-3").own_record().incarnation,
        Incarnation(2)
    );
    assert_eq!(world.writes, 1);
    assert!((1..=20).contains(&world.reads), "{}", world.reads);
}

/// A live instance is removed by mistake, so callers avoid it. It learns of the removal and
/// announces a higher incarnation, to the daemons at once and to the platform within 30 s, so that
/// a whole region that was falsely removed doesn't write at the same moment.
#[test]
fn a_false_removal_is_refuted() {
    let now = Instant::now();
    let all = records(&ZONES, 3);
    let mut roster = roster(now, &all[0], &all);
    let gone = Record {
        state: State::Gone,
        ..all[0].clone()
    };
    assert_eq!(roster.merge(now, gone.clone()), Merge::Old);
    let refuted = roster.take_announcement().unwrap();
    assert_eq!(
        (refuted.incarnation, refuted.state),
        (Incarnation(2), State::Live)
    );
    assert!(refuted.supersedes(&gone));
    assert_eq!(roster.take_announcement(), None);
    assert_eq!(roster.due_write(now), None);
    assert_eq!(roster.due_write(now + SECOND * 30), Some(refuted.clone()));
    roster.write_confirmed(&all[0]);
    assert!(roster.due_write(now + SECOND * 30).is_some());
    roster.write_confirmed(&refuted);
    assert_eq!(roster.due_write(now + SECOND * 30), None);
}

/// A process is paused, its instance is replaced under the same name, and the process resumes. If
/// it refuted the new one, the two would displace each other for ever. The process that has run for
/// longer gives way and writes nothing; the new one wins even if its clock is behind.
#[test]
fn a_replaced_process_gives_way() {
    let now = Instant::now();
    let own = record("levis", 0);
    let mut next = Record {
        incarnation: Incarnation(9),
        ..own.clone()
    };
    next.fingerprint.0[0] ^= 1;
    let newcomer = roster(now, &own, &[next.clone()]);
    assert!(!newcomer.replaced());
    assert_eq!(newcomer.own_record().incarnation, Incarnation(10));
    let mut paused = Roster::new(now, own.clone(), Policy::default(), 1);
    assert!(paused.due_write(now).is_some());
    assert_eq!(
        paused.merge(now + SECOND * 120, next.clone()),
        Merge::Changed
    );
    assert!(paused.replaced());
    paused.leave(now + SECOND * 121);
    assert_eq!(
        (
            paused.take_announcement(),
            paused.due_write(now + SECOND * 200)
        ),
        (None, None)
    );
    assert_eq!(paused.get(&next.instance), Some(&next));
}

/// Guards against false votes after a pause. The process is paused for two minutes, so all
/// heartbeats look late when it resumes although no other process has failed.
#[test]
fn a_pause_casts_no_votes() {
    let mut world = World::new(&records(&ZONES, 6));
    world.run(30, &|_, _| true);
    let later = world.now + SECOND * 120;
    let review = world.roster("levis-3").review(later);
    assert_eq!(review.votes, []);
    assert_eq!(world.counts("levis-3"), (24, 0));
}

/// Threads read targets from a snapshot. A lost link marks a target as suspect there, a later
/// sighting, recorded without the roster's lock, clears it, and a leaving instance stops being a
/// target at once.
#[test]
fn a_snapshot_follows_the_roster() {
    let now = Instant::now();
    let all = records(&ZONES, 2);
    let shared = Shared::new(roster(now, &all[0], &all));
    let suspects = |shared: &Shared| {
        let live = shared.live(&all[0].service);
        live.iter().filter(|target| target.suspect).count()
    };
    let before = shared.version();
    shared.with(|roster| roster.link_lost(now, &all[1].instance));
    assert_eq!(suspects(&shared), 1);
    assert!(shared.version() > before);
    shared.mark_seen(now + SECOND, &all[1].instance);
    shared.with(|roster| roster.review(now + SECOND));
    assert_eq!(suspects(&shared), 0);
    shared.with(|roster| roster.leave(now));
    assert_eq!(shared.live(&all[0].service).len(), 7);
    let leaving = shared.with(Roster::take_announcement).unwrap();
    assert_eq!(leaving.state, State::Leaving);
}
