//! Forming a cluster, and joining an existing one.
//!
//! A cluster is formed once, when all listed instances are running and none of
//! them belongs to a cluster yet. Its identity is derived from the identities of
//! its first members, so instances that formed different clusters in a race
//! ignore each other's messages. An instance that lost its data folder finds
//! members of an existing cluster, and waits to be added under its new identity.
//!
//! If the settings list only some instances, as seeds, those form the cluster and
//! the others request to join it.

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

/// Pause between two rounds of hello calls.
const HELLO_PERIOD: Duration = Duration::from_millis(200);
/// Timeout of the hello calls to one instance.
const HELLO_TIMEOUT: Duration = Duration::from_millis(500);

/// Time without a leader after which this instance may have been removed without noticing.
const LEADERLESS_TIMEOUT: Duration = Duration::from_secs(2);

/// The reply of another instance to a hello call.
#[derive(Debug, Clone)]
struct HelloReply {
    id: MemberId,
    member: Member,
    cluster: Option<ClusterId>,
}

/// Waits until this instance has found its cluster or formed one.
pub(crate) async fn find_cluster(settings: &ControlSettings, own: MemberId) -> Persisted {
    let mut rounds = 0_u32;
    loop {
        let replies = hello_all(settings, own, listed_addresses(settings)).await;
        if let Some(cluster) = replies.values().find_map(|other| other.cluster) {
            log::info!("event=cluster_found cluster={:016x}", cluster.0);
            return Persisted::joining(cluster);
        }
        if may_form_cluster(settings) && replies.len() + 1 == listed_count(settings) {
            let membership = first_membership(settings, own, replies);
            log::info!("event=cluster_formed cluster={:016x}", membership.cluster.0);
            return Persisted::bootstrap(membership);
        }
        if rounds.is_multiple_of(25) {
            log::info!(
                "event=waiting_for_peers found={} listed={}",
                replies.len() + 1,
                listed_count(settings)
            );
        }
        rounds += 1;
        sleep(HELLO_PERIOD).await;
    }
}

/// Requests to join whenever this instance is not a member or has no contact to a leader.
///
/// The replies also show which members have lost their identity with their disk.
pub(crate) async fn request_to_join(
    settings: &ControlSettings,
    own: MemberId,
    core: &RefCell<Core>,
) {
    loop {
        let targets = {
            let core = core.borrow();
            let member = core.membership().members.contains_key(&own);
            let has_leader =
                core.since_leader_contact().is_some_and(|elapsed| elapsed < LEADERLESS_TIMEOUT);
            (!member || !has_leader)
                .then(|| (known_addresses(settings, &core), core.other_members()))
        };
        if let Some((addresses, members)) = targets {
            let replies = hello_all(settings, own, addresses).await;
            // The call began when the member was known already, so whoever replies came later.
            let is_lost = |(id, address): &(MemberId, SocketAddr)| {
                replies.get(address).is_some_and(|other| other.id != *id)
            };
            for (id, _) in members.into_iter().filter(is_lost) {
                core.borrow_mut().mark_lost(id);
            }
            let members = replies.into_values().map(|other| (other.id, other.member));
            core.borrow_mut().introduced.extend(members);
        }
        sleep(HELLO_PERIOD).await;
    }
}

/// Returns the addresses of all known instances.
fn known_addresses(settings: &ControlSettings, core: &Core) -> BTreeSet<SocketAddr> {
    let members = core.membership().members.values().chain(core.introduced.values());
    let known = members.filter_map(|member| member.address.parse().ok());
    listed_addresses(settings).into_iter().chain(known).collect()
}

/// Returns the addresses of the listed instances, which form the cluster.
fn listed_addresses(settings: &ControlSettings) -> BTreeSet<SocketAddr> {
    let peers = settings.peers.iter().map(|peer| peer.address);
    peers.chain(settings.seeds.iter().copied()).collect()
}

/// Returns whether this instance may form the cluster together with the other listed ones.
fn may_form_cluster(settings: &ControlSettings) -> bool {
    let seed = settings.seeds.contains(&settings.address());
    !settings.peers.is_empty() || (seed && settings.first_start)
}

/// Returns the number of instances that form the cluster.
fn listed_count(settings: &ControlSettings) -> usize {
    settings.peers.len().max(settings.seeds.len())
}

fn first_membership(
    settings: &ControlSettings,
    own: MemberId,
    replies: BTreeMap<SocketAddr, HelloReply>,
) -> Membership {
    let own = (own, Member::new(&settings.name, &settings.address().to_string()));
    let others = replies.into_values().map(|other| (other.id, other.member));
    Membership::from_voters(others.chain([own]))
}

async fn hello_all(
    settings: &ControlSettings,
    own: MemberId,
    addresses: BTreeSet<SocketAddr>,
) -> BTreeMap<SocketAddr, HelloReply> {
    let others = addresses.into_iter().filter(|address| *address != settings.address());
    let calls = others.map(async |address| {
        let replies = timeout(HELLO_TIMEOUT, hello_with_leader(settings, own, address)).await;
        replies.ok().and_then(Result::ok).unwrap_or_default()
    });
    futures::future::join_all(calls).await.into_iter().flatten().collect()
}

/// Calls hello on the instance at `address`, and on the leader that it names.
///
/// Returns both replies: this instance needs the leader's address to reply to its messages.
async fn hello_with_leader(
    settings: &ControlSettings,
    own: MemberId,
    address: SocketAddr,
) -> capnp::Result<Vec<(SocketAddr, HelloReply)>> {
    let connection: Connection<control::Client> =
        Connection::open(settings.listen.ip(), address).await?;
    let mut replies = vec![(address, hello(settings, own, &connection).await?)];
    if replies[0].1.cluster.is_some()
        && let Some(leader) = leader_of(&connection).await?.filter(|leader| *leader != address)
    {
        // Only the leader can add this instance, and it may not be among the listed ones.
        let connection = Connection::open(settings.listen.ip(), leader).await?;
        replies.push((leader, hello(settings, own, &connection).await?));
    }
    Ok(replies)
}

async fn hello(
    settings: &ControlSettings,
    own: MemberId,
    connection: &Connection<control::Client>,
) -> capnp::Result<HelloReply> {
    let mut call = connection.client().hello_request();
    let member = Member::new(&settings.name, &settings.address().to_string());
    write_member(own, &member, call.get().init_member());
    let response = call.send().promise.await?;
    let response = response.get()?;
    let (id, member) = read_member(response.get_member()?)?;
    let cluster = response.get_formed().then(|| ClusterId(response.get_cluster()));
    Ok(HelloReply { id, member, cluster })
}

/// Asks an instance for the address of the leader; returns `None` if it leads itself.
async fn leader_of(connection: &Connection<control::Client>) -> capnp::Result<Option<SocketAddr>> {
    let mut call = connection.client().call_request();
    call.get().set_request(&encode(&Request::Query(Query::Status)));
    let response = call.send().promise.await?;
    match response.get()?.get_result()?.which()? {
        schema::call_result::NotLeader(address) => Ok(address?.to_str()?.parse().ok()),
        schema::call_result::Reply(_) => Ok(None),
    }
}
