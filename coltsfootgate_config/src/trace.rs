//! Traces each effective value to the branch that sets it.

use std::sync::Arc;

use coltsfootgate_core::ids::BranchPath;
use serde::Serialize;

use crate::document::{BranchDocument, BranchNode};
use crate::schema::KeySpec;
use crate::tree::ConfigTree;
use crate::value::Setting;

/// An effective value of a branch, with its origin.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Serialize)]
pub struct TracedValue {
    /// The key.
    pub key: Arc<str>,
    /// The value as it is written in the tree or as the default.
    pub value: Arc<str>,
    /// The branch that sets the value; `None` for a default.
    pub branch: Option<BranchPath>,
    /// The line that sets the value, counted from 1; `None` for a default.
    pub line: Option<usize>,
}

impl TracedValue {
    /// Describes the origin for operators.
    pub fn origin(&self) -> String {
        match (&self.branch, self.line) {
            (Some(branch), Some(line)) => format!("set by {branch}, line {line}"),
            (Some(branch), None) => format!("set by {branch}"),
            (None, _) => "default".into(),
        }
    }
}

impl ConfigTree {
    /// The effective value of a key in a branch, with its origin.
    ///
    /// Returns `None` for an unknown branch or key, or if the key has no value and no default.
    pub fn trace(&self, branch: &str, key: &str) -> Option<TracedValue> {
        let document = self.document();
        let position = document.position(branch)?;
        trace_key(document, position, document.nodes[position].section.key(key)?)
    }

    /// The effective values of all keys of a branch; empty for an unknown branch.
    pub fn trace_all(&self, branch: &str) -> Vec<TracedValue> {
        let document = self.document();
        let Some(position) = document.position(branch) else {
            return Vec::new();
        };
        let keys = document.nodes[position].section.keys();
        keys.iter().filter_map(|spec| trace_key(document, position, spec)).collect()
    }

    /// The branch that sets the effective value of a key; `None` if no branch sets it.
    pub fn origin_branch(&self, branch: &str, key: &str) -> Option<BranchPath> {
        let document = self.document();
        let position = document.position(branch)?;
        let spec = document.nodes[position].section.key(key)?;
        find_setting(document, position, spec).map(|(node, _)| node.path.clone())
    }
}

fn trace_key(document: &BranchDocument, position: usize, spec: &KeySpec) -> Option<TracedValue> {
    let key = spec.name.into();
    match find_setting(document, position, spec) {
        Some((node, setting)) => {
            let value = setting.value.to_string().into();
            Some(TracedValue {
                key,
                value,
                branch: Some(node.path.clone()),
                line: Some(setting.line),
            })
        }
        None => {
            let value = spec.default?.into();
            Some(TracedValue { key, value, branch: None, line: None })
        }
    }
}

/// Finds the setting of a key in a branch or, for an inherited key, in its nearest ancestor.
fn find_setting<'a>(
    document: &'a BranchDocument,
    position: usize,
    spec: &KeySpec,
) -> Option<(&'a BranchNode, &'a Setting)> {
    if spec.inherited {
        return document.find_inherited(position, spec.name);
    }
    let node = &document.nodes[position];
    node.setting(spec.name).map(|setting| (node, setting))
}
