//! Processes that end with their test.

use std::cell::RefCell;
use std::fs::File;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

/// A process that is killed when it is dropped.
pub struct TestProcess {
    child: RefCell<Child>,
    /// What the process writes to its standard error.
    errors: PathBuf,
}

/// The signals that tests send.
#[derive(Debug, Clone, Copy)]
pub enum Signal {
    Terminate,
    Kill,
    Freeze,
    Wake,
}

impl Signal {
    fn flag(self) -> &'static str {
        match self {
            Self::Terminate => "-TERM",
            Self::Kill => "-KILL",
            Self::Freeze => "-STOP",
            Self::Wake => "-CONT",
        }
    }
}

impl TestProcess {
    pub fn new(program: &str, args: &[&str]) -> Self {
        let errors = errors_file(program);
        let file = File::create(&errors).expect("the folder can be written");
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

    /// Starts a stand-in and reads its address from what it prints.
    pub fn with_address(program: &str, args: &[&str]) -> (Self, SocketAddr) {
        let mut process = Self::new(program, args);
        let stdout = process.child.get_mut().stdout.take();
        let stdout = stdout.expect("stdout is piped");
        let mut line = String::new();
        BufReader::new(stdout)
            .read_line(&mut line)
            .expect("the stand-in prints its address");
        let address = line.trim().rsplit(' ').next().expect("a line has words");
        let address = address.parse().expect("the last word is the address");
        (process, address)
    }

    pub fn id(&self) -> u32 {
        self.child.borrow().id()
    }

    /// Fails the test with what the process said if it has ended.
    pub fn assert_running(&self) {
        let status = self.child.borrow_mut().try_wait();
        let status = status.expect("the child can be waited for");
        let Some(status) = status else {
            return;
        };
        let errors = std::fs::read_to_string(&self.errors).unwrap_or_default();
        panic!("the process ended, {status}: {errors}");
    }

    pub fn signal(&self, signal: Signal) {
        let status = Command::new("kill")
            .args([signal.flag(), &self.id().to_string()])
            .status()
            .expect("kill can be run");
        assert!(status.success(), "the process has ended already");
    }

    /// Waits for the process to end by itself.
    pub fn wait(&mut self, limit: Duration) -> ExitStatus {
        let end = Instant::now() + limit;
        loop {
            if let Some(status) = self
                .child
                .get_mut()
                .try_wait()
                .expect("the child can be waited for")
            {
                return status;
            }
            assert!(Instant::now() < end, "the process did not end in {limit:?}");
            std::thread::sleep(Duration::from_millis(10));
        }
    }
}

impl Drop for TestProcess {
    fn drop(&mut self) {
        // A process that has ended already needs no killing.
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

/// A program of the workspace, beside this test's own.
fn binary(program: &str) -> PathBuf {
    let test = std::env::current_exe().expect("the test has a path");
    let folder = test.parent().and_then(std::path::Path::parent);
    let path = folder.expect("tests run two folders down").join(program);
    assert!(
        path.exists(),
        "{program} is not built; run `cargo build --workspace --bins`"
    );
    path
}
