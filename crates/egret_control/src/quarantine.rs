//! Parts of prompts that crash backend servers, while this member is the leader.

use std::time::Duration;

use egret_consensus::Term;
use egret_fleet::{StatusStamp, SuspectedParts};
use egret_quarantine::{Decision, Detector, PartsReport};
use egret_record::{BlockedPart, PartId};
use egret_rpc::Command;
use imbl::OrdMap;

/// What a leader does about the parts of prompts.
#[derive(Debug, Default)]
pub(crate) struct Actions {
    pub(crate) commands: Vec<Command>,
    pub(crate) suspects: Option<SuspectedParts>,
}

/// The reports of entries to one leader, and its decisions.
#[derive(Debug)]
pub(crate) struct Quarantine {
    detector: Detector,
    /// Number of announcements, for their order.
    announced: u64,
    decide_at: Duration,
}

impl Quarantine {
    pub(crate) fn new() -> Self {
        Self { detector: Detector::default(), announced: 0, decide_at: Duration::ZERO }
    }

    pub(crate) fn observe(&mut self, report: &PartsReport, now: Duration) {
        self.detector.observe(report, now);
    }

    /// Decides what to do at `now`, given the parts that are blocked.
    pub(crate) fn decide(
        &mut self,
        blocked: &OrdMap<PartId, BlockedPart>,
        term: Term,
        now: Duration,
    ) -> Actions {
        /// Interval of decisions, which look at all crashes that are remembered.
        const DECIDE_PERIOD: Duration = Duration::from_millis(100);
        let mut actions = Actions::default();
        if now < self.decide_at {
            return actions;
        }
        self.decide_at = now + DECIDE_PERIOD;
        // Entries tell a new leader what they have seen once it announces suspects, even none.
        let mut announcement = (self.announced == 0).then(Vec::new);
        for decision in self.detector.decide(blocked, now) {
            match decision {
                Decision::Announce(parts) => announcement = Some(parts),
                Decision::Block { part, doubtful, .. } => {
                    log::warn!("{decision}");
                    metrics::counter!("egret_control_parts_total", "change" => "blocked")
                        .increment(1);
                    actions.commands.push(Command::BlockPart { part, doubtful });
                }
                Decision::OpenTrial { part, trials } => {
                    log::info!("{decision}");
                    actions.commands.push(Command::OpenTrial { part, trials });
                }
                Decision::Release(part) => {
                    log::warn!("{decision}");
                    metrics::counter!("egret_control_parts_total", "change" => "released")
                        .increment(1);
                    actions.commands.push(Command::ReleasePart(part));
                }
            }
        }
        actions.suspects = announcement.map(|parts| {
            self.announced += 1;
            let stamp = StatusStamp { incarnation: term.0, seq: self.announced };
            SuspectedParts { parts, stamp }
        });
        actions
    }
}
