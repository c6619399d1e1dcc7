//! Leases of sessions whose polls are retried, as across a change of leader.

use std::{cell::Cell, rc::Rc, time::Duration};

use egret_record::{DataCentre, Delta, EntryName, Revision, SessionId, View};
use egret_rpc::{
    ControlClient, Holder, Reply, Session, encode, listen,
    schema::control::{self, CallParams, CallResults, PollParams, PollResults},
};
use tokio::{
    net::TcpListener,
    task::{LocalSet, spawn_local},
};

/// Shorter than the timeout of one attempt.
const LEASE: Duration = Duration::from_millis(700);

/// A control instance that replies only to the second poll that it receives.
struct SecondPoll {
    polls: Cell<u32>,
}

impl control::Server for SecondPoll {
    async fn call(self: Rc<Self>, _: CallParams, mut results: CallResults) -> capnp::Result<()> {
        let reply = Reply::Joined { session: SessionId(7) };
        results.get().init_result().set_reply(&encode(&reply));
        Ok(())
    }

    async fn poll(self: Rc<Self>, _: PollParams, mut results: PollResults) -> capnp::Result<()> {
        self.polls.set(self.polls.get() + 1);
        if self.polls.get() != 2 {
            std::future::pending::<()>().await;
        }
        let view = View { revision: Revision(1), ..View::default() };
        let mut result = results.get().init_result();
        result.set_lease_millis(u64::try_from(LEASE.as_millis()).expect("a short time"));
        result.set_delta(&encode(&Delta::Snapshot(Box::new(view))));
        Ok(())
    }
}

#[tokio::test]
async fn lease_counts_from_the_attempt_that_was_answered() {
    // The first attempt times out after the lease would have ended; a lease counted from it would
    // never be valid.
    LocalSet::new()
        .run_until(async {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
            let address = listener.local_addr().expect("a bound port");
            let server: control::Client = capnp_rpc::new_client(SecondPoll { polls: Cell::new(0) });
            spawn_local(listen(listener, server.client));
            let holder = Holder::Entry {
                name: EntryName::new("entry-1").expect("a valid name"),
                data_centre: DataCentre::new("xela").expect("a valid name"),
                address: ([127, 0, 0, 1], 1).into(),
            };
            let client = Rc::new(ControlClient::new([127, 0, 0, 1].into(), vec![address]));
            let session = Rc::new(Session::new(client, holder));
            let mut known = session.revision();
            spawn_local({
                let session = session.clone();
                async move { session.run().await }
            });
            let seen = tokio::time::timeout(
                Duration::from_secs(10),
                known.wait_for(|known| *known == Revision(1)),
            );
            seen.await.expect("the second poll is answered").expect("the session runs");
            tokio::task::yield_now().await;
            assert!(
                session.lease.is_held(),
                "the lease was counted from the first attempt of the poll"
            );
        })
        .await;
}
