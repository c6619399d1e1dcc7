//! Whom pieces come from, and when engines change their weights.

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

fn twelve() -> Vec<ProcessStatus> {
    let centres = ["fukuoka", "kagoshima", "kumamoto"];
    (0..12_u16)
        .map(|n| agent(&format!("side-{n:02}"), centres[usize::from(n) % 3], 7_000 + n))
        .collect()
}

#[test]
fn origin_is_asked_by_one_agent_a_piece() {
    let agents = twelve();
    let fleet = fleet(&agents);
    let mut random = SmallRng::seed_from_u64(1);
    let version = WeightVersion(2);
    for piece in 0..96 {
        let roots = agents
            .iter()
            .filter(|own| {
                sources(&fleet, own, "m", version, piece, &mut random)[0] == Source::Origin
            })
            .count();
        assert_eq!(roots, 1, "piece {piece}");
    }
}

#[test]
fn every_agent_has_the_origin_as_its_last_source() {
    let agents = twelve();
    let fleet = fleet(&agents);
    let mut random = SmallRng::seed_from_u64(1);
    for own in &agents {
        let found = sources(&fleet, own, "m", WeightVersion(2), 5, &mut random);
        assert_eq!(found.last(), Some(&Source::Origin));
        assert!(!found.contains(&Source::Agent(own.address)), "nobody asks itself");
    }
}

#[test]
fn engine_that_comes_later_asks_those_that_have_the_version() {
    let mut agents = twelve();
    for agent in &mut agents[..6] {
        let model =
            LoadedModel { model: "m".to_owned(), version: WeightVersion(1), complete: true };
        agent.loaded = Some(egret_fleet::EngineStatus { incarnation: 1, models: vec![model] });
    }
    let fleet = fleet(&agents);
    let mut random = SmallRng::seed_from_u64(1);
    let own = &agents[9];
    let found = sources(&fleet, own, "m", WeightVersion(1), 5, &mut random);
    let loaded: Vec<_> = agents[..6].iter().map(|one| Source::Agent(one.address)).collect();
    assert!(found[..3].iter().all(|source| loaded.contains(source)), "{found:?}");
    let near = agents[..6].iter().find(|one| one.data_centre == own.data_centre);
    assert_eq!(found[0], Source::Agent(near.expect("one is near").address));
}

/// Load: all engines have a new version at about the same moment, seconds before it is due.
#[test]
fn engines_change_their_weights_one_after_the_other() {
    /// Part of the time between the weights' arrival and the last change for which an engine
    /// serves nothing, as it ends its requests and loads.
    const CHANGE_PART: f64 = 0.3;
    let (fetched, last) = (Duration::from_secs(3), Duration::from_secs(6));
    let plan = UpdateSchedule { last_start: last };
    for count in [11, 60, 108] {
        let starts: Vec<_> = (0..count).map(|rank| plan.start(rank, fetched)).collect();
        assert!(starts.iter().all(|start| (fetched..=last).contains(start)));
        assert!(starts.windows(2).all(|pair| pair[0] != pair[1]), "neighbours differ");
        let change = (last - fetched).mul_f64(CHANGE_PART);
        // Also of those in one data centre, which stand beside each other in the order.
        for part in [&starts[..], &starts[..count / 3]] {
            let most = part.iter().map(|at| {
                let out = part.iter().filter(|one| (*at..*at + change).contains(*one));
                out.count()
            });
            let most = most.max().expect("engines");
            assert!(most <= part.len() / 3 + 2, "{most} of {} change at once", part.len());
        }
    }
    assert_eq!(plan.start(3, last * 2), last * 2, "one that is late changes at once");
}

#[test]
fn spoilt_piece_is_not_accepted() {
    let list = PieceList::new(vec![PieceDigest::of(b"first"), PieceDigest::of(b"second")]);
    assert!(list.accepts(0, b"first"));
    assert!(!list.accepts(0, b"farst"));
    assert!(!list.accepts(0, b"second"), "a right piece at the wrong place");
}

#[test]
fn pieces_that_others_wait_for_come_first() {
    let agents = twelve();
    let fleet = fleet(&agents);
    for own in &agents {
        let ways = |piece| {
            let mut random = SmallRng::seed_from_u64(1);
            sources(&fleet, own, "m", WeightVersion(2), piece, &mut random)
        };
        let order = fetch_order((0..96).collect(), ways);
        let from_origin = |piece: &u32| ways(*piece)[0] == Source::Origin;
        let first = order.iter().take_while(|piece| from_origin(piece)).count();
        assert_eq!(first, order.iter().filter(|piece| from_origin(piece)).count());
        let rest = &order[first..];
        assert!(rest.is_sorted(), "the rest comes in the same order everywhere");
    }
}

#[test]
fn the_only_agent_that_has_loaded_a_version_is_not_asked_by_all() {
    // Pattern: all agents start again while one in a data centre has the version loaded.
    let mut agents = twelve();
    let model = LoadedModel { model: "m".to_owned(), version: WeightVersion(1), complete: true };
    agents[0].loaded = Some(egret_fleet::EngineStatus { incarnation: 1, models: vec![model] });
    let fleet = fleet(&agents);
    let first = Source::Agent(agents[0].address);
    for piece in 0..96 {
        let asked = agents[1..].iter().filter(|own| {
            let mut random = SmallRng::seed_from_u64(1);
            sources(&fleet, own, "m", WeightVersion(1), piece, &mut random)[0] == first
        });
        assert!(asked.count() <= 5, "piece {piece}: its children, and the tops of trees");
    }
}

/// Load: the links of three engines out of four in a data centre were squeezed while a version
/// was fetched; all other engines have it.
#[test]
fn the_only_agent_near_that_has_loaded_a_version_is_not_asked_for_all_pieces() {
    let mut agents = twelve();
    let model = LoadedModel { model: "m".to_owned(), version: WeightVersion(1), complete: true };
    let late = ["side-03", "side-06", "side-09"];
    for agent in agents.iter_mut().filter(|agent| !late.contains(&agent.name.as_str())) {
        agent.loaded =
            Some(egret_fleet::EngineStatus { incarnation: 1, models: vec![model.clone()] });
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
    assert!(asked <= 96, "{asked} pieces of one link, which carries 96 in the time of a version");
}

/// Load: a link that drops to an eighth while pieces fill it, seconds before weights are due.
#[test]
fn squeezed_link_is_free_for_requests_before_weights_are_due() {
    let (bytes, rate) = (24_576, 7_300_000 / 8);
    let squeezed = Duration::from_secs(1).mul_f64(24_576.0 * 8.0 / 912_500.0);
    for millis in (0..8_000).step_by(50) {
        let left = Duration::from_millis(millis);
        let free = left.saturating_sub(START_DELAY_MAX);
        let window = FetchWindow::default();
        (0..40).for_each(|_| window.record(Duration::from_millis(30)));
        window.set_max(pieces_within(free, bytes, rate));
        let queued = squeezed * u32::try_from(window.size()).expect("a small number");
        // Four pieces may always be asked for; requests have the time for them.
        let four = Duration::from_millis(870);
        assert!(queued <= free.max(four), "{millis} ms: {queued:?} of pieces, {free:?} free");
    }
    let window = FetchWindow::default();
    (0..40).for_each(|_| window.record(Duration::from_millis(30)));
    window.set_max(pieces_within(Duration::from_secs(5), bytes, rate));
    assert_eq!(window.size(), 16, "a version that is due later is fetched at full speed");
}

/// Load: the link of an agent at the top of a tree is squeezed while all fetch a version.
#[test]
fn agent_that_is_far_behind_is_passed_over_and_asked_again() {
    let slow = SocketAddr::from(([127, 0, 0, 1], 7_000));
    let first = tokio::time::Instant::now();
    let mut peer_progress = PeerProgress::default();
    assert!(!peer_progress.is_behind(slow, 90, first), "nothing is known of it");
    // A squeezed link carries four or five pieces a second, a sound one over thirty.
    peer_progress.record(slow, 5, first);
    assert!(!peer_progress.is_behind(slow, 8, first), "both begin");
    assert!(peer_progress.is_behind(slow, 30, first));
    let later = first + Duration::from_secs(1);
    assert!(!peer_progress.is_behind(slow, 30, later), "it is asked again");
    peer_progress.mark_asked(slow, later);
    assert!(peer_progress.is_behind(slow, 30, later), "by one question at a time");
    peer_progress.record(slow, 15, later);
    assert!(!peer_progress.is_behind(slow, 30, later), "it has caught up");
}

/// Load: a data centre is cut off while a version is fetched, so that nobody has the third of its
/// pieces whose trees begin there, and the origin answers late.
#[test]
fn pieces_that_nobody_has_hold_up_no_others() {
    let agent = |piece: u32| {
        let port = 7_000 + u16::try_from(piece % 16).expect("a small number");
        Source::Agent(SocketAddr::from(([127, 0, 0, 1], port)))
    };
    let source = |piece: u32| if piece.is_multiple_of(16) { Source::Origin } else { agent(piece) };
    let lost = |piece: u32| piece % 16 < 6;
    let mut queue = FetchQueue::new(0..96);
    let mut came = 0;
    let mut silent = Vec::new();
    let mut asked_agents = 0;
    while came < 60 {
        let asked = queue.next(16, |piece, _| Some(source(piece))).expect("agents are asked on");
        if asked.source == Source::Origin {
            silent.push(asked);
            assert!(silent.len() <= 2, "the origin's connections are few");
            continue;
        }
        asked_agents += 1;
        let mut asked = asked;
        let is_here = !lost(asked.index);
        if let (false, Source::Agent(address)) = (is_here, asked.source) {
            asked.retry_state.record_miss(address, came);
        }
        came += usize::from(is_here);
        queue.complete(asked, is_here);
    }
    // Thirty pieces are asked for in vain, three times each before the others go first.
    assert!(asked_agents <= 60 + 30 * 4, "{asked_agents} questions for 60 pieces");
}

/// Load: the origin is down for six seconds in the middle of a fetch, so that no agent gets on.
#[tokio::test(start_paused = true)]
async fn agents_are_not_left_for_the_origin_because_it_failed() {
    let parent = SocketAddr::from(([127, 0, 0, 1], 7_000));
    let mut retry_state = RetryState::default();
    retry_state.record_miss(parent, 40);
    tokio::time::advance(Duration::from_secs(6)).await;
    let failed = Some(tokio::time::Instant::now());
    assert!(!retry_state.is_too_slow(parent, failed), "it could not have the piece");
    tokio::time::advance(Duration::from_secs(3)).await;
    assert!(!retry_state.is_too_slow(parent, failed), "the version needs this time to come");
    tokio::time::advance(Duration::from_secs(1)).await;
    assert!(retry_state.is_too_slow(parent, failed));
    assert!(retry_state.is_too_slow(parent, None));
}

/// Pattern: the only seeder of a small service is cut off from the origin, and says all the time
/// that it fails.
#[tokio::test(start_paused = true)]
async fn origin_is_asked_although_a_parent_says_that_it_fails() {
    let parent = SocketAddr::from(([127, 0, 0, 1], 7_000));
    let mut retry_state = RetryState::default();
    retry_state.record_miss(parent, 0);
    tokio::time::advance(Duration::from_secs(12)).await;
    assert!(retry_state.is_too_slow(parent, Some(tokio::time::Instant::now())));
}

/// Pattern: two agents ask each other for pieces of different trees after an outage of the origin.
#[tokio::test(start_paused = true)]
async fn agents_do_not_keep_up_the_word_of_an_outage_among_themselves() {
    let (one, other) = (Staging::default(), Staging::default());
    one.record_origin_failure(Duration::ZERO);
    let failed = one.origin_failure().expect("it was noted");
    for _ in 0..20 {
        tokio::time::advance(Duration::from_millis(250)).await;
        other.record_origin_failure(one.origin_failure().expect("known").elapsed());
        one.record_origin_failure(other.origin_failure().expect("known").elapsed());
    }
    assert_eq!(one.origin_failure(), Some(failed));
    assert_eq!(other.origin_failure(), Some(failed));
}
