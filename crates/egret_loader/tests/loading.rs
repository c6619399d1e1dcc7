//! Whom pieces come from, and when engines change their weights.

use std::{net::SocketAddr, time::Duration};

use egret_fleet::{BEGIN_TIME, Fleet, Life, LoadedModel, ProcessKind, ProcessStatus, Sighting};
use egret_loader::{Source, Window, fetch_order, pieces_within, sources};
use egret_record::{DataCentre, WeightVersion};
use egret_weights::{PieceDigest, PieceList, WavePlan};
use rand::{SeedableRng as _, rngs::SmallRng};

fn agent(name: &str, data_centre: &str, port: u16) -> ProcessStatus {
    ProcessStatus {
        name: name.to_owned(),
        kind: ProcessKind::Agent,
        address: SocketAddr::from(([127, 0, 0, 1], port)),
        data_centre: DataCentre::new(data_centre).expect("a name"),
        service: Some("engines".to_owned()),
        engine: None,
        loaded: None,
        narrow: false,
        switching: false,
        leaving: false,
        life: Life { born: 1, seq: 1 },
    }
}

fn fleet(agents: &[ProcessStatus]) -> Fleet {
    let mut fleet = Fleet::default();
    for agent in agents {
        fleet.observe(&Sighting::Process(agent.clone()), Duration::ZERO);
    }
    fleet
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
        agent.loaded = Some(egret_fleet::EngineWord { born: 1, models: vec![model] });
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

#[test]
fn neighbours_change_their_weights_in_different_waves() {
    let plan = WavePlan { first: Duration::ZERO, last: Duration::from_secs(5) };
    let starts: Vec<_> = (0..11).map(|rank| plan.start(rank, 11)).collect();
    assert!(starts.windows(2).all(|pair| pair[0] != pair[1]));
    let late = starts.iter().filter(|start| **start == plan.last).count();
    assert!((5..=6).contains(&late), "about half of them wait");
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
    agents[0].loaded = Some(egret_fleet::EngineWord { born: 1, models: vec![model] });
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

/// Load: a link that drops to an eighth while pieces fill it, seconds before weights are due.
#[test]
fn squeezed_link_is_free_for_requests_before_weights_are_due() {
    let (bytes, rate) = (24_576, 7_300_000 / 8);
    let squeezed = Duration::from_secs(1).mul_f64(24_576.0 * 8.0 / 912_500.0);
    for millis in (0..8_000).step_by(50) {
        let left = Duration::from_millis(millis);
        let free = left.saturating_sub(BEGIN_TIME);
        let window = Window::default();
        (0..40).for_each(|_| window.ended(Duration::from_millis(30)));
        window.bound(pieces_within(free, bytes, rate));
        let queued = squeezed * u32::try_from(window.size()).expect("a small number");
        // Four pieces may always be asked for; requests have the time for them.
        let four = Duration::from_millis(870);
        assert!(queued <= free.max(four), "{millis} ms: {queued:?} of pieces, {free:?} free");
    }
    let window = Window::default();
    (0..40).for_each(|_| window.ended(Duration::from_millis(30)));
    window.bound(pieces_within(Duration::from_secs(5), bytes, rate));
    assert_eq!(window.size(), 16, "a version that is due later is fetched at full speed");
}
