//! Counts of good and bad requests, from which operators compute burn rates.
//!
//! Requests are counted by record and organisation, against the objective of
//! the record, over a fast and a slow sliding window.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Mutex,
    time::Duration,
};

use egret_record::{Objective, Organisation, RecordName};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// Duration of one slot of the sliding windows.
const SLOT_PERIOD: Duration = Duration::from_secs(10);
/// Slots of the fast window: five minutes.
const FAST_SLOTS: usize = 30;
/// Slots of the slow window: one hour.
const SLOW_SLOTS: usize = 360;

/// Requests counted in one slot.
#[derive(Debug, Clone, Copy, Default)]
struct Count {
    slot: u64,
    total: u64,
    bad: u64,
}

#[derive(Debug, Default)]
struct Series {
    counts: VecDeque<Count>,
    objective: Objective,
}

/// The counts of one entry.
#[derive(Debug)]
pub(crate) struct BurnCounter {
    start: Instant,
    series: Mutex<BTreeMap<(RecordName, Organisation), Series>>,
}

/// Counts of one organisation's requests for one record.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BurnRow {
    /// The name of the record.
    pub record: String,
    /// The name of the organisation.
    pub organisation: String,
    /// Requests in the slow window, one hour.
    pub total: u64,
    /// Of these, the requests that failed or missed the latency objective.
    pub bad: u64,
    /// Requests in the fast window, five minutes.
    pub fast_total: u64,
    /// Of these, the requests that failed or missed the latency objective.
    pub fast_bad: u64,
    /// The fraction of requests that may be bad, from 0 to 1.
    pub allowance: f64,
}

/// Counts by organisation and record.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct BurnReport {
    /// One row for each organisation and record.
    pub rows: Vec<BurnRow>,
}

impl Default for BurnCounter {
    fn default() -> Self {
        Self { start: Instant::now(), series: Mutex::default() }
    }
}

impl BurnCounter {
    /// Counts a completed request.
    pub(crate) fn count(
        &self,
        record: &RecordName,
        organisation: &Organisation,
        objective: Objective,
        answered: bool,
        took: Duration,
    ) {
        let good = answered && took <= Duration::from_millis(objective.within_ms);
        let slot = self.slot();
        let mut series = self.series.lock().expect("the lock is not poisoned");
        let series = series.entry((record.clone(), organisation.clone())).or_default();
        series.objective = objective;
        if series.counts.back().is_none_or(|count| count.slot != slot) {
            series.counts.push_back(Count { slot, ..Count::default() });
            if series.counts.len() > SLOW_SLOTS {
                series.counts.pop_front();
            }
        }
        if let Some(count) = series.counts.back_mut() {
            count.total += 1;
            count.bad += u64::from(!good);
        }
    }

    /// Returns the counts of this entry.
    pub(crate) fn report(&self) -> BurnReport {
        let slot = self.slot();
        let series = self.series.lock().expect("the lock is not poisoned");
        let rows = series.iter().map(|((record, organisation), series)| {
            let (fast_total, fast_bad) = series.window(slot, FAST_SLOTS);
            let (total, bad) = series.window(slot, SLOW_SLOTS);
            BurnRow {
                record: record.to_string(),
                organisation: organisation.to_string(),
                total,
                bad,
                fast_total,
                fast_bad,
                allowance: 1.0 - f64::from(series.objective.answered_per_100k) / 100_000.0,
            }
        });
        BurnReport { rows: rows.collect() }
    }

    fn slot(&self) -> u64 {
        self.start.elapsed().as_secs() / SLOT_PERIOD.as_secs()
    }
}

impl Series {
    fn window(&self, slot: u64, slots: usize) -> (u64, u64) {
        let recent = self.counts.iter().filter(|count| count.slot + slots as u64 > slot);
        recent.fold((0, 0), |(total, bad), count| (total + count.total, bad + count.bad))
    }
}
