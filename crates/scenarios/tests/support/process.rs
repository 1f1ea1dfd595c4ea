//! Child processes that are killed when their test ends.

use std::cell::RefCell;
use std::fs::File;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

/// A child process that is killed on drop.
pub struct TestProcess {
    child: RefCell<Child>,
    /// File that receives the process's standard error.
    errors: PathBuf,
}

/// Signals that tests send to processes.
#[derive(Debug, Clone, Copy)]
pub enum Signal {
    Terminate,
    Kill,
    Freeze,
    Resume,
}

impl Signal {
    fn flag(self) -> &'static str {
        match self {
            Self::Terminate => "-TERM",
            Self::Kill => "-KILL",
            Self::Freeze => "-STOP",
            Self::Resume => "-CONT",
        }
    }
}

impl TestProcess {
    pub fn new(program: &str, args: &[&str]) -> Self {
        let errors = errors_file(program);
        let file = File::create(&errors).expect("the folder is writable");
        let child = Command::new(binary(program))
            .args(args)
            .stdout(Stdio::piped())
            .stderr(file)
            .spawn()
            .unwrap_or_else(|error| panic!("cannot start {program}: {error}"));
        Self {
            child: RefCell::new(child),
            errors,
        }
    }

    /// Starts a stand-in and reads the address that it prints on its first line of output.
    pub fn with_address(program: &str, args: &[&str]) -> (Self, SocketAddr) {
        let mut process = Self::new(program, args);
        let stdout = process.child.get_mut().stdout.take();
        let stdout = stdout.expect("stdout is piped");
        let mut line = String::new();
        BufReader::new(stdout)
            .read_line(&mut line)
            .expect("the stand-in prints its address");
        let address = line
            .trim()
            .rsplit(' ')
            .next()
            .expect("the line has at least one word");
        let address = address.parse().expect("the last word is the address");
        (process, address)
    }

    pub fn id(&self) -> u32 {
        self.child.borrow().id()
    }

    /// Panics with the process's standard error if the process has ended.
    pub fn assert_running(&self) {
        let status = self.child.borrow_mut().try_wait();
        let status = status.expect("the status of a child process can be read");
        let Some(status) = status else {
            return;
        };
        let errors = std::fs::read_to_string(&self.errors).unwrap_or_default();
        panic!("the process ended with {status}: {errors}");
    }

    pub fn signal(&self, signal: Signal) {
        let status = Command::new("kill")
            .args([signal.flag(), &self.id().to_string()])
            .status()
            .expect("kill can be run");
        assert!(status.success(), "the process has ended already");
    }

    /// Waits until the process has ended; panics after `limit`.
    pub fn wait(&mut self, limit: Duration) -> ExitStatus {
        let end = Instant::now() + limit;
        loop {
            if let Some(status) = self
                .child
                .get_mut()
                .try_wait()
                .expect("the status of a child process can be read")
            {
                return status;
            }
            assert!(
                Instant::now() < end,
                "the process did not end within {limit:?}"
            );
            std::thread::sleep(Duration::from_millis(10));
        }
    }
}

impl Drop for TestProcess {
    fn drop(&mut self) {
        // Both calls fail if the process has ended already.
        let child = self.child.get_mut();
        let _ = child.kill();
        let _ = child.wait();
        let _ = std::fs::remove_file(&self.errors);
    }
}

fn errors_file(program: &str) -> PathBuf {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    folder.join(format!("{program}-{}.log", uuid::Uuid::now_v7().simple()))
}

/// Path of a workspace binary, in the parent of the folder with the test binaries.
fn binary(program: &str) -> PathBuf {
    let test = std::env::current_exe().expect("the test binary has a path");
    let folder = test.parent().and_then(std::path::Path::parent);
    let path = folder
        .expect("the test binary is in a subfolder of the target profile folder")
        .join(program);
    assert!(
        path.exists(),
        "{program} is not built; run `cargo build --workspace --bins`"
    );
    path
}
