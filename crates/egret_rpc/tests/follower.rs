//! Search of a follower for a healthy control instance.

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

/// Number of control instances in a large deployment.
const INSTANCES: usize = 9;

/// A healthy control instance that counts the requests to all of them.
struct Counting {
    requests: Rc<Cell<u32>>,
    delay: Duration,
}

impl control::Server for Counting {
    async fn call(self: Rc<Self>, _: CallParams, mut results: CallResults) -> capnp::Result<()> {
        self.requests.set(self.requests.get() + 1);
        tokio::time::sleep(self.delay).await;
        let reply = WatchReply {
            delta: None,
            announcements: Vec::new(),
            feed: FeedDelta { cursor: FeedCursor::default(), updates: Vec::new() },
            has_leader: true,
            members: Vec::new(),
        };
        results.get().init_result().set_reply(&encode(&Reply::Watched(Box::new(reply))));
        Ok(())
    }
}

/// Returns the number of requests until the follower found an instance.
async fn requests_until_found(delay: Duration) -> u32 {
    let requests = Rc::new(Cell::new(0));
    let mut seeds = Vec::new();
    for _ in 0..INSTANCES {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        seeds.push(listener.local_addr().expect("a bound port"));
        let server = Counting { requests: requests.clone(), delay };
        let server: control::Client = capnp_rpc::new_client(server);
        spawn_local(listen(listener, server.client));
    }
    let local_ip = [127, 0, 0, 1].into();
    let follower = Follower::new(FollowerSettings { local_ip, seeds }, None);
    let mut counts = follower.updates();
    spawn_local({
        let follower = follower.clone();
        async move { follower.run().await }
    });
    let found =
        tokio::time::timeout(Duration::from_secs(10), counts.wait_for(|counts| counts.replies > 0));
    found.await.expect("an instance is found in time").expect("the follower runs");
    requests.get()
}

#[tokio::test]
async fn follower_asks_few_instances_until_one_replies() {
    // Guards against an agent on a slow link asking all instances at once: nine complete fleets
    // would congest the link for seconds.
    LocalSet::new()
        .run_until(async {
            assert_eq!(requests_until_found(Duration::ZERO).await, 1);
            let slow = requests_until_found(Duration::from_millis(500)).await;
            assert!(slow <= 3, "{slow} requests until an instance replied after half a second");
        })
        .await;
}
