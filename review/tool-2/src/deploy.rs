//! A small deployment of the project's programs, started as the deploy file says.

use std::{
    fs,
    io::{self, ErrorKind},
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::Mutex,
    thread::sleep,
    time::{Duration, Instant},
};

use serde_json::{Value, json};

use crate::{http, record::Record};

/// The key of the only organisation.
pub(crate) const KEY: &str = "jnbanfqasnmgkcuyj8pj";
pub(crate) const HOST: &str = "jepu9.example";
const PORT_CONTROL: u16 = 8000;
const PORT_READY: u16 = 8002;
const PORT_FRONT: u16 = 8005;
const PORT_DIRECTORY: u16 = 8006;
const PORT_INTERNAL: u16 = 7700;
const PORT_METRICS: u16 = 9100;
const ZONES: [(&str, &str); 3] = [("xela-a", "xela"), ("guate-a", "guate"), ("peten-a", "peten")];

/// A machine of the deployment, with an address of its own.
#[derive(Debug, Clone)]
pub(crate) struct Machine {
    pub(crate) name: String,
    pub(crate) ip: IpAddr,
    pub(crate) zone: &'static str,
    role: &'static str,
    extra: Value,
}

impl Machine {
    pub(crate) fn front(&self) -> SocketAddr {
        SocketAddr::new(self.ip, PORT_FRONT)
    }

    pub(crate) fn control(&self) -> SocketAddr {
        SocketAddr::new(self.ip, PORT_CONTROL)
    }

    pub(crate) fn ready(&self) -> SocketAddr {
        SocketAddr::new(self.ip, PORT_READY)
    }
}

/// The running deployment.
pub(crate) struct Deployment {
    pub(crate) record: Record,
    folder: PathBuf,
    root: PathBuf,
    base: [u8; 3],
    pub(crate) cores: Vec<Machine>,
    pub(crate) edges: Vec<Machine>,
    pub(crate) sides: Vec<Machine>,
}

/// The processes that were started, by machine.
static CHILDREN: Mutex<Vec<(String, Child)>> = Mutex::new(Vec::new());

/// Ends all processes that were started, and removes their files.
pub(crate) fn end_all() {
    if let Ok(mut children) = CHILDREN.lock() {
        for (_, child) in children.iter_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
        children.clear();
    }
    if std::env::var_os("KEEP_LOGS").is_none() {
        let _ = fs::remove_dir_all(folder());
    }
}

/// The temporary folder of this run.
fn folder() -> PathBuf {
    std::env::temp_dir().join(format!("egret-review-2-{}", std::process::id()))
}

impl Deployment {
    /// Prepares machines; `apps` are the runners beside which an agent runs, with their zones.
    pub(crate) fn prepare(
        record: &Record,
        edges: u8,
        apps: &[(SocketAddr, usize)],
    ) -> io::Result<Self> {
        let id = std::process::id();
        let base = [127, 96 + (id % 96) as u8, (id / 96 % 250) as u8 + 1];
        let root = std::env::current_dir()?;
        let folder = folder();
        fs::create_dir_all(&folder)?;
        let ip = |host: u8| IpAddr::V4(Ipv4Addr::new(base[0], base[1], base[2], host));
        let machine = |role: &'static str, class: &str, index: usize, host: u8, extra: Value| {
            let zone = ZONES[index % ZONES.len()].0;
            let name = format!("{class}-{zone}-{}", index / ZONES.len() + 1);
            Machine { name, ip: ip(host), zone, role, extra }
        };
        let cores: Vec<_> = (0..3_u8)
            .map(|index| {
                let data = folder.join(format!("data-{index}"));
                fs::create_dir_all(&data)?;
                let extra = json!({ "data_dir": data });
                Ok(machine("control", "core", index.into(), 10 + index, extra))
            })
            .collect::<io::Result<_>>()?;
        let edge = |index: u8| machine("entry", "edge", index.into(), 40 + index, json!({}));
        let sides = apps.iter().zip(80..).map(|((app, zone), host)| {
            let extra = json!({ "app": app, "service": "huvo11a" });
            let mut side = machine("agent", "side", *zone, host, extra);
            side.name = format!("side-{host}");
            side
        });
        let sides = sides.collect();
        let edges: Vec<_> = (0..edges).map(edge).collect();
        let ports =
            [PORT_CONTROL, PORT_READY, PORT_FRONT, PORT_DIRECTORY, PORT_INTERNAL, PORT_METRICS];
        for machine in cores.iter().chain(&edges).chain(&sides) {
            for port in ports {
                TcpListener::bind((machine.ip, port))?;
            }
        }
        Ok(Self { record: record.clone(), folder, root, base, cores, edges, sides })
    }

    /// Returns a listener for a stand-in, at an address of the deployment.
    pub(crate) fn listener(&self, host: u8) -> io::Result<TcpListener> {
        let [first, second, third] = self.base;
        TcpListener::bind((Ipv4Addr::new(first, second, third, host), 0))
    }

    fn settings(&self, machine: &Machine) -> Value {
        let at = |port: u16| SocketAddr::new(machine.ip, port);
        let zones: serde_json::Map<_, _> =
            ZONES.iter().map(|(zone, region)| ((*zone).to_owned(), json!(region))).collect();
        let (class, serves, listen) = match machine.role {
            "control" => ("core", json!(["control"]), json!({ "control": at(PORT_CONTROL) })),
            "entry" => (
                "edge",
                json!(["edge", "registry"]),
                json!({
                    "front": at(PORT_FRONT), "ready": at(PORT_READY),
                    "directory": at(PORT_DIRECTORY),
                }),
            ),
            _ => ("side", json!(["side"]), json!({})),
        };
        let seeds: Vec<_> = self.cores.iter().map(Machine::control).collect();
        let mut settings = json!({
            "node": machine.name, "role": machine.role, "machine_class": class, "serves": serves,
            "ip": machine.ip, "zone": machine.zone,
            "region": ZONES.iter().find(|(zone, _)| *zone == machine.zone).map(|(_, region)| region),
            "zones": zones, "listen": listen, "port_range": [PORT_INTERNAL, PORT_INTERNAL + 15],
            "seeds": seeds, "bootstrap": true, "loss_counts": class == "core",
            "limits": {
                "cpu_share": 0.25, "cores": 1, "memory_mb": 260, "max_fds": 4100,
                "link_mbps": if class == "side" { 7.3 } else { 1000.0 }, "disk_mb": 128,
            },
            "data_dir": null, "discovery": "register", "entry": "registry", "heartbeat_ms": 1200,
            "contracts": [
                "base", "drain", "config", "cost", "retry", "recover", "engine", "stream",
                "tenants", "places", "chunks",
            ],
            "fault_tolerance": { "machines": 1, "zones": 1, "regions": 0 },
            "bounds": {
                "seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000,
                "catch_up_s": 4, "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200,
                "config_ms": 2000, "rollback_slack_ms": 250, "outer_ms": 5000,
                "fail_closed": false, "revoke_ms": 5000, "retry_ratio": 0.2, "retry_window_s": 10,
                "retry_slack": 106, "cold_excess": 1.5, "cold_slack": 5, "evacuate_ms": 5000,
                "recover_s": 12, "pass_ms": 120, "retry_after_s": 0, "version_ms": 8000,
                "version_all_ms": 0, "ttl_max_s": 5,
            },
            "config_mode": "highest",
        });
        if let (Some(settings), Some(extra)) = (settings.as_object_mut(), machine.extra.as_object())
        {
            settings.extend(extra.clone());
        }
        settings
    }

    /// Starts the process of a machine.
    pub(crate) fn start(&self, machine: &Machine) -> io::Result<()> {
        let file = self.folder.join(format!("{}.yaml", machine.name));
        fs::write(&file, self.settings(machine).to_string())?;
        let log = fs::File::options().create(true).append(true).open(file.with_extension("log"))?;
        let program = format!("target/release/egret-platform-{}", machine.role);
        let child = Command::new(self.root.join(program))
            .args(["--metrics-port", "9100"])
            .env("EGRETGAP_NODE_FILE", &file)
            .current_dir(&self.root)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.record.write(format_args!("platform starts {}", machine.name));
        CHILDREN.lock().map_err(|_| ErrorKind::Other)?.push((machine.name.clone(), child));
        Ok(())
    }

    /// Starts all processes, puts a manifest in force and waits until all entries are ready.
    pub(crate) fn start_all(&self, manifest: &Value) -> io::Result<()> {
        for machine in self.cores.iter().chain(&self.edges).chain(&self.sides) {
            self.start(machine)?;
        }
        self.order("/v1/Config.Replace", &manifest.to_string())?;
        for edge in &self.edges {
            self.wait("an entry is ready", Duration::from_secs(10), || {
                let limit = Duration::from_secs(1);
                let ready = http::call(edge.ready(), "GET", "/v1/readyz", "", b"", limit);
                ready.is_ok_and(|ready| ready.status == 200)
            })?;
        }
        Ok(())
    }

    /// Kills all processes at the same moment.
    pub(crate) fn kill_all(&self) {
        if let Ok(mut children) = CHILDREN.lock() {
            children.iter_mut().for_each(|(_, child)| drop(child.kill()));
            for (_, mut child) in children.drain(..) {
                let _ = child.wait();
            }
        }
        self.record.write("platform has killed all processes");
    }

    /// Kills the process of a machine, which does not come back.
    pub(crate) fn kill(&self, machine: &Machine) {
        if let Ok(mut children) = CHILDREN.lock() {
            for (_, mut child) in children.extract_if(.., |(name, _)| *name == machine.name) {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        self.record.write(format_args!("platform has killed {}", machine.name));
    }

    /// Returns an empty machine that replaces a core machine, at another address.
    pub(crate) fn spare_core(&self, machine: &Machine) -> io::Result<Machine> {
        let [first, second, third] = self.base;
        let data = self.folder.join("data-spare");
        fs::create_dir_all(&data)?;
        Ok(Machine {
            name: format!("{}-spare", machine.name),
            ip: IpAddr::V4(Ipv4Addr::new(first, second, third, 30)),
            extra: json!({ "data_dir": data, "bootstrap": false }),
            ..machine.clone()
        })
    }

    /// Writes the settings of all machines anew, with the present seeds, and says so by SIGHUP.
    pub(crate) fn settings_changed(&self) -> io::Result<()> {
        for machine in self.cores.iter().chain(&self.edges).chain(&self.sides) {
            let file = self.folder.join(format!("{}.yaml", machine.name));
            fs::write(&file, self.settings(machine).to_string())?;
        }
        let children = CHILDREN.lock().map_err(|_| ErrorKind::Other)?;
        for (name, child) in children.iter() {
            let id = child.id().to_string();
            Command::new("kill").args(["-HUP", &id]).status()?;
            self.record.write(format_args!("platform sends SIGHUP to {name}"));
        }
        Ok(())
    }

    /// Starts all processes again, with the settings of an existing system.
    pub(crate) fn restart_all(&self) -> io::Result<()> {
        for machine in self.cores.iter().chain(&self.edges).chain(&self.sides) {
            let mut machine = machine.clone();
            machine.extra["bootstrap"] = json!(false);
            self.start(&machine)?;
        }
        Ok(())
    }

    /// Sends an order of the operator until it is acknowledged.
    pub(crate) fn order(&self, path: &str, body: &str) -> io::Result<()> {
        self.order_within(path, body, Duration::from_secs(15))
    }

    /// Sends an order of the operator until it is acknowledged, for `limit` at most.
    pub(crate) fn order_within(&self, path: &str, body: &str, limit: Duration) -> io::Result<()> {
        self.wait(path, limit, || {
            self.cores.iter().any(|core| {
                let status = call_control(core.control(), path, body);
                matches!(status, Some(200..=299))
            })
        })?;
        self.record.write(format_args!("operator has the ack of {path}"));
        Ok(())
    }

    /// Reports a runner's status until it is acknowledged; returns whether it was.
    pub(crate) fn report(&self, id: &str, status: &Value) -> bool {
        let path = format!("/v1/Instances.Heartbeat/{id}");
        let body = status.to_string();
        self.cores
            .iter()
            .any(|core| matches!(call_control(core.control(), &path, &body), Some(200..=299)))
    }

    pub(crate) fn wait(
        &self,
        what: &str,
        limit: Duration,
        mut is_done: impl FnMut() -> bool,
    ) -> io::Result<()> {
        let deadline = Instant::now() + limit;
        while !is_done() {
            if Instant::now() >= deadline {
                return Err(io::Error::new(ErrorKind::TimedOut, format!("not in time: {what}")));
            }
            sleep(Duration::from_millis(100));
        }
        Ok(())
    }

    /// Returns the processes that have ended by themselves.
    pub(crate) fn ended(&self) -> Vec<String> {
        let Ok(mut children) = CHILDREN.lock() else { return Vec::new() };
        let ended = children.iter_mut().filter_map(|(name, child)| {
            matches!(child.try_wait(), Ok(Some(_))).then(|| name.clone())
        });
        ended.collect()
    }
}

/// Calls a control instance, following redirects twice; returns the status.
fn call_control(address: SocketAddr, path: &str, body: &str) -> Option<u16> {
    let mut address = address;
    for _ in 0..3 {
        let headers = format!("Host: {address}\r\nContent-Type: application/json\r\n");
        let limit = Duration::from_secs(1);
        let answer = http::call(address, "POST", path, &headers, body.as_bytes(), limit).ok()?;
        if answer.status != 307 {
            return Some(answer.status);
        }
        let location = answer.header("location")?.strip_prefix("http://")?;
        address = location.split('/').next()?.parse().ok()?;
    }
    None
}

/// A manifest with a stream served by `huvo11a` and two plain routes served by `wuno96b`.
pub(crate) fn manifest(
    version: u64,
    origin: Option<SocketAddr>,
    chunks: u32,
    chunk_bytes: usize,
) -> Value {
    let route = |name: &str, prefix: &str, kind: &str, service: &str, attempts: u32, ms: u32| {
        json!({
            "name": name, "host": HOST, "path_prefix": prefix, "route_kind": kind,
            "timeout_ms": ms, "goal_ms": 400, "priority": 1, "service": service,
            "max_attempts": attempts, "public": false, "sticky": kind == "stream",
            "resumable": kind == "stream", "gap_goal_ms": 300, "home_regions": [],
        })
    };
    let engine = json!({
        "slots": 16, "kv_capacity": 1_640_000, "kv_bytes": 163_840, "link_mbps": 400_000.0,
        "stride": 6, "models": [{ "name": "daka510000", "pace": 1.0, "load_s": 4.0, "warm_s": 0.3 }],
        "size_mb": 282_000.0, "adapter_slots": 8, "loads_per_s": 0.0, "step_ms": 6.73,
        "per_seq_ms": 0.0219, "context_per_k": 0.0068, "read_per_s": 30_600.0,
        "pairs_per_m": 0.647, "chunk": 2048, "report_lag_ms": 200.0, "loads_at_once": 8,
        "delays": [{ "from": "xela-a", "target": "guate-a", "delay_ms": 1.8 }],
        "usual": { "prompt": 964, "answer": 119 }, "layers": 16, "layer_mb": 4540.0,
        "act_bytes": 16_384, "pipe_mbps": 0.0, "chunks": chunks, "chunk_bytes": chunk_bytes,
    });
    let mut services = vec![
        json!({
            "name": "huvo11a", "health_path": "/healthz", "max_conns": 434, "protocol": "h1",
            "tls": false, "cold_start_s": 0.0, "cold_per_s": 0.0, "engine": engine,
        }),
        json!({
            "name": "wuno96b", "health_path": "/healthz", "max_conns": 110, "protocol": "h1",
            "tls": false, "cold_start_s": 0.0, "cold_per_s": 0.0,
        }),
    ];
    services.extend(origin.map(|origin| {
        json!({
            "name": "kafi81c", "origin": origin, "zone": "guate-a", "link_mbps": 7.3,
            "max_conns": 48,
        })
    }));
    json!({
        "version": version,
        "routes": [
            route("r-draft", "/lepu270/", "stream", "huvo11a", 2, 6000),
            route("r-book", "/filo73/", "non_idempotent", "wuno96b", 1, 2500),
            route("r-fetch", "/gera41/", "idempotent", "wuno96b", 2, 2500),
        ],
        "services": services,
        "limits": {
            "max_header_bytes": 16_384, "max_body_bytes": 4_194_304,
            "header_timeout_ms": 3000, "idle_timeout_ms": 15_000,
        },
        "tenants": [
            { "name": "bozi300", "api_keys": [KEY], "priority": 1, "home_regions": [] },
        ],
    })
}
