//! A checked tree of settings, ready for decisions.

use std::sync::Arc;

use coltsfootgate_core::settings::{
    ClassSettings, ConnectionSettings, CustomerSettings, DeploymentSettings, PoolSettings,
};

use crate::check::{FaultList, check_keys};
use crate::class_match::{HeaderLookup, RequestAttributes};
use crate::classes::ClassIndex;
use crate::customers::CustomerIndex;
use crate::document::BranchDocument;
use crate::error::ConfigErrors;
use crate::pools::PoolIndex;
use crate::resolve::SettingReader;
use crate::schema::ConfigSection;

/// A tree of settings that passed every check.
#[derive(Clone, Debug)]
pub struct ConfigTree {
    document: BranchDocument,
    deployment: DeploymentSettings,
    connections: ConnectionSettings,
    classes: ClassIndex,
    customers: CustomerIndex,
    pools: PoolIndex,
}

impl ConfigTree {
    /// Reads and checks a whole tree; `source_name` names the text in errors.
    ///
    /// Fails with every fault that the text holds, in its order.
    pub fn parse(source_name: &str, text: &str) -> Result<Self, ConfigErrors> {
        Self::from_document(BranchDocument::parse(source_name, text)?)
    }

    /// Checks the branches of a document.
    ///
    /// Fails with every fault that the document holds, in its order.
    pub fn from_document(document: BranchDocument) -> Result<Self, ConfigErrors> {
        let mut faults = FaultList::new(document.source.clone());
        check_keys(&document, &mut faults);
        check_name(&document, &mut faults);
        let root = |section| SettingReader::new(&document, document.root(section));
        let deployment = root(ConfigSection::Deployment).deployment();
        let connections = root(ConfigSection::Connections).connections();
        let classes = ClassIndex::build(&document, &mut faults);
        let customers = CustomerIndex::build(&document, &mut faults);
        let pools = PoolIndex::build(&document, &mut faults);
        faults.finish()?;
        Ok(Self { document, deployment, connections, classes, customers, pools })
    }

    /// What holds for the deployment as a whole.
    pub fn deployment(&self) -> &DeploymentSettings {
        &self.deployment
    }

    /// Bounds on callers' connections.
    pub fn connections(&self) -> ConnectionSettings {
        self.connections
    }

    /// The class that a request falls into.
    ///
    /// Goes down from the root of the classes, each time into the first branch, in the order of
    /// the text, whose conditions hold, until none does.
    pub fn classify<H: HeaderLookup + ?Sized>(
        &self,
        attributes: &RequestAttributes<'_, H>,
    ) -> Arc<ClassSettings> {
        self.classes.classify(attributes).clone()
    }

    /// The class with this branch.
    pub fn class(&self, id: &str) -> Option<Arc<ClassSettings>> {
        self.classes.class(id).cloned()
    }

    /// All classes, each before those below it.
    pub fn classes(&self) -> impl Iterator<Item = &Arc<ClassSettings>> {
        self.classes.iter()
    }

    /// The customer that a bearer key belongs to.
    pub fn customer_by_key(&self, key: &str) -> Option<Arc<CustomerSettings>> {
        self.customers.by_key(key).cloned()
    }

    /// Whoever calls a public class without a key, with the settings of the root.
    pub fn anonymous_customer(&self) -> Arc<CustomerSettings> {
        self.customers.anonymous().clone()
    }

    /// The customer with this branch.
    pub fn customer(&self, id: &str) -> Option<Arc<CustomerSettings>> {
        self.customers.customer(id).cloned()
    }

    /// All customers, sorted by branch.
    pub fn customers(&self) -> impl Iterator<Item = &Arc<CustomerSettings>> {
        self.customers.iter()
    }

    /// The pool that serves a model.
    pub fn pool_for_model(&self, model: &str) -> Option<Arc<PoolSettings>> {
        self.pools.for_model(model).cloned()
    }

    /// The pool of the plain service with the longest prefix of a path.
    pub fn pool_for_path(&self, path: &str) -> Option<Arc<PoolSettings>> {
        self.pools.for_path(path).cloned()
    }

    /// The pool with this branch.
    pub fn pool(&self, id: &str) -> Option<Arc<PoolSettings>> {
        self.pools.pool(id).cloned()
    }

    /// All pools, sorted by branch.
    pub fn pools(&self) -> impl Iterator<Item = &Arc<PoolSettings>> {
        self.pools.iter()
    }

    /// The names of all models, sorted.
    pub fn models(&self) -> Vec<Arc<str>> {
        self.pools.models()
    }

    /// The branches with what each states itself.
    pub fn document(&self) -> &BranchDocument {
        &self.document
    }
}

fn check_name(document: &BranchDocument, faults: &mut FaultList) {
    let root = &document.nodes[document.root(ConfigSection::Deployment)];
    if root.setting("name").is_none() {
        faults.add_missing(root, "name", "the name of the deployment");
    }
}
