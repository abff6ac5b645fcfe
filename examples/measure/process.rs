//! Starts processes of the built binary and reads their processor time and memory from `/proc`.

use {
    eyre::{OptionExt, Result, bail},
    std::{
        fs,
        io::{BufRead, BufReader},
        path::{Path, PathBuf},
        process::{Child, Command, Stdio},
        time::Duration,
    },
};

/// Unit of processor time in `/proc/PID/stat`: the kernel reports hundredths of a second.
const TICKS_PER_S: u64 = 100;
const BYTES_PER_KIB: u64 = 1024;

/// A child process that is killed when its handle is dropped.
pub struct Process {
    child: Child,
}

impl Process {
    /// Starts a stand-in and returns it with the address that it prints on its first line.
    pub fn stand_in(arguments: &[&str]) -> Result<(Self, String)> {
        let mut child = Command::new(binary()?)
            .arg("fake")
            .args(arguments)
            .stdout(Stdio::piped())
            .spawn()?;
        let output = child
            .stdout
            .take()
            .ok_or_eyre("the standard output of the stand-in is not piped")?;
        let process = Self { child };
        let mut line = String::new();
        BufReader::new(output).read_line(&mut line)?;
        let Some(address) = line.trim().strip_prefix("listening on ") else {
            bail!("the stand-in printed no address: {line}");
        };
        Ok((process, address.to_owned()))
    }

    /// Starts a node with the settings file at `settings`.
    pub fn node(settings: &Path) -> Result<Self> {
        let child = Command::new(binary()?)
            .arg("node")
            .arg("--settings")
            .arg(settings)
            .spawn()?;
        Ok(Self { child })
    }

    /// Returns the user and system time that the process has used so far.
    pub fn cpu_time(&self) -> Result<Duration> {
        let text = fs::read_to_string(format!("/proc/{}/stat", self.child.id()))?;
        // The name of the program may hold spaces; it ends at the last parenthesis.
        let (_, fields) = text
            .rsplit_once(')')
            .ok_or_eyre("the process status has no program name")?;
        let fields: Vec<_> = fields.split_whitespace().collect();
        let user: u64 = fields
            .get(11)
            .ok_or_eyre("the process status has no user time")?
            .parse()?;
        let system: u64 = fields
            .get(12)
            .ok_or_eyre("the process status has no system time")?
            .parse()?;
        Ok(Duration::from_millis((user + system) * 1000 / TICKS_PER_S))
    }

    /// Returns the resident memory of the process in bytes.
    pub fn resident_bytes(&self) -> Result<u64> {
        let text = fs::read_to_string(format!("/proc/{}/status", self.child.id()))?;
        let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let value = line.and_then(|line| line.split_whitespace().next());
        let kib: u64 = value
            .ok_or_eyre("the process status has no resident memory")?
            .parse()?;
        Ok(kib * BYTES_PER_KIB)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Errors mean that the process has already ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns the path of the built binary, in the parent directory of the examples.
fn binary() -> Result<PathBuf> {
    let executable = std::env::current_exe()?;
    let directory = executable.parent().and_then(Path::parent);
    let path = directory
        .ok_or_eyre("the example has no parent directory")?
        .join("dragonflystep");
    if !path.exists() {
        bail!("build the binary first: cargo build --release");
    }
    Ok(path)
}
