//! Weighted round robin over the parts of a route.

/// Distributes requests over parts by weight: smooth weighted round robin.
///
/// A random draw approaches the weights only over thousands of requests; here no part is ever off
/// by more than one request for each other part.
///
/// ```
/// let mut round_robin = pick::RoundRobin::default();
/// let parts: Vec<usize> = (0..5).map(|_| round_robin.next_part(&[3, 2])).collect();
/// assert_eq!(parts, [0, 1, 0, 1, 0]);
/// ```
#[derive(Debug, Clone, Default)]
pub struct RoundRobin {
    weights: Vec<u32>,
    credits: Vec<i64>,
}

impl RoundRobin {
    /// Returns the index of the part for the next request, given the weights of all parts.
    ///
    /// If the weights differ from those of the last call, the distribution starts anew. Without any
    /// weight it is the first part.
    pub fn next_part(&mut self, weights: &[u32]) -> usize {
        if self.weights != weights {
            self.weights = weights.to_vec();
            self.credits = vec![0; weights.len()];
        }
        let mut total = 0;
        for (credit, weight) in self.credits.iter_mut().zip(weights) {
            *credit += i64::from(*weight);
            total += i64::from(*weight);
        }
        let highest = self.credits.iter().max().copied().unwrap_or(0);
        let part = self
            .credits
            .iter()
            .position(|credit| *credit == highest)
            .unwrap_or(0);
        if let Some(credit) = self.credits.get_mut(part) {
            *credit -= total;
        }
        part
    }
}
