//! The validated settings tree, with the lookups that request handling needs.

use std::sync::Arc;

use coltsfootgate_core::settings::{
    ClassSettings, ConnectionSettings, CustomerSettings, DeploymentSettings, PoolSettings,
};

use crate::check::{FaultList, check_settings};
use crate::class_match::{HeaderLookup, RequestAttributes};
use crate::classes::ClassIndex;
use crate::customers::CustomerIndex;
use crate::document::BranchDocument;
use crate::error::ConfigErrors;
use crate::pools::PoolIndex;
use crate::resolve::SettingReader;
use crate::schema::ConfigSection;

/// A settings tree that passed validation.
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
    /// Parses and validates a whole tree; `source_name` is the name of the text in errors.
    ///
    /// Fails with all syntax errors or, if there are none, all faults, in the order of the text.
    pub fn parse(source_name: &str, text: &str) -> Result<Self, ConfigErrors> {
        Self::from_document(BranchDocument::parse(source_name, text)?)
    }

    /// Validates a parsed document.
    ///
    /// Fails with all faults of the document, in the order of its text.
    pub fn from_document(document: BranchDocument) -> Result<Self, ConfigErrors> {
        TreeBuilder::new(document).finish()
    }

    /// The settings of the whole deployment.
    pub fn deployment(&self) -> &DeploymentSettings {
        &self.deployment
    }

    /// The limits on client connections.
    pub fn connections(&self) -> ConnectionSettings {
        self.connections
    }

    /// The class of a request.
    ///
    /// Starting at the root class, descends into the first child, in the order of the text, whose
    /// conditions match, until no child matches.
    pub fn classify<H: HeaderLookup + ?Sized>(
        &self,
        attributes: &RequestAttributes<'_, H>,
    ) -> Arc<ClassSettings> {
        self.classes.classify(attributes).clone()
    }

    /// The class with this branch path.
    pub fn class(&self, id: &str) -> Option<Arc<ClassSettings>> {
        self.classes.class(id).cloned()
    }

    /// All classes, each before its descendants.
    pub fn classes(&self) -> impl Iterator<Item = &Arc<ClassSettings>> {
        self.classes.iter()
    }

    /// The customer that a bearer key belongs to.
    pub fn customer_by_key(&self, key: &str) -> Option<Arc<CustomerSettings>> {
        self.customers.by_key(key).cloned()
    }

    /// The customer of requests without a key, which only public classes accept.
    ///
    /// It has the settings of the section root.
    pub fn anonymous_customer(&self) -> Arc<CustomerSettings> {
        self.customers.anonymous().clone()
    }

    /// The customer with this branch path.
    pub fn customer(&self, id: &str) -> Option<Arc<CustomerSettings>> {
        self.customers.customer(id).cloned()
    }

    /// All customers, sorted by branch path.
    pub fn customers(&self) -> impl Iterator<Item = &Arc<CustomerSettings>> {
        self.customers.iter()
    }

    /// The pool that serves a model.
    pub fn pool_for_model(&self, model: &str) -> Option<Arc<PoolSettings>> {
        self.pools.for_model(model).cloned()
    }

    /// The service pool with the longest prefix of a path.
    pub fn pool_for_path(&self, path: &str) -> Option<Arc<PoolSettings>> {
        self.pools.for_path(path).cloned()
    }

    /// The pool with this branch path.
    pub fn pool(&self, id: &str) -> Option<Arc<PoolSettings>> {
        self.pools.pool(id).cloned()
    }

    /// All pools, sorted by branch path.
    pub fn pools(&self) -> impl Iterator<Item = &Arc<PoolSettings>> {
        self.pools.iter()
    }

    /// The names of all models, sorted.
    pub fn models(&self) -> Vec<Arc<str>> {
        self.pools.models()
    }

    /// The document that the tree was built from.
    pub fn document(&self) -> &BranchDocument {
        &self.document
    }
}

/// Builds a tree from a document in slices of bounded size, so that a caller can do other work between
/// them.
#[derive(Debug)]
pub struct TreeBuilder {
    document: BranchDocument,
    faults: FaultList,
    classes: ClassIndex,
    customers: CustomerIndex,
    /// The position of the next branch.
    next: usize,
}

impl TreeBuilder {
    /// Maximum number of branches in one slice.
    pub const SLICE_BRANCHES: usize = 64;

    /// Creates the builder of a document's tree.
    pub fn new(document: BranchDocument) -> Self {
        Self {
            faults: FaultList::new(document.source.clone()),
            classes: ClassIndex::new(&document),
            customers: CustomerIndex::new(&document),
            document,
            next: 0,
        }
    }

    /// Validates and adds the next slice of branches; returns whether any are left.
    pub fn advance(&mut self) -> bool {
        let end = self.document.nodes.len().min(self.next + Self::SLICE_BRANCHES);
        for position in self.next..end {
            self.add_branch(position);
        }
        self.next = end;
        end < self.document.nodes.len()
    }

    /// Adds the branches that are left and finishes the tree.
    ///
    /// Fails with all faults of the document, in the order of its text.
    pub fn finish(mut self) -> Result<ConfigTree, ConfigErrors> {
        while self.advance() {}
        let Self { document, mut faults, mut classes, customers, .. } = self;
        check_name(&document, &mut faults);
        let root = |section| SettingReader::new(&document, document.root(section));
        let deployment = root(ConfigSection::Deployment).deployment();
        let connections = root(ConfigSection::Connections).connections();
        classes.finish(&document, &mut faults);
        customers.check(&document, &mut faults);
        let pools = PoolIndex::build(&document, &mut faults);
        faults.finish()?;
        Ok(ConfigTree { document, deployment, connections, classes, customers, pools })
    }

    fn add_branch(&mut self, position: usize) {
        let node = &self.document.nodes[position];
        check_settings(node, &mut self.faults);
        match node.section {
            ConfigSection::Classes => {
                self.classes.add_branch(&self.document, position, &mut self.faults);
            }
            ConfigSection::Customers => {
                self.customers.add_branch(&self.document, position, &mut self.faults);
            }
            ConfigSection::Deployment | ConfigSection::Connections | ConfigSection::Pools => {}
        }
    }
}

fn check_name(document: &BranchDocument, faults: &mut FaultList) {
    let root = &document.nodes[document.root(ConfigSection::Deployment)];
    if root.setting("name").is_none() {
        faults.add_missing(root, "name", "the name of the deployment");
    }
}
