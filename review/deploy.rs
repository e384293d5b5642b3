//! A small deployment: processes of the deploy file on loopback addresses, the operator, and the record
//! of what was sent and answered.

use std::{
    collections::BTreeMap,
    fs::{self, File},
    io::Write,
    net::{SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::http::{self, Message};

const FRONT: u16 = 8149;
const READY: u16 = 8141;
const CONTROL: u16 = 8144;
const FIRST_FREE_PORT: u16 = 7380;
const METRICS: u16 = 9464;

/// Host of all routes.
pub const HOST: &str = "ficu95.example";

/// Record of a run; clones write to the same file.
#[derive(Clone)]
pub struct Record(Arc<(Instant, Mutex<File>)>);

impl Record {
    pub fn create(path: PathBuf) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self(Arc::new((Instant::now(), Mutex::new(file))))
    }

    pub fn line(&self, text: &str) {
        let (started, file) = &*self.0;
        let line = format!("{:9.3} s  {text}\n", started.elapsed().as_secs_f64());
        print!("{line}");
        let _ = file.lock().unwrap().write_all(line.as_bytes());
    }
}

/// Role of a process in the deploy file.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Role {
    Entry,
    Replica,
}

/// Machine of the deployment, by the last octet of its address.
pub type Machine = u8;

/// Running deployment; ends its processes when dropped.
pub struct Deployment {
    root: PathBuf,
    folder: PathBuf,
    /// First three octets of the addresses.
    net: String,
    pub seeds: Vec<Machine>,
    processes: BTreeMap<Machine, Child>,
    pub record: Record,
    /// Memory of a machine, as the settings state it.
    pub ram_mb: u64,
}

impl Deployment {
    /// Chooses loopback addresses whose ports are free.
    pub fn new(root: PathBuf, record: Record) -> Self {
        let pid = std::process::id();
        let is_free = |net: &str| {
            let ports = [FRONT, READY, CONTROL, FIRST_FREE_PORT, METRICS];
            (1..=20).all(|last| {
                let ip = format!("{net}.{last}");
                ports.iter().all(|port| TcpListener::bind((ip.as_str(), *port)).is_ok())
            })
        };
        let nets = (0..250).map(|n| format!("127.{}.{}", 1 + (pid + n) % 250, pid / 250 % 250));
        let net = nets.into_iter().find(|net| is_free(net)).expect("free loopback addresses");
        let folder = std::env::temp_dir().join(format!("review-{pid}"));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let (seeds, processes) = Default::default();
        Self { root, folder, net, seeds, processes, record, ram_mb: 260 }
    }

    pub fn ip(&self, machine: Machine) -> String {
        format!("{}.{machine}", self.net)
    }

    fn addr(&self, machine: Machine, port: u16) -> SocketAddr {
        format!("{}:{port}", self.ip(machine)).parse().expect("an address")
    }

    pub fn front(&self, machine: Machine) -> SocketAddr {
        self.addr(machine, FRONT)
    }

    pub fn ready(&self, machine: Machine) -> SocketAddr {
        self.addr(machine, READY)
    }

    pub fn control(&self, machine: Machine) -> SocketAddr {
        self.addr(machine, CONTROL)
    }

    /// Starts the process of a machine with the command of the deploy file.
    pub fn start(&mut self, machine: Machine, role: Role, is_first: bool) {
        let ip = self.ip(machine);
        let seeds: Vec<_> =
            self.seeds.iter().map(|seed| format!("\"{}\"", self.control(*seed))).collect();
        let data = self.folder.join(format!("data-{machine}"));
        let (class, serves, listen, data_dir, disk) = match role {
            Role::Entry => (
                "edge",
                "edge",
                format!("\"front\":\"{ip}:{FRONT}\",\"ready\":\"{ip}:{READY}\""),
                "null".to_owned(),
                0,
            ),
            Role::Replica => (
                "core",
                "ctl",
                format!("\"ctl\":\"{ip}:{CONTROL}\""),
                format!("\"{}\"", data.display()),
                128,
            ),
        };
        if role == Role::Replica {
            fs::create_dir_all(&data).expect("a data folder");
        }
        let role_name = if role == Role::Entry { "entry" } else { "replica" };
        let settings = format!(
            r#"{{"node":"{class}-{machine}","role":"{role_name}","class":"{class}",
"serves":["{serves}"],"ip":"{ip}","zone":"suva-a","region":"fj-central",
"zones":{{"suva-a":"fj-central"}},"listen":{{{listen}}},
"port_range":[{FIRST_FREE_PORT},{}],"seeds":[{}],"bootstrap":{is_first},"in_tolerance":{},
"limits":{{"cpu_frac":0.25,"cores":1,"ram_mb":{},"max_fds":4100,"link_mbps":1000.0,"disk_mb":{disk}}},
"data_dir":{data_dir},"discovery":"registry","entry":"vip","heartbeat_ms":1200,
"contracts":["base","drain","config","cost","retry","recover","fleet","stream","engine"],
"fault_budget":{{"machines":1,"zones":0,"regions":0}},
"bounds":{{"seed_lag_s":3,"reuse_s":2,"contact_ms":3000,"ack_ms":4000,"sync_s":4,"drain_ms":2000,
"grace_s":8,"loss_ms":200,"apply_ms":2000,"rollback_slack_ms":250,"skew_ms":5000,"retry_ratio":0.2,
"retry_window_s":10,"retry_extra":56,"recover_s":12,"delivery_ms":120,"retry_s":0,"fencing":true,
"lease_ms":3000,"thaw_ms":300,"cap_window_s":5,"cap_excess":1.1,"version_ms":5000}},
"cfg_mode":"highest"}}"#,
            FIRST_FREE_PORT + 15,
            seeds.join(","),
            role == Role::Replica,
            self.ram_mb,
        );
        let path = self.folder.join(format!("node-{machine}.json"));
        fs::write(&path, settings).expect("a settings file");
        let output = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("output-{machine}")))
            .expect("a file for the output");
        let mut command = Command::new(self.root.join("target/release/shallotdrum-node"));
        command.env_clear().env("SHALLOTDRUM_NODE_FILE", &path).current_dir(&self.root);
        for name in ["PATH", "HOME", "LANG"] {
            command.envs(std::env::var_os(name).map(|value| (name, value)));
        }
        let copy = output.try_clone().expect("a file for the output");
        let child = command.stdin(Stdio::null()).stdout(output).stderr(copy).spawn();
        let child = child.expect("the program of the deploy file starts");
        let line = format!("starts {class}-{machine} at {ip}, process {}", child.id());
        self.record.line(&line);
        self.processes.insert(machine, child);
    }

    /// Kills the process of a machine, as a loss of the machine does.
    pub fn kill(&mut self, machine: Machine, why: &str) {
        let Some(mut child) = self.processes.remove(&machine) else { return };
        let _ = child.kill();
        let _ = child.wait();
        self.record.line(&format!("machine {machine} is killed: {why}"));
    }

    pub fn pid(&self, machine: Machine) -> Option<u32> {
        self.processes.get(&machine).map(Child::id)
    }

    /// Whether a process has ended by itself.
    pub fn has_ended(&mut self, machine: Machine) -> bool {
        let child = self.processes.get_mut(&machine);
        child.is_none_or(|child| !matches!(child.try_wait(), Ok(None)))
    }

    /// Memory of a process in kilobytes, by the name of the figure that the system keeps.
    pub fn memory_kb(&self, machine: Machine, figure: &str) -> Option<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.pid(machine)?)).ok()?;
        let line = status.lines().find(|line| line.starts_with(figure))?;
        line.split_whitespace().nth(1)?.parse().ok()
    }

    /// Log lines of a machine so far.
    pub fn output(&self, machine: Machine) -> String {
        fs::read_to_string(self.folder.join(format!("output-{machine}"))).unwrap_or_default()
    }

    /// One call of the operator to a machine, with its timeout of a second.
    pub fn operate(&self, machine: Machine, method: &str, body: &str) -> Result<Message, String> {
        let headers = [("Host", "ctl".to_owned()), ("Content-Type", "application/json".to_owned())];
        let timeout = Duration::from_secs(1);
        let addr = self.control(machine);
        let result = http::call(addr, method, "/config", &headers, body.as_bytes(), timeout);
        result.map_err(|e| e.to_string())
    }

    /// Sends a configuration to these machines in turn until one acknowledges it.
    pub fn put_config(
        &self,
        machines: &[Machine],
        version: u64,
        body: &str,
        limit: Duration,
    ) -> bool {
        let started = Instant::now();
        let mut last = String::new();
        loop {
            for machine in machines {
                let result = self.operate(*machine, "PUT", body);
                match &result {
                    Ok(response) if response.status() == 200 => {
                        self.record.line(&format!(
                            "PUT /config version {version}: acknowledged by machine {machine} after {} ms",
                            started.elapsed().as_millis()
                        ));
                        return true;
                    }
                    Ok(response) => last = format!("status {}", response.status()),
                    Err(error) => last.clone_from(error),
                }
                if started.elapsed() >= limit {
                    self.record.line(&format!(
                        "PUT /config version {version}: no acknowledgement in {} ms, last {last}",
                        started.elapsed().as_millis()
                    ));
                    return false;
                }
            }
            thread::sleep(Duration::from_millis(100));
        }
    }

    /// Reads the configuration back from these machines until one returns it; its version.
    pub fn read_config(&self, machines: &[Machine], limit: Duration) -> Option<u64> {
        let started = Instant::now();
        let mut counts: BTreeMap<String, u32> = BTreeMap::new();
        while started.elapsed() < limit {
            for machine in machines {
                let result = self.operate(*machine, "GET", "");
                let found = match &result {
                    Ok(response) if response.status() == 200 => version_of(&response.text()),
                    Ok(response) => {
                        *counts.entry(format!("status {}", response.status())).or_default() += 1;
                        None
                    }
                    Err(error) => {
                        *counts.entry(error.clone()).or_default() += 1;
                        None
                    }
                };
                if let Some(version) = found {
                    self.record.line(&format!(
                        "GET /config: version {version} from machine {machine} after {} ms",
                        started.elapsed().as_millis()
                    ));
                    return Some(version);
                }
            }
            thread::sleep(Duration::from_millis(100));
        }
        self.record.line(&format!("GET /config: nothing in {limit:?}; responses: {counts:?}"));
        None
    }

    /// Waits until a machine says that it is ready.
    pub fn wait_ready(&self, machine: Machine, limit: Duration) -> bool {
        let started = Instant::now();
        while started.elapsed() < limit {
            let timeout = Duration::from_secs(1);
            let headers = [("Host", "ready".to_owned())];
            let ready = http::call(self.ready(machine), "GET", "/readyz", &headers, b"", timeout);
            if ready.is_ok_and(|response| response.status() == 200) {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for (_, child) in &mut self.processes {
            let _ = child.kill();
            let _ = child.wait();
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        } else {
            println!("logs kept in {}", self.folder.display());
        }
    }
}

fn version_of(config: &str) -> Option<u64> {
    let (_, rest) = config.split_once("\"version\":")?;
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}
