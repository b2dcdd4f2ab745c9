//! The settings of the tool process, from flags and environment variables.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use coltsfootgate_config::parse_duration;
use error_stack::Report;

use crate::arguments::ToolArguments;
use crate::error::{ToolError, ToolResult};

/// The environment variable with the address of the platform's service.
pub const PLATFORM_VARIABLE: &str = "COLTSFOOTGATE_PLATFORM";
/// The environment variable with the time limit of a call to the platform or an instance.
pub const TIMEOUT_VARIABLE: &str = "COLTSFOOTGATE_PLATFORM_TIMEOUT";
/// The environment variable with the file of the base tree.
pub const BASE_TREE_VARIABLE: &str = "COLTSFOOTGATE_BASE_TREE";
/// The environment variable with the author of changes.
pub const AUTHOR_VARIABLE: &str = "COLTSFOOTCTL_AUTHOR";
/// The environment variable with the time to wait for a change to come into force.
pub const WAIT_VARIABLE: &str = "COLTSFOOTCTL_WAIT";

const DEFAULT_TIMEOUT: Duration = Duration::from_secs(2);
const DEFAULT_WAIT: Duration = Duration::from_secs(15);

/// The validated settings of the tool.
#[derive(Clone, Debug)]
pub struct ToolSettings {
    /// Address of the platform's service, if one is set.
    pub platform: Option<SocketAddr>,
    /// File of a base settings tree, on a platform whose store contains only a part of the settings.
    pub base_tree: Option<PathBuf>,
    /// Time limit of a call to the platform or an instance.
    pub timeout: Duration,
    /// The author of changes, unless the command sets one.
    pub author: Option<Arc<str>>,
    /// How long to wait for a change to come into force, unless the command sets it.
    pub wait: Duration,
}

impl ToolSettings {
    /// Builds the settings; flags override environment variables.
    ///
    /// Fails with every setting that is invalid.
    pub fn new(
        arguments: &ToolArguments,
        environment: impl Fn(&str) -> Option<String>,
    ) -> ToolResult<Self> {
        let mut faults = Vec::new();
        let lookup = |flag: &Option<String>, name: &str, variable: &str| match flag {
            Some(value) => Some((format!("--{name}"), value.clone())),
            None => environment(variable).map(|value| (variable.to_owned(), value)),
        };
        let platform = lookup(&arguments.platform, "platform", PLATFORM_VARIABLE);
        let platform = parse_setting(platform, "an IP address and port", &mut faults, |text| {
            text.parse().ok()
        });
        let timeout = lookup(&arguments.platform_timeout, "platform-timeout", TIMEOUT_VARIABLE);
        let timeout = parse_setting(timeout, DURATION_DESCRIPTION, &mut faults, parse_duration);
        let base_tree = lookup(&arguments.base_tree, "base-tree", BASE_TREE_VARIABLE);
        let wait = lookup(&None, "wait", WAIT_VARIABLE);
        let wait = parse_setting(wait, DURATION_DESCRIPTION, &mut faults, parse_duration);
        if !faults.is_empty() {
            return Err(Report::new(ToolError::Usage(faults.join("\n"))));
        }
        let author = environment(AUTHOR_VARIABLE).or_else(|| environment("USER"));
        Ok(Self {
            platform,
            base_tree: base_tree.map(|(_, path)| path.into()),
            timeout: timeout.unwrap_or(DEFAULT_TIMEOUT),
            author: author.map(Arc::from),
            wait: wait.unwrap_or(DEFAULT_WAIT),
        })
    }
}

const DURATION_DESCRIPTION: &str = "a duration with its unit, such as \"2 s\"";

fn parse_setting<T>(
    setting: Option<(String, String)>,
    allowed: &str,
    faults: &mut Vec<String>,
    parse: impl Fn(&str) -> Option<T>,
) -> Option<T> {
    let (name, text) = setting?;
    let value = parse(&text);
    if value.is_none() {
        faults.push(format!("{name}: found {text:?}; allowed: {allowed}"));
    }
    value
}

/// Parses the duration in a command's flag; fails with the allowed values.
pub fn parse_duration_flag(name: &str, text: &str) -> ToolResult<Duration> {
    parse_duration(text).ok_or_else(|| {
        let message = format!("--{name}: found {text:?}; allowed: {DURATION_DESCRIPTION}");
        Report::new(ToolError::Usage(message))
    })
}
