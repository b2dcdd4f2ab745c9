//! Child processes of a measurement and their resource usage.

use std::fs::{self, File};
use std::io::{self, BufRead, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::process::{Child, ChildStdout, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};

/// Unit of processor time in `/proc`, in clock ticks per second (`USER_HZ`).
const TICKS_PER_SECOND: f64 = 100.0;
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A child process that is killed on drop.
#[derive(Debug)]
pub struct ManagedProcess {
    child: Child,
    output: Option<BufReader<ChildStdout>>,
}

impl ManagedProcess {
    /// Starts a process whose standard error goes to a file.
    pub fn start(command: &mut Command, error_log: &Path) -> io::Result<Self> {
        let error_log = File::create(error_log)?;
        let mut child =
            command.stdin(Stdio::null()).stdout(Stdio::piped()).stderr(error_log).spawn()?;
        let output = child.stdout.take().map(BufReader::new);
        Ok(Self { child, output })
    }

    /// Reads the next line of standard output; fails with `UnexpectedEof` if there is none.
    pub fn read_line(&mut self) -> io::Result<String> {
        let mut line = String::new();
        if let Some(output) = &mut self.output {
            output.read_line(&mut line)?;
        }
        if line.is_empty() {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        Ok(line.trim_end().to_owned())
    }

    /// Reads an address from a line with a label, such as `listening 127.0.0.1:7101`.
    pub fn read_address(&mut self, label: &str) -> io::Result<SocketAddr> {
        let line = self.read_line()?;
        let address = line.strip_prefix(label).and_then(|rest| rest.trim().parse().ok());
        address.ok_or_else(|| io::Error::other(format!("expected `{label} ADDRESS`, got {line:?}")))
    }

    /// Kills the process with SIGKILL.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Sends SIGTERM, and SIGKILL after the timeout; returns the exit status if SIGTERM sufficed.
    pub fn terminate(&mut self, timeout: Duration) -> Option<ExitStatus> {
        let _ = kill_process(Pid::from_child(&self.child), Signal::TERM);
        let deadline = Instant::now() + timeout;
        while Instant::now() < deadline {
            if let Ok(Some(status)) = self.child.try_wait() {
                return Some(status);
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        self.kill();
        None
    }

    /// Processor time used so far.
    pub fn processor_time(&self) -> Option<Duration> {
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.child.id())).ok()?;
        // The second field, the name in parentheses, may hold spaces; user and system time have the
        // indexes 11 and 12 after it.
        let fields: Vec<_> = stat.rsplit_once(')')?.1.split_whitespace().collect();
        let ticks = fields.get(11)?.parse::<f64>().ok()? + fields.get(12)?.parse::<f64>().ok()?;
        Some(Duration::from_secs_f64(ticks / TICKS_PER_SECOND))
    }

    /// Time so far that the main thread was runnable but waited for a core.
    pub fn core_wait(&self) -> Option<Duration> {
        let times = fs::read_to_string(format!("/proc/{}/schedstat", self.child.id())).ok()?;
        let nanoseconds = times.split_whitespace().nth(1)?.parse().ok()?;
        Some(Duration::from_nanos(nanoseconds))
    }

    /// Peak resident memory so far, in mebibytes.
    pub fn peak_memory_mb(&self) -> Option<f64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
        let kilobytes: f64 = line.trim().trim_end_matches(" kB").parse().ok()?;
        Some(kilobytes / 1024.0)
    }
}

impl Drop for ManagedProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Finds free loopback ports; another process may take one before it is used.
pub fn free_addresses(count: usize) -> io::Result<Vec<SocketAddr>> {
    let listeners: Vec<_> =
        (0..count).map(|_| TcpListener::bind("127.0.0.1:0")).collect::<io::Result<_>>()?;
    listeners.iter().map(TcpListener::local_addr).collect()
}
