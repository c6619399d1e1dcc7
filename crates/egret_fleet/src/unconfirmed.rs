//! Members of a fleet that the source of its updates no longer lists.
//!
//! The sources of status updates keep them in memory only. One that has started anew never
//! announces the end of what it has forgotten, so a follower must notice by itself that nobody
//! reports a member any more.

use std::time::Duration;

use egret_record::FastSet;

use crate::{BACKEND_TIMEOUT, Fleet, StatusKey, StatusUpdate};

/// Time in which each process reports to a source that has started anew; several long polls.
const PROCESS_CONFIRMATION_TIMEOUT: Duration = Duration::from_secs(3);

/// The members that have not been listed or reported since a source started anew.
#[derive(Debug, Default)]
pub struct Unconfirmed {
    keys: FastSet<StatusKey>,
    /// Since when the source has been in contact with the others without interruption.
    contact: Option<Duration>,
}

impl Unconfirmed {
    /// Marks all members of `fleet` as unconfirmed, since the source has started anew.
    pub fn restart(&mut self, fleet: &Fleet) {
        let members = fleet.all().map(|known| &known.status);
        let members = members.filter(|status| is_member(status));
        self.keys = members.map(StatusUpdate::key).collect();
        self.contact = None;
    }

    /// Records that the source has listed or reported a member.
    pub fn confirm(&mut self, update: &StatusUpdate) {
        self.keys.remove(&update.key());
    }

    /// Records whether the source is in contact with the others.
    ///
    /// Without contact, members may report to others only, so the time starts anew.
    pub fn set_contact(&mut self, in_contact: bool, now: Duration) {
        self.contact = in_contact.then(|| self.contact.unwrap_or(now));
    }

    /// Returns the departures of members that stayed unconfirmed for too long.
    ///
    /// As with an expiry, a later report of such a member undoes its departure.
    pub fn departures(&mut self, fleet: &Fleet, now: Duration) -> Vec<StatusUpdate> {
        let Some(contact) = self.contact else { return Vec::new() };
        let mut departures = Vec::new();
        self.keys.retain(|key| {
            let Some(known) = fleet.get(key).filter(|known| is_member(&known.status)) else {
                return false;
            };
            let limit = match known.status {
                StatusUpdate::Backend(_) => BACKEND_TIMEOUT,
                _ => PROCESS_CONFIRMATION_TIMEOUT,
            };
            let is_due = now >= contact + limit;
            if is_due {
                departures.push(StatusUpdate::Gone(key.clone(), known.status.stamp()));
            }
            !is_due
        });
        departures
    }
}

/// Returns whether an update shows a backend server or process that is not gone.
const fn is_member(update: &StatusUpdate) -> bool {
    matches!(update, StatusUpdate::Backend(_) | StatusUpdate::Process(_))
}
