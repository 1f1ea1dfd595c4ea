//! Daemons under test, each of which runs as a separate process.

use std::fs::{self, File};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};

use adapter_standin::settings_json;

/// Ports of a daemon, as its settings file states them.
const CALLER_PORT: u16 = 8080;
const PEER_PORT: u16 = 7340;
const TUNNEL_PORT: u16 = 7341;

static NEXT_HOST: AtomicU8 = AtomicU8::new(1);

/// Returns a loopback address that no other daemon of this or a concurrent soak uses.
#[must_use]
pub fn unused_loopback_host() -> Ipv4Addr {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let host = NEXT_HOST.fetch_add(1, Ordering::Relaxed);
    Ipv4Addr::new(127, 128 | (high & 0x3f), low, host)
}

/// Signals that a soak sends to daemons.
#[derives::tag]
pub enum DaemonSignal {
    /// Stops the daemon gracefully.
    Terminate,
    /// Kills the process.
    Kill,
    /// Suspends the process.
    Pause,
    /// Resumes a suspended process.
    Resume,
    /// Reloads the settings.
    Reload,
}

impl DaemonSignal {
    fn flag(self) -> &'static str {
        match self {
            Self::Terminate => "-TERM",
            Self::Kill => "-KILL",
            Self::Pause => "-STOP",
            Self::Resume => "-CONT",
            Self::Reload => "-HUP",
        }
    }
}

/// A daemon, which keeps its address and files across restarts of its process. Dropping it kills
/// the process.
#[derive(Debug)]
pub struct SoakDaemon {
    /// Programs of which each start takes the next one.
    programs: Vec<PathBuf>,
    starts: usize,
    settings: PathBuf,
    log: PathBuf,
    host: Ipv4Addr,
    child: Option<Child>,
}

impl SoakDaemon {
    /// Prepares a daemon that keeps its settings and log in `folder`, without starting it. Its starts
    /// take the `programs` in turn, from the one with index `first`.
    ///
    /// # Errors
    ///
    /// When the settings file cannot be written.
    pub fn new(
        programs: &[PathBuf],
        first: usize,
        folder: &Path,
        name: &str,
        domain: &str,
        store: SocketAddr,
    ) -> io::Result<Self> {
        let host = unused_loopback_host();
        let settings = folder.join(format!("{name}.json"));
        fs::write(
            &settings,
            settings_json(name, domain, &host.to_string(), store),
        )?;
        Ok(Self {
            programs: programs.to_vec(),
            starts: first,
            settings,
            log: folder.join(format!("{name}.log")),
            host,
            child: None,
        })
    }

    /// Returns the address that serves callers.
    #[must_use]
    pub fn callers(&self) -> SocketAddr {
        SocketAddr::new(self.host.into(), CALLER_PORT)
    }

    /// Returns the addresses that serve other instances: for sessions, and for tunnels.
    #[must_use]
    pub fn peers(&self) -> [SocketAddr; 2] {
        [PEER_PORT, TUNNEL_PORT].map(|port| SocketAddr::new(self.host.into(), port))
    }

    /// Sets a bound in the settings file. It takes effect at the next start.
    ///
    /// # Errors
    ///
    /// When the file cannot be read or written.
    pub fn set_bound(&self, name: &str, value: u128) -> io::Result<()> {
        let text = fs::read_to_string(&self.settings)?;
        let mut settings: serde_json::Value = serde_json::from_str(&text)?;
        settings["bounds"][name] = serde_json::json!(u64::try_from(value).unwrap_or(u64::MAX));
        // A daemon may read the file at any moment.
        let written = self.settings.with_extension("new");
        fs::write(&written, settings.to_string())?;
        fs::rename(written, &self.settings)
    }

    /// Starts the daemon's process unless one is running.
    ///
    /// # Errors
    ///
    /// When the program cannot be started.
    pub fn start(&mut self) -> io::Result<()> {
        if self.is_running() {
            return Ok(());
        }
        let log = File::options().create(true).append(true).open(&self.log)?;
        let program = &self.programs[self.starts % self.programs.len()];
        self.starts += 1;
        let child = Command::new(program)
            .arg("--settings")
            .arg(&self.settings)
            .stdout(log)
            .stderr(Stdio::null())
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Whether the last start took the first program.
    #[must_use]
    pub fn runs_first_program(&self) -> bool {
        self.starts % self.programs.len() == 1 % self.programs.len()
    }

    /// Makes the next start take the first program.
    pub fn skip_to_first_program(&mut self) {
        self.starts = 0;
    }

    /// Returns whether the daemon's process is running.
    pub fn is_running(&mut self) -> bool {
        match &mut self.child {
            Some(child) => matches!(child.try_wait(), Ok(None)),
            None => false,
        }
    }

    /// Returns the id of the running process. A restart gives the daemon a new one.
    pub fn process(&mut self) -> Option<u32> {
        if !self.is_running() {
            return None;
        }
        self.child.as_ref().map(Child::id)
    }

    /// Returns the largest memory that the running process has had, in kilobytes.
    pub fn peak_memory_kb(&mut self) -> Option<u64> {
        let process = self.process()?;
        let status = fs::read_to_string(format!("/proc/{process}/status")).ok()?;
        let peak = status
            .lines()
            .find_map(|line| line.strip_prefix("VmHWM:"))?;
        peak.split_whitespace().next()?.parse().ok()
    }

    /// Sends a signal to the daemon's process, if it is running.
    pub fn signal(&mut self, signal: DaemonSignal) {
        if !self.is_running() {
            return;
        }
        if let Some(child) = &self.child {
            let sent = Command::new("kill")
                .args([signal.flag(), &child.id().to_string()])
                .status();
            if let Err(error) = sent {
                eprintln!("cannot send a signal to process {}: {error}", child.id());
            }
        }
    }
}

impl Drop for SoakDaemon {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            // The process may have ended already.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
