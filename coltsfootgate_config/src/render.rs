//! Writes branches as TOML in one canonical form, so that equal branches have equal digests.

use std::fmt::Write;

use crate::document::BranchDocument;
use crate::schema::ConfigSection;

impl BranchDocument {
    /// The whole document as TOML.
    ///
    /// Comments of the text that was read are not kept; order is.
    pub fn render(&self) -> String {
        let mut text = String::new();
        for section in ConfigSection::ALL {
            self.render_branch(self.root(section), &mut text);
        }
        text
    }

    /// A branch and all below it as TOML; `None` if there is no such branch.
    pub fn render_path(&self, path: &str) -> Option<String> {
        let mut text = String::new();
        self.render_branch(self.position(path)?, &mut text);
        Some(text)
    }

    /// Appends a branch and all below it.
    pub(crate) fn render_branch(&self, position: usize, text: &mut String) {
        self.render_own(position, text);
        for child in &self.nodes[position].children {
            self.render_branch(*child, text);
        }
    }

    /// Appends what a branch states itself; a branch that only groups others needs no header.
    pub(crate) fn render_own(&self, position: usize, text: &mut String) {
        let node = &self.nodes[position];
        let is_root = node.parent.is_none();
        if node.settings.is_empty() && (is_root || !node.children.is_empty()) {
            return;
        }
        if !text.is_empty() {
            text.push('\n');
        }
        // Writing to a String cannot fail.
        let _ = writeln!(text, "[{}]", node.path);
        for setting in &node.settings {
            let _ = writeln!(text, "{setting}");
        }
    }
}
