//! Sharing a number of tokens by demand.

/// The level of water filling: the largest number at which the demands, each cut to it, sum up to at
/// most `total`. `None` if all demands can be met.
///
/// ```
/// assert_eq!(quota::fill(vec![1, 9, 9], 12), Some(5));
/// assert_eq!(quota::fill(vec![1, 9], 12), None);
/// ```
pub fn fill(mut demands: Vec<u32>, total: u32) -> Option<u32> {
    let sum: u64 = demands.iter().map(|demand| u64::from(*demand)).sum();
    if sum <= u64::from(total) {
        return None;
    }
    demands.sort_unstable();
    let mut left = total;
    let mut count = demands.len() as u32;
    for demand in demands {
        let level = left / count;
        if demand > level {
            return Some(level);
        }
        left -= demand;
        count -= 1;
    }
    None
}
