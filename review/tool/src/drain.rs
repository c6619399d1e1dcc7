//! All control processes are killed right after they acknowledged that a runner is gone.

use std::{thread, time::Duration};

use crate::{
    Held, catalog,
    deploy::{CONTACT, Class, DRAIN, Deployment, Outcome, ZONES},
    record::Record,
    runner::Runner,
    traffic,
};

/// Time for which all control processes are down.
const DOWN: Duration = Duration::from_millis(600);
/// Time beyond `contact_ms` until the quiet entry gets requests, so that it is surely in touch.
const MARGIN: Duration = Duration::from_millis(500);
/// Deadline of the clients.
const DEADLINE: Duration = Duration::from_millis(2_500);

pub(crate) fn run(mut deployment: Deployment, record: &Record, trouble: &str) -> Outcome<Held> {
    let origin = deployment.stand_in_address()?;
    let mut runners = Vec::new();
    for (zone, (name, _)) in ZONES.into_iter().enumerate() {
        deployment.add(Class::Core, zone, None)?;
        deployment.add(Class::Edge, zone, None)?;
        let address = deployment.stand_in_address()?;
        runners.push(Runner::plain(&format!("i-{zone}7f3a91c"), address, name, record)?);
    }
    let all: Vec<usize> = (0..deployment.machines.len()).collect();
    for number in &all {
        deployment.start(*number, true)?;
    }
    let cores = deployment.of(Class::Core);
    let operators: Vec<_> = cores.iter().map(|core| deployment.operator_address(*core)).collect();
    for runner in &runners {
        runner.report_to(operators.clone());
    }
    let (body, limit) = (catalog::manifest(1, origin), Duration::from_secs(15));
    catalog::call_any(record, &operators, "POST", "/v1/Config.Replace", &body, limit)
        .ok_or("the first manifest got no ack")?;
    deployment.wait_ready(Duration::from_secs(10))?;
    let entries = deployment.of(Class::Edge).into_iter();
    let entries: Vec<_> = entries.map(|entry| deployment.client_address(entry)).collect();
    let mut count = 0;
    let mut ask = |entry, pause: u64| {
        count += 1;
        let id = format!("b{count:015x}");
        let answer = traffic::send(record, entry, "GET", catalog::READ, &id, DEADLINE);
        thread::sleep(Duration::from_millis(pause));
        traffic::is_served(&answer)
    };
    thread::sleep(CONTACT + MARGIN);
    for entry in entries.iter().cycle().take(30) {
        if !ask(*entry, 20) {
            return Err("a request is not served before the disruption".into());
        }
    }

    // This runner stands in the data centre of the last entry, which prefers it.
    let leaver = &runners[2];
    if !leaver.deregister(operators[0]) {
        return Err("the deregistration got no ack".into());
    }
    let acked = record.now();
    if trouble != "0" {
        deployment.kill_all(&cores)?;
    }
    record.line(format_args!("{} deregistered, which was acknowledged at {acked:?}", leaver.id));
    if trouble != "0" {
        thread::sleep(DOWN);
        for core in &cores {
            deployment.start(*core, false)?;
        }
    }
    let back = record.now();
    // The other entries go on with little traffic; the last one has none for now.
    while record.now() < back + CONTACT + MARGIN {
        ask(entries[0], 200);
    }
    let in_touch = record.now();
    let served = entries.iter().cycle().skip(2).take(12).filter(|entry| ask(**entry, 100)).count();
    record.announce(format_args!("{served} of 12 requests are served in touch"));
    let runs = leaver.runs();
    let late: Vec<_> =
        runs.iter().filter(|run| run.at > acked + DRAIN && run.at >= in_touch).collect();
    for run in &late {
        record.announce(format_args!(
            "DRAIN: {} reached {} {:?} after the ack that it is gone",
            run.request,
            leaver.id,
            run.at - acked
        ));
    }
    for number in deployment.of(Class::Edge).into_iter().chain(cores) {
        for line in deployment.log_lines(number, &["fleet_departed", "deregister", "holds"]) {
            record.line(format_args!("log of {}: {line}", deployment.machines[number].name));
        }
    }
    deployment.check_running()?;
    Ok(Held(late.is_empty()))
}
