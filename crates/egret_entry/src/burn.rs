//! Service by organisation and kind, as it counts against the objectives.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Mutex,
    time::Duration,
};

use egret_record::{Objective, Organisation, RecordName};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// Length of the slots in which requests are counted.
const SLOT: Duration = Duration::from_secs(10);
/// Slots of the fast window, five minutes.
const FAST_SLOTS: usize = 30;
/// Slots of the slow window, one hour.
const SLOW_SLOTS: usize = 360;

/// Requests of one slot.
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

/// Counts of one entry.
#[derive(Debug)]
pub(crate) struct Burn {
    start: Instant,
    series: Mutex<BTreeMap<(RecordName, Organisation), Series>>,
}

/// Service of one organisation with one record.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BurnRow {
    /// The record.
    pub record: String,
    /// The organisation.
    pub organisation: String,
    /// Requests in the slow window.
    pub total: u64,
    /// Of these, those not answered whole in time.
    pub bad: u64,
    /// Requests in the fast window.
    pub fast_total: u64,
    /// Of these, those not answered whole in time.
    pub fast_bad: u64,
    /// Share of requests that may be bad, of one.
    pub allowance: f64,
}

/// Service by organisation and record.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct BurnReport {
    /// One row for each organisation and record.
    pub rows: Vec<BurnRow>,
}

impl Default for Burn {
    fn default() -> Self {
        Self { start: Instant::now(), series: Mutex::default() }
    }
}

impl Burn {
    /// Counts a request that ended.
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
        let mut series = self.series.lock().expect("no holder of the lock panics");
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

    /// Reports the counts of this entry.
    pub(crate) fn report(&self) -> BurnReport {
        let slot = self.slot();
        let series = self.series.lock().expect("no holder of the lock panics");
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
        self.start.elapsed().as_secs() / SLOT.as_secs()
    }
}

impl Series {
    fn window(&self, slot: u64, slots: usize) -> (u64, u64) {
        let recent = self.counts.iter().filter(|count| count.slot + slots as u64 > slot);
        recent.fold((0, 0), |(total, bad), count| (total + count.total, bad + count.bad))
    }
}
