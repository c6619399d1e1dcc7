//! When parts and requests were last seen answered.

use std::time::Duration;

use egret_record::{FastMap, PartId};

/// Number of parts after which the older half is forgotten.
const GENERATION_MAX: usize = 4_096;

/// The latest times of parts, in bounded memory: callers may make up any number of parts.
///
/// Those that are not seen again are forgotten first. Most requests come once, so they have a
/// memory of their own.
#[derive(Debug, Default)]
pub(crate) struct Clears {
    parts: Generations,
    requests: Generations,
}

impl Clears {
    pub(crate) fn insert(&mut self, part: PartId, at: Duration) {
        let generations = if part.is_request() { &mut self.requests } else { &mut self.parts };
        generations.insert(part, at);
    }

    pub(crate) fn get(&self, part: PartId) -> Option<Duration> {
        if part.is_request() { self.requests.get(part) } else { self.parts.get(part) }
    }
}

#[derive(Debug, Default)]
struct Generations {
    recent: FastMap<PartId, Duration>,
    older: FastMap<PartId, Duration>,
}

impl Generations {
    fn insert(&mut self, part: PartId, at: Duration) {
        if self.recent.len() >= GENERATION_MAX && !self.recent.contains_key(&part) {
            self.older = std::mem::take(&mut self.recent);
        }
        let known = self.get(part).unwrap_or_default();
        self.recent.insert(part, known.max(at));
    }

    fn get(&self, part: PartId) -> Option<Duration> {
        self.recent.get(&part).or_else(|| self.older.get(&part)).copied()
    }
}
