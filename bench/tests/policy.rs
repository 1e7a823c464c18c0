//! The goals of the decisions under load and faults, as bounds at fixed seeds.

use bench::policy::{Figure, Mode, Scenario, run};

/// Bytes of an average call, and calls per second and target at the design size.
const CALL_BYTES: f64 = 2_000.0;
const DESIGN_CALLS: f64 = 150.0;
/// What a daemon may spend on measuring, in bytes and messages per second.
const BUDGET: (f64, f64) = (1_000.0, 2.0);
const SEEDS: [u64; 3] = [1, 2, 3];

fn figure(scenario: &str, mode: &str, seed: u64) -> Figure {
    let scenario = Scenario::named(scenario).expect("a scenario");
    let figure = run(scenario, Mode::named(mode).expect("a mode"), seed);
    println!("seed {seed}: {figure}");
    figure
}

/// Runs appleshore and holds the goals that every scenario has.
fn ours(scenario: &str, seed: u64) -> Figure {
    let figure = figure(scenario, "appleshore", seed);
    assert_eq!(
        figure.false_not_run, 0,
        "refused as not run, and a target saw it"
    );
    assert!(
        figure.repeats <= 10.0,
        "retries and hedges: {} %",
        figure.repeats
    );
    assert!(
        figure.handed <= 40.0,
        "hand-overs at a quarter of a retry: {} %",
        figure.handed
    );
    assert!(
        figure.bytes <= BUDGET.0,
        "measuring: {} bytes/s",
        figure.bytes
    );
    assert!(
        figure.messages <= BUDGET.1,
        "measuring: {} messages/s",
        figure.messages
    );
    let share = figure.bytes / (CALL_BYTES * DESIGN_CALLS);
    assert!(share <= 0.01, "measuring: {share} of the requests' bytes");
    figure
}

fn ratio(figure: &Figure, kind: &str) -> f64 {
    let [fault, quiet] = ["fault", "quiet"].map(|when| figure.p99(when, kind).expect("a row"));
    fault as f64 / quiet as f64
}

/// The caller at the counter waits longer when some member sends a batch; its own requests are
/// few, and those of the batch fill every queue in front of them.
fn batch(scenario: &str) {
    for seed in SEEDS {
        let ours = ours(scenario, seed);
        let urgent = ratio(&ours, "urgent");
        assert!(urgent <= 1.5, "urgent p99 over quiet: {urgent}");
        let quietest = ratio(&ours, "quiet@clinic");
        assert!(
            quietest <= 1.5,
            "quietest caller's p99 over quiet: {quietest}"
        );
        let two = figure(scenario, "two choices", seed).p999("fault", "urgent");
        let better =
            two.expect("a row") as f64 / ours.p999("fault", "urgent").expect("a row") as f64;
        assert!(
            better >= 3.0,
            "urgent p99.9 of two choices over ours: {better}"
        );
    }
}

#[test]
fn a_batch_leaves_urgent_calls_and_neighbours_alone() {
    batch("batch");
}

#[test]
fn a_batch_at_the_size_of_song_hong() {
    batch("songhong");
}

#[test]
fn a_batch_at_the_size_of_the_marinas() {
    batch("quebec");
}

#[test]
fn a_target_slow_at_once_is_left_within_250_ms() {
    // Callers see twenty times the usual latency at one of six targets. It gives no answers and
    // so no reports, and what it was last known for is good.
    for seed in SEEDS {
        let all = ratio(&ours("slow", seed), "all");
        assert!(all <= 2.0, "p99 over all, 250 ms after, over quiet: {all}");
    }
}

#[test]
fn a_storm_of_three_times_the_capacity_leaves_goodput_level() {
    // All callers send three times what the targets can serve for a second, and each that fails
    // comes back twice. Work that ends too late would take the slots from work that does not.
    for seed in SEEDS {
        let ours = ours("storm", seed);
        assert!(
            ours.goodput >= 95.0,
            "goodput: {} % of capacity",
            ours.goodput
        );
        assert!(
            ours.recovered >= 99.0,
            "good a second later: {} %",
            ours.recovered
        );
        let urgent = ours.p999("fault", "urgent").expect("a row");
        assert!(
            urgent < 500_000,
            "urgent p99.9 within its deadline: {urgent} us"
        );
    }
}

#[test]
fn faults_of_single_targets_and_zones_stay_small() {
    // A target fails fast or restarts cold, or a zone falls silent; the choice must not follow
    // the idle look of the first two, nor wait for the roster at the third.
    for (scenario, most) in [("failfast", 1.5), ("cold", 1.5), ("zone", 2.0)] {
        let ours = ours(scenario, 1);
        let all = ratio(&ours, "all");
        assert!(all <= most, "{scenario}: p99 over all over quiet: {all}");
        assert!(
            ours.recovered >= 99.0,
            "{scenario}: {} % good",
            ours.recovered
        );
    }
}

#[test]
fn a_target_that_limits_its_requests_gets_them_and_the_others_the_rest() {
    // Target 0 takes a tenth of what it can run; the others have room for all else. Callers were not
    // to notice, and the target was not to get more than it takes.
    for seed in SEEDS {
        let ours = ours("limit", seed);
        // Each round may begin with a quarter of a second's requests at once.
        let most = 100.0 + 100.0 * 0.25 / 2.0;
        assert!(ours.limit_used <= most, "{} % of it", ours.limit_used);
        assert!(ours.limit_used >= 70.0, "{} % of it", ours.limit_used);
        let good = ours.good("fault", "all").expect("a row");
        assert!(good >= 0.99, "served in time: {good}");
        let all = ratio(&ours, "all");
        assert!(all <= 2.0, "p99 over all over quiet: {all}");
    }
    let deaf = figure("limit", "least own", 1);
    assert!(deaf.limit_used > 150.0, "the check can't fail");
}

#[test]
fn at_37_entries_and_37_targets_stale_reports_do_no_harm() {
    // Each entry hears of a target a few times a second. A choice that trusts such reports herds,
    // and is worse than one that knows nothing.
    let ours = ours("stale", 1);
    let random = figure("stale", "gate, random", 1);
    for (kind, least) in [("all", 1.05), ("urgent", 1.0)] {
        let [mine, other] =
            [&ours, &random].map(|one| one.p99("quiet", kind).expect("a row") as f64);
        assert!(other / mine >= least, "{kind}: random {other}, ours {mine}");
    }
}

#[test]
fn the_same_seed_gives_the_same_figures() {
    let steady = || figure("steady", "appleshore", 7).to_string();
    assert_eq!(steady(), steady());
    ours("steady", 1);
}

#[test]
fn times_by_class_keep_requests_in_their_region() {
    // A slowdown of nearly full targets that was assumed and not there sent 12 % of the calls to
    // other regions, for 3.3 % without times by class.
    for seed in SEEDS {
        let plain = figure("regions", "appleshore", seed);
        let by_class = figure("regions", "times by class", seed);
        assert!(
            by_class.abroad <= plain.abroad * 2.0,
            "calls abroad: {} % for {} %",
            by_class.abroad,
            plain.abroad
        );
        assert!(by_class.in_time >= plain.in_time - 0.2);
        assert!(by_class.worst_zone >= plain.worst_zone - 0.3);
    }
}
