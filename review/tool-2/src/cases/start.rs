//! One core machine is lost for good while the system starts for the first time.

use std::{
    io,
    thread::sleep,
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    deploy::{Deployment, manifest},
    record::Record,
};

/// Time after the loss at which an empty machine takes the place of the lost one.
const REPLACED_AFTER: Duration = Duration::from_secs(2);
/// `contact_ms` and `ack_ms` of the installation.
const CONTACT: Duration = Duration::from_secs(3);
const ACK_TIME: Duration = Duration::from_secs(4);
/// Time for which the operator goes on.
const PATIENCE: Duration = Duration::from_secs(75);

pub(crate) fn run(record: &Record, trouble: bool) -> io::Result<Verdict> {
    let mut deployment = Deployment::prepare(record, 2, &[])?;
    for machine in deployment.cores.iter().chain(&deployment.edges) {
        deployment.start(machine)?;
    }
    let lost = deployment.cores[2].clone();
    if trouble {
        deployment.kill(&lost);
        sleep(REPLACED_AFTER);
        let spare = deployment.spare_core(&lost)?;
        deployment.cores[2] = spare;
        deployment.settings_changed()?;
        deployment.start(&deployment.cores[2])?;
    }
    // From here on nothing happens any more: all core machines run and are connected.
    let calm = Instant::now();
    let manifest = manifest(1, None, 96, 24_576).to_string();
    let acknowledged = deployment.order_within("/v1/Config.Replace", &manifest, PATIENCE);
    let took = calm.elapsed();
    let ended = deployment.ended();
    record.write(format_args!(
        "manifest: {:?} {:.1} s after the last disruption; ended by themselves: {ended:?}",
        acknowledged.as_ref().map_err(io::Error::kind),
        took.as_secs_f64()
    ));
    Ok(if took > CONTACT + ACK_TIME {
        Verdict::Broken(format!(
            "Acks, no ack for {:.1} s after the last disruption",
            took.as_secs_f64()
        ))
    } else {
        Verdict::Held
    })
}
