//! The schema: the keys of each section, with their bounds and defaults.

use std::net::SocketAddr;
use std::time::Duration;

use coltsfootgate_core::ids::TIER_COUNT;
use coltsfootgate_core::quarantine::PartId;

use crate::value::{Setting, SettingValue, parse_duration};

/// The length of a SHA-256 digest in hexadecimal digits.
const DIGEST_HEX_BYTES: usize = 64;
/// The maximum length of a text value, in bytes.
const TEXT_BYTES_MAX: usize = 256;

/// The maximum weight of a pool in a class.
const POOL_WEIGHT_MAX: i64 = 1_000_000;
/// The maximum price of a replica.
const PRICE_MAX: f64 = 1_000_000.0;
/// The allowed value of `match`, for error messages.
pub(crate) const MATCH_DESCRIPTION: &str =
    "a table of customer, model, method, host, prefix, path and header";

const MICROSECOND: Duration = Duration::from_micros(1);
const MILLISECOND: Duration = Duration::from_millis(1);
const MINUTE: Duration = Duration::from_secs(60);
const HOUR: Duration = Duration::from_secs(3600);
const DAY: Duration = Duration::from_secs(86400);

/// The top-level sections of a settings tree.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum ConfigSection {
    /// Settings of the whole deployment; has no branches.
    Deployment,
    /// Limits on client connections; has no branches.
    Connections,
    /// Request classes.
    Classes,
    /// Customers.
    Customers,
    /// Endpoint pools and their endpoints.
    Pools,
}

impl ConfigSection {
    /// All sections, in the order of a rendered document.
    pub const ALL: [Self; 5] =
        [Self::Deployment, Self::Connections, Self::Classes, Self::Customers, Self::Pools];

    /// The top-level key of the section, which is also the path of its root branch.
    pub fn name(self) -> &'static str {
        match self {
            Self::Deployment => "deployment",
            Self::Connections => "connections",
            Self::Classes => "classes",
            Self::Customers => "customers",
            Self::Pools => "pools",
        }
    }

    /// The section with this name.
    pub fn by_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|section| section.name() == name)
    }

    /// The keys that branches of this section may set.
    pub fn keys(self) -> &'static [KeySpec] {
        match self {
            Self::Deployment => DEPLOYMENT_KEYS,
            Self::Connections => CONNECTION_KEYS,
            Self::Classes => CLASS_KEYS,
            Self::Customers => CUSTOMER_KEYS,
            Self::Pools => POOL_KEYS,
        }
    }

    /// The specification of one key of this section.
    pub fn key(self, name: &str) -> Option<&'static KeySpec> {
        self.keys().iter().find(|spec| spec.name == name)
    }

    /// Whether tables in this section are child branches.
    pub(crate) fn has_branches(self) -> bool {
        !matches!(self, Self::Deployment | Self::Connections)
    }

    /// Whether the value of a key is a table rather than a child branch.
    pub(crate) fn is_table_key(self, name: &str) -> bool {
        self.key(name).is_some_and(|spec| spec.kind.is_table())
    }
}

/// The specification of one key.
#[derive(Debug)]
pub struct KeySpec {
    /// The key.
    pub name: &'static str,
    /// The values that the key allows.
    pub kind: ValueKind,
    /// The default value, as TOML text without quotes.
    pub default: Option<&'static str>,
    /// Whether child branches inherit the value.
    pub inherited: bool,
}

/// The values that a key allows.
#[derive(Clone, Copy, Debug)]
pub enum ValueKind {
    /// A duration with its unit, within inclusive bounds.
    Duration(Duration, Duration),
    /// An integer within inclusive bounds.
    Integer(i64, i64),
    /// A number within inclusive bounds.
    Number(f64, f64),
    /// `true` or `false`.
    Boolean,
    /// A non-empty text without control characters.
    Text,
    /// A text or a list of texts.
    TextList,
    /// One of the listed words.
    Choice(&'static [&'static str]),
    /// A list of SHA-256 digests in hexadecimal.
    Digests,
    /// A list of hexadecimal ids of parts of prompts or of requests.
    HexIds,
    /// An IP address and port.
    Address,
    /// The URL path prefix of a service.
    PathPrefix,
    /// The match conditions of a class.
    Match,
    /// A table that maps pool names to weights.
    PoolShares,
    /// A table that maps names of availability zones to prices.
    ZonePrices,
}

impl ValueKind {
    /// Whether the value is a table.
    fn is_table(self) -> bool {
        matches!(self, Self::Match | Self::PoolShares | Self::ZonePrices)
    }

    /// Whether a value is allowed.
    pub(crate) fn allows(self, value: &SettingValue) -> bool {
        match self {
            Self::Duration(min, max) => {
                let duration = value.as_text().and_then(|text| parse_duration(text));
                duration.is_some_and(|duration| (min..=max).contains(&duration))
            }
            Self::Integer(min, max) => {
                matches!(value, SettingValue::Integer(number) if (min..=max).contains(number))
            }
            Self::Number(min, max) => {
                value.as_number().is_some_and(|number| (min..=max).contains(&number))
            }
            Self::Boolean => matches!(value, SettingValue::Boolean(_)),
            Self::Text => value.as_text().is_some_and(|text| is_plain_text(text)),
            Self::TextList => {
                let texts = value.as_texts();
                texts.is_some_and(|texts| texts.iter().all(|text| is_plain_text(text)))
            }
            Self::Choice(words) => value.as_text().is_some_and(|text| words.contains(&&**text)),
            Self::Digests => {
                let texts = value.as_texts();
                texts.is_some_and(|texts| texts.iter().all(|text| is_digest(text)))
            }
            Self::HexIds => {
                let texts = value.as_texts();
                texts.is_some_and(|texts| texts.iter().all(|text| parse_hex_id(text).is_some()))
            }
            Self::Address => value.as_text().is_some_and(|text| text.parse::<SocketAddr>().is_ok()),
            Self::PathPrefix => value.as_text().is_some_and(|text| is_path_prefix(text)),
            Self::Match => matches!(value, SettingValue::Table(_)),
            Self::PoolShares => are_pool_shares(value),
            Self::ZonePrices => are_zone_prices(value),
        }
    }

    /// Describes the allowed values in an error message.
    pub(crate) fn description(self) -> String {
        match self {
            Self::Duration(min, max) => format!(
                "a duration with its unit (us, ms, s, min, h, d) from {min:?} to {max:?}, such as \"250 ms\""
            ),
            Self::Integer(min, max) => format!("a whole number from {min} to {max}"),
            Self::Number(min, max) => format!("a number from {min} to {max}"),
            Self::Boolean => "true or false".into(),
            Self::Text => {
                format!("a text of 1 to {TEXT_BYTES_MAX} bytes without control characters")
            }
            Self::TextList => "a text or a list of texts".into(),
            Self::Choice(words) => words.join(", "),
            Self::Digests => "a list of SHA-256 digests, each 64 hexadecimal digits".into(),
            Self::HexIds => "a list of ids, each 1 to 16 hexadecimal digits".into(),
            Self::Address => "an IP address and port, such as \"10.0.0.7:8000\"".into(),
            Self::PathPrefix => {
                "a path prefix that starts and ends with \"/\", outside \"/v1/\"".into()
            }
            Self::Match => MATCH_DESCRIPTION.into(),
            Self::PoolShares => format!(
                "a table from pool names to weights from 0 to {POOL_WEIGHT_MAX}, one of them above 0"
            ),
            Self::ZonePrices => {
                format!("a table from names of zones to prices above 0, up to {PRICE_MAX}")
            }
        }
    }
}

fn are_pool_shares(value: &SettingValue) -> bool {
    let SettingValue::Table(shares) = value else { return false };
    let weight = |setting: &Setting| match setting.value {
        SettingValue::Integer(weight) => Some(weight),
        _ => None,
    };
    let is_allowed =
        |weight: Option<i64>| weight.is_some_and(|weight| (0..=POOL_WEIGHT_MAX).contains(&weight));
    let has_positive_weight =
        shares.iter().any(|share| weight(share).is_some_and(|weight| weight > 0));
    has_positive_weight && shares.iter().map(weight).all(is_allowed)
}

fn are_zone_prices(value: &SettingValue) -> bool {
    let SettingValue::Table(prices) = value else { return false };
    let is_price = |price: f64| price > 0.0 && price <= PRICE_MAX;
    prices.iter().all(|price| price.value.as_number().is_some_and(is_price))
}

fn is_plain_text(text: &str) -> bool {
    !text.is_empty() && text.len() <= TEXT_BYTES_MAX && !text.chars().any(char::is_control)
}

/// Whether a text is a hexadecimal SHA-256 digest.
pub(crate) fn is_digest(text: &str) -> bool {
    text.len() == DIGEST_HEX_BYTES && text.bytes().all(|byte| byte.is_ascii_hexdigit())
}

/// Parses a hexadecimal id.
pub(crate) fn parse_hex_id(text: &str) -> Option<PartId> {
    let is_number = text.bytes().all(|byte| byte.is_ascii_hexdigit());
    PartId::from_str_radix(text, 16).ok().filter(|_| is_number)
}

fn is_path_prefix(text: &str) -> bool {
    let is_enclosed = text.starts_with('/') && text.ends_with('/');
    is_enclosed && is_plain_text(text) && !text.starts_with("/v1/") && !text.contains("//")
}

/// A key that child branches inherit, with a default.
const fn inherited(name: &'static str, kind: ValueKind, default: &'static str) -> KeySpec {
    KeySpec { name, kind, default: Some(default), inherited: true }
}

/// A key that child branches do not inherit, without a default.
const fn own(name: &'static str, kind: ValueKind) -> KeySpec {
    KeySpec { name, kind, default: None, inherited: false }
}

const DEPLOYMENT_KEYS: &[KeySpec] = &[
    own("name", ValueKind::Text),
    own("zones", ValueKind::TextList),
    inherited(
        "strategy",
        ValueKind::Choice(&["cooperative", "round-robin", "local-least-loaded"]),
        "cooperative",
    ),
    inherited("claim_window", ValueKind::Duration(MINUTE, Duration::from_secs(30 * 86400)), "24 h"),
    inherited("claim_pages", ValueKind::Integer(1, 4096), "64"),
    inherited("kept_answer_bytes", ValueKind::Integer(0, 65536), "4096"),
    inherited("owner_endpoints", ValueKind::Integer(1, 65536), "1"),
];

const CONNECTION_KEYS: &[KeySpec] = &[
    // The HTTP library reads into a buffer of at least 8 KiB.
    own("head_bytes", ValueKind::Integer(8192, 1 << 20)),
    own("body_bytes", ValueKind::Integer(0, 1 << 30)),
    own("head_time", ValueKind::Duration(MILLISECOND, HOUR)),
    own("idle_time", ValueKind::Duration(MILLISECOND, DAY)),
];

const CLASS_KEYS: &[KeySpec] = &[
    own("match", ValueKind::Match),
    inherited("tier", ValueKind::Integer(1, TIER_COUNT as i64), "4"),
    inherited("first_token", ValueKind::Duration(MILLISECOND, HOUR), "2 s"),
    inherited("between_tokens", ValueKind::Duration(MICROSECOND, MINUTE), "100 ms"),
    inherited("whole_answer", ValueKind::Duration(MILLISECOND, DAY), "30 s"),
    inherited("floor", ValueKind::Number(0.0, 0.5), "0.0"),
    inherited("queue_requests", ValueKind::Integer(0, 1_000_000), "1000"),
    inherited("queue_tokens", ValueKind::Integer(0, 1_000_000_000), "500000"),
    inherited("repeatable", ValueKind::Boolean, "true"),
    inherited("retry_budget", ValueKind::Number(0.0, 1.0), "0.1"),
    inherited("attempts", ValueKind::Integer(1, 10), "3"),
    inherited("deadline", ValueKind::Duration(MILLISECOND, DAY), "60 s"),
    inherited("resume", ValueKind::Boolean, "true"),
    inherited("timeout", ValueKind::Duration(MILLISECOND, DAY), "24 h"),
    inherited("public", ValueKind::Boolean, "false"),
    inherited("retry_errors", ValueKind::Boolean, "false"),
    inherited("patience", ValueKind::Number(1.0, 1000.0), "1000.0"),
    inherited("stream", ValueKind::Boolean, "false"),
    KeySpec { name: "pools", kind: ValueKind::PoolShares, default: None, inherited: true },
];

const CUSTOMER_KEYS: &[KeySpec] = &[
    own("keys", ValueKind::Digests),
    inherited("weight", ValueKind::Number(0.01, 1000.0), "1.0"),
    inherited("rate", ValueKind::Number(0.01, 1_000_000.0), "50.0"),
    inherited("burst", ValueKind::Integer(1, 1_000_000), "50"),
    inherited("concurrency", ValueKind::Integer(1, 1_000_000), "100"),
    KeySpec {
        name: "tier",
        kind: ValueKind::Integer(1, TIER_COUNT as i64),
        default: None,
        inherited: true,
    },
];

const POOL_KEYS: &[KeySpec] = &[
    own("model", ValueKind::Text),
    own("service", ValueKind::PathPrefix),
    own("kind", ValueKind::Choice(&["engine", "service"])),
    own("address", ValueKind::Address),
    inherited("resumes", ValueKind::Boolean, "false"),
    inherited("silence", ValueKind::Duration(MILLISECOND, HOUR), "10 s"),
    KeySpec { name: "allowed_parts", kind: ValueKind::HexIds, default: None, inherited: true },
    KeySpec { name: "allowed_requests", kind: ValueKind::HexIds, default: None, inherited: true },
    KeySpec { name: "zone", kind: ValueKind::Text, default: None, inherited: true },
    KeySpec {
        name: "memory_tokens",
        kind: ValueKind::Integer(1, 1_000_000_000),
        default: None,
        inherited: true,
    },
    own("scale_minimum", ValueKind::Integer(0, 65536)),
    own("scale_maximum", ValueKind::Integer(0, 65536)),
    inherited("boot_time", ValueKind::Duration(MILLISECOND, HOUR), "30 s"),
    KeySpec {
        name: "spot_price",
        kind: ValueKind::Number(0.0, PRICE_MAX),
        default: None,
        inherited: true,
    },
    KeySpec { name: "zone_prices", kind: ValueKind::ZonePrices, default: None, inherited: true },
    inherited("slots", ValueKind::Integer(1, 65536), "8"),
    inherited("slots_max", ValueKind::Integer(1, 65536), "64"),
];

/// The keys of a `match` table.
pub(crate) const MATCH_KEYS: [&str; 7] =
    ["customer", "model", "method", "host", "prefix", "path", "header"];
