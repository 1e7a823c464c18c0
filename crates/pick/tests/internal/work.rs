//! The tables of times by class, from inside their module: their sizes show nowhere else.

use super::*;

/// A caller with ever new paths must not fill the memory.
#[test]
fn the_tables_are_bounded() {
    let now = Instant::now();
    let mut service = Table::new(SERVICE_CLASSES);
    let mut speed = Speed::new();
    for class in 1..1_000 {
        speed.record(&mut service, now, class, 1_000.0);
    }
    assert_eq!(service.means.len(), SERVICE_CLASSES);
    assert_eq!(speed.by_class.means.len(), TARGET_CLASSES);
}
