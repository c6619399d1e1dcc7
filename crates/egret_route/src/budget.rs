//! Limit on the number of retries, relative to the number of requests.

/// Retries that may accumulate.
const BALANCE_MAX: f64 = 20.0;

/// A budget of retries, earned by requests.
///
/// The budget starts half full.
///
/// ```
/// use egret_route::RetryBudget;
///
/// let mut budget = RetryBudget::new(50);
/// while budget.withdraw() {}
/// budget.deposit();
/// assert!(!budget.withdraw(), "one request earns half a retry");
/// budget.deposit();
/// assert!(budget.withdraw());
/// ```
#[derive(Debug, Clone)]
pub struct RetryBudget {
    ratio: f64,
    max: f64,
    balance: f64,
}

impl RetryBudget {
    /// Creates a budget of `percent` retries per hundred requests.
    #[must_use]
    pub fn new(percent: u32) -> Self {
        let ratio = f64::from(percent) / 100.0;
        Self::with_max(ratio, if percent == 0 { 0.0 } else { BALANCE_MAX })
    }

    /// Creates a budget of `ratio` retries per request, of which `max` may accumulate.
    #[must_use]
    pub fn with_max(ratio: f64, max: f64) -> Self {
        Self { ratio, max, balance: max / 2.0 }
    }

    /// Records a new request, which earns a share of a retry.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + self.ratio).min(self.max);
    }

    /// Takes one retry; returns whether there was one.
    pub fn withdraw(&mut self) -> bool {
        let available = self.balance >= 1.0;
        if available {
            self.balance -= 1.0;
        }
        available
    }
}
