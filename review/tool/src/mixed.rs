//! A runner begins some responses a second time, where the next one is expected.

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    Held, catalog,
    deploy::{CONTACT, Class, Deployment, Outcome, ZONES},
    record::Record,
    runner::{FAILURE, Runner},
    traffic,
};

/// Clients, each of which sends one request after the other.
const CLIENTS: usize = 6;
/// Requests of each client.
const REQUESTS: usize = 600;
/// Time after which no client sends another request, also on a slow machine.
const SEND_TIME: Duration = Duration::from_secs(75);
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
    for number in 0..deployment.machines.len() {
        deployment.start(number, true)?;
    }
    let cores = deployment.of(Class::Core).into_iter();
    let operators: Vec<_> = cores.map(|core| deployment.operator_address(core)).collect();
    for runner in &runners {
        runner.report_to(operators.clone());
    }
    let (body, limit) = (catalog::manifest(1, origin), Duration::from_secs(15));
    catalog::call_any(record, &operators, "POST", "/v1/Config.Replace", &body, limit)
        .ok_or("the first manifest got no ack")?;
    deployment.wait_ready(Duration::from_secs(10))?;
    thread::sleep(CONTACT);
    for (number, runner) in runners.iter().enumerate() {
        runner.fail_some(trouble != "0" && number == 0);
    }

    let entries = deployment.of(Class::Edge).into_iter();
    let entries: Vec<_> = entries.map(|entry| deployment.client_address(entry)).collect();
    let (served, mixed) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let clients = (0..CLIENTS).map(|client| {
        let entry = entries[client % entries.len()];
        let (record, served, mixed) = (record.clone(), served.clone(), mixed.clone());
        thread::spawn(move || {
            let started = record.now();
            for count in 0..REQUESTS {
                if record.now() > started + SEND_TIME {
                    return;
                }
                let id = format!("c{client:07x}{count:08x}");
                let answer = traffic::send(&record, entry, "GET", catalog::READ, &id, DEADLINE);
                let Ok(answer) = answer else { continue };
                if answer.status() != 200 {
                    continue;
                }
                served.fetch_add(1, Ordering::Relaxed);
                if answer.text() != format!("the record of {id}") {
                    mixed.fetch_add(1, Ordering::Relaxed);
                    let is_failure = answer.text().starts_with(FAILURE);
                    record.announce(format_args!(
                        "MIXED: {id} is answered {:?} with {:?}, the runner's failure: \
                         {is_failure}",
                        answer.first,
                        answer.text()
                    ));
                }
            }
        })
    });
    for client in clients.collect::<Vec<_>>() {
        client.join().map_err(|_| "a client ended")?;
    }
    let (served, mixed) = (served.load(Ordering::Relaxed), mixed.load(Ordering::Relaxed));
    record.announce(format_args!(
        "{served} of {} requests are answered 200, {mixed} of them with the body of a failure",
        CLIENTS * REQUESTS
    ));
    deployment.check_running()?;
    if served < CLIENTS * REQUESTS / 2 {
        return Err("too few requests are served".into());
    }
    Ok(Held(mixed == 0))
}
