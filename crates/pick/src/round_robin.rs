//! Which part of a weighted route a request goes to.

/// Deals requests to parts by weight, evenly: smooth weighted round robin.
///
/// A random draw gives each part its weight only over thousands of requests; here no part is ever
/// off by more than one request for each other part.
///
/// ```
/// let mut round_robin = pick::RoundRobin::default();
/// let dealt: Vec<usize> = (0..5).map(|_| round_robin.next_part(&[3, 2])).collect();
/// assert_eq!(dealt, [0, 1, 0, 1, 0]);
/// ```
#[derive(Debug, Clone, Default)]
pub struct RoundRobin {
    weights: Vec<u32>,
    owed: Vec<i64>,
}

impl RoundRobin {
    /// The part that the next request goes to, for the weights of the parts in their order.
    ///
    /// Other weights than before start the deal anew. Without any weight it is the first part.
    pub fn next_part(&mut self, weights: &[u32]) -> usize {
        if self.weights != weights {
            self.weights = weights.to_vec();
            self.owed = vec![0; weights.len()];
        }
        let mut total = 0;
        for (owed, weight) in self.owed.iter_mut().zip(weights) {
            *owed += i64::from(*weight);
            total += i64::from(*weight);
        }
        let most = self.owed.iter().max().copied().unwrap_or(0);
        let part = self.owed.iter().position(|owed| *owed == most).unwrap_or(0);
        if let Some(owed) = self.owed.get_mut(part) {
            *owed -= total;
        }
        part
    }
}
