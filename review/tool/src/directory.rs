//! An entry is lost while all control processes are killed; the others' directory is asked.

use std::{thread, time::Duration};

use crate::{
    Held, catalog,
    deploy::{CONTACT, Class, Deployment, Outcome, ZONES},
    http,
    record::Record,
};

/// Time for which all control processes are down.
const DOWN: Duration = Duration::from_millis(800);
/// Answers that may name a lost entry.
const NAMED_MAX: usize = 3;
/// Times that the directory is asked.
const ASKED: usize = 20;

pub(crate) fn run(mut deployment: Deployment, record: &Record, trouble: &str) -> Outcome<Held> {
    let origin = deployment.stand_in_address()?;
    for zone in 0..3 {
        deployment.add(Class::Core, zone, None)?;
    }
    // The only one in its region.
    let lost = deployment.add(Class::Edge, 0, None)?;
    let other = deployment.add(Class::Edge, 1, None)?;
    deployment.add(Class::Edge, 2, None)?;
    let all: Vec<usize> = (0..deployment.machines.len()).collect();
    for number in &all {
        deployment.start(*number, true)?;
    }
    let cores = deployment.of(Class::Core);
    let operators: Vec<_> = cores.iter().map(|core| deployment.operator_address(*core)).collect();
    let (body, limit) = (catalog::manifest(1, origin), Duration::from_secs(15));
    catalog::call_any(record, &operators, "POST", "/v1/Config.Replace", &body, limit)
        .ok_or("the first manifest got no ack")?;
    deployment.wait_ready(Duration::from_secs(10))?;
    thread::sleep(CONTACT);

    let mut killed = vec![lost];
    if trouble != "0" {
        killed.extend(&cores);
    }
    deployment.kill_all(&killed)?;
    let ended = record.now();
    if trouble != "0" {
        thread::sleep(DOWN);
        for core in &cores {
            deployment.start(*core, false)?;
        }
    }
    // From here on the rule holds for the answers of machines in touch.
    let judged = ended + CONTACT + Duration::from_secs(3);
    thread::sleep(judged.saturating_sub(record.now()) + Duration::from_secs(2));
    let (zone, region) = ZONES[0];
    let path = format!("/v1/resolve?name={}&region={region}&zone={zone}", catalog::HOST);
    let (lost, directory) = (deployment.client_address(lost), deployment.directory_address(other));
    let (mut named, mut alone) = (0, 0);
    for _ in 0..ASKED {
        let second = Duration::from_secs(1);
        let answer = http::call(directory, "GET", &path, &[], &[], second)?;
        record.line(format_args!("the directory answers {} {}", answer.first, answer.text()));
        named += usize::from(answer.text().contains(&lost.to_string()));
        alone += usize::from(answer.text().contains(&format!("[\"{lost}\"]")));
        thread::sleep(Duration::from_millis(500));
    }
    let since = record.now() - ended;
    record.announce(format_args!(
        "{named} of {ASKED} answers name the entry that ended, {alone} of them no other one; the \
         last {since:?} after its end"
    ));
    deployment.check_running()?;
    Ok(Held(named <= NAMED_MAX))
}
