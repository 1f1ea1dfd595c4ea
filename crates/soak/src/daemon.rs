//! The daemons under test, as processes of their own.

use std::fs::{self, File};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};

use adapter_standin::settings_json;

static NEXT_HOST: AtomicU8 = AtomicU8::new(1);

/// A loopback address that no other process of a soak uses.
#[must_use]
pub fn loopback_host() -> Ipv4Addr {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let host = NEXT_HOST.fetch_add(1, Ordering::Relaxed);
    Ipv4Addr::new(127, 128 | (high & 0x3f), low, host)
}

/// Signals that a soak sends.
#[derives::tag]
pub enum DaemonSignal {
    /// Stop in order.
    Terminate,
    /// End at once.
    Kill,
    /// Stand still.
    Pause,
    /// Go on.
    Resume,
    /// Read the settings again.
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

/// One daemon, over all its lives. Its process is killed when it is dropped.
#[derive(Debug)]
pub struct SoakDaemon {
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    host: Ipv4Addr,
    child: Option<Child>,
}

impl SoakDaemon {
    /// Prepares a daemon whose files lie in `folder`.
    ///
    /// # Errors
    ///
    /// When its settings cannot be written.
    pub fn new(
        program: &Path,
        folder: &Path,
        name: &str,
        domain: &str,
        store: SocketAddr,
    ) -> io::Result<Self> {
        let host = loopback_host();
        let settings = folder.join(format!("{name}.json"));
        fs::write(
            &settings,
            settings_json(name, domain, &host.to_string(), store),
        )?;
        Ok(Self {
            program: program.to_owned(),
            settings,
            log: folder.join(format!("{name}.log")),
            host,
            child: None,
        })
    }

    /// Where callers reach it.
    #[must_use]
    pub fn callers(&self) -> SocketAddr {
        SocketAddr::new(self.host.into(), 8080)
    }

    /// Starts it unless it runs.
    ///
    /// # Errors
    ///
    /// When the program cannot be started.
    pub fn start(&mut self) -> io::Result<()> {
        if self.is_running() {
            return Ok(());
        }
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new(&self.program)
            .arg("--settings")
            .arg(&self.settings)
            .stdout(log)
            .stderr(Stdio::null())
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Whether its process runs.
    pub fn is_running(&mut self) -> bool {
        match &mut self.child {
            Some(child) => matches!(child.try_wait(), Ok(None)),
            None => false,
        }
    }

    /// Its running process, which a restart replaces.
    pub fn process(&mut self) -> Option<u32> {
        if !self.is_running() {
            return None;
        }
        self.child.as_ref().map(Child::id)
    }

    /// Sends its process a signal; one that has ended gets none.
    pub fn signal(&mut self, signal: DaemonSignal) {
        if !self.is_running() {
            return;
        }
        if let Some(child) = &self.child {
            let sent = Command::new("kill")
                .args([signal.flag(), &child.id().to_string()])
                .status();
            if let Err(error) = sent {
                eprintln!("cannot signal {}: {error}", child.id());
            }
        }
    }
}

impl Drop for SoakDaemon {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            // It may have ended already.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
