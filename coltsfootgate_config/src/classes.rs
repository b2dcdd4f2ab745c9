//! The request classes, and the classification of a request by their match conditions.

use std::collections::HashMap;
use std::sync::Arc;

use coltsfootgate_core::ids::{ClassId, TIER_COUNT};
use coltsfootgate_core::settings::ClassSettings;

use crate::check::FaultList;
use crate::child_index::ChildIndex;
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
    /// The classes by the positions of their branches, while classes are added.
    by_node: Vec<Option<usize>>,
    /// The models that conditions may refer to, while classes are added.
    models: Vec<Arc<str>>,
}

#[derive(Clone, Debug)]
struct ClassBranch {
    settings: Arc<ClassSettings>,
    conditions: ClassMatch,
    children: ChildIndex,
}

impl ClassIndex {
    /// Creates an index without classes.
    pub(crate) fn new(document: &BranchDocument) -> Self {
        let model = |node: &BranchNode| node.setting("model")?.value.as_text().cloned();
        Self {
            branches: Vec::new(),
            by_id: HashMap::new(),
            by_node: vec![None; document.nodes.len()],
            models: document.nodes.iter().filter_map(model).collect(),
        }
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
            let candidates = branch.children.candidates(attributes);
            let mut children = candidates.into_iter().map(|child| &self.branches[child]);
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

    /// Adds the class of a branch, whose parent was added before.
    pub(crate) fn add_branch(
        &mut self,
        document: &BranchDocument,
        position: usize,
        faults: &mut FaultList,
    ) {
        let node = &document.nodes[position];
        let settings = Arc::new(SettingReader::new(document, position).class());
        let conditions = parse_conditions(document, node, &self.models, faults);
        check_pools(document, node, faults);
        let added = self.branches.len();
        self.by_id.insert(settings.id.clone(), added);
        self.by_node[position] = Some(added);
        if let Some(parent) = node.parent.and_then(|parent| self.by_node[parent]) {
            self.branches[parent].children.add(added, &conditions);
        }
        let children = ChildIndex::default();
        self.branches.push(ClassBranch { settings, conditions, children });
    }

    /// Checks all classes together.
    pub(crate) fn finish(&mut self, document: &BranchDocument, faults: &mut FaultList) {
        self.check_floors(document, faults);
        (self.by_node, self.models) = (Vec::new(), Vec::new());
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

/// Checks that the pools that a class refers to exist.
fn check_pools(document: &BranchDocument, node: &BranchNode, faults: &mut FaultList) {
    let Some(setting) = node.setting("pools") else { return };
    let SettingValue::Table(shares) = &setting.value else { return };
    for share in shares {
        let referenced = document.branch(&pool_path(&share.key));
        if referenced.is_none() {
            let found = format!("pool {:?}", share.key);
            let allowed = "a branch of `pools`".into();
            faults.add_setting(node, setting, ConfigFault::WrongValue { found, allowed });
        }
    }
}

fn parse_conditions(
    document: &BranchDocument,
    node: &BranchNode,
    models: &[Arc<str>],
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
    check_references(document, node, &conditions, models, faults);
    conditions
}

/// Checks that the customers and models that conditions refer to exist.
fn check_references(
    document: &BranchDocument,
    node: &BranchNode,
    conditions: &ClassMatch,
    models: &[Arc<str>],
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
    for model in conditions.models().filter(|model| !models.contains(model)) {
        let found = format!("model {model:?}");
        let allowed = format!("a model of a pool: {}", models.join(", "));
        faults.add_setting(node, setting, ConfigFault::WrongValue { found, allowed });
    }
}
