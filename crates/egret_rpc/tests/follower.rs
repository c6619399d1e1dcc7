//! Search of a follower for a healthy control instance.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use egret_fleet::{
    FeedCursor, FeedDelta, Interest, ProcessKind, ProcessStatus, StatusKey, StatusStamp,
    StatusUpdate,
};
use egret_record::DataCentre;
use egret_rpc::{
    Follower, FollowerSettings, Reply, Request, SharedFleet, WatchReply, decode, encode, listen,
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

/// A healthy control instance that keeps what processes report.
#[derive(Default)]
struct Instance {
    fleet: Rc<RefCell<SharedFleet>>,
}

impl control::Server for Instance {
    async fn call(
        self: Rc<Self>,
        params: CallParams,
        mut results: CallResults,
    ) -> capnp::Result<()> {
        let request = decode(params.get()?.get_request()?).expect("a request");
        let Request::Watch(watch) = request else { panic!("not a watch") };
        let mut shared = self.fleet.borrow_mut();
        if let Some(process) = watch.process {
            shared.observe(&StatusUpdate::Process(process), Duration::from_secs(1));
        }
        let reply = WatchReply {
            delta: None,
            announcements: Vec::new(),
            feed: shared.feed.delta_since(watch.cursor, &shared.fleet, Interest::All),
            has_leader: true,
            members: Vec::new(),
        };
        results.get().init_result().set_reply(&encode(&Reply::Watched(Box::new(reply))));
        Ok(())
    }
}

fn entry(port: u16, incarnation: u64) -> ProcessStatus {
    ProcessStatus {
        name: "edge-1".to_owned(),
        kind: ProcessKind::Entry,
        address: ([10, 0, 0, 1], port).into(),
        data_centre: DataCentre::new("xela").expect("a name"),
        service: None,
        engine: None,
        loaded: None,
        congested: false,
        switching: false,
        leaving: false,
        stamp: StatusStamp { incarnation, seq: 1 },
    }
}

// Guards against a process that nobody hears until its clock has caught up: the clock stepped back
// by ten seconds before the process restarted, and its predecessor may be known as gone.
#[tokio::test]
async fn process_whose_clock_stepped_back_is_heard() {
    const BEFORE: u64 = 1_700_000_010_000;
    let key = StatusKey::Process("edge-1".to_owned());
    let departed = StatusUpdate::Gone(key.clone(), StatusStamp::end(BEFORE));
    for earlier in [StatusUpdate::Process(entry(1, BEFORE)), departed] {
        let instance = Instance::default();
        let fleet = instance.fleet.clone();
        fleet.borrow_mut().observe(&earlier, Duration::from_secs(1));
        let heard = async {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
            let seeds = vec![listener.local_addr().expect("a bound port")];
            let server: control::Client = capnp_rpc::new_client(instance);
            spawn_local(listen(listener, server.client));
            let local_ip = [127, 0, 0, 1].into();
            let status = entry(2, BEFORE - 10_000);
            let follower = Follower::new(FollowerSettings { local_ip, seeds }, Some(status));
            spawn_local(async move { follower.run().await });
            loop {
                tokio::time::sleep(Duration::from_millis(10)).await;
                let shared = fleet.borrow();
                if shared.fleet.entries().any(|entry| entry.address.port() == 2) {
                    return;
                }
            }
        };
        let in_time = tokio::time::timeout(Duration::from_secs(2), heard);
        assert!(LocalSet::new().run_until(in_time).await.is_ok(), "not heard after {earlier:?}");
        let mut shared = fleet.borrow_mut();
        let late = StatusUpdate::Process(entry(1, BEFORE));
        shared.observe(&late, Duration::from_secs(1));
        let ports = shared.fleet.entries().map(|entry| entry.address.port());
        assert_eq!(ports.collect::<Vec<_>>(), [2], "a late report of the predecessor counts");
    }
}
