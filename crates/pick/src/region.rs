//! The costs of a target in another region.

use std::time::Duration;

/// One-way network delay to another region that is assumed until a link there has measured it.
///
/// Between regions of one continent it is 5 to 40 ms. An assumption at the lower end lets the first
/// calls measure it.
pub const REGION_DELAY: Duration = Duration::from_millis(8);

/// The region of an entry, and what leaving it costs.
///
/// It counts while the service has a target in another region. Without it an entry ignores regions.
#[derive(Debug, Clone, PartialEq)]
pub struct Home {
    /// The region of the entry.
    pub region: String,
    /// One-way network delay to another region, until the links to it have measured it.
    pub delay: Duration,
    /// Price of 1,000 bytes to another region, in mean service times.
    ///
    /// A request goes to another region when the expected wait at home is longer by the price of
    /// its bytes.
    pub price: f64,
    /// Price of a call to another region whatever its bytes, in mean service times. It keeps small
    /// requests at home while the estimates differ only by chance.
    pub call_price: f64,
}

impl Home {
    /// A home in `region` with the usual prices.
    pub fn new(region: String, delay: Duration) -> Home {
        Home {
            region,
            delay,
            // A download of 90 kB leaves when it would wait for 1.8 service times longer at home,
            // a read of 1 kB when it would wait for the call's price longer.
            price: 0.02,
            call_price: 0.25,
        }
    }
}

/// Bytes assumed for a request of unknown class: a head each way and a short body.
const UNKNOWN_BYTES: f64 = 2_000.0;
/// Bounds on the work of a class relative to the mean, where its bytes are priced by its work.
const DENSITY: std::ops::RangeInclusive<f64> = 0.25..=4.0;

/// The price in mean service times of a request to another region.
///
/// Sending work of a class away relieves the region by that work, so the same bytes are dearer for
/// shorter work. `work` is the time of the class relative to the mean, 1 where it is unknown.
pub(crate) fn price(home: &Home, bytes: Option<f64>, work: f64) -> f64 {
    let work = work.clamp(*DENSITY.start(), *DENSITY.end());
    let kilobytes = bytes.unwrap_or(UNKNOWN_BYTES) / 1_000.0;
    home.call_price + kilobytes * home.price / work
}
