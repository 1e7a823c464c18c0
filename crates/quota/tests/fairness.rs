//! Who is served, on a fleet of 80 daemons without faults.

mod fleet;

use fleet::{Fleet, Load, SETTING, WORKSPACES, usual};

fn all() -> Vec<Load> {
    (1..=WORKSPACES).map(usual).collect()
}

/// Split evenly, a limit of 6 in 5 s over 80 daemons refuses every request.
#[test]
fn small_workspaces_are_served_below_their_limit() {
    let mut fleet = Fleet::new(3, all());
    fleet.run(60_000);
    let small = fleet
        .loads
        .iter()
        .zip(&fleet.served)
        .filter(|(load, _)| load.limit <= 12);
    let (mut lost, mut sent) = (0, 0);
    for (load, served) in small {
        lost += served.lost;
        sent += served.admitted.len() as u64 + served.refused;
        assert!(served.most() as u32 <= SETTING.hard_limit(load.limit));
    }
    println!("small: lost={lost} sent={sent}");
    assert!(sent > 2_000, "{sent}");
    assert!(
        lost * 50 <= sent,
        "{lost} of {sent} were refused below the limit"
    );
}

/// Requests refused below the limit are a loss to a customer of any size.
#[test]
fn usual_load_is_served_below_the_limit() {
    let mut fleet = Fleet::new(4, all());
    fleet.run(30_000);
    for (load, served) in fleet.loads.iter().zip(&fleet.served) {
        let part = served.lost_part();
        assert!(
            part <= 0.1,
            "{} of limit {} lost {part:.3}",
            load.name,
            load.limit
        );
    }
}

/// A workspace that sends six times its usual load got more than its limit, or much less than it, or
/// cost the others theirs.
#[test]
fn hot_workspace_gets_its_limit_and_no_more() {
    let mut loads = all();
    let usual = (loads[2].rate)(0);
    loads[2].rate = Box::new(move |at| match at {
        20_000..26_000 => 6.0 * usual,
        _ => usual,
    });
    let mut fleet = Fleet::new(5, loads);
    fleet.run(32_000);
    let limit = fleet.loads[2].limit;
    let hot = &fleet.served[2];
    let while_hot = hot.between(20_000, 25_000);
    println!(
        "hot: limit={limit} admitted={while_hot} most={}",
        hot.most()
    );
    assert!(hot.most() <= limit as usize, "{} of {limit}", hot.most());
    assert!(
        while_hot * 100 >= limit as usize * 90,
        "{while_hot} of {limit}"
    );
    for (load, served) in fleet.loads.iter().zip(&fleet.served) {
        let part = served.lost_part();
        assert!(
            load.name.as_str() == "w3" || part <= 0.1,
            "{} lost {part:.3}",
            load.name
        );
    }
}

/// A workspace whose requests come at a tenth of the daemons needs the tokens of all.
#[test]
fn uneven_demand_is_served_below_the_limit() {
    let mut loads = all();
    loads[0].daemons = 8;
    loads[9].daemons = 1;
    let mut fleet = Fleet::new(6, loads);
    fleet.run(30_000);
    for place in [0, 9] {
        let part = fleet.served[place].lost_part();
        assert!(part <= 0.02, "{} lost {part:.3}", fleet.loads[place].name);
    }
}

/// The first daemons to ask took all tokens, and the others were refused until these were unused.
#[test]
fn early_demand_does_not_exclude_other_daemons() {
    let mut loads = vec![usual(1)];
    loads[0].rate = Box::new(|_| 2_000.0);
    loads[0].daemons = 4;
    let mut fleet = Fleet::new(8, loads);
    fleet.run(15_000);
    let before = fleet.served[0].admitted.len();
    fleet.loads[0].daemons = 80;
    fleet.run(40_000);
    let limit = fleet.loads[0].limit as usize;
    let due = fleet.loads[0].quota.rate.per_second() * 10.0;
    let last = fleet.served[0].between(30_000, 40_000);
    println!("early: before={before} due={due} last={last}");
    assert!(last as f64 >= due * 0.95, "{last} of {due} in 10 s");
    assert!(fleet.served[0].most() <= limit);
}

/// The messages of quotas took more than the control traffic that a daemon may cause.
#[test]
fn messages_stay_within_the_control_traffic() {
    let mut fleet = Fleet::new(9, all());
    fleet.run(10_000);
    fleet.reset_traffic();
    fleet.run(40_000);
    let traffic = fleet.traffic;
    let daemon_seconds = 30.0 * fleet::DAEMONS as f64;
    let messages = traffic.messages as f64 / daemon_seconds;
    let bytes = traffic.bytes as f64 / daemon_seconds;
    let allocator = traffic.most_by_allocator as f64 / 30.0;
    println!(
        "traffic: messages={messages:.1} bytes={bytes:.0} a daemon and second, busiest allocator bytes={allocator:.0}"
    );
    assert!(bytes <= 9_000.0, "{bytes}");
}

/// What a token bucket of the quota gives in each second of sustained demand above the rate.
fn bucket(load: &Load, from: u64, to: u64) -> f64 {
    let rate = load.quota.rate.per_second();
    let total = |second: u64| match second {
        0 => 0.0,
        _ => f64::from(load.quota.burst) + rate * second as f64,
    };
    total(to) - total(from)
}

/// A workspace over its quota got the allowance of a window within two seconds, and then nothing until
/// the window had moved on.
#[test]
fn workspace_over_its_quota_is_served_at_its_rate() {
    for (rank, seed) in [(1, 11), (2, 12)] {
        let mut loads = all();
        let usual = (loads[rank - 1].rate)(0);
        loads[rank - 1].rate = Box::new(move |at| match at {
            20_000..30_000 => 6.0 * usual,
            _ => usual,
        });
        let mut fleet = Fleet::new(seed, loads);
        fleet.run(31_000);
        let (load, served) = (&fleet.loads[rank - 1], &fleet.served[rank - 1]);
        let count = |from, to| served.between(20_000 + from * 1_000, 20_000 + to * 1_000);
        let seconds: Vec<usize> = (0..10).map(|second| count(second, second + 1)).collect();
        println!("w{rank}: rate={} admitted={seconds:?}", load.quota.rate);
        for from in 0..=8 {
            let part = count(from, from + 2) as f64 / bucket(load, from, from + 2);
            // The whole window is in use once, four to five seconds after the start.
            assert!(
                (0.8..=1.2).contains(&part),
                "w{rank} got {part:.2} from second {from} on"
            );
        }
        for (place, (load, served)) in fleet.loads.iter().zip(&fleet.served).enumerate() {
            let part = served.lost_part();
            assert!(
                place + 1 == rank || part <= 0.1,
                "{} lost {part:.3}",
                load.name
            );
        }
    }
}
