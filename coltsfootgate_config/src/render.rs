//! Renders branches as canonical TOML, so that equal branches have equal digests.

use std::fmt::Write;

use crate::document::{BranchDocument, BranchDraft};
use crate::schema::ConfigSection;
use crate::value::Setting;

impl BranchDocument {
    /// The whole document as TOML.
    ///
    /// The order of branches and settings is kept; comments of the parsed text are not.
    pub fn render(&self) -> String {
        let mut text = String::new();
        for section in ConfigSection::ALL {
            self.render_branch(self.root(section), &mut text);
        }
        text
    }

    /// A branch and its descendants as TOML; `None` if the branch does not exist.
    pub fn render_path(&self, path: &str) -> Option<String> {
        let mut text = String::new();
        self.render_branch(self.position(path)?, &mut text);
        Some(text)
    }

    /// Appends a branch and its descendants to `text`.
    pub(crate) fn render_branch(&self, position: usize, text: &mut String) {
        self.render_own(position, text);
        for child in &self.nodes[position].children {
            self.render_branch(*child, text);
        }
    }

    /// Appends the settings of a branch itself, without its descendants.
    ///
    /// A branch without settings is left out if it is a section root or has child branches, whose
    /// headers imply it.
    pub(crate) fn render_own(&self, position: usize, text: &mut String) {
        let node = &self.nodes[position];
        let is_root = node.parent.is_none();
        if node.settings.is_empty() && (is_root || !node.children.is_empty()) {
            return;
        }
        if !text.is_empty() {
            text.push('\n');
        }
        write_branch(&node.path, &node.settings, text);
    }
}

impl BranchDraft {
    /// Appends the branch to `text` as TOML.
    pub fn render(&self, text: &mut String) {
        write_branch(&self.path, &self.settings, text);
    }
}

fn write_branch(path: &str, settings: &[Setting], text: &mut String) {
    // Writing to a `String` cannot fail.
    let _ = writeln!(text, "[{path}]");
    for setting in settings {
        let _ = writeln!(text, "{setting}");
    }
}
