//! The project's relay as a process, started by the command and the settings template of the deploy
//! file.

use std::{
    fs::{self, File},
    io::{self, ErrorKind},
    net::{SocketAddr, TcpListener, UdpSocket},
    os::unix::process::CommandExt,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time::Duration,
};

use crate::http::{HttpMessage, call};

/// Program of the deploy file.
const PROGRAM: &str = "target/release/switchfold-relay";

/// Template of the settings in the deploy file.
const TEMPLATE: &str = "deploy/relay.json.template";

/// Time from SIGTERM to SIGKILL, in seconds.
pub const GRACE_S: u64 = 8;

/// Bound on removed keys, in milliseconds.
pub const REVOKE_MS: u64 = 5_000;

/// Time after which requests are to be served again, in milliseconds.
pub const RECOVERY_MS: u64 = 12_000;

/// Values of the timing bounds in the template, as in the site files.
const TIMING_BOUNDS: [(&str, &str); 8] = [
    ("revoke_ms", "5000"),
    ("contact_ms", "3000"),
    ("drain_ms", "2000"),
    ("config_apply_ms", "2000"),
    ("grace_s", "8"),
    ("retry_budget_ratio", "0.2"),
    ("retry_window_s", "10"),
    ("retry_slack", "200"),
];

/// Timeout of a readiness check: the platform asks once a second.
const READY_TIMEOUT: Duration = Duration::from_millis(900);

/// A signal to a process.
#[derive(Clone, Copy, Debug)]
pub enum Signal {
    /// SIGTERM.
    Terminate = 15,
}

/// Option of `prctl` by which a process receives a signal once the thread that started it ends.
const PR_SET_PDEATHSIG: i32 = 1;

/// SIGKILL.
const SIGKILL: std::ffi::c_ulong = 9;

unsafe extern "C" {
    /// Sends a signal to a process.
    fn kill(pid: i32, signal: i32) -> i32;

    /// Sets an attribute of this process.
    fn prctl(option: i32, argument: std::ffi::c_ulong) -> i32;
}

/// Addresses of a relay.
#[derive(Clone, Copy, Debug)]
struct RelayAddresses {
    callers: SocketAddr,
    ready: SocketAddr,
    peers: SocketAddr,
    metrics: SocketAddr,
}

/// A relay. Dropping it kills the process.
#[derive(Debug)]
pub struct RelayProcess {
    /// Name of its VM.
    pub name: &'static str,
    data_centre: &'static str,
    platform: SocketAddr,
    addresses: RelayAddresses,
    folder: PathBuf,
    child: Option<Child>,
    starts: u32,
}

impl RelayProcess {
    /// Chooses free ports. The process is not started yet.
    ///
    /// # Errors
    ///
    /// Fails if no port is free.
    pub fn new(
        name: &'static str,
        data_centre: &'static str,
        platform: SocketAddr,
        folder: &Path,
    ) -> io::Result<Self> {
        let (callers, ready, metrics) = (free_port()?, free_port()?, free_port()?);
        let addresses = RelayAddresses { callers, ready, peers: free_peer_port()?, metrics };
        let (folder, child, starts) = (folder.to_owned(), None, 0);
        Ok(Self { name, data_centre, platform, addresses, folder, child, starts })
    }

    /// Returns the address for callers.
    pub fn address(&self) -> SocketAddr {
        self.addresses.callers
    }

    /// Starts the process.
    ///
    /// # Errors
    ///
    /// Fails if the program or the template is missing.
    pub fn start(&mut self) -> io::Result<()> {
        self.starts += 1;
        let settings = self.folder.join(format!("{}.json", self.name));
        fs::write(&settings, self.settings(&fs::read_to_string(TEMPLATE)?))?;
        let log = File::create(self.folder.join(format!("{}-{}.log", self.name, self.starts)))?;
        let mut command = Command::new(PROGRAM);
        command.env("SWITCHFOLD_NODE_FILE", &settings).stdin(Stdio::null());
        command.stdout(log.try_clone()?).stderr(log);
        // SAFETY: `prctl` allocates nothing and takes no lock. Without it a relay would go on running
        // if this process were killed.
        unsafe {
            command.pre_exec(|| match prctl(PR_SET_PDEATHSIG, SIGKILL) {
                0 => Ok(()),
                _ => Err(io::Error::last_os_error()),
            });
        }
        self.child = Some(command.spawn()?);
        Ok(())
    }

    /// Fills the gaps of the template.
    fn settings(&self, template: &str) -> String {
        let RelayAddresses { callers, ready, peers, metrics } = self.addresses;
        let is_first_start = self.starts == 1;
        let mut gaps = vec![
            ("node_name".to_owned(), self.name.to_owned()),
            ("zone".to_owned(), self.data_centre.to_owned()),
            ("region".to_owned(), "region".to_owned()),
            ("listen_addrs.frontend".to_owned(), callers.to_string()),
            ("listen_addrs.ready".to_owned(), ready.to_string()),
            ("ip".to_owned(), peers.ip().to_string()),
            ("port_range.0".to_owned(), peers.port().to_string()),
            ("port_range.1".to_owned(), metrics.port().to_string()),
            ("platform.address".to_owned(), self.platform.to_string()),
            ("bootstrap|json".to_owned(), is_first_start.to_string()),
            ("limits.cpu_quota|json".to_owned(), "0.19".to_owned()),
        ];
        let bounds = TIMING_BOUNDS.iter();
        gaps.extend(
            bounds.map(|(name, value)| (format!("timing_bounds.{name}"), (*value).to_owned())),
        );
        gaps.iter().fold(template.to_owned(), |text, (name, value)| {
            text.replace(&format!("{{{{{name}}}}}"), value)
        })
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) {
        if let Some(child) = &self.child {
            // SAFETY: The call has no memory arguments, and the child has not been waited for.
            let _sent = unsafe { kill(child.id() as i32, signal as i32) };
        }
    }

    /// Returns whether the process was started more than once.
    pub fn is_restarted(&self) -> bool {
        self.starts > 1
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_none_or(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    /// Kills the process, and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ended_before = child.kill();
            let _status = child.wait();
        }
    }

    /// Returns the address of readiness checks.
    pub fn ready_address(&self) -> SocketAddr {
        self.addresses.ready
    }
}

impl Drop for RelayProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Asks the relay with this address of readiness checks whether it is ready.
pub fn is_ready(address: SocketAddr) -> bool {
    let request = HttpMessage::new("GET /readyz HTTP/1.1", &[("Host", "relay")], "");
    call(address, &request, READY_TIMEOUT).is_ok_and(|response| response.status() == 200)
}

fn free_port() -> io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}

/// Returns a port that is free for both TCP and UDP.
fn free_peer_port() -> io::Result<SocketAddr> {
    const MAX_TRIES: usize = 16;
    for _ in 0..MAX_TRIES {
        let address = free_port()?;
        if UdpSocket::bind(address).is_ok() {
            return Ok(address);
        }
    }
    Err(ErrorKind::AddrInUse.into())
}
