//! Parsing of individual settings, with all faults collected.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use log::LevelFilter;

use coltsfootgate_core::ids::InstanceId;

use super::{
    ENVIRONMENT_PREFIX, LogFormat, LogOutput, PEER_SECRET_BYTES_MIN, PEER_SECRET_VARIABLE,
    PLATFORM_SETTINGS_VARIABLE, PeerSecret, SettingFault, SettingFaults,
};

/// Maximum length of the name of an availability zone or region, in bytes.
const NAME_BYTES_MAX: usize = 64;

/// Reads settings and collects their faults.
pub(super) struct SettingReader<'a> {
    environment: &'a HashMap<String, String>,
    known: Vec<String>,
    faults: Vec<SettingFault>,
}

impl<'a> SettingReader<'a> {
    pub(super) fn new(environment: &'a HashMap<String, String>) -> Self {
        let known = [PEER_SECRET_VARIABLE, PLATFORM_SETTINGS_VARIABLE].map(str::to_owned).to_vec();
        Self { environment, known, faults: Vec::new() }
    }

    /// Reads an optional setting: the flag, else the environment variable, else the default.
    pub(super) fn value<T>(
        &mut self,
        name: &str,
        flag: Option<String>,
        default: Option<&str>,
        parse: fn(&str) -> Result<T, &'static str>,
    ) -> Option<T> {
        let variable = variable_name(name);
        let (setting, text) = match (flag, self.environment.get(&variable)) {
            (Some(text), _) => (format!("--{name}"), Some(text)),
            (None, Some(text)) => (variable.clone(), Some(text.clone())),
            (None, None) => (format!("--{name}"), default.map(str::to_owned)),
        };
        self.known.push(variable);
        let text = text?;
        match parse(&text) {
            Ok(value) => Some(value),
            Err(allowed) => {
                self.add(setting, Some(text), allowed);
                None
            }
        }
    }

    /// Reads a setting; a missing value without a default is a fault.
    pub(super) fn required<T>(
        &mut self,
        name: &str,
        flag: Option<String>,
        default: Option<&str>,
        parse: fn(&str) -> Result<T, &'static str>,
    ) -> Option<T> {
        let before = self.faults.len();
        let value = self.value(name, flag, default, parse);
        if value.is_none() && self.faults.len() == before {
            let allowed = parse("").err().unwrap_or("a value");
            self.add(format!("--{name} or {}", variable_name(name)), None, allowed);
        }
        value
    }

    pub(super) fn address(
        &mut self,
        name: &str,
        flag: Option<String>,
        default: Option<&str>,
    ) -> Option<SocketAddr> {
        self.required(name, flag, default, parse_address)
    }

    pub(super) fn name(
        &mut self,
        name: &str,
        flag: Option<String>,
        default: Option<&str>,
    ) -> Option<Arc<str>> {
        self.required(name, flag, default, parse_name)
    }

    pub(super) fn level(&mut self, flag: Option<String>) -> Option<LevelFilter> {
        self.required("log-level", flag, Some("info"), parse_level)
    }

    pub(super) fn format(&mut self, flag: Option<String>) -> Option<LogFormat> {
        self.required("log-format", flag, Some("text"), parse_format)
    }

    pub(super) fn output(&mut self, flag: Option<String>) -> Option<LogOutput> {
        self.required("log-output", flag, Some("stderr"), parse_output)
    }

    /// Reads the peer secret from the environment; faults report only its length.
    pub(super) fn secret(&mut self) -> Option<PeerSecret> {
        match self.environment.get(PEER_SECRET_VARIABLE) {
            Some(text) if text.len() >= PEER_SECRET_BYTES_MIN => {
                Some(PeerSecret::new(text.as_str()))
            }
            found => {
                let found = found.map(|text| format!("{} bytes", text.len()));
                let allowed = format!("{PEER_SECRET_BYTES_MIN} bytes or more");
                self.add(PEER_SECRET_VARIABLE.to_owned(), found, &allowed);
                None
            }
        }
    }

    /// Reports each environment variable with the daemon's prefix that belongs to no setting.
    pub(super) fn check_unknown_variables(&mut self) {
        let mut unknown: Vec<_> = self
            .environment
            .keys()
            .filter(|name| name.starts_with(ENVIRONMENT_PREFIX) && !self.known.contains(name))
            .cloned()
            .collect();
        unknown.sort();
        for name in unknown {
            self.add(name, Some("an unknown setting".to_owned()), "a setting listed by --help");
        }
    }

    pub(super) fn finish<T>(self, settings: Option<T>) -> Result<T, SettingFaults> {
        match settings {
            Some(settings) if self.faults.is_empty() => Ok(settings),
            _ => Err(SettingFaults(self.faults)),
        }
    }

    fn add(&mut self, setting: String, found: Option<String>, allowed: &str) {
        self.faults.push(SettingFault { setting, found, allowed: allowed.to_owned() });
    }
}

fn variable_name(name: &str) -> String {
    format!("{ENVIRONMENT_PREFIX}{}", name.to_uppercase().replace('-', "_"))
}

fn parse_address(text: &str) -> Result<SocketAddr, &'static str> {
    text.parse().map_err(|_| "an IP address and port, such as 127.0.0.1:9100")
}

/// Parses an address that others connect to; the unspecified IP address and port 0 are invalid.
pub(super) fn parse_advertised(text: &str) -> Result<SocketAddr, &'static str> {
    let address = parse_address(text)?;
    if address.ip().is_unspecified() || address.port() == 0 {
        return Err("an IP address and port that others can connect to");
    }
    Ok(address)
}

fn parse_name(text: &str) -> Result<Arc<str>, &'static str> {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.');
    if text.is_empty() || text.len() > NAME_BYTES_MAX || !text.bytes().all(allowed) {
        return Err("1 to 64 letters, digits, '-', '_' or '.'");
    }
    Ok(text.into())
}

/// Parses a duration above 0 with its unit, such as `250 ms` or `3 s`.
pub(super) fn parse_duration(text: &str) -> Result<Duration, &'static str> {
    const ALLOWED: &str = "a duration above 0 with unit ms, s or min, such as \"250 ms\"";
    let duration = coltsfootgate_config::parse_duration(text).ok_or(ALLOWED)?;
    if duration.is_zero() { Err(ALLOWED) } else { Ok(duration) }
}

/// Parses a comma-separated list of addresses.
pub(super) fn parse_addresses(text: &str) -> Result<Vec<InstanceId>, &'static str> {
    let parts = text.split(',').map(str::trim).filter(|part| !part.is_empty());
    parts.map(|part| parse_advertised(part).map(|address| address.to_string().into())).collect()
}

/// Parses a comma-separated list of names.
pub(super) fn parse_names(text: &str) -> Result<Vec<Arc<str>>, &'static str> {
    text.split(',').map(str::trim).filter(|part| !part.is_empty()).map(parse_name).collect()
}

/// Parses a name; an empty text stands for none.
pub(super) fn parse_optional_name(text: &str) -> Result<Option<Arc<str>>, &'static str> {
    if text.is_empty() { Ok(None) } else { parse_name(text).map(Some) }
}

/// Parses an address that others listen on; an empty text stands for none.
pub(super) fn parse_optional_address(text: &str) -> Result<Option<SocketAddr>, &'static str> {
    if text.is_empty() { Ok(None) } else { parse_advertised(text).map(Some) }
}

/// Parses a number above 0; an empty text stands for none.
pub(super) fn parse_optional_number(text: &str) -> Result<Option<f64>, &'static str> {
    /// Largest number: a day, in milliseconds.
    const NUMBER_MAX: f64 = 86_400_000.0;
    if text.is_empty() {
        return Ok(None);
    }
    match text.trim().parse::<f64>() {
        Ok(number) if number > 0.0 && number <= NUMBER_MAX => Ok(Some(number)),
        _ => Err("a number above 0, up to 86400000"),
    }
}

/// Parses the path of an HTTP endpoint.
pub(super) fn parse_path(text: &str) -> Result<Arc<str>, &'static str> {
    if !text.starts_with('/') || !text.bytes().all(|byte| byte.is_ascii_graphic()) {
        return Err("a path that begins with \"/\"");
    }
    Ok(text.into())
}

/// Parses the path of a file.
pub(super) fn parse_file(text: &str) -> Result<PathBuf, &'static str> {
    if text.is_empty() { Err("the path of a file") } else { Ok(text.into()) }
}

/// Parses a count above 0.
pub(super) fn parse_count(text: &str) -> Result<usize, &'static str> {
    match text.parse() {
        Ok(count) if count > 0 => Ok(count),
        _ => Err("a whole number above 0"),
    }
}

/// Parses a share of a core, above 0, into thousandths; more than a whole core counts as one.
pub(super) fn parse_milli(text: &str) -> Result<u32, &'static str> {
    let allowed = "a share of a core above 0, such as 0.25";
    let share: f64 = text.trim().parse().map_err(|_| allowed)?;
    if !share.is_finite() || share <= 0.0 {
        return Err(allowed);
    }
    Ok(((share * 1000.0).round() as u32).clamp(1, 1000))
}

fn parse_level(text: &str) -> Result<LevelFilter, &'static str> {
    match text {
        "error" => Ok(LevelFilter::Error),
        "warn" => Ok(LevelFilter::Warn),
        "info" => Ok(LevelFilter::Info),
        "debug" => Ok(LevelFilter::Debug),
        "trace" => Ok(LevelFilter::Trace),
        _ => Err("error, warn, info, debug or trace"),
    }
}

fn parse_output(text: &str) -> Result<LogOutput, &'static str> {
    match text {
        "stdout" => Ok(LogOutput::Stdout),
        "stderr" => Ok(LogOutput::Stderr),
        _ => Err("stdout or stderr"),
    }
}

fn parse_format(text: &str) -> Result<LogFormat, &'static str> {
    match text {
        "text" => Ok(LogFormat::Text),
        "json" => Ok(LogFormat::Json),
        _ => Err("text or json"),
    }
}
