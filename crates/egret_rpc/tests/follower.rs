//! How a follower looks for a control instance.

use std::{cell::Cell, rc::Rc, time::Duration};

use egret_fleet::{FeedCursor, FeedDelta};
use egret_rpc::{
    Follower, FollowerSettings, Reply, WatchReply, encode, listen,
    schema::control::{self, CallParams, CallResults},
};
use tokio::{
    net::TcpListener,
    task::{LocalSet, spawn_local},
};

/// Control instances of a large deployment.
const INSTANCES: usize = 9;

/// A control instance that is well and counts how often all of them were asked.
struct Counting {
    asked: Rc<Cell<u32>>,
    delay: Duration,
}

impl control::Server for Counting {
    async fn call(self: Rc<Self>, _: CallParams, mut results: CallResults) -> capnp::Result<()> {
        self.asked.set(self.asked.get() + 1);
        tokio::time::sleep(self.delay).await;
        let watched = WatchReply {
            delta: None,
            announcements: Vec::new(),
            feed: FeedDelta { cursor: FeedCursor::default(), updates: Vec::new() },
            has_leader: true,
            members: Vec::new(),
        };
        results.get().init_result().set_reply(&encode(&Reply::Watched(Box::new(watched))));
        Ok(())
    }
}

/// Returns how often the instances were asked until the follower had found one.
async fn asked_until_found(delay: Duration) -> u32 {
    let asked = Rc::new(Cell::new(0));
    let mut seeds = Vec::new();
    for _ in 0..INSTANCES {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        seeds.push(listener.local_addr().expect("a bound port"));
        let server = Counting { asked: asked.clone(), delay };
        let server: control::Client = capnp_rpc::new_client(server);
        spawn_local(listen(listener, server.client));
    }
    let local_ip = [127, 0, 0, 1].into();
    let follower = Follower::new(FollowerSettings { local_ip, seeds }, None);
    let mut news = follower.updates();
    spawn_local({
        let follower = follower.clone();
        async move { follower.run().await }
    });
    let found = tokio::time::timeout(Duration::from_secs(10), news.wait_for(|one| one.replies > 0));
    found.await.expect("one is well").expect("the follower runs");
    asked.get()
}

#[tokio::test]
async fn few_instances_send_their_fleet_to_one_that_looks_for_them() {
    // Pattern: an agent on a squeezed link looks anew; nine whole fleets would fill it for seconds.
    LocalSet::new()
        .run_until(async {
            assert_eq!(asked_until_found(Duration::ZERO).await, 1);
            let slow = asked_until_found(Duration::from_millis(500)).await;
            assert!(slow <= 3, "{slow} were asked until one answered after half a second");
        })
        .await;
}
