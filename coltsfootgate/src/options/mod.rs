//! The daemon's own settings, from flags and environment variables.

mod parse;
#[cfg(test)]
mod tests;

use std::collections::HashMap;
use std::fmt::{self, Debug, Display, Formatter};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use gumdrop::Options;
use log::LevelFilter;

use coltsfootgate_core::ids::{InstanceId, ZoneName};

use self::parse::{
    FaultList, parse_addresses, parse_advertised, parse_count, parse_duration, parse_file,
    parse_path,
};

/// Prefix of the environment variables that the daemon reads.
pub const ENVIRONMENT_PREFIX: &str = "COLTSFOOTGATE_";
/// Name of the environment variable that holds the secret shared by all instances.
pub const PEER_SECRET_VARIABLE: &str = "COLTSFOOTGATE_PEER_SECRET";
/// Name of a variable that platforms set for all programs and that this one has no use for.
pub const PLATFORM_SETTINGS_VARIABLE: &str = "COLTSFOOTGATE_SETTINGS";
/// Shortest secret that is accepted, in bytes.
pub const PEER_SECRET_BYTES_MIN: usize = 16;

/// Flags of the daemon. Each has an environment variable, and the flag goes before it.
#[derive(Clone, Debug, Default, Options)]
pub struct DaemonFlags {
    /// Prints this help.
    #[options(no_short, help = "print this help")]
    pub help: bool,
    /// Prints the version.
    #[options(no_short, help = "print the version")]
    pub version: bool,
    /// Address at which callers are served.
    #[options(no_short, meta = "IP:PORT", help = "address for callers (default 127.0.0.1:8080)")]
    pub listen: Option<String>,
    /// Address at which other instances are served.
    #[options(no_short, meta = "IP:PORT", help = "address for peers (default 127.0.0.1:9100)")]
    pub peer_listen: Option<String>,
    /// Address at which operators are served.
    #[options(no_short, meta = "IP:PORT", help = "address for operators (default 127.0.0.1:9200)")]
    pub operators_listen: Option<String>,
    /// Address at which peers reach this instance.
    #[options(no_short, meta = "IP:PORT", help = "address told to peers (default: --peer-listen)")]
    pub advertise: Option<String>,
    /// Address at which operators reach this instance.
    #[options(
        no_short,
        meta = "IP:PORT",
        help = "operators' address told to peers (default: --operators-listen)"
    )]
    pub advertise_operators: Option<String>,
    /// Availability zone of this instance.
    #[options(no_short, meta = "NAME", help = "availability zone of this instance (required)")]
    pub availability_zone: Option<String>,
    /// Region of this instance.
    #[options(no_short, meta = "NAME", help = "region of this instance (default: default)")]
    pub region: Option<String>,
    /// Address of the platform's key-value service and instance list.
    #[options(no_short, meta = "IP:PORT", help = "address of the platform's service (required)")]
    pub platform: Option<String>,
    /// How long one call of the platform may take.
    #[options(no_short, meta = "TIME", help = "time limit of a call to the platform (2 s)")]
    pub platform_timeout: Option<String>,
    /// Least severe level of the messages that are logged.
    #[options(no_short, meta = "LEVEL", help = "error, warn, info, debug or trace (info)")]
    pub log_level: Option<String>,
    /// Form of the log.
    #[options(no_short, meta = "FORMAT", help = "text or json (text)")]
    pub log_format: Option<String>,
    /// Where the log goes.
    #[options(no_short, meta = "OUTPUT", help = "stdout or stderr (stderr)")]
    pub log_output: Option<String>,
    /// Connections of callers held at once.
    #[options(no_short, meta = "COUNT", help = "connections of callers held at once (4096)")]
    pub connections: Option<String>,
    /// Connections of peers held at once.
    #[options(no_short, meta = "COUNT", help = "connections of peers held at once (1024)")]
    pub peer_connections: Option<String>,
    /// Connections of operators held at once.
    #[options(no_short, meta = "COUNT", help = "connections of operators held at once (64)")]
    pub operators_connections: Option<String>,
    /// Largest head of a caller's request.
    #[options(no_short, meta = "BYTES", help = "largest request head (16384)")]
    pub head_bytes: Option<String>,
    /// Largest body of a caller's request.
    #[options(no_short, meta = "BYTES", help = "largest request body (1048576)")]
    pub body_bytes: Option<String>,
    /// Time in which a caller's head must arrive.
    #[options(no_short, meta = "TIME", help = "time for a request head to arrive (60 s)")]
    pub head_time: Option<String>,
    /// Time that a caller's connection may be without a request.
    #[options(no_short, meta = "TIME", help = "time without a request on a connection (60 s)")]
    pub idle_time: Option<String>,
    /// Time in which a caller's body must arrive.
    #[options(no_short, meta = "TIME", help = "time for a request body to arrive (30 s)")]
    pub body_time: Option<String>,
    /// Path at which the platform asks for readiness, beside `/readyz`.
    #[options(no_short, meta = "PATH", help = "path for readiness beside /readyz (none)")]
    pub readiness_path: Option<String>,
    /// Instances to try before the list of instances was read.
    #[options(
        no_short,
        meta = "IP:PORT,..",
        help = "peers to try before the list is known (none)"
    )]
    pub seeds: Option<String>,
    /// How long a watch of the settings waits.
    #[options(no_short, meta = "TIME", help = "time that a watch of the settings waits (3 s)")]
    pub watch_time: Option<String>,
    /// Age of the settings beyond which keys are not trusted.
    #[options(
        no_short,
        meta = "TIME",
        help = "requests with keys are refused once the settings were not confirmed for so long (1440 min)"
    )]
    pub config_age_max: Option<String>,
    /// The project's own tree, where operators state only a part of the settings.
    #[options(
        no_short,
        meta = "FILE",
        help = "tree that operators' settings are put below (none)"
    )]
    pub base_tree: Option<String>,
    /// How long new connections are accepted after SIGTERM.
    #[options(
        no_short,
        meta = "TIME",
        help = "time for the balancer to notice SIGTERM; new connections are accepted until then (3 s)"
    )]
    pub drain_time: Option<String>,
    /// How long after SIGTERM the process ends at the latest.
    #[options(no_short, meta = "TIME", help = "time after SIGTERM for requests to end (1440 min)")]
    pub grace_time: Option<String>,
}

/// The secret that instances prove to each other; never printed.
#[derive(Clone)]
pub struct PeerSecret(Arc<str>);

impl PeerSecret {
    /// Wraps the text of a secret.
    pub fn new(text: impl Into<Arc<str>>) -> Self {
        Self(text.into())
    }

    /// The bytes of the secret, for computing a proof.
    pub fn as_bytes(&self) -> &[u8] {
        self.0.as_bytes()
    }
}

impl Debug for PeerSecret {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.write_str("PeerSecret(..)")
    }
}

/// Form of the log.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LogFormat {
    /// One line of text per message.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// Where the log goes.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LogOutput {
    /// Standard output, after the line that says where the process listens.
    Stdout,
    /// Standard error.
    #[default]
    Stderr,
}

/// The checked settings of one daemon.
#[derive(Clone, Debug)]
pub struct DaemonSettings {
    /// Address at which callers are served.
    pub listen: SocketAddr,
    /// Address at which other instances are served.
    pub peer_listen: SocketAddr,
    /// Address at which operators are served.
    pub operators_listen: SocketAddr,
    /// Address at which peers reach this instance, which is also its name.
    pub instance: InstanceId,
    /// Address at which operators reach this instance.
    pub operators_address: Arc<str>,
    /// Availability zone of this instance.
    pub zone: ZoneName,
    /// Region of this instance.
    pub region: Arc<str>,
    /// Address of the platform's service.
    pub platform: SocketAddr,
    /// How long one call of the platform may take.
    pub platform_timeout: Duration,
    /// Secret shared by all instances.
    pub peer_secret: PeerSecret,
    /// Least severe level of the messages that are logged.
    pub log_level: LevelFilter,
    /// Form of the log.
    pub log_format: LogFormat,
    /// Where the log goes.
    pub log_output: LogOutput,
    /// Connections of callers held at once.
    pub connections: usize,
    /// Connections of peers held at once.
    pub peer_connections: usize,
    /// Connections of operators held at once.
    pub operators_connections: usize,
    /// Largest head of a caller's request, in bytes.
    pub head_bytes: usize,
    /// Largest body of a caller's request, in bytes.
    pub body_bytes: usize,
    /// Time in which a caller's head must arrive.
    pub head_time: Duration,
    /// Time that a caller's connection may be without a request.
    pub idle_time: Duration,
    /// Time in which a caller's body must arrive.
    pub body_time: Duration,
    /// How long new connections are accepted after SIGTERM.
    pub drain_time: Duration,
    /// How long after SIGTERM the process ends at the latest.
    pub grace_time: Duration,
    /// How long a watch of the settings waits.
    pub watch_time: Duration,
    /// Age of the settings beyond which keys are not trusted.
    pub config_age_max: Duration,
    /// Instances to try before the list of instances was read.
    pub seeds: Vec<InstanceId>,
    /// Path at which the platform asks for readiness, beside `/readyz`.
    pub readiness_path: Option<Arc<str>>,
    /// The file with the project's own tree, where operators state only a part of the settings.
    pub base_tree: Option<PathBuf>,
}

/// One setting that is missing or not allowed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SettingFault {
    /// The flag or the environment variable.
    pub setting: String,
    /// What was found.
    pub found: Option<String>,
    /// What is allowed.
    pub allowed: String,
}

impl Display for SettingFault {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        match &self.found {
            Some(found) => {
                write!(
                    formatter,
                    "{}: found \"{found}\", allowed is {}",
                    self.setting, self.allowed
                )
            }
            None => write!(formatter, "{}: missing, allowed is {}", self.setting, self.allowed),
        }
    }
}

/// Every fault that was found in the settings.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SettingFaults(pub Vec<SettingFault>);

impl Display for SettingFaults {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        for (index, fault) in self.0.iter().enumerate() {
            if index > 0 {
                formatter.write_str("\n")?;
            }
            write!(formatter, "{fault}")?;
        }
        Ok(())
    }
}

impl std::error::Error for SettingFaults {}

impl DaemonSettings {
    /// Checks flags and environment together.
    ///
    /// # Errors
    ///
    /// Lists every setting that is missing or not allowed.
    pub fn new(
        flags: DaemonFlags,
        environment: &HashMap<String, String>,
    ) -> Result<Self, SettingFaults> {
        let mut faults = FaultList::new(environment);
        let listen = faults.address("listen", flags.listen, Some("127.0.0.1:8080"));
        let peer_listen = faults.address("peer-listen", flags.peer_listen, Some("127.0.0.1:9100"));
        let operators_listen =
            faults.address("operators-listen", flags.operators_listen, Some("127.0.0.1:9200"));
        let platform = faults.address("platform", flags.platform, None);
        let advertise = faults.value("advertise", flags.advertise, None, parse_advertised);
        let advertise_operators =
            faults.value("advertise-operators", flags.advertise_operators, None, parse_advertised);
        let zone = faults.name("availability-zone", flags.availability_zone, None);
        let region = faults.name("region", flags.region, Some("default"));
        let mut duration =
            |name, flag, default| faults.required(name, flag, Some(default), parse_duration);
        let platform_timeout = duration("platform-timeout", flags.platform_timeout, "2 s");
        let head_time = duration("head-time", flags.head_time, "60 s");
        let idle_time = duration("idle-time", flags.idle_time, "60 s");
        let body_time = duration("body-time", flags.body_time, "30 s");
        let drain_time = duration("drain-time", flags.drain_time, "3 s");
        let grace_time = duration("grace-time", flags.grace_time, "1440 min");
        let watch_time = duration("watch-time", flags.watch_time, "3 s");
        let config_age_max = duration("config-age-max", flags.config_age_max, "1440 min");
        let seeds = faults.required("seeds", flags.seeds, Some(""), parse_addresses);
        let readiness_path = faults.value("readiness-path", flags.readiness_path, None, parse_path);
        let base_tree = faults.value("base-tree", flags.base_tree, None, parse_file);
        let mut count =
            |name, flag, default| faults.required(name, flag, Some(default), parse_count);
        let connections = count("connections", flags.connections, "4096");
        let peer_connections = count("peer-connections", flags.peer_connections, "1024");
        let operators_connections =
            count("operators-connections", flags.operators_connections, "64");
        let head_bytes = count("head-bytes", flags.head_bytes, "16384");
        let body_bytes = count("body-bytes", flags.body_bytes, "1048576");
        let log_level = faults.level(flags.log_level);
        let log_format = faults.format(flags.log_format);
        let log_output = faults.output(flags.log_output);
        let peer_secret = faults.secret();
        faults.unknown_variables();
        let settings = (|| {
            let (peer_listen, operators_listen) = (peer_listen?, operators_listen?);
            Some(Self {
                listen: listen?,
                peer_listen,
                operators_listen,
                instance: advertise.unwrap_or(peer_listen).to_string().into(),
                operators_address: advertise_operators
                    .unwrap_or(operators_listen)
                    .to_string()
                    .into(),
                zone: zone?,
                region: region?,
                platform: platform?,
                platform_timeout: platform_timeout?,
                peer_secret: peer_secret?,
                log_level: log_level?,
                log_format: log_format?,
                log_output: log_output?,
                connections: connections?,
                peer_connections: peer_connections?,
                operators_connections: operators_connections?,
                head_bytes: head_bytes?,
                body_bytes: body_bytes?,
                head_time: head_time?,
                idle_time: idle_time?,
                body_time: body_time?,
                drain_time: drain_time?,
                grace_time: grace_time?,
                watch_time: watch_time?,
                config_age_max: config_age_max?,
                seeds: seeds?,
                readiness_path,
                base_tree,
            })
        })();
        faults.finish(settings)
    }

    /// Names the instance by the address that was taken, where the system chose its port.
    pub fn take_peer_address(&mut self, taken: SocketAddr) {
        if self.instance.ends_with(":0") {
            self.instance = taken.to_string().into();
        }
        self.peer_listen = taken;
    }

    /// Lists the instance with the address for operators that was taken, as above.
    pub fn take_operators_address(&mut self, taken: SocketAddr) {
        if self.operators_address.ends_with(":0") {
            self.operators_address = taken.to_string().into();
        }
        self.operators_listen = taken;
    }
}
