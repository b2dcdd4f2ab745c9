//! The endpoint pools, indexed by model and by path prefix.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;

use coltsfootgate_core::duty::scale::ScaleSettings;
use coltsfootgate_core::ids::{BranchPath, PoolId};
use coltsfootgate_core::settings::{EndpointSettings, PoolKind, PoolSettings, RouteTarget};

use crate::check::{FaultList, wrong_value};
use crate::document::{BranchDocument, BranchNode};
use crate::error::ConfigFault;
use crate::resolve::SettingReader;
use crate::schema::ConfigSection;

/// The pools, indexed by branch, model and path prefix.
#[derive(Clone, Debug, Default)]
pub(crate) struct PoolIndex {
    pools: BTreeMap<PoolId, Arc<PoolSettings>>,
    by_model: HashMap<Arc<str>, Arc<PoolSettings>>,
    by_prefix: HashMap<Arc<str>, Arc<PoolSettings>>,
}

impl PoolIndex {
    pub(crate) fn build(document: &BranchDocument, faults: &mut FaultList) -> Self {
        let mut builder = PoolBuilder {
            document,
            faults,
            index: Self::default(),
            zones: SettingReader::new(document, document.root(ConfigSection::Deployment))
                .texts("zones"),
            addresses: HashMap::new(),
        };
        builder.add_pools(document.root(ConfigSection::Pools));
        builder.check_pools_and_zones();
        builder.index
    }

    /// The pool that serves a model.
    pub(crate) fn for_model(&self, model: &str) -> Option<&Arc<PoolSettings>> {
        self.by_model.get(model)
    }

    /// The pool with the longest prefix of a path; the query string is ignored.
    ///
    /// A path without a final slash also matches the prefix that equals it except for that slash.
    pub(crate) fn for_path(&self, path: &str) -> Option<&Arc<PoolSettings>> {
        let path = path.split('?').next().unwrap_or_default();
        if let Some(pool) = self.by_prefix.get(format!("{path}/").as_str()) {
            return Some(pool);
        }
        let prefixes = path.rmatch_indices('/').map(|(end, _)| &path[..=end]);
        prefixes.into_iter().find_map(|prefix| self.by_prefix.get(prefix))
    }

    /// The pool with this branch path.
    pub(crate) fn pool(&self, id: &str) -> Option<&Arc<PoolSettings>> {
        self.pools.get(id)
    }

    /// All pools, sorted by branch path.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Arc<PoolSettings>> {
        self.pools.values()
    }

    /// The names of all models, sorted.
    pub(crate) fn models(&self) -> Vec<Arc<str>> {
        let mut models: Vec<_> = self.by_model.keys().cloned().collect();
        models.sort();
        models
    }
}

/// Builds a [`PoolIndex`] and records the faults found on the way.
struct PoolBuilder<'a> {
    document: &'a BranchDocument,
    faults: &'a mut FaultList,
    index: PoolIndex,
    zones: Vec<Arc<str>>,
    addresses: HashMap<Arc<str>, BranchPath>,
}

impl PoolBuilder<'_> {
    /// Adds every pool at or below a branch; `address` is only allowed inside a pool.
    fn add_pools(&mut self, position: usize) {
        let document = self.document;
        let node = &document.nodes[position];
        if is_pool(node) {
            self.add_pool(position);
            return;
        }
        if node.setting("address").is_some() {
            let found = "an `address` outside a pool".into();
            let allowed = "below a branch with `model`, `service` or `kind`".into();
            self.faults.add_branch(node, ConfigFault::Misplaced { found, allowed });
        }
        for child in &node.children {
            self.add_pools(*child);
        }
    }

    fn add_pool(&mut self, position: usize) {
        let document = self.document;
        let node = &document.nodes[position];
        let reader = SettingReader::new(document, position);
        let target = match (reader.text("model"), reader.text("service"), reader.text("kind")) {
            (Some(model), None, None) => RouteTarget::Model(model),
            (None, Some(prefix), None) => RouteTarget::Service(prefix),
            (None, None, Some(kind)) => RouteTarget::Classes(pool_kind(&kind)),
            (None, None, None) => return,
            _ => {
                let found = "more than one of `model`, `service` and `kind`".into();
                let allowed = "one of the three".into();
                self.faults.add_branch(node, ConfigFault::Misplaced { found, allowed });
                return;
            }
        };
        let mut endpoints = Vec::new();
        self.collect_endpoints(position, &mut endpoints);
        endpoints.sort_by(|left, right| left.id.cmp(&right.id));
        let (resumes, silence) = (reader.boolean("resumes"), reader.duration("silence"));
        let (id, memory) = (reader.path(), reader.memory());
        let (allowed_parts, allowed_requests) = (reader.allowed_parts(), reader.allowed_requests());
        let scale = reader.scale();
        self.check_scale(node, scale.as_ref());
        let pool = Arc::new(PoolSettings {
            id,
            target,
            resumes,
            silence,
            memory,
            allowed_parts,
            allowed_requests,
            scale,
            endpoints,
        });
        self.insert(node, pool);
    }

    fn insert(&mut self, node: &BranchNode, pool: Arc<PoolSettings>) {
        let (index, name, key) = match &pool.target {
            RouteTarget::Model(model) => (&mut self.index.by_model, model, "model"),
            RouteTarget::Service(prefix) => (&mut self.index.by_prefix, prefix, "service"),
            RouteTarget::Classes(_) => {
                self.index.pools.insert(pool.id.clone(), pool);
                return;
            }
        };
        if let (Some(other), Some(setting)) = (index.get(name), node.setting(key)) {
            let (found, first) = (setting.value.to_string(), other.id.clone());
            self.faults.add_setting(node, setting, ConfigFault::Duplicate { found, first });
        }
        index.insert(name.clone(), pool.clone());
        self.index.pools.insert(pool.id.clone(), pool);
    }

    fn collect_endpoints(&mut self, position: usize, endpoints: &mut Vec<EndpointSettings>) {
        let document = self.document;
        for child in &document.nodes[position].children {
            let node = &document.nodes[*child];
            if is_pool(node) {
                let found = "a pool inside a pool".into();
                let allowed = "pools side by side".into();
                self.faults.add_branch(node, ConfigFault::Misplaced { found, allowed });
            }
            if node.setting("address").is_some() {
                let endpoint = SettingReader::new(document, *child).endpoint();
                self.check_endpoint(node, &endpoint);
                endpoints.push(endpoint);
            }
            self.collect_endpoints(*child, endpoints);
        }
    }

    fn check_scale(&mut self, node: &BranchNode, scale: Option<&ScaleSettings>) {
        let Some(scale) = scale else { return };
        if scale.minimum > scale.maximum {
            let found = format!("scale_minimum = {} above scale_maximum", scale.minimum);
            let allowed = format!("0 to scale_maximum, here {}", scale.maximum);
            self.faults.add_branch(node, ConfigFault::WrongValue { found, allowed });
        }
        if scale.zone_prices.is_empty() {
            self.faults.add_missing(node, "zone_prices", "the price of a replica in each zone");
        }
    }

    fn check_endpoint(&mut self, node: &BranchNode, endpoint: &EndpointSettings) {
        self.check_zone(node, endpoint);
        self.check_address(node, endpoint);
        if endpoint.slots > endpoint.slots_max {
            let found = format!("slots = {} above slots_max", endpoint.slots);
            let allowed = format!("1 to slots_max, here {}", endpoint.slots_max);
            self.faults.add_branch(node, ConfigFault::WrongValue { found, allowed });
        }
        if !node.children.is_empty() {
            let found = "branches below an endpoint".into();
            let allowed = "endpoints side by side".into();
            self.faults.add_branch(node, ConfigFault::Misplaced { found, allowed });
        }
    }

    fn check_zone(&mut self, node: &BranchNode, endpoint: &EndpointSettings) {
        if endpoint.zone.is_empty() {
            self.faults.add_missing(node, "zone", "the name of an availability zone");
        } else if !self.zones.is_empty() && !self.zones.contains(&endpoint.zone) {
            let found = format!("zone {:?}", endpoint.zone);
            let allowed = format!("the zones of `deployment`: {}", self.zones.join(", "));
            self.faults.add_branch(node, ConfigFault::WrongValue { found, allowed });
        }
    }

    fn check_address(&mut self, node: &BranchNode, endpoint: &EndpointSettings) {
        let first = self.addresses.insert(endpoint.address.clone(), endpoint.id.clone());
        if let (Some(first), Some(setting)) = (first, node.setting("address")) {
            let found = setting.value.to_string();
            self.faults.add_setting(node, setting, ConfigFault::Duplicate { found, first });
        }
    }

    /// Checks that there is at least one pool and that no zone is listed twice.
    fn check_pools_and_zones(&mut self) {
        if self.index.pools.is_empty() {
            let root = &self.document.nodes[self.document.root(ConfigSection::Pools)];
            let allowed = "at least one pool, which is a branch with `model`, `service` or `kind`";
            self.faults.add_missing(root, "model", allowed);
        }
        let zones: HashSet<_> = self.zones.iter().collect();
        let root = &self.document.nodes[self.document.root(ConfigSection::Deployment)];
        if let Some(setting) = root.setting("zones").filter(|_| zones.len() < self.zones.len()) {
            self.faults.add_setting(root, setting, wrong_value(&setting.value, "each zone once"));
        }
    }
}

fn is_pool(node: &BranchNode) -> bool {
    ["model", "service", "kind"].iter().any(|key| node.setting(key).is_some())
}

fn pool_kind(word: &str) -> PoolKind {
    if word == "engine" { PoolKind::Engine } else { PoolKind::Service }
}
