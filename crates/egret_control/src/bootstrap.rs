//! The first membership, and joining an existing one.
//!
//! A cluster forms once, when all listed instances are there and none has
//! formed one yet. The identities of its first members name the cluster, so two
//! instances that formed different clusters in a race never talk to each other.
//! An instance whose data folder was lost meets members that have formed, and
//! waits to be added under its new identity.
//!
//! Where only some instances are named, as seeds, those form the cluster and the
//! others ask to be added.

use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use egret_consensus::{ClusterId, Member, Membership, Persisted};
use egret_record::MemberId;
use egret_rpc::{
    Connection, Query, Request, encode, read_member, schema, schema::control, write_member,
};
use egret_settings::ControlSettings;
use tokio::time::{sleep, timeout};

use crate::driver::Core;

/// Pause between two rounds of introductions.
const HELLO_PERIOD: Duration = Duration::from_millis(200);
/// Longest wait for one introduction.
const HELLO_TIMEOUT: Duration = Duration::from_millis(500);

/// Time without a leader after which this instance may have been removed unawares.
const LEADERLESS_TIME: Duration = Duration::from_secs(2);

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
        let heard = introduce_to_all(settings, own, founders(settings)).await;
        if let Some(cluster) = heard.values().find_map(|other| other.cluster) {
            log::info!("event=cluster_found cluster={:016x}", cluster.0);
            return Persisted::joining(cluster);
        }
        if may_found(settings) && heard.len() + 1 == listed(settings) {
            let membership = first_membership(settings, own, heard);
            log::info!("event=cluster_formed cluster={:016x}", membership.cluster.0);
            return Persisted::bootstrap(membership);
        }
        if rounds.is_multiple_of(25) {
            log::info!(
                "event=waiting_for_peers heard={} listed={}",
                heard.len() + 1,
                listed(settings)
            );
        }
        rounds += 1;
        sleep(HELLO_PERIOD).await;
    }
}

/// Asks to be added whenever this instance is no member, or hears of no leader.
pub(crate) async fn ask_to_join(settings: &ControlSettings, own: MemberId, core: &RefCell<Core>) {
    loop {
        let asked = {
            let core = core.borrow();
            let member = core.membership().members.contains_key(&own);
            let led = core.leader_silence().is_some_and(|silence| silence < LEADERLESS_TIME);
            (!member || !led).then(|| addresses(settings, &core))
        };
        if let Some(addresses) = asked {
            let heard = introduce_to_all(settings, own, addresses).await;
            let members = heard.into_values().map(|other| (other.id, other.member));
            core.borrow_mut().introduced.extend(members);
        }
        sleep(HELLO_PERIOD).await;
    }
}

/// Returns the instances that this one knows of.
fn addresses(settings: &ControlSettings, core: &Core) -> BTreeSet<SocketAddr> {
    let members = core.membership().members.values().chain(core.introduced.values());
    let known = members.filter_map(|member| member.address.parse().ok());
    founders(settings).into_iter().chain(known).collect()
}

/// Returns the instances that may have formed the cluster.
fn founders(settings: &ControlSettings) -> BTreeSet<SocketAddr> {
    let peers = settings.peers.iter().map(|peer| peer.address);
    peers.chain(settings.seeds.iter().copied()).collect()
}

/// Tells whether this instance may form the cluster together with the others listed.
fn may_found(settings: &ControlSettings) -> bool {
    let seed = settings.seeds.contains(&settings.address());
    !settings.peers.is_empty() || (seed && settings.first_start)
}

/// Returns how many instances form the cluster.
fn listed(settings: &ControlSettings) -> usize {
    settings.peers.len().max(settings.seeds.len())
}

fn first_membership(
    settings: &ControlSettings,
    own: MemberId,
    heard: BTreeMap<SocketAddr, Introduction>,
) -> Membership {
    let own = (own, Member::new(&settings.name, &settings.address().to_string()));
    let others = heard.into_values().map(|other| (other.id, other.member));
    Membership::from_voters(others.chain([own]))
}

async fn introduce_to_all(
    settings: &ControlSettings,
    own: MemberId,
    addresses: BTreeSet<SocketAddr>,
) -> BTreeMap<SocketAddr, Introduction> {
    let others = addresses.into_iter().filter(|address| *address != settings.address());
    let asked = others.map(async |address| {
        let said = timeout(HELLO_TIMEOUT, introduce(settings, own, address)).await;
        said.ok().and_then(Result::ok).unwrap_or_default()
    });
    futures::future::join_all(asked).await.into_iter().flatten().collect()
}

/// Introduces this instance to the one at `address`, and to the leader that it names.
///
/// Returns what they said: this instance needs the address of a leader that it answers.
async fn introduce(
    settings: &ControlSettings,
    own: MemberId,
    address: SocketAddr,
) -> capnp::Result<Vec<(SocketAddr, Introduction)>> {
    let connection: Connection<control::Client> =
        Connection::open(settings.listen.ip(), address).await?;
    let mut said = vec![(address, hello(settings, own, &connection).await?)];
    if said[0].1.cluster.is_some()
        && let Some(leader) = leader_of(&connection).await?.filter(|leader| *leader != address)
    {
        // Only the leader can add this instance, and it may be none of those listed.
        let connection = Connection::open(settings.listen.ip(), leader).await?;
        said.push((leader, hello(settings, own, &connection).await?));
    }
    Ok(said)
}

async fn hello(
    settings: &ControlSettings,
    own: MemberId,
    connection: &Connection<control::Client>,
) -> capnp::Result<Introduction> {
    let mut call = connection.client().hello_request();
    let member = Member::new(&settings.name, &settings.address().to_string());
    write_member(own, &member, call.get().init_member());
    let answer = call.send().promise.await?;
    let answer = answer.get()?;
    let (id, member) = read_member(answer.get_member()?)?;
    let cluster = answer.get_formed().then(|| ClusterId(answer.get_cluster()));
    Ok(Introduction { id, member, cluster })
}

/// Asks an instance which other one leads.
async fn leader_of(connection: &Connection<control::Client>) -> capnp::Result<Option<SocketAddr>> {
    let mut call = connection.client().call_request();
    call.get().set_request(&encode(&Request::Query(Query::Status)));
    let answer = call.send().promise.await?;
    match answer.get()?.get_result()?.which()? {
        schema::call_result::NotLeader(address) => Ok(address?.to_str()?.parse().ok()),
        schema::call_result::Reply(_) => Ok(None),
    }
}
