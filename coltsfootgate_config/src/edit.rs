//! Replaces or removes one branch of a document.

use std::error::Error;
use std::fmt::{self, Display, Formatter};

use coltsfootgate_core::ids::BranchPath;

use crate::document::BranchDocument;
use crate::schema::ConfigSection;

/// An error in replacing or removing a branch.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum EditError {
    /// Neither the branch nor, for a new branch, its parent exists in the document.
    UnknownBranch(BranchPath),
    /// The replacement does not contain the branch.
    NotInReplacement(BranchPath),
    /// The replacement also contains a branch other than the one to replace.
    OtherBranch(BranchPath),
}

impl Display for EditError {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::UnknownBranch(path) => write!(formatter, "there is no branch {path}"),
            Self::NotInReplacement(path) => write!(formatter, "the text does not contain {path}"),
            Self::OtherBranch(path) => write!(formatter, "the text also contains {path}"),
        }
    }
}

impl Error for EditError {}

impl BranchDocument {
    /// Returns a copy in which a branch and its descendants come from another document.
    ///
    /// A new branch is appended after its siblings. Fails if the replacement lacks the branch or
    /// contains anything outside it, or if the parent branch does not exist.
    pub fn with_branch(&self, path: &str, replacement: &Self) -> Result<Self, EditError> {
        let Some(source) = replacement.position(path) else {
            return Err(EditError::NotInReplacement(path.into()));
        };
        let prefix = format!("{path}.");
        let is_outside = |other: &str| other != path && !other.starts_with(&prefix);
        let outside = |node: &&crate::document::BranchNode| {
            is_outside(&node.path) && (!node.settings.is_empty() || node.children.is_empty())
        };
        if let Some(node) = replacement.nodes.iter().filter(|node| node.line > 0).find(outside) {
            return Err(EditError::OtherBranch(node.path.clone()));
        }
        let parent = path.rsplit_once('.').map(|(parent, _)| parent);
        let exists = self.position(path).is_some();
        if !exists && parent.is_none_or(|parent| self.position(parent).is_none()) {
            return Err(EditError::UnknownBranch(path.into()));
        }
        let append_below = if exists { None } else { parent };
        let edit = BranchEdit { path, append_below, replacement: Some((replacement, source)) };
        Ok(self.apply_edit(&edit))
    }

    /// Returns a copy without a branch and its descendants.
    ///
    /// Fails if the branch does not exist.
    pub fn without_branch(&self, path: &str) -> Result<Self, EditError> {
        match self.position(path) {
            Some(_) => {
                Ok(self.apply_edit(&BranchEdit { path, append_below: None, replacement: None }))
            }
            None => Err(EditError::UnknownBranch(path.into())),
        }
    }

    fn apply_edit(&self, edit: &BranchEdit<'_>) -> Self {
        let mut copy = Self::with_roots(self.source.clone());
        for section in ConfigSection::ALL {
            let root = copy.root(section);
            copy.copy_branch(root, self, root, edit);
        }
        copy
    }

    /// Copies the settings and children at `position` of `source` into the branch at `target`.
    ///
    /// Where `edit` replaces, removes or appends a branch, the copy has the edited one.
    fn copy_branch(
        &mut self,
        target: usize,
        source: &Self,
        position: usize,
        edit: &BranchEdit<'_>,
    ) {
        let (source, position) = match edit.replacement {
            Some((replacement, replaced)) if *self.nodes[target].path == *edit.path => {
                (replacement, replaced)
            }
            None if *self.nodes[target].path == *edit.path => return,
            _ => (source, position),
        };
        self.nodes[target].line = source.nodes[position].line;
        self.nodes[target].settings = source.nodes[position].settings.clone();
        for child in &source.nodes[position].children {
            let node = &source.nodes[*child];
            if *node.path == *edit.path && edit.replacement.is_none() {
                continue;
            }
            let copied = self.push(node.path.clone(), node.section, Some(target), node.line);
            self.copy_branch(copied, source, *child, edit);
        }
        if let Some((replacement, replaced)) = edit.replacement
            && edit.append_below == Some(&*self.nodes[target].path)
        {
            let node = &replacement.nodes[replaced];
            let added = self.push(node.path.clone(), node.section, Some(target), node.line);
            self.copy_branch(added, replacement, replaced, edit);
        }
    }
}

/// The replacement of a branch, or its removal if there is no replacement.
struct BranchEdit<'a> {
    path: &'a str,
    /// The parent of a new branch; `None` if the branch exists already.
    append_below: Option<&'a str>,
    /// The document with the replacement, and the position of the branch in it.
    replacement: Option<(&'a BranchDocument, usize)>,
}
