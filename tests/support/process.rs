//! A child process that is killed when its handle is dropped.

use {
    super::wait_for,
    rustix::process::{Pid, Signal, WaitId, WaitIdOptions, kill_process, waitid},
    std::{
        fs::File,
        io::{BufRead, BufReader, ErrorKind},
        net::{Ipv4Addr, SocketAddr, TcpListener},
        path::{Path, PathBuf},
        process::{Child, Command, ExitStatus, Stdio},
        sync::atomic::{AtomicU16, Ordering},
        time::Duration,
    },
};

/// A running `dragonflystep` process.
#[derive(Debug)]
pub struct Process {
    child: Child,
    log: PathBuf,
}

impl Process {
    /// Starts the binary and appends its standard error to `log`.
    pub fn start(arguments: &[&str], log: &Path) -> Self {
        let errors = File::options().create(true).append(true).open(log);
        let child = Command::new(binary())
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(errors.expect("the log file can be opened in the test directory"))
            .spawn();
        Self {
            child: child.expect("the built binary starts"),
            log: log.to_owned(),
        }
    }

    /// Reads the two addresses that a stand-in prints when it starts.
    ///
    /// The first address serves requests; the second one takes faults and serves records.
    pub fn read_addresses(&mut self) -> [SocketAddr; 2] {
        let stdout = self.child.stdout.take();
        let mut lines = BufReader::new(stdout.expect("the addresses are read only once"));
        ["listening on ", "control on "].map(|prefix| {
            let mut line = String::new();
            lines
                .read_line(&mut line)
                .expect("a stand-in prints its addresses");
            let address = line.trim().strip_prefix(prefix);
            let address = address.and_then(|address| address.parse().ok());
            address.unwrap_or_else(|| panic!("no address in {line:?}; stderr: {}", self.stderr()))
        })
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        let pid = Pid::from_child(&self.child);
        kill_process(pid, signal).expect("a child process that was not reaped can be signalled");
    }

    /// Kills the process without a shutdown, as in a crash, and reaps it.
    pub fn kill(&mut self) {
        // An error means that the process has already ended.
        let _ = self.child.kill();
        self.child
            .wait()
            .expect("a killed child process can be reaped");
    }

    /// Waits until the process exits by itself.
    ///
    /// # Panics
    ///
    /// Panics if the process is still running after `limit`.
    pub async fn wait_for_exit(&mut self, limit: Duration) -> ExitStatus {
        let child = &mut self.child;
        let check = || {
            let status = child
                .try_wait()
                .expect("the state of a child process can be read");
            async move { status }
        };
        wait_for("the process exits", limit, check).await.0
    }

    /// Panics with the log if the process has exited.
    pub fn assert_running(&self) {
        let options = WaitIdOptions::EXITED | WaitIdOptions::NOHANG | WaitIdOptions::NOWAIT;
        let status = waitid(WaitId::Pid(Pid::from_child(&self.child)), options);
        let is_running = matches!(status, Ok(None));
        assert!(is_running, "{status:?}; stderr: {}", self.stderr());
    }

    /// Returns everything written to the log, including the output of earlier processes with the same log.
    pub fn stderr(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns an address with a free port on this process's loopback IP, never the same one twice.
///
/// The ports lie below those that the kernel assigns by itself: it may assign a port again as soon as its listener is
/// closed, and so give one address to two listeners of a site.
pub fn loopback_address() -> SocketAddr {
    static NEXT_PORT: AtomicU16 = AtomicU16::new(10_000);
    loop {
        let port = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
        let address = SocketAddr::from((process_ip(), port));
        match TcpListener::bind(address) {
            Ok(_) => return address,
            Err(error) if error.kind() == ErrorKind::AddrInUse => {}
            Err(error) => panic!("{address} can't be used: {error}"),
        }
    }
}

/// Returns a loopback IP derived from the process id. It is never 127.0.0.1, the source of outgoing connections.
fn process_ip() -> Ipv4Addr {
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 1 + high % 250, middle, low.clamp(1, 254))
}

/// Returns the path of the binary under test. Cargo tells it to tests only; examples look in the parent of the
/// directory that holds their own executable.
fn binary() -> PathBuf {
    if let Some(path) = option_env!("CARGO_BIN_EXE_dragonflystep") {
        return path.into();
    }
    let executable = std::env::current_exe().expect("the path of the running executable is known");
    let directory = executable.parent().and_then(Path::parent);
    directory
        .expect("examples are built in target/<profile>/examples")
        .join("dragonflystep")
}
