//! A small deployment of `shallotdrum-node` on loopback addresses, and the record of a run.

use std::{
    collections::HashMap,
    fs::{self, File},
    io::Write,
    net::TcpListener,
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::proxy::Proxy;

pub const FRONT: u16 = 8149;
pub const READY: u16 = 8141;
pub const CONTROL: u16 = 8144;
pub const FIRST_PORT: u16 = 7380;

/// Record of what was sent, answered and run.
#[derive(Clone)]
pub struct Record(Arc<(Instant, Mutex<File>)>);

impl Record {
    pub fn create(path: &str) -> Self {
        let file = File::create(path).expect("record.txt can be written");
        Self(Arc::new((Instant::now(), Mutex::new(file))))
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.0.0.elapsed().as_secs_f64();
        let _ = writeln!(self.0.1.lock().unwrap(), "{at:9.3} s  {}", text.as_ref());
    }
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

static NEXT: AtomicU64 = AtomicU64::new(1);

/// A number that is different in each call, and in each run.
pub fn unique() -> u64 {
    let n = NEXT.fetch_add(1, Ordering::Relaxed);
    let mut x = (unix_ms() << 20)
        ^ (u64::from(std::process::id()) << 44)
        ^ n.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    x ^= x >> 33;
    x = x.wrapping_mul(0xff51_afd7_ed55_8ccd);
    x ^ (x >> 33)
}

pub struct Node {
    pub ip: String,
    pub zone: String,
    is_core: bool,
    child: Option<Child>,
    starts: u32,
}

/// Processes of the deployment: first those of the core, then those of the edge.
pub struct World {
    pub nodes: Vec<Node>,
    pub core: usize,
    pub dir: PathBuf,
    pub net: String,
    pub record: Record,
    /// Links of a machine to each machine of the core.
    pub links: HashMap<usize, Vec<Proxy>>,
    /// Links of a machine to servers, by the address that these announce.
    pub server_links: HashMap<(usize, String), Proxy>,
}

impl World {
    /// Describes a deployment of `core` machines with a disk and of edge machines in these zones.
    pub fn new(core: usize, edges: &[&str], record: Record) -> Self {
        let dir = std::env::temp_dir().join(format!("review-2-{:x}", unique()));
        fs::create_dir_all(&dir).expect("a temporary folder");
        let net = loop {
            let n = unique();
            let net = format!("127.{}.{}", 10 + n % 200, 1 + (n >> 16) % 250);
            if TcpListener::bind((format!("{net}.1").as_str(), CONTROL)).is_ok() {
                break net;
            }
        };
        let zones = ["za", "zb", "zc"];
        let mut nodes = Vec::new();
        for i in 0..core + edges.len() {
            let zone = if i < core { zones[i % 3] } else { edges[i - core] };
            nodes.push(Node {
                ip: format!("{net}.{}", i + 1),
                zone: zone.to_owned(),
                is_core: i < core,
                child: None,
                starts: 0,
            });
        }
        Self { nodes, core, dir, net, record, links: HashMap::new(), server_links: HashMap::new() }
    }

    /// Puts proxies on the links of a machine to the machines of the core.
    pub fn add_links(&mut self, i: usize) {
        let proxies = (0..self.core)
            .map(|r| {
                let listen = format!("{}.{}:0", self.net, 200 + i);
                Proxy::start(&listen, &format!("{}:{FIRST_PORT}", self.nodes[r].ip))
            })
            .collect();
        self.links.insert(i, proxies);
    }

    /// Puts a proxy on the link of a machine to the server at an address.
    pub fn add_server_link(&mut self, i: usize, server: &str) {
        let proxy = Proxy::start(&format!("{}.{}:0", self.net, 200 + i), server);
        self.server_links.insert((i, server.to_owned()), proxy);
    }

    pub fn cut_server(&self, i: usize, server: &str, is_cut: bool) {
        let what = if is_cut { "cut" } else { "healed" };
        self.record
            .line(format!("the link of {} to the server at {server} is {what}", self.nodes[i].ip));
        self.server_links[&(i, server.to_owned())].set_cut(is_cut);
    }

    pub fn cut(&self, i: usize) {
        self.record
            .line(format!("links of {} to all machines of the core are cut", self.nodes[i].ip));
        self.links[&i].iter().for_each(|p| p.set_cut(true));
    }

    pub fn heal(&self, i: usize) {
        self.record.line(format!("links of {} are healed", self.nodes[i].ip));
        self.links[&i].iter().for_each(|p| p.set_cut(false));
    }

    pub fn start_all(&mut self) {
        for i in 0..self.nodes.len() {
            self.start(i, true);
        }
    }

    pub fn start(&mut self, i: usize, bootstrap: bool) {
        let seeds: Vec<String> =
            (0..self.core.min(3)).map(|r| format!("\"{}:{CONTROL}\"", self.nodes[r].ip)).collect();
        let forwarded: Vec<String> = self.links.get(&i).map_or(Vec::new(), |links| {
            let pairs = links.iter().enumerate();
            pairs.map(|(r, p)| format!("\"{}\":\"{}\"", self.nodes[r].ip, p.addr)).collect()
        });
        let node = &self.nodes[i];
        let ip = &node.ip;
        let data = self.dir.join(format!("data-{i}"));
        let (class, listen, serves, data, limits) = match node.is_core {
            true => (
                "core",
                format!(r#"{{"ctl":"{ip}:{CONTROL}"}}"#),
                "ctl",
                format!("\"{}\"", data.display()),
                r#"{"cpu_frac":0.15,"cores":1,"ram_mb":256,"max_fds":4096,"link_mbps":1000.0,"disk_mb":128}"#,
            ),
            false => (
                "edge",
                format!(r#"{{"front":"{ip}:{FRONT}","ready":"{ip}:{READY}"}}"#),
                "edge",
                "null".to_owned(),
                r#"{"cpu_frac":0.25,"cores":1,"ram_mb":260,"max_fds":4100,"link_mbps":1000.0,"disk_mb":0}"#,
            ),
        };
        let servers = self.server_links.iter().filter(|((node, _), _)| *node == i);
        let servers: Vec<String> =
            servers.map(|((_, addr), p)| format!("\"{addr}\":\"{}\"", p.addr)).collect();
        let settings = format!(
            r#"{{"node":"n{i}","role":"{class}","class":"{class}","serves":["{serves}"],"ip":"{ip}","zone":"{zone}","region":"r1",
"zones":{{"za":"r1","zb":"r1","zc":"r1"}},"listen":{listen},"port_range":[{FIRST_PORT},{last}],"seeds":[{seeds}],
"bootstrap":{bootstrap},"in_tolerance":{counts},"limits":{limits},"data_dir":{data},"discovery":"registry","entry":"vip",
"heartbeat_ms":1200,"contracts":["base","drain","config","cost","retry","recover","fleet","stream","engine"],"fault_budget":{{"machines":1,"zones":0,"regions":0}},"forwarded":{{{forwarded}}},"forwarded_targets":{{{servers}}},
"bounds":{{"seed_lag_s":3,"reuse_s":2,"contact_ms":3000,"ack_ms":4000,"sync_s":4,"drain_ms":2000,"grace_s":8,"loss_ms":200,
"apply_ms":2000,"rollback_slack_ms":250,"skew_ms":5000,"retry_ratio":0.2,"retry_window_s":10,"retry_extra":56,"recover_s":12,
"delivery_ms":120,"retry_s":0,"fencing":true,"lease_ms":3000,"thaw_ms":300,"cap_window_s":5,"cap_excess":1.1,"version_ms":5000}},
"cfg_mode":"highest"}}"#,
            zone = node.zone,
            last = FIRST_PORT + 15,
            seeds = seeds.join(","),
            counts = node.is_core,
            forwarded = forwarded.join(","),
            servers = servers.join(","),
        );
        let path = self.dir.join(format!("node-{i}.json"));
        fs::write(&path, settings).expect("settings file");
        let out = File::options()
            .create(true)
            .append(true)
            .open(self.dir.join(format!("out-{i}")))
            .expect("output file");
        let err = out.try_clone().expect("output file");
        let program = std::env::var("REVIEW_NODE")
            .unwrap_or_else(|_| "target/release/shallotdrum-node".to_owned());
        let child = Command::new(program)
            .env("SHALLOTDRUM_NODE_FILE", &path)
            .stdin(Stdio::null())
            .stdout(out)
            .stderr(err)
            .spawn()
            .expect("shallotdrum-node is built");
        let node = &mut self.nodes[i];
        node.starts += 1;
        self.record.line(format!("{} {} starts (start {})", node.zone, node.ip, node.starts));
        node.child = Some(child);
    }

    /// Ends a process with SIGKILL.
    pub fn kill(&mut self, i: usize) {
        if let Some(mut child) = self.nodes[i].child.take() {
            self.record.line(format!("SIGKILL to {}", self.nodes[i].ip));
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Whether a process has ended by itself.
    pub fn has_ended(&mut self, i: usize) -> bool {
        self.nodes[i].child.as_mut().is_some_and(|c| !matches!(c.try_wait(), Ok(None)))
    }

    pub fn front(&self, i: usize) -> String {
        format!("{}:{FRONT}", self.nodes[i].ip)
    }

    pub fn controls(&self) -> Vec<String> {
        (0..self.core).map(|r| format!("{}:{CONTROL}", self.nodes[r].ip)).collect()
    }

    /// Waits until an edge machine says that it is ready.
    pub fn wait_ready(&self, i: usize, limit: Duration) -> bool {
        let addr = format!("{}:{READY}", self.nodes[i].ip);
        wait_for(limit, || {
            crate::http::call(&addr, "GET", "/readyz", &[], b"", Duration::from_secs(1))
                .is_ok_and(|a| a.status == 200)
        })
    }
}

impl Drop for World {
    fn drop(&mut self) {
        for i in 0..self.nodes.len() {
            if let Some(mut child) = self.nodes[i].child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        if std::env::var_os("REVIEW_KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.dir);
        } else {
            eprintln!("kept {}", self.dir.display());
        }
    }
}

pub fn wait_for(limit: Duration, mut is_done: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + limit;
    loop {
        if is_done() {
            return true;
        }
        if Instant::now() >= end {
            return false;
        }
        thread::sleep(Duration::from_millis(50));
    }
}
