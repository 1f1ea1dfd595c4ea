//! One process of the deploy file's program, with settings as the template fills them in.

use std::fs::File;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

/// Ports of callers and of readiness probes, as in the pages' example.
const CALLER_PORT: u16 = 8227;
const PROBE_PORT: u16 = 8220;

pub struct Relay {
    pub host: Ipv4Addr,
    child: Child,
}

impl Relay {
    /// Starts the program at `program`; its settings and its log go to `directory`.
    pub fn start(
        program: &Path,
        directory: &Path,
        name: &str,
        zone: &str,
        store: SocketAddr,
    ) -> Self {
        // Addresses of their own, so that no other process on the machine has the ports.
        let [_, _, high, low] = std::process::id().to_be_bytes();
        let number = name.bytes().last().map_or(1, |byte| byte - b'0');
        let host = Ipv4Addr::new(127, 128 | (high & 0x3f), low, number);
        let settings = format!(
            r#"{{"instance":"{name}","failure_domain":"{zone}","address":"{host}",
"listen":{{"callers":"{host}:{CALLER_PORT}","probes":"{host}:{PROBE_PORT}"}},
"peer_port":7340,"tunnel_port":7355,
"machine":{{"core_share":0.25,"core_speed":1,"link_mbps":1000.0}},
"store":{{"shortest_lease_ms":1000,"address":"{store}"}},
"bounds":{{"notice_ms":3000,"free_memory_ms":4000,"longest_hold_ms":20000,
"retry_ratio":0.2,"retry_slack":106,"grace_s":8}}}}"#
        );
        let file = directory.join(format!("{name}.json"));
        std::fs::write(&file, settings).expect("the temporary folder is writable");
        let log = File::create(directory.join(format!("{name}.log"))).expect("a log file");
        let child = Command::new(program)
            .env("JACKDAWPOINT_BOOT", &file)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null())
            .spawn()
            .expect("the program of the deploy file is built");
        Self { host, child }
    }

    pub fn callers(&self) -> SocketAddr {
        SocketAddr::from((self.host, CALLER_PORT))
    }

    /// Waits until the readiness probe succeeds.
    pub fn wait_ready(&self, time: Duration) -> bool {
        let until = Instant::now() + time;
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    pub fn is_ready(&self) -> bool {
        let probe = || -> std::io::Result<bool> {
            let mut stream = TcpStream::connect(SocketAddr::from((self.host, PROBE_PORT)))?;
            stream.set_read_timeout(Some(Duration::from_secs(1)))?;
            stream.write_all(b"GET /readyz HTTP/1.1\r\nHost: probe\r\nConnection: close\r\n\r\n")?;
            let mut head = [0; 12];
            stream.read_exact(&mut head)?;
            Ok(head.ends_with(b"200"))
        };
        probe().unwrap_or(false)
    }

    /// Sends a signal to the process.
    pub fn signal(&self, flag: &str) {
        let status = Command::new("kill")
            .args([flag, &self.child.id().to_string()])
            .status();
        assert!(status.is_ok_and(|status| status.success()), "kill works");
    }

    pub fn exits_within(&mut self, time: Duration) -> bool {
        let until = Instant::now() + time;
        while Instant::now() < until {
            if matches!(self.child.try_wait(), Ok(Some(_))) {
                return true;
            }
            thread::sleep(Duration::from_millis(20));
        }
        false
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
