//! Status updates of the fleet from the other control instances.
//!
//! Backend servers report their status to any one control instance. Each control
//! instance follows the feeds of all others, so that it can pass on all updates
//! to the processes that follow it.

use std::{cell::RefCell, net::IpAddr, net::SocketAddr, rc::Rc, time::Duration};

use egret_fleet::FeedCursor;
use egret_record::FastSet;
use egret_rpc::{Connections, LONG_POLL_TIMEOUT, REPLY_GRACE, Watch, schema::control, watch_once};
use tokio::time::{sleep, timeout};

use crate::driver::Core;

/// Interval at which the membership is checked for new instances.
const CHECK_PERIOD: Duration = Duration::from_millis(500);
/// Delay before retrying an instance that failed or has no leader. After a restart of all
/// instances, updates reach the others with this delay.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Timeout of a long poll, whose reply is delayed while there are no updates.
const POLL_TIMEOUT: Duration = LONG_POLL_TIMEOUT.saturating_add(REPLY_GRACE);

/// Follows the feeds of all other control instances.
pub(crate) async fn run(local_ip: IpAddr, core: Rc<RefCell<Core>>) {
    let connections = Rc::new(Connections::new(local_ip));
    let followed: Rc<RefCell<FastSet<SocketAddr>>> = Rc::default();
    loop {
        for address in others(&core.borrow()) {
            if followed.borrow_mut().insert(address) {
                let (connections, followed) = (connections.clone(), followed.clone());
                let core = core.clone();
                tokio::task::spawn_local(async move {
                    follow(&connections, address, &core).await;
                    followed.borrow_mut().remove(&address);
                });
            }
        }
        sleep(CHECK_PERIOD).await;
    }
}

fn others(core: &Core) -> Vec<SocketAddr> {
    core.other_members().into_iter().map(|(_, address)| address).collect()
}

/// Follows the feed of one instance for as long as it is a member.
async fn follow(
    connections: &Connections<control::Client>,
    address: SocketAddr,
    core: &RefCell<Core>,
) {
    let mut cursor = FeedCursor::default();
    while others(&core.borrow()).contains(&address) {
        // The replicated log already carries the view; only the feed is needed.
        let revision = egret_record::Revision(u64::MAX);
        let watch = Watch { revision, cursor, process: None, immediate: false };
        match timeout(POLL_TIMEOUT, watch_once(connections, address, watch)).await {
            Ok(Ok(reply)) => {
                cursor = reply.feed.cursor;
                for update in &reply.feed.updates {
                    core.borrow_mut().observe(update);
                }
                if !reply.has_leader {
                    sleep(RETRY_DELAY).await;
                }
            }
            Ok(Err(_)) | Err(_) => {
                connections.remove(address);
                sleep(RETRY_DELAY).await;
            }
        }
    }
}
