//! A deployment of the programs as local processes.
//!
//! Each process has a folder with its settings, data and log. Ports are drawn at
//! random. Dropping the deployment kills all processes by their ids.

use std::{
    collections::BTreeMap,
    fs, io,
    net::{IpAddr, SocketAddr},
    ops::Range,
    path::{Path, PathBuf},
    time::Duration,
};

use egret_http::HttpClient;
use egret_weights::Manifest;
use http::Method;
use rustix::process::Signal;
use serde_json::Value;
use tokio::time::{Instant, sleep};

use crate::{
    child::ChildProcess,
    http_request::send_request,
    network::{Delays, Network},
};

/// Timeout of one request for status or counters.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(15);
/// Number of lines printed of each log when a test fails; covers the 30 s that a test waits.
const LOG_LINES: usize = 300;
/// Time between two polls of a state that is waited for.
const POLL_PERIOD: Duration = Duration::from_millis(50);

/// Range of the first drawn port; below the ports that the kernel gives to outgoing connections.
const FIRST_PORTS: Range<u16> = 10_000..30_000;

/// An instance in a data centre.
#[derive(Debug, Clone)]
pub struct Instance {
    /// The name of the instance.
    pub name: String,
    /// Its data centre.
    pub data_centre: String,
}

impl Instance {
    /// Creates an instance with this name in this data centre.
    #[must_use]
    pub fn new(name: impl Into<String>, data_centre: &str) -> Self {
        Self { name: name.into(), data_centre: data_centre.to_owned() }
    }
}

/// The instances of a deployment and their settings.
#[derive(Debug, Clone, Default)]
pub struct Plan {
    /// The control instances.
    pub controls: Vec<Instance>,
    /// The entry instances.
    pub entries: Vec<Instance>,
    /// The agents that have a model engine each.
    pub engines: Vec<Instance>,
    /// The agents that have a plain service each, and the service's name.
    pub services: Vec<(Instance, String)>,
    /// Extra arguments of the stand-in engines.
    pub engine_args: Vec<String>,
    /// Extra lines in the settings of the agents.
    pub agent_settings: String,
    /// Bandwidth of the origin in bytes per second, unlimited if absent.
    pub origin_rate: Option<u64>,
    /// Engines that the experiment runs in its own process, by the name of their agent.
    pub local_engines: BTreeMap<String, SocketAddr>,
    /// Extra lines in the settings of the control instances.
    pub control_settings: String,
    /// Delays of the links between instances.
    pub delays: Delays,
}

/// A running deployment.
#[derive(Debug)]
pub struct Deployment {
    folder: PathBuf,
    binary_folder: PathBuf,
    processes: BTreeMap<String, ChildProcess>,
    /// The addresses of the entries, by name.
    pub entries: BTreeMap<String, SocketAddr>,
    /// The addresses at which the agents receive requests, behind their forwarders, by name.
    pub agents: BTreeMap<String, SocketAddr>,
    /// The addresses of the engines and services, by the name of their agent.
    pub backends: BTreeMap<String, SocketAddr>,
    /// The address of the origin.
    pub origin: SocketAddr,
    /// The addresses of the control instances, by name.
    pub controls: BTreeMap<String, SocketAddr>,
    /// The links between the instances.
    pub network: Network,
    client: HttpClient,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.processes.values_mut().for_each(ChildProcess::kill);
        if std::thread::panicking() {
            self.print_logs();
        }
        if std::env::var_os("EGRET_KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

impl Deployment {
    /// Starts all processes of a plan.
    ///
    /// The programs are taken from the folder of the current one, or its parent.
    ///
    /// # Errors
    ///
    /// Returns the system's error when a file or process cannot be created.
    pub fn start(plan: &Plan) -> io::Result<Self> {
        let name = format!("egretgap-{:016x}", rand::random::<u64>());
        let folder = std::env::temp_dir().join(name);
        fs::create_dir_all(folder.join("origin"))?;
        let network = Network::new(plan.delays);
        let mut deployment = Self {
            folder,
            binary_folder: binary_folder()?,
            processes: BTreeMap::new(),
            entries: BTreeMap::new(),
            agents: BTreeMap::new(),
            backends: BTreeMap::new(),
            origin: dedicated_address(&network, "origin", "origin"),
            controls: BTreeMap::new(),
            network,
            client: HttpClient::unpooled(None),
        };
        deployment.start_origin(plan.origin_rate)?;
        let mut listens = BTreeMap::new();
        for instance in &plan.controls {
            let (listen, announced) = deployment.address_pair(instance)?;
            listens.insert(instance.name.clone(), listen);
            deployment.controls.insert(instance.name.clone(), announced);
        }
        for instance in &plan.controls {
            deployment.start_control(instance, listens[&instance.name], &plan.control_settings)?;
        }
        for instance in &plan.entries {
            deployment.start_entry(instance)?;
        }
        for instance in &plan.engines {
            if let Some(engine) = plan.local_engines.get(&instance.name) {
                deployment.start_agent(instance, *engine, None, &plan.agent_settings)?;
                continue;
            }
            let name = format!("engine-{}", instance.name);
            let engine = dedicated_address(&deployment.network, &name, &instance.data_centre);
            let mut args = vec!["engine".to_owned(), "--listen".to_owned(), engine.to_string()];
            args.extend(plan.engine_args.iter().cloned());
            deployment.spawn(&name, "egret-standin", args)?;
            deployment.start_agent(instance, engine, None, &plan.agent_settings)?;
        }
        for (instance, service) in &plan.services {
            let name = format!("service-{}", instance.name);
            let address = dedicated_address(&deployment.network, &name, &instance.data_centre);
            let args = ["service", "--listen", &address.to_string()].map(str::to_owned);
            deployment.spawn(&name, "egret-standin", args.to_vec())?;
            deployment.start_agent(instance, address, Some(service), &plan.agent_settings)?;
        }
        Ok(deployment)
    }

    /// Reserves an address to listen on and one to announce, and starts a forwarder between them.
    fn address_pair(&self, instance: &Instance) -> io::Result<(SocketAddr, SocketAddr)> {
        let (own, announced) = self.network.add_instance(&instance.name, &instance.data_centre);
        let [listen] = draw_addresses(own);
        Ok((listen, self.network.forward(announced, listen)?))
    }

    /// Publishes weights at the origin. Returns their digest and URL.
    ///
    /// # Errors
    ///
    /// Returns the system's error when a file cannot be written.
    pub fn publish(
        &self,
        model: &str,
        version: &str,
        weights: &[u8],
        chunk: u32,
    ) -> io::Result<(String, String)> {
        let manifest = Manifest::of(model, version, weights, chunk);
        let folder = self.folder.join("origin").join(model).join(version);
        fs::create_dir_all(&folder)?;
        fs::write(folder.join("manifest.json"), serde_json::to_vec(&manifest)?)?;
        fs::write(folder.join("weights"), weights)?;
        let origin = format!("http://{}/{model}/{version}", self.origin);
        Ok((manifest.digest().to_string(), origin))
    }

    /// Runs `egretctl` against the entries. Returns its standard output.
    ///
    /// # Errors
    ///
    /// Returns its standard error when it fails.
    pub async fn ctl(&self, args: &[&str]) -> Result<String, String> {
        let mut command = tokio::process::Command::new(self.binary_folder.join("egretctl"));
        for entry in self.entries.values() {
            command.arg("--entry").arg(entry.to_string());
        }
        let output = command.args(args).output().await.map_err(|error| error.to_string())?;
        if output.status.success() {
            Ok(String::from_utf8_lossy(&output.stdout).into_owned())
        } else {
            Err(String::from_utf8_lossy(&output.stderr).into_owned())
        }
    }

    /// Writes a file into the deployment's folder. Returns its path.
    ///
    /// # Errors
    ///
    /// Returns the system's error when the file cannot be written.
    pub fn write(&self, name: &str, text: &str) -> io::Result<String> {
        let path = self.folder.join(name);
        fs::write(&path, text)?;
        Ok(path.display().to_string())
    }

    /// Returns the status for operators from the first entry that replies.
    pub async fn status(&self) -> Option<Value> {
        for entry in self.entries.values() {
            let path = "/admin/v1/status";
            let response = send_request(
                &self.client,
                Method::GET,
                *entry,
                path,
                &[],
                String::new(),
                REQUEST_TIMEOUT,
            )
            .await;
            if let Ok(response) = response
                && response.status.is_success()
            {
                return Some(response.json());
            }
        }
        None
    }

    /// Waits until the status for operators meets a condition.
    ///
    /// # Errors
    ///
    /// Returns the last status when the condition is not met in time.
    pub async fn wait_for(
        &self,
        limit: Duration,
        condition: impl Fn(&Value) -> bool,
    ) -> Result<Value, Value> {
        let deadline = Instant::now() + limit;
        loop {
            let status = self.status().await.unwrap_or_default();
            if condition(&status) {
                return Ok(status);
            }
            if Instant::now() >= deadline {
                return Err(status);
            }
            sleep(POLL_PERIOD).await;
        }
    }

    /// Waits until the log of a process meets a condition. Logs lag slightly behind events.
    ///
    /// # Errors
    ///
    /// Returns the log when the condition is not met in time.
    pub async fn wait_for_log(
        &self,
        name: &str,
        limit: Duration,
        condition: impl Fn(&str) -> bool,
    ) -> Result<(), String> {
        let deadline = Instant::now() + limit;
        loop {
            let log = self.log(name);
            if condition(&log) {
                return Ok(());
            }
            if Instant::now() >= deadline {
                return Err(log);
            }
            sleep(POLL_PERIOD).await;
        }
    }

    /// Returns the counters of a stand-in, or null if it does not reply.
    pub async fn stats(&self, address: SocketAddr) -> Value {
        let response = send_request(
            &self.client,
            Method::GET,
            address,
            "/stats",
            &[],
            String::new(),
            REQUEST_TIMEOUT,
        )
        .await;
        response.map(|response| response.json()).unwrap_or_default()
    }

    /// Sends a signal to a process.
    pub fn signal(&self, name: &str, signal: Signal) {
        if let Some(process) = self.processes.get(name) {
            process.signal(signal);
        }
    }

    /// Kills a process with `SIGKILL`.
    pub fn kill(&mut self, name: &str) {
        if let Some(process) = self.processes.get_mut(name) {
            process.kill();
        }
    }

    /// Restarts a process with the same settings, and kills it first if it runs.
    ///
    /// # Errors
    ///
    /// Returns the system's error when it cannot be started.
    pub fn restart(&mut self, name: &str) -> io::Result<()> {
        match self.processes.get_mut(name) {
            Some(process) => process.restart(),
            None => Err(io::Error::other(format!("no process {name}"))),
        }
    }

    /// Empties the data folder of a process, as after the loss of its disk.
    ///
    /// # Errors
    ///
    /// Returns the system's error when the folder cannot be recreated.
    pub fn wipe_data(&self, name: &str) -> io::Result<()> {
        let data = self.folder.join(name).join("data");
        fs::remove_dir_all(&data)?;
        fs::create_dir_all(&data)
    }

    /// Returns the size of a file in the data folder of a process, in bytes.
    #[must_use]
    pub fn file_bytes(&self, name: &str, file: &str) -> u64 {
        let path = self.folder.join(name).join("data").join(file);
        fs::metadata(path).map_or(0, |metadata| metadata.len())
    }

    /// Sends `SIGTERM` to a process. Returns its exit code if it ends within `limit`.
    pub async fn terminate(&mut self, name: &str, limit: Duration) -> Option<i32> {
        self.signal(name, Signal::TERM);
        let deadline = Instant::now() + limit;
        loop {
            let code = self.processes.get_mut(name)?.exit_code();
            if code.is_some() || Instant::now() >= deadline {
                return code;
            }
            sleep(POLL_PERIOD).await;
        }
    }

    /// Returns the names of the processes.
    #[must_use]
    pub fn process_names(&self) -> Vec<String> {
        self.processes.keys().cloned().collect()
    }

    /// Returns the ids of all processes that were not killed.
    #[must_use]
    pub fn process_ids(&self) -> Vec<u32> {
        self.processes.values().filter_map(ChildProcess::id).collect()
    }

    /// Returns the id of a process, unless it was killed.
    #[must_use]
    pub fn process_id(&self, name: &str) -> Option<u32> {
        self.processes.get(name)?.id()
    }

    /// Prints the ends of all logs, to help trace a failed test.
    fn print_logs(&self) {
        for (name, process) in &self.processes {
            let log = process.log();
            let lines: Vec<_> = log.lines().collect();
            let shown = &lines[lines.len().saturating_sub(LOG_LINES)..];
            eprintln!("== log of {name}, {} lines, the last {}:", lines.len(), shown.len());
            shown.iter().for_each(|line| eprintln!("{line}"));
        }
    }

    /// Returns the log of a process.
    #[must_use]
    pub fn log(&self, name: &str) -> String {
        self.processes.get(name).map(ChildProcess::log).unwrap_or_default()
    }

    fn start_origin(&mut self, rate: Option<u64>) -> io::Result<()> {
        let folder = self.folder.join("origin").display().to_string();
        let listen = self.origin.to_string();
        let args = ["origin", "--listen", &listen, "--folder", &folder].map(str::to_owned);
        let mut args = args.to_vec();
        if let Some(rate) = rate {
            args.extend(["--rate-bytes".to_owned(), rate.to_string()]);
        }
        self.spawn("origin", "egret-standin", args)
    }

    fn start_control(
        &mut self,
        instance: &Instance,
        listen: SocketAddr,
        extra: &str,
    ) -> io::Result<()> {
        let data = self.data_folder(&instance.name)?;
        let peers: String = self
            .controls
            .iter()
            .map(|(name, address)| format!("  - {{ name: {name}, address: \"{address}\" }}\n"))
            .collect();
        let settings = format!(
            "name: {}\ndata_centre: {}\nlisten: {listen}\nadvertise: {}\ndata_folder: {}\n\
             peers:\n{peers}{extra}",
            instance.name,
            instance.data_centre,
            self.controls[&instance.name],
            data.display(),
        );
        self.spawn_with(&instance.name, "egret-control", &settings)
    }

    fn start_entry(&mut self, instance: &Instance) -> io::Result<()> {
        let (own, _) = self.network.add_instance(&instance.name, &instance.data_centre);
        let [address] = draw_addresses(own);
        self.entries.insert(instance.name.clone(), address);
        let settings = format!(
            "name: {}\ndata_centre: {}\nlisten: {address}\ncontrol: {}\n",
            instance.name,
            instance.data_centre,
            self.control_list(),
        );
        self.spawn_with(&instance.name, "egret-entry", &settings)
    }

    fn start_agent(
        &mut self,
        instance: &Instance,
        backend: SocketAddr,
        service: Option<&String>,
        extra: &str,
    ) -> io::Result<()> {
        self.backends.insert(instance.name.clone(), backend);
        let data = self.data_folder(&instance.name)?;
        let kind = match service {
            Some(service) => format!("kind: service, service: {service}"),
            None => "kind: model, fencing: true".to_owned(),
        };
        let (own, announced) = self.network.add_instance(&instance.name, &instance.data_centre);
        let [listen, peer_listen] = draw_addresses(own);
        self.agents.insert(instance.name.clone(), listen);
        let advertise = self.network.forward(announced, listen)?;
        let peer_advertise = self.network.forward(announced, peer_listen)?;
        let settings = format!(
            "name: {}\ndata_centre: {}\nlisten: {listen}\nadvertise: {advertise}\n\
             peer_listen: {peer_listen}\npeer_advertise: {peer_advertise}\ncontrol: {}\n\
             data_folder: {}\nbackend: {{ {kind}, address: \"{backend}\", limit: 8 }}\n{extra}",
            instance.name,
            instance.data_centre,
            self.control_list(),
            data.display(),
        );
        self.spawn_with(&instance.name, "egret-agent", &settings)
    }

    fn control_list(&self) -> String {
        let list: Vec<_> = self.controls.values().map(|address| format!("\"{address}\"")).collect();
        format!("[{}]", list.join(", "))
    }

    fn data_folder(&self, name: &str) -> io::Result<PathBuf> {
        let data = self.folder.join(name).join("data");
        fs::create_dir_all(&data)?;
        Ok(data)
    }

    fn spawn_with(&mut self, name: &str, program: &str, settings: &str) -> io::Result<()> {
        let folder = self.folder.join(name);
        fs::create_dir_all(&folder)?;
        let path = folder.join("settings.yaml");
        fs::write(&path, settings)?;
        let args = vec!["--config".to_owned(), path.display().to_string()];
        self.spawn(name, program, args)
    }

    fn spawn(&mut self, name: &str, program: &str, args: Vec<String>) -> io::Result<()> {
        let folder = self.folder.join(name);
        fs::create_dir_all(&folder)?;
        let process =
            ChildProcess::start(self.binary_folder.join(program), args, folder.join("log"))?;
        self.processes.insert(name.to_owned(), process);
        Ok(())
    }
}

/// Reserves an address for a process that opens no connections to others.
///
/// It has an IP address to itself, so no outgoing connection of another process
/// can take the port before it listens.
fn dedicated_address(network: &Network, name: &str, data_centre: &str) -> SocketAddr {
    let (own, _) = network.add_instance(name, data_centre);
    let [address] = draw_addresses(own);
    address
}

/// Draws ports of an instance's own address at random, no two of them equal.
///
/// The ports are not bound to see whether they are free: a program that another thread starts
/// meanwhile inherits the socket, and the port stays in use until that program runs.
fn draw_addresses<const N: usize>(address: IpAddr) -> [SocketAddr; N] {
    let mut ports = rand::random_range(FIRST_PORTS)..;
    [(); N].map(|()| SocketAddr::new(address, ports.next().expect("few ports are drawn")))
}

/// Returns the folder with the programs: that of the current one, or its parent.
fn binary_folder() -> io::Result<PathBuf> {
    let own = std::env::current_exe()?;
    let beside = own.parent().unwrap_or(Path::new("."));
    let folders = [Some(beside), beside.parent()];
    let found = folders.into_iter().flatten().find(|folder| folder.join("egret-control").exists());
    found.map(Path::to_owned).ok_or_else(|| {
        io::Error::other("the programs are not built; run `cargo build --workspace` first")
    })
}
