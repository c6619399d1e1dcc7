//! Sources of pieces, fetch limits, and the schedule of a rolling update.

use std::{net::SocketAddr, time::Duration};

use egret_fleet::{
    Fleet, LoadedModel, ProcessKind, ProcessStatus, START_DELAY_MAX, StatusStamp, StatusUpdate,
};
use egret_loader::{
    FetchQueue, FetchWindow, PeerProgress, RetryState, Source, SourceTable, Staging, fetch_order,
    pieces_within,
};
use egret_record::{DataCentre, WeightVersion};
use egret_weights::{PieceDigest, PieceList, UpdateSchedule};
use rand::{Rng, SeedableRng as _, rngs::SmallRng};

fn agent(name: &str, data_centre: &str, port: u16) -> ProcessStatus {
    ProcessStatus {
        name: name.to_owned(),
        kind: ProcessKind::Agent,
        address: SocketAddr::from(([127, 0, 0, 1], port)),
        data_centre: DataCentre::new(data_centre).expect("a name"),
        service: Some("engines".to_owned()),
        engine: None,
        loaded: None,
        congested: false,
        switching: false,
        leaving: false,
        stamp: StatusStamp { incarnation: 1, seq: 1 },
    }
}

fn fleet(agents: &[ProcessStatus]) -> Fleet {
    let mut fleet = Fleet::default();
    for agent in agents {
        fleet.observe(&StatusUpdate::Process(agent.clone()), Duration::ZERO);
    }
    fleet
}

fn sources(
    fleet: &Fleet,
    own: &ProcessStatus,
    model: &str,
    version: WeightVersion,
    index: u32,
    random: &mut impl Rng,
) -> Vec<Source> {
    SourceTable::new(fleet, own, model, version).sources(index, random)
}

fn twelve_agents() -> Vec<ProcessStatus> {
    let centres = ["fukuoka", "kagoshima", "kumamoto"];
    (0..12_u16)
        .map(|n| agent(&format!("side-{n:02}"), centres[usize::from(n) % 3], 7_000 + n))
        .collect()
}

#[test]
fn each_piece_is_requested_from_the_origin_by_one_agent() {
    let agents = twelve_agents();
    let fleet = fleet(&agents);
    let mut random = SmallRng::seed_from_u64(1);
    let version = WeightVersion(2);
    for piece in 0..96 {
        let seeders = agents
            .iter()
            .filter(|own| {
                sources(&fleet, own, "m", version, piece, &mut random)[0] == Source::Origin
            })
            .count();
        assert_eq!(seeders, 1, "piece {piece}");
    }
}

#[test]
fn every_agent_has_the_origin_as_its_last_source() {
    let agents = twelve_agents();
    let fleet = fleet(&agents);
    let mut random = SmallRng::seed_from_u64(1);
    for own in &agents {
        let found = sources(&fleet, own, "m", WeightVersion(2), 5, &mut random);
        assert_eq!(found.last(), Some(&Source::Origin));
        assert!(!found.contains(&Source::Agent(own.address)), "no agent asks itself");
    }
}

#[test]
fn agent_that_joins_later_asks_agents_that_loaded_the_version() {
    let mut agents = twelve_agents();
    for agent in &mut agents[..6] {
        let model =
            LoadedModel { model: "m".to_owned(), version: WeightVersion(1), complete: true };
        agent.loaded =
            Some(egret_fleet::EngineStatus { incarnation: 1, orders: None, models: vec![model] });
    }
    let fleet = fleet(&agents);
    let mut random = SmallRng::seed_from_u64(1);
    let own = &agents[9];
    let found = sources(&fleet, own, "m", WeightVersion(1), 5, &mut random);
    let loaded: Vec<_> = agents[..6].iter().map(|agent| Source::Agent(agent.address)).collect();
    assert!(found[..3].iter().all(|source| loaded.contains(source)), "{found:?}");
    let near = agents[..6].iter().find(|agent| agent.data_centre == own.data_centre);
    assert_eq!(found[0], Source::Agent(near.expect("an agent in the data centre").address));
}

/// Guards against too many engines of a service switching at once: all have fetched a new version
/// at about the same time, seconds before the deadline.
#[test]
fn engines_switch_weights_one_after_the_other() {
    /// Share of the time between fetch and last start in which an engine serves nothing, as it
    /// drains and loads.
    const SWITCH_SHARE: f64 = 0.3;
    let (fetched, last) = (Duration::from_secs(3), Duration::from_secs(6));
    let plan = UpdateSchedule { last_start: last };
    for count in [11, 60, 108] {
        let starts: Vec<_> = (0..count).map(|rank| plan.start(rank, fetched)).collect();
        assert!(starts.iter().all(|start| (fetched..=last).contains(start)));
        assert!(starts.windows(2).all(|pair| pair[0] != pair[1]), "adjacent ranks differ");
        let switch = (last - fetched).mul_f64(SWITCH_SHARE);
        // A third of the ranks stands for one data centre, whose engines are adjacent in the order.
        for group in [&starts[..], &starts[..count / 3]] {
            let counts = group.iter().map(|start| {
                let out = group.iter().filter(|other| (*start..*start + switch).contains(*other));
                out.count()
            });
            let max = counts.max().expect("engines");
            assert!(max <= group.len() / 3 + 2, "{max} of {} switch at once", group.len());
        }
    }
    assert_eq!(plan.start(3, last * 2), last * 2, "an engine that is late switches at once");
}

#[test]
fn corrupt_piece_is_not_accepted() {
    let list = PieceList::new(vec![PieceDigest::of(b"first"), PieceDigest::of(b"second")]);
    assert!(list.accepts(0, b"first"));
    assert!(!list.accepts(0, b"farst"));
    assert!(!list.accepts(0, b"second"), "an intact piece at the wrong index");
}

#[test]
fn pieces_that_others_wait_for_come_first() {
    let agents = twelve_agents();
    let fleet = fleet(&agents);
    for own in &agents {
        let piece_sources = |piece| {
            let mut random = SmallRng::seed_from_u64(1);
            sources(&fleet, own, "m", WeightVersion(2), piece, &mut random)
        };
        let order = fetch_order((0..96).collect(), piece_sources);
        let from_origin = |piece: &u32| piece_sources(*piece)[0] == Source::Origin;
        let first = order.iter().take_while(|piece| from_origin(piece)).count();
        assert_eq!(first, order.iter().filter(|piece| from_origin(piece)).count());
        let rest = &order[first..];
        assert!(rest.is_sorted(), "all agents fetch the rest in the same order");
    }
}

#[test]
fn the_only_agent_that_has_loaded_a_version_is_not_asked_by_all() {
    // All agents restart while only one of them has the version loaded.
    let mut agents = twelve_agents();
    let model = LoadedModel { model: "m".to_owned(), version: WeightVersion(1), complete: true };
    agents[0].loaded =
        Some(egret_fleet::EngineStatus { incarnation: 1, orders: None, models: vec![model] });
    let fleet = fleet(&agents);
    let first = Source::Agent(agents[0].address);
    for piece in 0..96 {
        let asked = agents[1..].iter().filter(|own| {
            let mut random = SmallRng::seed_from_u64(1);
            sources(&fleet, own, "m", WeightVersion(1), piece, &mut random)[0] == first
        });
        assert!(asked.count() <= 5, "piece {piece}: only its children and the roots of trees");
    }
}

/// Guards against overloading the only nearby agent that has a version: the links of three out of
/// four engines in a data centre were degraded while it was fetched; all other engines have it.
#[test]
fn the_only_agent_near_that_has_loaded_a_version_is_not_asked_for_all_pieces() {
    let mut agents = twelve_agents();
    let model = LoadedModel { model: "m".to_owned(), version: WeightVersion(1), complete: true };
    let late = ["side-03", "side-06", "side-09"];
    for agent in agents.iter_mut().filter(|agent| !late.contains(&agent.name.as_str())) {
        agent.loaded = Some(egret_fleet::EngineStatus {
            incarnation: 1,
            orders: None,
            models: vec![model.clone()],
        });
    }
    let fleet = fleet(&agents);
    let mut random = SmallRng::seed_from_u64(1);
    let mut asked = 0;
    for own in agents.iter().filter(|agent| late.contains(&agent.name.as_str())) {
        for piece in 0..96 {
            let found = sources(&fleet, own, "m", WeightVersion(1), piece, &mut random);
            asked += usize::from(found[0] == Source::Agent(agents[0].address));
        }
    }
    assert!(
        asked <= 96,
        "one agent is asked for {asked} pieces; its link carries 96 while a version is fetched"
    );
}

/// Guards against requests queueing behind pieces: the bandwidth of a link drops to an eighth while
/// pieces fill it, seconds before the deadline of a version.
#[test]
fn degraded_link_leaves_bandwidth_for_requests_before_the_deadline() {
    let (bytes, rate) = (24_576, 7_300_000 / 8);
    let piece_time = Duration::from_secs(1).mul_f64(24_576.0 * 8.0 / 912_500.0);
    for millis in (0..8_000).step_by(50) {
        let left = Duration::from_millis(millis);
        let free = left.saturating_sub(START_DELAY_MAX);
        let window = FetchWindow::default();
        (0..40).for_each(|_| window.record(Duration::from_millis(30)));
        window.set_max(pieces_within(free, bytes, rate));
        let queued = piece_time * u32::try_from(window.size()).expect("a small number");
        // Four pieces are always permitted; requests can wait for that long.
        let four = Duration::from_millis(870);
        assert!(queued <= free.max(four), "{millis} ms: {queued:?} of pieces, {free:?} free");
    }
    let window = FetchWindow::default();
    (0..40).for_each(|_| window.record(Duration::from_millis(30)));
    window.set_max(pieces_within(Duration::from_secs(5), bytes, rate));
    assert_eq!(window.size(), 16, "a version with a later deadline is fetched at full speed");
}

/// Guards against waiting for a slow parent: the link of an agent at the root of a tree is degraded
/// while all fetch a version.
#[test]
fn agent_that_is_far_behind_is_skipped_and_probed_again() {
    let slow = SocketAddr::from(([127, 0, 0, 1], 7_000));
    let start = tokio::time::Instant::now();
    let mut peer_progress = PeerProgress::default();
    assert!(!peer_progress.is_behind(slow, 90, start), "its progress is not known");
    // A degraded link carries four or five pieces a second, a full one over thirty.
    peer_progress.record(slow, 5, start);
    assert!(!peer_progress.is_behind(slow, 8, start), "both have just begun");
    assert!(peer_progress.is_behind(slow, 30, start));
    let later = start + Duration::from_secs(1);
    assert!(!peer_progress.is_behind(slow, 30, later), "it is asked again");
    peer_progress.mark_asked(slow, later);
    assert!(peer_progress.is_behind(slow, 30, later), "by one request at a time");
    peer_progress.record(slow, 15, later);
    assert!(!peer_progress.is_behind(slow, 30, later), "it has caught up");
}

/// Guards against unavailable pieces blocking others: a data centre is cut off while a version is
/// fetched, so that no agent has the third of the pieces whose trees start there, and the origin
/// answers late.
#[test]
fn unavailable_pieces_do_not_block_others() {
    let agent = |piece: u32| {
        let port = 7_000 + u16::try_from(piece % 16).expect("a small number");
        Source::Agent(SocketAddr::from(([127, 0, 0, 1], port)))
    };
    let source = |piece: u32| if piece.is_multiple_of(16) { Source::Origin } else { agent(piece) };
    let unavailable = |piece: u32| piece % 16 < 6;
    let mut queue = FetchQueue::new(0..96);
    let mut received = 0;
    let mut unanswered = Vec::new();
    let mut agent_requests = 0;
    while received < 60 {
        let request = queue.next(16, |piece, _| Some(source(piece))).expect("agents are asked");
        if request.source == Source::Origin {
            unanswered.push(request);
            assert!(unanswered.len() <= 2, "requests to the origin are limited");
            continue;
        }
        agent_requests += 1;
        let mut request = request;
        let is_found = !unavailable(request.index);
        if let (false, Source::Agent(address)) = (is_found, request.source) {
            request.retry_state.record_miss(address, received, false);
        }
        received += usize::from(is_found);
        queue.complete(request, is_found);
    }
    // Thirty pieces are unavailable; each is requested three times before its retries are delayed.
    assert!(agent_requests <= 60 + 30 * 4, "{agent_requests} requests for 60 pieces");
}

/// Guards against all agents turning to the origin after its outage: it is down for six seconds in
/// the middle of a fetch, so that no agent makes progress.
#[tokio::test(start_paused = true)]
async fn origin_failure_does_not_make_agents_too_slow() {
    let parent = SocketAddr::from(([127, 0, 0, 1], 7_000));
    let mut retry_state = RetryState::default();
    retry_state.record_miss(parent, 40, false);
    tokio::time::advance(Duration::from_secs(6)).await;
    let failed = Some(tokio::time::Instant::now());
    assert!(!retry_state.is_too_slow(parent, failed), "it could not get the piece");
    tokio::time::advance(Duration::from_secs(3)).await;
    assert!(!retry_state.is_too_slow(parent, failed), "fetching the version takes this long");
    tokio::time::advance(Duration::from_secs(1)).await;
    assert!(retry_state.is_too_slow(parent, failed));
    assert!(retry_state.is_too_slow(parent, None));
}

/// Guards against retries that are still delayed after an outage: agents below the seeders miss all
/// pieces during it, and the first ones would then rest at each of them on their way.
#[tokio::test(start_paused = true)]
async fn misses_during_an_outage_delay_no_piece() {
    let parent = SocketAddr::from(([127, 0, 0, 1], 7_000));
    let mut queue = FetchQueue::new(0..2);
    let source = |_, _: &RetryState| Some(Source::Agent(parent));
    for miss in 0..10 {
        let mut request = queue.next(1, source).expect("a piece is missing");
        assert_eq!(request.index, 0, "miss {miss}: the next piece that arrives is asked for");
        request.retry_state.record_miss(parent, 0, true);
        queue.complete(request, false);
    }
}

/// Guards against waiting forever for a seeder that is cut off from the origin: it is the only one
/// of a small service, and keeps reporting that the origin fails.
#[tokio::test(start_paused = true)]
async fn origin_is_asked_although_a_parent_reports_its_failure() {
    let parent = SocketAddr::from(([127, 0, 0, 1], 7_000));
    let mut retry_state = RetryState::default();
    retry_state.record_miss(parent, 0, false);
    tokio::time::advance(Duration::from_secs(12)).await;
    assert!(retry_state.is_too_slow(parent, Some(tokio::time::Instant::now())));
}

/// Guards against agents renewing an old outage for ever: two of them ask each other for pieces of
/// different trees after an outage of the origin.
#[tokio::test(start_paused = true)]
async fn agents_do_not_renew_a_reported_outage_between_themselves() {
    let (first, second) = (Staging::default(), Staging::default());
    first.record_origin_failure(Duration::ZERO);
    let failed = first.origin_failure().expect("it was recorded");
    for _ in 0..20 {
        tokio::time::advance(Duration::from_millis(250)).await;
        second.record_origin_failure(first.origin_failure().expect("known").elapsed());
        first.record_origin_failure(second.origin_failure().expect("known").elapsed());
    }
    assert_eq!(first.origin_failure(), Some(failed));
    assert_eq!(second.origin_failure(), Some(failed));
}
