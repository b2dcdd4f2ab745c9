//! The differences between two trees, as lines for operators.

use std::collections::HashMap;
use std::fmt::{self, Display, Formatter};
use std::sync::Arc;

use coltsfootgate_core::ids::BranchPath;
use serde::Serialize;

use crate::document::{BranchDocument, BranchNode};
use crate::parts::TreeParts;

/// The label, in place of a key, of a change in the order of child branches.
const ORDER_KEY: &str = "order of branches";

/// One change between two trees.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Serialize)]
pub struct ChangeLine {
    /// The branch.
    pub branch: BranchPath,
    /// The key; `None` for an added or removed branch without settings.
    pub key: Option<Arc<str>>,
    /// The value before the change; `None` if the branch did not set the key.
    pub before: Option<Arc<str>>,
    /// The value after the change; `None` if the branch no longer sets the key.
    pub after: Option<Arc<str>>,
}

impl ChangeLine {
    /// A change of the order of a branch's children to `after`.
    pub(crate) fn order(branch: &str, after: &[BranchPath]) -> Self {
        let key = Some(ORDER_KEY.into());
        Self { branch: branch.into(), key, before: None, after: Some(after.join(", ").into()) }
    }
}

impl Display for ChangeLine {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        let sign = match (&self.before, &self.after) {
            (None, Some(_)) => '+',
            (Some(_), None) => '-',
            _ => '~',
        };
        write!(formatter, "{sign} {}", self.branch)?;
        if let Some(key) = &self.key {
            write!(formatter, ": {key}")?;
        }
        match (&self.before, &self.after) {
            (Some(before), Some(after)) => write!(formatter, " = {after} (was {before})"),
            (None, Some(value)) | (Some(value), None) => write!(formatter, " = {value}"),
            (None, None) => Ok(()),
        }
    }
}

/// The changes from one document to another, by branch and key.
pub fn diff(before: &BranchDocument, after: &BranchDocument) -> Vec<ChangeLine> {
    let mut lines = Vec::new();
    for old in &before.nodes {
        let new = after.branch(&old.path);
        diff_settings(old, new, &mut lines);
        if let Some(new) = new {
            diff_order(before, old, after, new, &mut lines);
        }
    }
    for new in &after.nodes {
        if before.branch(&new.path).is_none() {
            add_settings(new, &mut lines);
        }
    }
    lines
}

/// The changes between two trees in parts; empty if either side cannot be parsed.
pub(crate) fn diff_parts(before: &TreeParts, after: &TreeParts) -> Vec<ChangeLine> {
    match (before.document("before"), after.document("after")) {
        (Ok(before), Ok(after)) => diff(&before, &after),
        _ => Vec::new(),
    }
}

fn diff_settings(old: &BranchNode, new: Option<&BranchNode>, lines: &mut Vec<ChangeLine>) {
    let mut push = |key: &Arc<str>, before: Option<Arc<str>>, after: Option<Arc<str>>| {
        if before != after {
            lines.push(ChangeLine {
                branch: old.path.clone(),
                key: Some(key.clone()),
                before,
                after,
            });
        }
    };
    let mut remaining = rendered_settings(new);
    for setting in &old.settings {
        let after = remaining.remove(&setting.key);
        push(&setting.key, Some(setting.value.to_string().into()), after);
    }
    let added = new.into_iter().flat_map(|new| &new.settings);
    for setting in added.filter(|setting| remaining.contains_key(&setting.key)) {
        push(&setting.key, None, Some(setting.value.to_string().into()));
    }
}

fn rendered_settings(node: Option<&BranchNode>) -> HashMap<Arc<str>, Arc<str>> {
    let settings = node.into_iter().flat_map(|node| &node.settings);
    settings.map(|setting| (setting.key.clone(), setting.value.to_string().into())).collect()
}

fn add_settings(new: &BranchNode, lines: &mut Vec<ChangeLine>) {
    for setting in &new.settings {
        lines.push(ChangeLine {
            branch: new.path.clone(),
            key: Some(setting.key.clone()),
            before: None,
            after: Some(setting.value.to_string().into()),
        });
    }
}

/// Reports a change in the order of children, because the first matching class wins.
fn diff_order(
    before: &BranchDocument,
    old: &BranchNode,
    after: &BranchDocument,
    new: &BranchNode,
    lines: &mut Vec<ChangeLine>,
) {
    let shared = |document: &BranchDocument, node: &BranchNode, other: &BranchDocument| {
        let paths = node.children.iter().map(|child| document.nodes[*child].path.clone());
        paths.filter(|path| other.branch(path).is_some()).collect::<Vec<_>>()
    };
    let (old_order, new_order) = (shared(before, old, after), shared(after, new, before));
    if old_order != new_order {
        let mut line = ChangeLine::order(&old.path, &new_order);
        line.before = Some(old_order.join(", ").into());
        lines.push(line);
    }
}
