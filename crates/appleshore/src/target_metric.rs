//! Metrics of the role beside the target.

use prometheus_client::registry::Registry;
use target::Stats;

/// Registers the metrics of `stats`.
pub(crate) fn register(registry: &mut Registry, stats: &Stats) {
    let target = stats.clone();
    registry.register(
        "waited_seconds",
        "Wait for a slot at this gate",
        target.waited,
    );
    registry.register(
        "ran_seconds",
        "From a start to the head of the answer",
        target.ran,
    );
    registry.register(
        "slow_starts",
        "Requests started in a slow spell of the target",
        target.slow_starts,
    );
    registry.register(
        "lost",
        "Runs here that ended without a whole answer",
        target.lost,
    );
    registry.register(
        "unfit",
        "Answers of the target that no caller may get",
        target.unfit,
    );
    registry.register(
        "declined",
        "Requests that the target turned away",
        target.declined,
    );
    registry.register(
        "asked",
        "Questions after the target's health and load",
        target.asked,
    );
    registry.register(
        "sent",
        "Requests sent to the target, without health checks",
        target.sent,
    );
    registry.register(
        "target_max_rate",
        "Requests per second that the target limits itself to",
        target.max_rate,
    );
    registry.register(
        "malformed_heartbeats",
        "Heartbeats and leaves that could not be read, or were another writer's",
        target.malformed,
    );
    registry.register(
        "gate_openings",
        "How often the gate was opened to the target",
        target.gate_openings,
    );
    registry.register(
        "foreign_answers",
        "Health checks answered by a life that no heartbeat has named",
        target.foreign_answers,
    );
    registry.register(
        "leaves_acknowledged",
        "Leaves and draining heartbeats of the target that were acknowledged",
        target.leaves_acknowledged,
    );
}
