//! Reads the effective settings of a branch, including inherited values and defaults.

use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use coltsfootgate_core::duty::scale::ScaleSettings;
use coltsfootgate_core::ids::{BranchPath, RequestTier};
use coltsfootgate_core::quarantine::{PartId, RequestDigest};
use coltsfootgate_core::settings::{
    ClassSettings, ConnectionSettings, CustomerSettings, DeploymentSettings, EndpointSettings,
    PoolShare, RoutingStrategy,
};

use crate::document::BranchDocument;
use crate::schema::{ConfigSection, parse_hex_id};
use crate::value::{Setting, SettingValue, parse_duration};

/// Reads the effective settings of one branch.
///
/// A value that validation rejects may read as zero or as a default; validation reports it
/// separately, and the tree is not used.
pub(crate) struct SettingReader<'a> {
    document: &'a BranchDocument,
    position: usize,
}

impl<'a> SettingReader<'a> {
    pub(crate) fn new(document: &'a BranchDocument, position: usize) -> Self {
        Self { document, position }
    }

    pub(crate) fn class(&self) -> ClassSettings {
        ClassSettings {
            id: self.path(),
            tier: RequestTier::new(self.integer("tier")).unwrap_or(RequestTier::LOWEST),
            first_token: self.duration("first_token"),
            between_tokens: self.duration("between_tokens"),
            whole_answer: self.duration("whole_answer"),
            floor: self.number("floor"),
            queue_requests: self.integer("queue_requests"),
            queue_tokens: self.integer("queue_tokens"),
            repeatable: self.boolean("repeatable"),
            retry_budget: self.number("retry_budget"),
            attempts: self.integer("attempts"),
            deadline: self.duration("deadline"),
            resume: self.boolean("resume"),
            timeout: self.duration("timeout"),
            is_public: self.boolean("public"),
            retries_errors: self.boolean("retry_errors"),
            patience: self.number("patience"),
            is_stream: self.boolean("stream"),
            pools: self.pool_shares(),
        }
    }

    pub(crate) fn customer(&self) -> CustomerSettings {
        CustomerSettings {
            id: self.path(),
            weight: self.number("weight"),
            rate: self.number("rate"),
            burst: self.integer("burst"),
            concurrency: self.integer("concurrency"),
            tier: self.tier(),
        }
    }

    pub(crate) fn endpoint(&self) -> EndpointSettings {
        EndpointSettings {
            id: self.path(),
            replica: None,
            version: None,
            address: self.text("address").unwrap_or_default(),
            zone: self.text("zone").unwrap_or_default(),
            slots: self.integer("slots"),
            slots_max: self.integer("slots_max"),
        }
    }

    pub(crate) fn deployment(&self) -> DeploymentSettings {
        DeploymentSettings {
            name: self.text("name").unwrap_or_default(),
            strategy: self.strategy(),
            claim_window: self.duration("claim_window"),
            claim_pages: self.integer("claim_pages"),
            kept_answer_bytes: self.integer("kept_answer_bytes"),
            owner_endpoints: self.integer("owner_endpoints"),
        }
    }

    pub(crate) fn connections(&self) -> ConnectionSettings {
        ConnectionSettings {
            head_bytes: self.optional_integer("head_bytes"),
            body_bytes: self.optional_integer("body_bytes"),
            head_time: self.optional_duration("head_time"),
            idle_time: self.optional_duration("idle_time"),
        }
    }

    pub(crate) fn path(&self) -> BranchPath {
        self.document.nodes[self.position].path.clone()
    }

    pub(crate) fn text(&self, key: &str) -> Option<Arc<str>> {
        self.value(key)?.as_text().cloned()
    }

    pub(crate) fn texts(&self, key: &str) -> Vec<Arc<str>> {
        self.value(key).and_then(SettingValue::as_texts).unwrap_or_default()
    }

    pub(crate) fn duration(&self, key: &str) -> Duration {
        let explicit = self.value(key).and_then(SettingValue::as_text);
        let text = explicit.map_or_else(|| self.default_text(key), |text| &**text);
        parse_duration(text).unwrap_or_default()
    }

    pub(crate) fn boolean(&self, key: &str) -> bool {
        match self.value(key) {
            Some(value) => matches!(value, SettingValue::Boolean(true)),
            None => self.default_value(key),
        }
    }

    pub(crate) fn integer<N: TryFrom<i64> + FromStr + Default>(&self, key: &str) -> N {
        match self.value(key) {
            Some(SettingValue::Integer(number)) => N::try_from(*number).unwrap_or_default(),
            Some(_) => N::default(),
            None => self.default_value(key),
        }
    }

    fn number(&self, key: &str) -> f64 {
        match self.value(key) {
            Some(value) => value.as_number().unwrap_or_default(),
            None => self.default_value(key),
        }
    }

    /// The tier that a branch sets or inherits; the key has no default.
    fn tier(&self) -> Option<RequestTier> {
        match self.value("tier")? {
            SettingValue::Integer(number) => RequestTier::new(u8::try_from(*number).ok()?),
            _ => None,
        }
    }

    /// The memory of each engine of a pool, in tokens; the key has no default.
    pub(crate) fn memory(&self) -> Option<u64> {
        self.optional_integer("memory_tokens")
    }

    /// The parts of prompts that a pool never blocks.
    pub(crate) fn allowed_parts(&self) -> Vec<PartId> {
        self.texts("allowed_parts").iter().filter_map(|text| parse_hex_id(text)).collect()
    }

    /// How many replicas a pool may have in each zone; `None` if it sets no maximum.
    pub(crate) fn scale(&self) -> Option<ScaleSettings> {
        let maximum = self.optional_integer("scale_maximum")?;
        let prices = match self.value("zone_prices") {
            Some(SettingValue::Table(prices)) => &prices[..],
            _ => &[],
        };
        let price = |price: &Setting| Some((price.key.clone(), price.value.as_number()?));
        Some(ScaleSettings {
            minimum: self.optional_integer("scale_minimum").unwrap_or(0),
            maximum,
            boot_time: self.duration("boot_time"),
            spot_price: self.value("spot_price").and_then(SettingValue::as_number),
            zone_prices: prices.iter().filter_map(price).collect(),
        })
    }

    /// The requests that a pool never blocks.
    pub(crate) fn allowed_requests(&self) -> Vec<RequestDigest> {
        self.texts("allowed_requests").iter().filter_map(|text| parse_hex_id(text)).collect()
    }

    /// The value of an integer key without a default.
    fn optional_integer<N: TryFrom<i64>>(&self, key: &str) -> Option<N> {
        match self.value(key)? {
            SettingValue::Integer(number) => N::try_from(*number).ok(),
            _ => None,
        }
    }

    /// The value of a duration key without a default.
    fn optional_duration(&self, key: &str) -> Option<Duration> {
        parse_duration(self.value(key)?.as_text()?)
    }

    fn pool_shares(&self) -> Vec<PoolShare> {
        let Some(SettingValue::Table(shares)) = self.value("pools") else { return Vec::new() };
        let share = |setting: &Setting| match setting.value {
            SettingValue::Integer(weight) => {
                let pool = pool_path(&setting.key);
                Some(PoolShare { pool, weight: u32::try_from(weight).ok()? })
            }
            _ => None,
        };
        shares.iter().filter_map(share).collect()
    }

    fn strategy(&self) -> RoutingStrategy {
        match self.text("strategy").as_deref().unwrap_or_else(|| self.default_text("strategy")) {
            "round-robin" => RoutingStrategy::RoundRobin,
            "local-least-loaded" => RoutingStrategy::LocalLeastLoaded,
            _ => RoutingStrategy::Cooperative,
        }
    }

    fn value(&self, key: &str) -> Option<&'a SettingValue> {
        let node = &self.document.nodes[self.position];
        let setting = if node.section.key(key)?.inherited {
            self.document.find_inherited(self.position, key).map(|(_, setting)| setting)
        } else {
            node.setting(key)
        };
        setting.map(|setting| &setting.value)
    }

    fn default_value<V: FromStr + Default>(&self, key: &str) -> V {
        self.default_text(key).parse().unwrap_or_default()
    }

    fn default_text(&self, key: &str) -> &'static str {
        let spec = self.document.nodes[self.position].section.key(key);
        spec.and_then(|spec| spec.default).unwrap_or_default()
    }
}

/// The branch path of a pool that a class refers to by `name`.
pub(crate) fn pool_path(name: &str) -> BranchPath {
    format!("{}.{name}", ConfigSection::Pools.name()).into()
}
