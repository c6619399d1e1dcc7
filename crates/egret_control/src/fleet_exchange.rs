//! What the other control instances heard of the fleet.
//!
//! Backend servers announce themselves to any control instance. Each instance
//! follows the feeds of all others, so that every follower learns everything
//! from the one instance it follows.

use std::{cell::RefCell, net::IpAddr, net::SocketAddr, rc::Rc, time::Duration};

use egret_fleet::FeedCursor;
use egret_record::{FastSet, MemberId};
use egret_rpc::{Connections, LONG_POLL_TIMEOUT, REPLY_GRACE, Watch, schema::control, watch_once};
use tokio::time::{sleep, timeout};

use crate::driver::Core;

/// Pause between two looks at the membership.
const LOOK_PERIOD: Duration = Duration::from_millis(500);
/// Pause before an instance that is not well is asked again: after a restart of all, what each
/// hears reaches the others this late.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Longest wait for an answer, which may be held back while there is no news.
const ANSWER_TIMEOUT: Duration = LONG_POLL_TIMEOUT.saturating_add(REPLY_GRACE);

/// Follows the feeds of all other control instances.
pub(crate) async fn run(own: IpAddr, id: MemberId, core: Rc<RefCell<Core>>) {
    let connections = Rc::new(Connections::new(own));
    let followed: Rc<RefCell<FastSet<SocketAddr>>> = Rc::default();
    loop {
        for address in others(id, &core.borrow()) {
            if followed.borrow_mut().insert(address) {
                let (connections, followed) = (connections.clone(), followed.clone());
                let core = core.clone();
                tokio::task::spawn_local(async move {
                    follow(&connections, address, id, &core).await;
                    followed.borrow_mut().remove(&address);
                });
            }
        }
        sleep(LOOK_PERIOD).await;
    }
}

fn others(own: MemberId, core: &Core) -> Vec<SocketAddr> {
    let members = core.membership().members.iter().filter(|(id, _)| **id != own);
    members.filter_map(|(_, member)| member.address.parse().ok()).collect()
}

/// Follows one instance for as long as it is a member.
async fn follow(
    connections: &Connections<control::Client>,
    address: SocketAddr,
    own: MemberId,
    core: &RefCell<Core>,
) {
    let mut cursor = FeedCursor::default();
    while others(own, &core.borrow()).contains(&address) {
        // The log brings the view; only the feed is wanted.
        let revision = egret_record::Revision(u64::MAX);
        let watch = Watch { revision, cursor, process: None, immediate: false };
        match timeout(ANSWER_TIMEOUT, watch_once(connections, address, watch)).await {
            Ok(Ok(answer)) => {
                cursor = answer.feed.cursor;
                for sighting in &answer.feed.updates {
                    core.borrow_mut().observe(sighting);
                }
                if !answer.has_leader {
                    sleep(RETRY_PAUSE).await;
                }
            }
            Ok(Err(_)) | Err(_) => {
                connections.remove(address);
                sleep(RETRY_PAUSE).await;
            }
        }
    }
}
