//! Machines of the core are replaced one after the other, each after its predecessor's successor has had
//! `sync_s`.

use std::{thread::sleep, time::Duration};

use crate::{
    Outcome,
    deploy::{Deployment, Machine, Role},
};

/// Time for which a new machine counts as lost.
const SYNC: Duration = Duration::from_secs(4);

/// Allowance on top of it.
const MARGIN: Duration = Duration::from_millis(300);

/// Time between the loss of a machine and the start of its successor.
const SUCCESSOR_DELAY: Duration = Duration::from_millis(50);

/// Time for which the configuration is read back: `recover_s` and `contact_ms` and as much again.
const READ_BACK: Duration = Duration::from_secs(30);

const REPLACEMENTS: u8 = 4;

pub fn run(deployment: &mut Deployment, has_trouble: bool) -> Outcome {
    let mut core: Vec<Machine> = vec![1, 2, 3, 4, 5];
    deployment.seeds = vec![1, 2, 3];
    for machine in core.clone() {
        deployment.start(machine, Role::Replica, true);
    }
    for machine in 11..=13 {
        deployment.start(machine, Role::Entry, true);
    }
    if !deployment.put_config(&core, 1, &config(1), Duration::from_secs(20)) {
        return Err("the first configuration was not acknowledged".to_owned());
    }
    sleep(SYNC + MARGIN);
    let mut acknowledged = 1;
    for n in 0..REPLACEMENTS {
        if has_trouble {
            let (old, new) = (5 - n, 6 + n);
            deployment.kill(old, "removed for good");
            core.retain(|machine| *machine != old);
            sleep(SUCCESSOR_DELAY);
            // The list of the operator at this time.
            deployment.seeds = core.iter().copied().take(3).collect();
            deployment.start(new, Role::Replica, false);
            core.push(new);
        }
        sleep(SYNC + MARGIN);
        let version = u64::from(n) + 2;
        if deployment.put_config(&core, version, &config(version), Duration::from_secs(1)) {
            acknowledged = version;
        }
    }
    for machine in &core {
        if deployment.has_ended(*machine) {
            return Err(format!("machine {machine} has ended"));
        }
    }
    let read = deployment.read_config(&core, READ_BACK);
    deployment.record.line(&format!(
        "newest acknowledged version {acknowledged}; read back {read:?}; all {} machines of the core run",
        core.len()
    ));
    Ok(read.is_some_and(|version| version >= acknowledged))
}

pub fn config(version: u64) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r-2b9wu3f","host":"ficu95.example","prefix":"/pufi791/","type":"idempotent","timeout_ms":{},"slo_ms":300,"prio":1,"service":"wuno96b","attempts":2}}],"services":[{{"name":"wuno96b","health_path":"/healthz","max_conns":110,"proto":"h1","tls":false}}],"limits":{{"hdr_bytes":16384,"body_bytes":4194304,"hdr_ms":3000,"idle_ms":15000}}}}"#,
        3000 + version
    )
}
