//! The match conditions of a class.

use std::collections::HashSet;
use std::sync::Arc;

use coltsfootgate_core::ids::BranchPath;

use crate::check::wrong_value;
use crate::error::ConfigFault;
use crate::schema::MATCH_KEYS;
use crate::value::{Setting, SettingValue};

/// A path segment or header value that matches anything.
const WILDCARD: &str = "*";

/// Looks up request headers by name.
pub trait HeaderLookup {
    /// The value of a header; `name` is in lowercase.
    fn header(&self, name: &str) -> Option<&str>;
}

/// A request without headers.
#[derive(Clone, Copy, Debug)]
pub struct NoHeaders;

impl HeaderLookup for NoHeaders {
    fn header(&self, _name: &str) -> Option<&str> {
        None
    }
}

impl<N: AsRef<str>, V: AsRef<str>> HeaderLookup for [(N, V)] {
    fn header(&self, name: &str) -> Option<&str> {
        let found = self.iter().find(|(key, _)| key.as_ref().eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_ref())
    }
}

impl<N: AsRef<str>, V: AsRef<str>> HeaderLookup for Vec<(N, V)> {
    fn header(&self, name: &str) -> Option<&str> {
        self.as_slice().header(name)
    }
}

/// The attributes of a request that classification uses.
#[derive(Clone, Copy, Debug)]
pub struct RequestAttributes<'a, H: ?Sized> {
    /// The branch path of the customer.
    pub customer: &'a str,
    /// The HTTP method, in uppercase.
    pub method: &'a str,
    /// The requested host, with or without a port.
    pub host: Option<&'a str>,
    /// The path; its query string is ignored.
    pub path: &'a str,
    /// The model named in the request.
    pub model: Option<&'a str>,
    /// The request headers.
    pub headers: &'a H,
}

impl<H: ?Sized> RequestAttributes<'_, H> {
    /// The path without its query string.
    pub(crate) fn path_without_query(&self) -> &str {
        self.path.split('?').next().unwrap_or_default()
    }

    /// The host without its port.
    pub(crate) fn host_name(&self) -> Option<&str> {
        self.host.map(|host| host.rsplit_once(':').map_or(host, |(name, _)| name))
    }
}

/// The conditions of one class; a request must satisfy all that are set.
#[derive(Clone, Debug, Default)]
pub(crate) struct ClassMatch {
    customers: Option<HashSet<BranchPath>>,
    models: Option<HashSet<Arc<str>>>,
    methods: Option<HashSet<Arc<str>>>,
    hosts: Option<Vec<Arc<str>>>,
    prefixes: Option<Vec<Arc<str>>>,
    paths: Option<Vec<PathPattern>>,
    headers: Vec<HeaderPattern>,
}

/// A fault in a `match` table, with the setting that caused it.
pub(crate) struct MatchFault<'a> {
    pub(crate) setting: &'a Setting,
    pub(crate) fault: ConfigFault,
}

impl ClassMatch {
    /// Parses a `match` table; leaves out invalid conditions and adds their faults to `faults`.
    pub(crate) fn parse<'a>(table: &'a [Setting], faults: &mut Vec<MatchFault<'a>>) -> Self {
        let mut class_match = Self::default();
        for setting in table {
            if let Err(fault) = class_match.parse_condition(setting) {
                faults.push(MatchFault { setting, fault });
            }
        }
        class_match
    }

    /// The customer branches that the conditions refer to.
    pub(crate) fn customers(&self) -> impl Iterator<Item = &BranchPath> {
        self.customers.iter().flatten()
    }

    /// The models that the conditions refer to.
    pub(crate) fn models(&self) -> impl Iterator<Item = &Arc<str>> {
        self.models.iter().flatten()
    }

    /// The hosts of which a request must have one; `None` if any host matches.
    pub(crate) fn hosts(&self) -> Option<&[Arc<str>]> {
        self.hosts.as_deref()
    }

    /// The path prefixes of which a request must have one; `None` if any path matches.
    pub(crate) fn prefixes(&self) -> Option<&[Arc<str>]> {
        self.prefixes.as_deref()
    }

    /// Whether a request satisfies all conditions.
    pub(crate) fn matches<H: HeaderLookup + ?Sized>(
        &self,
        attributes: &RequestAttributes<'_, H>,
    ) -> bool {
        let path = attributes.path_without_query();
        let customer =
            self.customers.as_ref().is_none_or(|set| contains_branch(set, attributes.customer));
        let model = self
            .models
            .as_ref()
            .is_none_or(|models| attributes.model.is_some_and(|model| models.contains(model)));
        let method =
            self.methods.as_ref().is_none_or(|methods| methods.contains(attributes.method));
        let host =
            self.hosts.as_ref().is_none_or(|hosts| contains_host(hosts, attributes.host_name()));
        let has_prefix = |prefixes: &Vec<Arc<str>>| prefixes.iter().any(|p| path.starts_with(&**p));
        let matches_path = |patterns: &Vec<PathPattern>| patterns.iter().any(|p| p.matches(path));
        customer
            && model
            && method
            && host
            && self.prefixes.as_ref().is_none_or(has_prefix)
            && self.paths.as_ref().is_none_or(matches_path)
            && self.headers.iter().all(|pattern| pattern.matches(attributes.headers))
    }

    fn parse_condition(&mut self, setting: &Setting) -> Result<(), ConfigFault> {
        let texts = || parse_texts(&setting.value);
        match &*setting.key {
            "customer" => self.customers = Some(texts()?.into_iter().collect()),
            "model" => self.models = Some(texts()?.into_iter().collect()),
            "method" => self.methods = Some(parse_methods(&setting.value)?),
            "host" => self.hosts = Some(texts()?),
            "prefix" => self.prefixes = Some(parse_prefixes(&setting.value)?),
            "path" => self.paths = Some(parse_paths(&setting.value)?),
            "header" => self.headers = parse_headers(&setting.value)?,
            unknown => return Err(ConfigFault::unknown_key(unknown, MATCH_KEYS)),
        }
        Ok(())
    }
}

/// Whether a set contains a branch or one of its ancestors.
fn contains_branch(branches: &HashSet<BranchPath>, branch: &str) -> bool {
    let ancestors = branch.match_indices('.').map(|(end, _)| &branch[..end]);
    branches.contains(branch) || ancestors.into_iter().any(|ancestor| branches.contains(ancestor))
}

fn parse_texts(value: &SettingValue) -> Result<Vec<Arc<str>>, ConfigFault> {
    let texts = value.as_texts().filter(|texts| !texts.is_empty());
    texts.ok_or_else(|| wrong_value(value, "a text or a list of texts that is not empty"))
}

/// Whether `hosts` contains a host, regardless of letter case.
fn contains_host(hosts: &[Arc<str>], name: Option<&str>) -> bool {
    name.is_some_and(|name| hosts.iter().any(|host| host.eq_ignore_ascii_case(name)))
}

fn parse_prefixes(value: &SettingValue) -> Result<Vec<Arc<str>>, ConfigFault> {
    let prefixes = parse_texts(value)?;
    if !prefixes.iter().all(|prefix| prefix.starts_with('/')) {
        return Err(wrong_value(
            value,
            "path prefixes that start with \"/\", such as \"/orders/\"",
        ));
    }
    Ok(prefixes)
}

fn parse_methods(value: &SettingValue) -> Result<HashSet<Arc<str>>, ConfigFault> {
    let methods = parse_texts(value)?;
    let is_method = |text: &Arc<str>| text.bytes().all(|byte| byte.is_ascii_uppercase());
    if !methods.iter().all(is_method) {
        return Err(wrong_value(value, "HTTP methods in uppercase, such as \"POST\""));
    }
    Ok(methods.into_iter().collect())
}

fn parse_paths(value: &SettingValue) -> Result<Vec<PathPattern>, ConfigFault> {
    let patterns = parse_texts(value)?.iter().map(|text| PathPattern::parse(text)).collect();
    let allowed =
        "paths that start with \"/\"; a segment may be `*`, and a final `*` matches any rest";
    Option::ok_or_else(patterns, || wrong_value(value, allowed))
}

fn parse_headers(value: &SettingValue) -> Result<Vec<HeaderPattern>, ConfigFault> {
    let allowed = "a table from header name to a text or a list of texts, `*` for any value";
    let SettingValue::Table(settings) = value else {
        return Err(wrong_value(value, allowed));
    };
    let parse = |setting: &Setting| {
        let values = parse_texts(&setting.value).map_err(|_| wrong_value(value, allowed))?;
        Ok(HeaderPattern { name: setting.key.to_ascii_lowercase().into(), values })
    };
    settings.iter().map(parse).collect()
}

#[derive(Clone, Debug)]
struct HeaderPattern {
    name: Arc<str>,
    values: Vec<Arc<str>>,
}

impl HeaderPattern {
    fn matches<H: HeaderLookup + ?Sized>(&self, headers: &H) -> bool {
        headers.header(&self.name).is_some_and(|found| {
            self.values.iter().any(|value| &**value == WILDCARD || &**value == found)
        })
    }
}

/// A path pattern: `*` matches one segment, or at the end any remaining path, even an empty one.
#[derive(Clone, Debug)]
struct PathPattern {
    segments: Vec<Arc<str>>,
    open_ended: bool,
}

impl PathPattern {
    fn parse(text: &str) -> Option<Self> {
        let mut segments: Vec<Arc<str>> =
            text.strip_prefix('/')?.split('/').map(Arc::from).collect();
        if segments.iter().any(|segment| segment.contains('*') && &**segment != WILDCARD) {
            return None;
        }
        let open_ended = segments.last().is_some_and(|segment| &**segment == WILDCARD);
        if open_ended {
            segments.pop();
        }
        Some(Self { segments, open_ended })
    }

    fn matches(&self, path: &str) -> bool {
        let Some(path) = path.strip_prefix('/') else {
            return false;
        };
        let mut found = path.split('/');
        for segment in &self.segments {
            match found.next() {
                Some(other) if &**segment == WILDCARD || &**segment == other => {}
                _ => return false,
            }
        }
        self.open_ended || found.next().is_none()
    }
}
