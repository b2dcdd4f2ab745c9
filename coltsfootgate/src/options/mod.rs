//! The daemon's process settings, from flags and environment variables.

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

use coltsfootgate_core::duty::report::ReportTerms;
use coltsfootgate_core::ids::{InstanceId, ZoneName};

use self::parse::{
    SettingReader, parse_addresses, parse_advertised, parse_count, parse_duration, parse_file,
    parse_milli, parse_names, parse_optional_address, parse_optional_name, parse_optional_number,
    parse_path,
};

use crate::transfer::DEFAULT_MACHINE_MB;

/// Prefix of the environment variables that the daemon reads.
pub const ENVIRONMENT_PREFIX: &str = "COLTSFOOTGATE_";
/// Environment variable that contains the secret shared by all instances.
pub const PEER_SECRET_VARIABLE: &str = "COLTSFOOTGATE_PEER_SECRET";
/// Environment variable that platforms set for all programs; ignored by the daemon.
pub const PLATFORM_SETTINGS_VARIABLE: &str = "COLTSFOOTGATE_SETTINGS";
/// Minimum length of the peer secret, in bytes.
pub const PEER_SECRET_BYTES_MIN: usize = 16;

/// Flags of the daemon. Each has an environment variable, which the flag overrides.
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
    #[options(
        no_short,
        meta = "IP:PORT",
        help = "address announced to peers (default: --peer-listen)"
    )]
    pub advertise: Option<String>,
    /// Address at which operators reach this instance.
    #[options(
        no_short,
        meta = "IP:PORT",
        help = "operators' address announced to peers (default: --operators-listen)"
    )]
    pub advertise_operators: Option<String>,
    /// Availability zone of this instance.
    #[options(no_short, meta = "NAME", help = "availability zone of this instance (required)")]
    pub availability_zone: Option<String>,
    /// Region of this instance.
    #[options(no_short, meta = "NAME", help = "region of this instance (default: default)")]
    pub region: Option<String>,
    /// Share of a core that this instance may use.
    #[options(no_short, meta = "SHARE", help = "share of a core that this process may use (1)")]
    pub processor_share: Option<String>,
    /// Memory of the machine, in MB.
    #[options(no_short, meta = "MB", help = "memory that this process may use, in MB (160)")]
    pub memory_mb: Option<String>,
    /// Address of the platform's key-value service and instance list.
    #[options(no_short, meta = "IP:PORT", help = "address of the platform's service (required)")]
    pub platform: Option<String>,
    /// Time limit of one call to the platform.
    #[options(no_short, meta = "TIME", help = "time limit of a call to the platform (2 s)")]
    pub platform_timeout: Option<String>,
    /// Minimum severity of logged messages.
    #[options(
        no_short,
        meta = "LEVEL",
        help = "minimum level: error, warn, info, debug or trace (info)"
    )]
    pub log_level: Option<String>,
    /// Format of log lines.
    #[options(no_short, meta = "FORMAT", help = "log format: text or json (text)")]
    pub log_format: Option<String>,
    /// Output stream of the log.
    #[options(no_short, meta = "OUTPUT", help = "log output: stdout or stderr (stderr)")]
    pub log_output: Option<String>,
    /// Maximum number of open connections from callers.
    #[options(no_short, meta = "COUNT", help = "maximum open connections from callers (4096)")]
    pub connections: Option<String>,
    /// Maximum number of open connections from peers.
    #[options(no_short, meta = "COUNT", help = "maximum open connections from peers (1024)")]
    pub peer_connections: Option<String>,
    /// Maximum number of open connections from operators.
    #[options(no_short, meta = "COUNT", help = "maximum open connections from operators (64)")]
    pub operators_connections: Option<String>,
    /// Maximum size of a caller's request head, in bytes.
    #[options(no_short, meta = "BYTES", help = "maximum size of a request head (16384)")]
    pub head_bytes: Option<String>,
    /// Maximum size of a caller's request body, in bytes.
    #[options(no_short, meta = "BYTES", help = "maximum size of a request body (1048576)")]
    pub body_bytes: Option<String>,
    /// Time limit for receiving the head of a caller's request.
    #[options(no_short, meta = "TIME", help = "time limit for receiving a request head (60 s)")]
    pub head_time: Option<String>,
    /// Time after which a caller's connection without a request is closed.
    #[options(no_short, meta = "TIME", help = "time limit for an idle connection (60 s)")]
    pub idle_time: Option<String>,
    /// Time limit for receiving the body of a caller's request.
    #[options(no_short, meta = "TIME", help = "time limit for receiving a request body (30 s)")]
    pub body_time: Option<String>,
    /// Path of the readiness probe, in addition to `/readyz`.
    #[options(
        no_short,
        meta = "PATH",
        help = "path of the readiness probe, in addition to /readyz (none)"
    )]
    pub readiness_path: Option<String>,
    /// Addresses of peers to contact before the list of instances has been read.
    #[options(
        no_short,
        meta = "IP:PORT,..",
        help = "peers to contact before the list of instances is known (none)"
    )]
    pub seeds: Option<String>,
    /// How long a watch request waits for a change of the settings.
    #[options(
        no_short,
        meta = "TIME",
        help = "how long a watch request waits for changed settings (3 s)"
    )]
    pub watch_time: Option<String>,
    /// Time since the last confirmation of the settings after which bearer keys are not trusted.
    #[options(
        no_short,
        meta = "TIME",
        help = "maximum time without confirmed settings before requests with API keys are refused (1440 min)"
    )]
    pub config_age_max: Option<String>,
    /// Name of this instance at its platform.
    #[options(
        no_short,
        meta = "NAME",
        help = "name of this instance at its platform (its address)"
    )]
    pub node_name: Option<String>,
    /// Duties that one instance at a time carries out for the platform.
    #[options(no_short, meta = "NAME,..", help = "duties of one instance at a time (none)")]
    pub duties: Option<String>,
    /// Address of the platform's service that the holder of the duties calls.
    #[options(no_short, meta = "IP:PORT", help = "address for the calls of the duties (none)")]
    pub duty_platform: Option<String>,
    /// Time within which two instances must not act in turns, in milliseconds.
    #[options(no_short, meta = "MS", help = "lease time of the duties, in milliseconds (3000)")]
    pub duty_lease_ms: Option<String>,
    /// Length of a window of usage, in seconds.
    #[options(no_short, meta = "S", help = "length of a window of usage, in seconds (60)")]
    pub usage_window_s: Option<String>,
    /// Time after the end of a window at which its report is due, in seconds.
    #[options(no_short, meta = "S", help = "time until a report of usage is due, in seconds (30)")]
    pub usage_due_s: Option<String>,
    /// Error that a report of usage may have.
    #[options(no_short, meta = "SHARE", help = "error that a report of usage may have (0.05)")]
    pub usage_tolerance: Option<String>,
    /// File of a base settings tree, if operators set only a part of the settings.
    #[options(
        no_short,
        meta = "FILE",
        help = "base tree that operators' settings are added to (none)"
    )]
    pub base_tree: Option<String>,
    /// How long new connections are accepted after SIGTERM.
    #[options(
        no_short,
        meta = "TIME",
        help = "how long new connections are accepted after SIGTERM, until the load balancer stops sending them (3 s)"
    )]
    pub drain_time: Option<String>,
    /// Maximum time from SIGTERM to the exit of the process.
    #[options(
        no_short,
        meta = "TIME",
        help = "time limit after SIGTERM for requests to finish (1440 min)"
    )]
    pub grace_time: Option<String>,
}

/// The secret by which instances authenticate to each other; its `Debug` output is redacted.
#[derive(Clone)]
pub struct PeerSecret(Arc<str>);

impl PeerSecret {
    /// Wraps the text of a secret.
    pub fn new(text: impl Into<Arc<str>>) -> Self {
        Self(text.into())
    }

    /// The bytes of the secret, for computing an authentication proof.
    pub fn as_bytes(&self) -> &[u8] {
        self.0.as_bytes()
    }
}

impl Debug for PeerSecret {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.write_str("PeerSecret(..)")
    }
}

/// Format of log lines.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LogFormat {
    /// One line of text per message.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// Output stream of the log.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LogOutput {
    /// Standard output, after the line with the listen addresses.
    Stdout,
    /// Standard error.
    #[default]
    Stderr,
}

/// The validated process settings of a daemon.
#[derive(Clone, Debug)]
pub struct DaemonSettings {
    /// Address at which callers are served.
    pub listen: SocketAddr,
    /// Address at which other instances are served.
    pub peer_listen: SocketAddr,
    /// Address at which operators are served.
    pub operators_listen: SocketAddr,
    /// Address at which peers reach this instance, which is also the instance's id.
    pub instance: InstanceId,
    /// Address at which operators reach this instance.
    pub operators_address: Arc<str>,
    /// Availability zone of this instance.
    pub zone: ZoneName,
    /// Region of this instance.
    pub region: Arc<str>,
    /// Address of the platform's service.
    pub platform: SocketAddr,
    /// Time limit of one call to the platform.
    pub platform_timeout: Duration,
    /// Secret shared by all instances.
    pub peer_secret: PeerSecret,
    /// Minimum severity of logged messages.
    pub log_level: LevelFilter,
    /// Format of log lines.
    pub log_format: LogFormat,
    /// Output stream of the log.
    pub log_output: LogOutput,
    /// Maximum number of open connections from callers.
    pub connections: usize,
    /// Maximum number of open connections from peers.
    pub peer_connections: usize,
    /// Processor time that this process may use, in thousandths of a core.
    pub processor_milli: u32,
    /// Memory that this process may use, in MB.
    pub memory_mb: usize,
    /// Maximum number of open connections from operators.
    pub operators_connections: usize,
    /// Maximum size of a caller's request head, in bytes.
    pub head_bytes: usize,
    /// Maximum size of a caller's request body, in bytes.
    pub body_bytes: usize,
    /// Time limit for receiving the head of a caller's request.
    pub head_time: Duration,
    /// Time after which a caller's connection without a request is closed.
    pub idle_time: Duration,
    /// Time limit for receiving the body of a caller's request.
    pub body_time: Duration,
    /// How long new connections are accepted after SIGTERM.
    pub drain_time: Duration,
    /// Maximum time from SIGTERM to the exit of the process.
    pub grace_time: Duration,
    /// How long a watch request waits for a change of the settings.
    pub watch_time: Duration,
    /// Time since the last confirmation of the settings after which bearer keys are not trusted.
    pub config_age_max: Duration,
    /// Addresses of peers to contact before the list of instances has been read.
    pub seeds: Vec<InstanceId>,
    /// Path of the readiness probe, in addition to `/readyz`.
    pub readiness_path: Option<Arc<str>>,
    /// File of a base settings tree, if operators set only a part of the settings.
    pub base_tree: Option<PathBuf>,
    /// The duties of the deployment.
    pub duties: DutySettings,
}

/// The duties of the deployment, as the platform states them.
#[derive(Clone, Debug, PartialEq)]
pub struct DutySettings {
    /// Name of this instance at its platform.
    pub node_name: Arc<str>,
    /// The duties, by the names that the platform gives them.
    pub names: Vec<Arc<str>>,
    /// Address of the platform's service for the calls of the holder.
    pub platform: Option<SocketAddr>,
    /// Time within which two instances must not act in turns.
    pub lease_time: Duration,
    /// How usage is reported, where that is a duty.
    pub reports: ReportTerms,
}

/// A setting that is missing or invalid.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SettingFault {
    /// The flag or the environment variable.
    pub setting: String,
    /// The value found, if any.
    pub found: Option<String>,
    /// A description of the allowed values.
    pub allowed: String,
}

impl Display for SettingFault {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        match &self.found {
            Some(found) => {
                write!(formatter, "{}: found \"{found}\", expected {}", self.setting, self.allowed)
            }
            None => write!(formatter, "{}: missing, expected {}", self.setting, self.allowed),
        }
    }
}

/// All faults found in the settings.
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
    /// Builds the settings from flags and environment variables.
    ///
    /// # Errors
    ///
    /// Lists every setting that is missing or invalid.
    pub fn new(
        flags: DaemonFlags,
        environment: &HashMap<String, String>,
    ) -> Result<Self, SettingFaults> {
        let mut reader = SettingReader::new(environment);
        let listen = reader.address("listen", flags.listen, Some("127.0.0.1:8080"));
        let peer_listen = reader.address("peer-listen", flags.peer_listen, Some("127.0.0.1:9100"));
        let operators_listen =
            reader.address("operators-listen", flags.operators_listen, Some("127.0.0.1:9200"));
        let platform = reader.address("platform", flags.platform, None);
        let advertise = reader.value("advertise", flags.advertise, None, parse_advertised);
        let advertise_operators =
            reader.value("advertise-operators", flags.advertise_operators, None, parse_advertised);
        let zone = reader.name("availability-zone", flags.availability_zone, None);
        let region = reader.name("region", flags.region, Some("default"));
        let mut duration =
            |name, flag, default| reader.required(name, flag, Some(default), parse_duration);
        let platform_timeout = duration("platform-timeout", flags.platform_timeout, "2 s");
        let head_time = duration("head-time", flags.head_time, "60 s");
        let idle_time = duration("idle-time", flags.idle_time, "60 s");
        let body_time = duration("body-time", flags.body_time, "30 s");
        let drain_time = duration("drain-time", flags.drain_time, "3 s");
        let grace_time = duration("grace-time", flags.grace_time, "1440 min");
        let watch_time = duration("watch-time", flags.watch_time, "3 s");
        let config_age_max = duration("config-age-max", flags.config_age_max, "1440 min");
        let seeds = reader.required("seeds", flags.seeds, Some(""), parse_addresses);
        let readiness_path = reader.value("readiness-path", flags.readiness_path, None, parse_path);
        let base_tree = reader.value("base-tree", flags.base_tree, None, parse_file);
        let node_name = reader.value("node-name", flags.node_name, None, parse_optional_name);
        let duty_names = reader.required("duties", flags.duties, Some(""), parse_names);
        let duty_platform =
            reader.required("duty-platform", flags.duty_platform, Some(""), parse_optional_address);
        // The platform leaves these empty where it does not know them.
        let mut number = |name, flag, default: f64| {
            let number = reader.required(name, flag, Some(""), parse_optional_number)?;
            Some(number.unwrap_or(default))
        };
        let duty_lease_ms = number("duty-lease-ms", flags.duty_lease_ms, 3000.0);
        let usage_window_s = number("usage-window-s", flags.usage_window_s, 60.0);
        let usage_due_s = number("usage-due-s", flags.usage_due_s, 30.0);
        let usage_tolerance = number("usage-tolerance", flags.usage_tolerance, 0.05);
        let memory_mb = number("memory-mb", flags.memory_mb, DEFAULT_MACHINE_MB as f64);
        let mut count =
            |name, flag, default| reader.required(name, flag, Some(default), parse_count);
        let connections = count("connections", flags.connections, "4096");
        let peer_connections = count("peer-connections", flags.peer_connections, "1024");
        let operators_connections =
            count("operators-connections", flags.operators_connections, "64");
        let head_bytes = count("head-bytes", flags.head_bytes, "16384");
        let body_bytes = count("body-bytes", flags.body_bytes, "1048576");
        let processor_milli =
            reader.required("processor-share", flags.processor_share, Some("1"), parse_milli);
        let log_level = reader.level(flags.log_level);
        let log_format = reader.format(flags.log_format);
        let log_output = reader.output(flags.log_output);
        let peer_secret = reader.secret();
        reader.check_unknown_variables();
        let settings = (|| {
            let (peer_listen, operators_listen) = (peer_listen?, operators_listen?);
            let instance: InstanceId = advertise.unwrap_or(peer_listen).to_string().into();
            let duties = DutySettings {
                node_name: node_name.flatten().unwrap_or_else(|| instance.clone()),
                names: duty_names?,
                platform: duty_platform?,
                lease_time: Duration::from_secs_f64(duty_lease_ms? / 1000.0),
                reports: ReportTerms {
                    window: Duration::from_secs_f64(usage_window_s?),
                    due: Duration::from_secs_f64(usage_due_s?),
                    tolerance: usage_tolerance?,
                },
            };
            Some(Self {
                listen: listen?,
                peer_listen,
                operators_listen,
                instance,
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
                processor_milli: processor_milli?,
                memory_mb: memory_mb? as usize,
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
                duties,
            })
        })();
        reader.finish(settings)
    }

    /// Stores the bound peer address, and uses it as the instance id if the advertised port is 0.
    pub fn set_peer_address(&mut self, bound: SocketAddr) {
        if self.instance.ends_with(":0") {
            self.instance = bound.to_string().into();
        }
        self.peer_listen = bound;
    }

    /// Stores the bound operators' address, and announces it if the advertised port is 0.
    pub fn set_operators_address(&mut self, bound: SocketAddr) {
        if self.operators_address.ends_with(":0") {
            self.operators_address = bound.to_string().into();
        }
        self.operators_listen = bound;
    }
}
