//! How many requests may be tried again.

/// Tries that may be saved up.
const SAVED_MAX: f64 = 20.0;

/// A budget of extra tries, a share of the requests.
///
/// ```
/// use egret_route::RetryBudget;
///
/// let mut budget = RetryBudget::new(50);
/// while budget.withdraw() {}
/// budget.deposit();
/// assert!(!budget.withdraw(), "one request earns half a try");
/// budget.deposit();
/// assert!(budget.withdraw());
/// ```
#[derive(Debug, Clone)]
pub struct RetryBudget {
    share: f64,
    most: f64,
    saved: f64,
}

impl RetryBudget {
    /// Makes a budget of `percent` extra tries per hundred requests.
    #[must_use]
    pub fn new(percent: u32) -> Self {
        let share = f64::from(percent) / 100.0;
        Self::with_max(share, if percent == 0 { 0.0 } else { SAVED_MAX })
    }

    /// Makes a budget of `share` extra tries a request, of which `most` may be saved up.
    #[must_use]
    pub fn with_max(share: f64, most: f64) -> Self {
        Self { share, most, saved: most / 2.0 }
    }

    /// Notes a new request.
    pub fn deposit(&mut self) {
        self.saved = (self.saved + self.share).min(self.most);
    }

    /// Takes an extra try, if there is one.
    pub fn withdraw(&mut self) -> bool {
        let there = self.saved >= 1.0;
        if there {
            self.saved -= 1.0;
        }
        there
    }
}
