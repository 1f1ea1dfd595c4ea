//! Instances of the program of the deploy file, as processes.

use std::fs::{self, File};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::call;

/// The program of `deploy/system.toml`, from the root of the repository.
const PROGRAM: &str = "target/release/jackdawpoint-relay";

/// Variable that holds the path of the settings file.
const SETTINGS_VARIABLE: &str = "JACKDAWPOINT_BOOT";

pub struct Relay {
    child: Child,
    pub name: String,
    pub callers: SocketAddr,
    probes: SocketAddr,
    log: PathBuf,
}

/// What the settings of an instance have beside its addresses.
pub struct RelayPlan<'a> {
    pub name: &'a str,
    pub zone: &'a str,
    pub store: SocketAddr,
    pub core_share: f64,
    pub bounds: &'a str,
}

/// The bounds of the site `pappalieve-prod`, as `deploy/settings.json` passes them on.
pub const PAPPALIEVE_BOUNDS: &str = r#""notice_ms": 3000, "free_memory_ms": 4000,
    "longest_hold_ms": 20000, "retry_ratio": 0.2, "retry_slack": 100, "grace_s": 8"#;

/// The bounds of the site `silverleaf-pnw-grown`.
pub const SILVERLEAF_BOUNDS: &str = r#""notice_ms": 4000, "free_memory_ms": 4000,
    "longest_hold_ms": 20000, "retry_ratio": 0.2, "retry_slack": 232, "evac_ms": 5000,
    "cold_over": 1.5, "cold_slack": 5, "grace_s": 8"#;

/// Free ports of an address, from one below the range of those that outgoing connections use.
fn free_ports(address: Ipv4Addr, count: usize) -> Vec<u16> {
    let ports = (7_340..32_000).filter(|port| TcpListener::bind((address, *port)).is_ok());
    ports.take(count).collect()
}

impl Relay {
    /// Starts an instance with the settings that `deploy/settings.json` gives one of a small deployment.
    pub fn start(plan: &RelayPlan<'_>, number: u8) -> Self {
        let [_, _, high, low] = std::process::id().to_be_bytes();
        let address = Ipv4Addr::new(127, 64 | (high & 0x3f), low, number);
        let ports = free_ports(address, 4);
        let RelayPlan {
            name,
            zone,
            store,
            core_share,
            bounds,
        } = plan;
        let settings = format!(
            r#"{{
  "instance": "{name}", "failure_domain": "{zone}", "address": "{address}",
  "listen": {{ "callers": "{address}:{}", "probes": "{address}:{}" }},
  "peer_port": {}, "tunnel_port": {},
  "machine": {{ "core_share": {core_share}, "core_speed": 1, "link_mbps": 1000.0 }},
  "store": {{ "shortest_lease_ms": 1000, "address": "{store}" }},
  "bounds": {{ {bounds} }}
}}"#,
            ports[0], ports[1], ports[2], ports[3]
        );
        let tag = format!("review-3-{}-{name}", std::process::id());
        let file = std::env::temp_dir().join(format!("{tag}.json"));
        fs::write(&file, settings).expect("the temporary directory is writable");
        let log = std::env::temp_dir().join(format!("{tag}.log"));
        let output = File::create(&log).expect("the temporary directory is writable");
        let child = Command::new(PROGRAM)
            .env(SETTINGS_VARIABLE, &file)
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(Stdio::null())
            .spawn()
            .expect("the program of the deploy file is built");
        let address = IpAddr::from(address);
        Self {
            child,
            name: (*name).to_owned(),
            callers: SocketAddr::new(address, ports[0]),
            probes: SocketAddr::new(address, ports[1]),
            log,
        }
    }

    pub fn is_ready(&self) -> bool {
        let probe = b"GET /readyz HTTP/1.1\r\nHost: probe\r\nConnection: close\r\n\r\n";
        call(self.probes, probe, Duration::from_secs(1)).status == 200
    }

    pub fn wait_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(10);
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Lines of the log that contain a text.
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let log = fs::read_to_string(&self.log).unwrap_or_default();
        log.lines()
            .filter(|line| line.contains(text))
            .map(str::to_owned)
            .collect()
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_file(&self.log);
            let _ = fs::remove_file(self.log.with_extension("json"));
        }
    }
}
