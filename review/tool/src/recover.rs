//! New weights are named after the final fault, and the origin spoils one list of digests.

use std::{thread, time::Duration};

use crate::{
    Held, catalog,
    deploy::{Class, Deployment, Outcome, RECOVER, ZONES},
    record::Record,
    runner::{Origin, Runner},
    traffic::Traffic,
};

/// Time with traffic before the final fault.
const BEFORE: Duration = Duration::from_secs(8);
/// Time for which all processes are down.
const DOWN: Duration = Duration::from_millis(800);
/// Time after it until the operator names new weights.
const NAMED_AFTER: Duration = Duration::from_secs(3);
/// Time with traffic that counts.
const AFTER: Duration = Duration::from_secs(15);

/// What strikes besides the final fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Spoilt {
    /// One list of digests of new weights on its way from the origin.
    List,
    /// One staged piece at each runner; runners answer an order when it is complete.
    Pieces,
}

pub(crate) fn run(
    mut deployment: Deployment,
    record: &Record,
    trouble: &str,
    spoilt: Spoilt,
) -> Outcome<Held> {
    let origin_address = deployment.stand_in_address()?;
    let origin = Origin::start(origin_address, record)?;
    let mut runners = Vec::new();
    for (zone, (name, _)) in ZONES.into_iter().enumerate() {
        deployment.add(Class::Core, zone, None)?;
        deployment.add(Class::Edge, zone, None)?;
        let address = deployment.stand_in_address()?;
        deployment.add(Class::Side, zone, Some(address))?;
        runners.push(Runner::engine(&format!("i-{zone}7f3a91c"), address, name, record)?);
    }
    let all: Vec<usize> = (0..deployment.machines.len()).collect();
    for number in &all {
        deployment.start(*number, true)?;
    }
    let cores = deployment.of(Class::Core).into_iter();
    let operators: Vec<_> = cores.map(|core| deployment.operator_address(core)).collect();
    for runner in &runners {
        runner.report_to(operators.clone());
    }
    let body = catalog::manifest(1, origin_address);
    let limit = Duration::from_secs(15);
    catalog::call_any(record, &operators, "POST", "/v1/Config.Replace", &body, limit)
        .ok_or("the first manifest got no ack")?;
    deployment.wait_ready(Duration::from_secs(10))?;
    thread::sleep(Duration::from_secs(4));

    let entries = deployment.of(Class::Edge).into_iter();
    let entries = entries.map(|entry| deployment.client_address(entry)).collect();
    let traffic = Traffic::start(record, entries, catalog::STREAM);
    let started = record.now();
    if spoilt == Spoilt::Pieces {
        runners.iter().for_each(|runner| runner.answer_complete());
    }
    thread::sleep(BEFORE / 2);
    if spoilt == Spoilt::Pieces && trouble != "0" {
        runners.iter().for_each(|runner| runner.rot(5));
    }
    thread::sleep(BEFORE / 2);
    let fault = record.now();
    let body = catalog::manifest(2, origin_address);
    catalog::call_any(record, &operators, "POST", "/v1/Config.Replace", &body, limit)
        .ok_or("the manifest got no ack before the final fault")?;
    deployment.kill_all(&all)?;
    thread::sleep(DOWN);
    for number in &all {
        deployment.start(*number, false)?;
    }
    let back = record.now();
    let before = origin.answers();
    if spoilt == Spoilt::List {
        thread::sleep(NAMED_AFTER);
        let body = format!("{{\"model\":\"{}\",\"version\":2}}", catalog::MODEL);
        origin.name_version(2);
        origin.spoil_lists(u64::from(trouble != "0"));
        catalog::call_any(record, &operators, "POST", "/v1/version-put", &body, limit)
            .ok_or("the version got no ack")?;
    }
    thread::sleep((back + RECOVER + AFTER).saturating_sub(record.now()));
    let now = record.now();
    let (served, sent) = traffic.served(started, fault);
    record.announce(format_args!("before the final fault {served} of {sent} requests are served"));
    let had_served = served * 4 >= sent;
    let (served, sent) = traffic.served(back + RECOVER, now - Duration::from_secs(2));
    record.announce(format_args!("12 s after it {served} of {sent} requests are served"));
    record.announce(format_args!("the origin gave {} answers since", origin.answers() - before));
    for number in deployment.of(Class::Side) {
        let events = ["given_up", "fetch_", "version_wanted", "pieces_verified", "engine_seen"];
        for line in deployment.log_lines(number, &events) {
            record.line(format_args!("log of {}: {line}", deployment.machines[number].name));
        }
    }
    deployment.check_running()?;
    if !had_served || sent == 0 {
        return Err("too little was served before the final fault".into());
    }
    Ok(Held(served * 4 >= sent))
}
