//! The first membership, and joining an existing one.
//!
//! A cluster forms once, when all listed instances are there and none has
//! formed one yet. The identities of its first members name the cluster, so two
//! instances that formed different clusters in a race never talk to each other.
//! An instance whose data folder was lost meets members that have formed, and
//! waits to be added under its new identity.

use std::{cell::RefCell, collections::BTreeMap, net::SocketAddr, time::Duration};

use egret_consensus::{ClusterId, Member, Membership, Persisted};
use egret_record::MemberId;
use egret_rpc::{Connection, read_member, schema::control, write_member};
use egret_settings::ControlSettings;
use tokio::time::{sleep, timeout};

use crate::driver::Core;

/// Pause between two rounds of introductions.
const HELLO_PERIOD: Duration = Duration::from_millis(200);
/// Longest wait for one introduction.
const HELLO_TIMEOUT: Duration = Duration::from_millis(500);

/// What another instance said of itself.
#[derive(Debug, Clone)]
struct Introduction {
    id: MemberId,
    member: Member,
    cluster: Option<ClusterId>,
}

/// Waits until this instance knows which cluster it belongs to.
pub(crate) async fn find_cluster(settings: &ControlSettings, own: MemberId) -> Persisted {
    let mut rounds = 0_u32;
    loop {
        let heard = introduce_to_all(settings, own).await;
        if let Some(cluster) = heard.values().find_map(|other| other.cluster) {
            log::info!("event=cluster_found cluster={:016x}", cluster.0);
            return Persisted::joining(cluster);
        }
        if heard.len() + 1 == settings.peers.len() {
            let membership = first_membership(settings, own, heard);
            log::info!("event=cluster_formed cluster={:016x}", membership.cluster.0);
            return Persisted::first(membership);
        }
        if rounds.is_multiple_of(25) {
            log::info!(
                "event=waiting_for_peers heard={} listed={}",
                heard.len() + 1,
                settings.peers.len()
            );
        }
        rounds += 1;
        sleep(HELLO_PERIOD).await;
    }
}

/// Keeps asking to be added, until this instance is a member.
pub(crate) async fn ask_to_join(settings: &ControlSettings, own: MemberId, core: &RefCell<Core>) {
    while !core.borrow().membership().members.contains_key(&own) {
        let heard = introduce_to_all(settings, own).await;
        let members = heard.into_values().map(|other| (other.id, other.member));
        core.borrow_mut().introduced.extend(members);
        sleep(HELLO_PERIOD).await;
    }
}

fn first_membership(
    settings: &ControlSettings,
    own: MemberId,
    heard: BTreeMap<SocketAddr, Introduction>,
) -> Membership {
    let own = (own, Member::new(&settings.name, &settings.address().to_string()));
    let others = heard.into_values().map(|other| (other.id, other.member));
    Membership::of_voters(others.chain([own]))
}

async fn introduce_to_all(
    settings: &ControlSettings,
    own: MemberId,
) -> BTreeMap<SocketAddr, Introduction> {
    let others = settings.peers.iter().filter(|peer| peer.name != settings.name);
    let asked = others.map(async |peer| {
        let said = timeout(HELLO_TIMEOUT, introduce(settings, own, peer.address)).await;
        said.ok().and_then(Result::ok).map(|said| (peer.address, said))
    });
    futures::future::join_all(asked).await.into_iter().flatten().collect()
}

async fn introduce(
    settings: &ControlSettings,
    own: MemberId,
    address: SocketAddr,
) -> capnp::Result<Introduction> {
    let connection: Connection<control::Client> =
        Connection::open(settings.listen.ip(), address).await?;
    let mut call = connection.client().hello_request();
    let member = Member::new(&settings.name, &settings.address().to_string());
    write_member(own, &member, call.get().init_member());
    let answer = call.send().promise.await?;
    let answer = answer.get()?;
    let (id, member) = read_member(answer.get_member()?)?;
    let cluster = answer.get_formed().then(|| ClusterId(answer.get_cluster()));
    Ok(Introduction { id, member, cluster })
}
