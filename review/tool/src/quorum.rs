//! A control machine is replaced as planned; then another one loses its disk.

use std::{
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

use crate::{
    Held, catalog,
    deploy::{CATCH_UP, Class, Deployment, Outcome},
    record::Record,
};

/// Time from the end of the removed machine until another one loses its disk.
const LOSS_DELAY: Duration = Duration::from_secs(2);
/// Time for which the operator tries to read the manifest back.
const READ_TIME: Duration = Duration::from_secs(45);

/// Which of the two disruptions strike.
struct Trouble {
    replaces: bool,
    loses: bool,
}

pub(crate) fn run(mut deployment: Deployment, record: &Record, trouble: &str) -> Outcome<Held> {
    let trouble = Trouble {
        replaces: matches!(trouble, "1" | "replace"),
        loses: matches!(trouble, "1" | "loss"),
    };
    for zone in 0..3 {
        deployment.add(Class::Core, zone, None)?;
    }
    let mut cores = deployment.of(Class::Core);
    for number in &cores {
        deployment.start(*number, true)?;
    }
    let origin = deployment.stand_in_address()?;
    let mut operators = addresses(&deployment, &cores);
    let put = |version: u64, operators: &[SocketAddr], limit: u64| {
        let (body, limit) = (catalog::manifest(version, origin), Duration::from_secs(limit));
        catalog::call_any(record, operators, "POST", "/v1/Config.Replace", &body, limit)
    };
    put(1, &operators, 15).ok_or("the first manifest got no ack")?;
    thread::sleep(Duration::from_secs(1));

    let removed = cores[0];
    if trouble.replaces {
        let successor = deployment.add(Class::Core, 0, None)?;
        deployment.start(successor, false)?;
        cores.push(successor);
        thread::sleep(CATCH_UP + Duration::from_millis(500));
        put(2, &operators, 4).ok_or("no ack while the successor is there")?;
        deployment.terminate(removed)?;
        cores.remove(0);
        deployment.set_seeds(&cores);
        operators = addresses(&deployment, &cores);
    } else {
        thread::sleep(CATCH_UP);
    }
    thread::sleep(LOSS_DELAY);
    let (_, acked_by) = put(3, &operators, 4).ok_or("no ack before the disk is lost")?;
    record.announce("version 3 is acknowledged");
    if trouble.loses {
        // The machine through which the operator got the ack; any other one gives the same.
        let lost =
            cores.iter().copied().find(|core| deployment.operator_address(*core) == acked_by);
        let lost = lost.unwrap_or(cores[0]);
        deployment.kill(lost)?;
        deployment.lose_disk(lost)?;
        thread::sleep(Duration::from_secs(1));
        deployment.start(lost, false)?;
    }
    let back = Instant::now();
    let mut newest = None;
    while back.elapsed() < READ_TIME && newest.is_none() {
        let limit = Duration::from_secs(5);
        let answer = catalog::call_any(record, &operators, "GET", "/v1/Config.Read", "", limit);
        let body = answer.filter(|(answer, _)| answer.status() == 200);
        newest = body.map(|(answer, _)| answer.text().contains("\"version\":3,"));
    }
    let after = back.elapsed();
    let acked = put(4, &operators, 4).is_some();
    record.line(format_args!("version 4 acknowledged: {acked}"));
    for number in deployment.of(Class::Core) {
        let events = ["membership_proposed", "member_promoted", "leadership_won", "cluster_"];
        for line in deployment.log_lines(number, &events) {
            record.line(format_args!("log of {}: {line}", deployment.machines[number].name));
        }
    }
    deployment.check_running()?;
    match newest {
        Some(true) => {
            record.announce(format_args!("version 3 is read back after {after:?}"));
            Ok(Held(true))
        }
        Some(false) => {
            record.announce("CONFIG: another version than 3 is read back");
            Ok(Held(false))
        }
        None => {
            record.announce(format_args!("CONFIG: version 3 is not read back within {after:?}"));
            Ok(Held(false))
        }
    }
}

fn addresses(deployment: &Deployment, cores: &[usize]) -> Vec<SocketAddr> {
    cores.iter().map(|core| deployment.operator_address(*core)).collect()
}
