//! Instances of the system as separate processes, started with the command of the deploy file.

use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use crate::http::Conn;
use crate::record::Record;
use crate::store::{Gate, Store};

/// Program that the deploy file starts, from the root of the repository.
const PROGRAM: &str = "target/release/coltsfootpick-edge";

/// Processes that were started, for the watchdog.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all processes and this program if it has not ended by itself after `limit`.
pub fn watch(limit: Duration) {
    std::thread::spawn(move || {
        std::thread::sleep(limit);
        for id in STARTED.lock().unwrap().iter() {
            let _ = Command::new("kill").args(["-KILL", &id.to_string()]).status();
        }
        eprintln!("the case did not end in time");
        std::process::exit(2);
    });
}

/// Zones of a small deployment, each a region of its own.
pub const ZONES: [&str; 3] = ["tunis-a", "sfax-a", "sousse-a"];

pub struct Edge {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    /// Way of this instance to the store.
    pub gate: Gate,
    settings: PathBuf,
    child: Child,
    record: Record,
}

/// Fleet of a small deployment; dropping it ends all its processes.
pub struct Fleet {
    pub edges: Vec<Edge>,
    folder: PathBuf,
}

fn free_port() -> u16 {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
    listener.local_addr().expect("a bound socket has an address").port()
}

/// First of two consecutive free ports, below the range from which the system takes ports of clients.
fn free_pair(at: usize) -> u16 {
    let start = 20_000 + (std::process::id() % 500) as u16 * 20 + at as u16 * 2;
    let is_free = |port: u16| TcpListener::bind(("127.0.0.1", port)).is_ok();
    (start..start + 2_000).step_by(12).find(|port| is_free(*port) && is_free(port + 1)).expect("two ports are free")
}

impl Edge {
    fn spawn(settings: &Path) -> Child {
        let log = settings.with_extension("log");
        let log = std::fs::OpenOptions::new().create(true).append(true).open(log).expect("the log can be written");
        let errors = log.try_clone().expect("a file can be cloned");
        let mut command = Command::new(PROGRAM);
        command.env("COLTSFOOTPICK_NODE_FILE", settings).stdin(Stdio::null()).stdout(log).stderr(errors);
        let child = command.spawn().expect("the program of the deploy file starts");
        STARTED.lock().unwrap().push(child.id());
        child
    }

    pub fn kill(&mut self) {
        self.record.note(&format!("edge={} killed", self.name));
        let _ = self.child.kill();
        self.wait();
    }

    /// Waits for the end of the process.
    pub fn wait(&mut self) {
        let _ = self.child.wait();
        STARTED.lock().unwrap().retain(|id| *id != self.child.id());
    }

    /// Starts the process again, as the platform does after it has ended.
    pub fn restart(&mut self) {
        self.wait();
        self.child = Self::spawn(&self.settings);
        self.record.note(&format!("edge={} started", self.name));
    }

    /// How the process has ended by itself, if it has.
    pub fn ended(&mut self) -> Option<String> {
        self.child.try_wait().ok().flatten().map(|status| status.to_string())
    }

    pub fn is_ready(&self) -> bool {
        let Some(mut conn) = Conn::connect(self.ready) else { return false };
        let _ = conn.stream.set_read_timeout(Some(Duration::from_secs(1)));
        conn.write(b"GET /api/readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
            && conn.read_response().is_some_and(|response| response.status() == 200)
    }

    /// Last lines of the process's log that hold `word`.
    pub fn log_lines(&self, word: &str) -> Vec<String> {
        let text = std::fs::read_to_string(self.settings.with_extension("log")).unwrap_or_default();
        text.lines().filter(|line| line.contains(word)).map(str::to_owned).collect()
    }
}

impl Fleet {
    pub fn start(size: usize, store: &Store, record: &Record) -> Self {
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a temporary folder can be made");
        let zones = ZONES.map(|zone| format!("{zone}:{}", zone.trim_end_matches("-a"))).join(",");
        let edges = (0..size).map(|at| {
            let (zone, gate) = (ZONES[at % ZONES.len()], Gate::default());
            let name = format!("edge-{zone}-{}", at / ZONES.len() + 1);
            let [front, ready, metrics] = [(); 3].map(|()| SocketAddr::from(([127, 0, 0, 1], free_port())));
            let (peers, address) = (free_pair(at), store.listen(&gate));
            let text = format!(
                "[instance]\nname = {name}\nzone = {zone}\nzones = {zones}\ngrace-s = 8\nlink-mbps = 1000\n\
                 cpu-share = 0.25\n\n[listen]\ncallers = {front}\nready = {ready}\npeers = 127.0.0.1:{peers}\n\
                 metrics = {metrics}\n\n[store]\naddress = {address}\n\n[repeats]\nratio = 0.2\nslack = 52\n"
            );
            let settings = folder.join(format!("{name}.ini"));
            std::fs::write(&settings, text).expect("the settings can be written");
            let child = Edge::spawn(&settings);
            Edge { name, front, ready, gate, settings, child, record: record.clone() }
        });
        Self { edges: edges.collect(), folder }
    }

    /// Waits until every instance says that it is ready.
    pub fn wait_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(15);
        while !self.edges.iter().all(Edge::is_ready) {
            if Instant::now() > until {
                return false;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        true
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for edge in &mut self.edges {
            let _ = edge.child.kill();
            edge.wait();
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}
