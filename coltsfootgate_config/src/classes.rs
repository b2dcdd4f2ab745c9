//! The request classes, and the classification of a request by their match conditions.

use std::collections::HashMap;
use std::sync::Arc;

use coltsfootgate_core::ids::{ClassId, TIER_COUNT};
use coltsfootgate_core::settings::ClassSettings;

use crate::check::FaultList;
use crate::class_match::{ClassMatch, HeaderLookup, MatchFault, RequestAttributes};
use crate::document::{BranchDocument, BranchNode};
use crate::error::ConfigFault;
use crate::resolve::{SettingReader, pool_path};
use crate::schema::{ConfigSection, MATCH_DESCRIPTION};
use crate::value::SettingValue;

/// The classes as a tree, each with the conditions that select it.
#[derive(Clone, Debug)]
pub(crate) struct ClassIndex {
    branches: Vec<ClassBranch>,
    by_id: HashMap<ClassId, usize>,
}

#[derive(Clone, Debug)]
struct ClassBranch {
    settings: Arc<ClassSettings>,
    conditions: ClassMatch,
    children: Vec<usize>,
}

impl ClassIndex {
    pub(crate) fn build(document: &BranchDocument, faults: &mut FaultList) -> Self {
        let mut index = Self { branches: Vec::new(), by_id: HashMap::new() };
        index.add(document, document.root(ConfigSection::Classes), faults);
        index.check_floors(document, faults);
        index.check_pools(document, faults);
        index
    }

    /// The class of a request: the deepest branch whose conditions match at every level.
    ///
    /// Among siblings, the first match in the order of the text wins.
    pub(crate) fn classify<H: HeaderLookup + ?Sized>(
        &self,
        attributes: &RequestAttributes<'_, H>,
    ) -> &Arc<ClassSettings> {
        let mut branch = &self.branches[0];
        loop {
            let mut children = branch.children.iter().map(|child| &self.branches[*child]);
            match children.find(|child| child.conditions.matches(attributes)) {
                Some(child) => branch = child,
                None => return &branch.settings,
            }
        }
    }

    /// The class with this branch path.
    pub(crate) fn class(&self, id: &str) -> Option<&Arc<ClassSettings>> {
        self.by_id.get(id).map(|position| &self.branches[*position].settings)
    }

    /// All classes, each before its descendants.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Arc<ClassSettings>> {
        self.branches.iter().map(|branch| &branch.settings)
    }

    fn add(&mut self, document: &BranchDocument, node: usize, faults: &mut FaultList) -> usize {
        let settings = Arc::new(SettingReader::new(document, node).class());
        let conditions = parse_conditions(document, &document.nodes[node], faults);
        let position = self.branches.len();
        self.by_id.insert(settings.id.clone(), position);
        self.branches.push(ClassBranch { settings, conditions, children: Vec::new() });
        for child in &document.nodes[node].children {
            let child = self.add(document, *child, faults);
            self.branches[position].children.push(child);
        }
        position
    }

    /// Checks that the pools that classes refer to exist.
    fn check_pools(&self, document: &BranchDocument, faults: &mut FaultList) {
        for node in &document.nodes {
            let Some(setting) =
                node.setting("pools").filter(|_| node.section == ConfigSection::Classes)
            else {
                continue;
            };
            let SettingValue::Table(shares) = &setting.value else { continue };
            for share in shares {
                let referenced = document.branch(&pool_path(&share.key));
                if referenced.is_none() {
                    let found = format!("pool {:?}", share.key);
                    let allowed = "a branch of `pools`".into();
                    faults.add_setting(node, setting, ConfigFault::WrongValue { found, allowed });
                }
            }
        }
    }

    /// Checks that the minimum shares (`floor`) of all tiers add up to at most 1.
    ///
    /// Above 1, the shares could not all be granted, and no capacity would be left to grant in tier
    /// order. Each tier counts with the highest floor of its classes.
    fn check_floors(&self, document: &BranchDocument, faults: &mut FaultList) {
        let mut floors = [0.0_f64; TIER_COUNT];
        for class in self.iter() {
            let floor = &mut floors[class.tier.index()];
            *floor = floor.max(class.floor);
        }
        let sum: f64 = floors.iter().sum();
        if sum > 1.0 {
            let found = format!("floors of the tiers that add up to {sum:.3}");
            let allowed = "at most 1.0 over all tiers, counting the highest floor of each".into();
            let root = &document.nodes[document.root(ConfigSection::Classes)];
            faults.add_branch(root, ConfigFault::WrongValue { found, allowed });
        }
    }
}

fn parse_conditions(
    document: &BranchDocument,
    node: &BranchNode,
    faults: &mut FaultList,
) -> ClassMatch {
    let Some(setting) = node.setting("match") else {
        if node.parent.is_some() {
            faults.add_missing(node, "match", MATCH_DESCRIPTION);
        }
        return ClassMatch::default();
    };
    let SettingValue::Table(table) = &setting.value else {
        return ClassMatch::default();
    };
    let mut match_faults = Vec::new();
    let conditions = ClassMatch::parse(table, &mut match_faults);
    for MatchFault { setting, fault } in match_faults {
        faults.add_setting(node, setting, fault);
    }
    check_references(document, node, &conditions, faults);
    conditions
}

/// Checks that the customers and models that conditions refer to exist.
fn check_references(
    document: &BranchDocument,
    node: &BranchNode,
    conditions: &ClassMatch,
    faults: &mut FaultList,
) {
    let Some(setting) = node.setting("match") else {
        return;
    };
    for customer in conditions.customers() {
        let referenced = document.branch(customer);
        if referenced.is_none_or(|branch| branch.section != ConfigSection::Customers) {
            let found = format!("customer {customer:?}");
            let allowed = "a branch of `customers`".into();
            faults.add_setting(node, setting, ConfigFault::WrongValue { found, allowed });
        }
    }
    let model = |node: &BranchNode| node.setting("model")?.value.as_text().cloned();
    let models: Vec<_> = document.nodes.iter().filter_map(model).collect();
    for model in conditions.models().filter(|model| !models.contains(model)) {
        let found = format!("model {model:?}");
        let allowed = format!("a model of a pool: {}", models.join(", "));
        faults.add_setting(node, setting, ConfigFault::WrongValue { found, allowed });
    }
}
