//! Parses TOML into a tree of branches, each with the settings that it sets itself.

use std::collections::HashMap;
use std::sync::Arc;

use coltsfootgate_core::ids::BranchPath;
use toml::de::{DeTable, DeValue};

use crate::error::{ConfigError, ConfigErrors, ConfigFault};
use crate::schema::ConfigSection;
use crate::value::{Setting, SettingValue, is_bare_key};

/// The maximum length of a branch name, in bytes.
const BRANCH_NAME_BYTES_MAX: usize = 64;

/// A branch and the settings that the text sets in it, without inherited ones.
#[derive(Clone, Debug)]
pub struct BranchNode {
    /// The dotted path.
    pub path: BranchPath,
    /// The section that the branch belongs to.
    pub section: ConfigSection,
    /// The position of the parent branch; `None` for a section root.
    pub parent: Option<usize>,
    /// The line of the table header, counted from 1; 0 for a section that the text omits.
    pub line: usize,
    /// The settings of the branch itself, in the order of the text.
    pub settings: Vec<Setting>,
    /// The positions of the child branches, in the order of the text.
    pub children: Vec<usize>,
}

impl BranchNode {
    /// The setting of a key in this branch itself, without inheritance.
    pub fn setting(&self, key: &str) -> Option<&Setting> {
        self.settings.iter().find(|setting| &*setting.key == key)
    }
}

/// A branch to add to a document.
#[derive(Clone, Debug)]
pub struct BranchDraft {
    /// The dotted path; the first part is the name of the section.
    pub path: BranchPath,
    /// The settings of the branch itself.
    pub settings: Vec<Setting>,
}

/// All branches of a text, parsed but not yet validated.
#[derive(Clone, Debug)]
pub struct BranchDocument {
    /// The name of the file or version that was parsed.
    pub source: Arc<str>,
    /// The branches; the first ones are the section roots, in the order of [`ConfigSection::ALL`].
    pub nodes: Vec<BranchNode>,
    positions: HashMap<BranchPath, usize>,
}

impl BranchDocument {
    /// Parses a text; `source` is its name in errors.
    ///
    /// Fails with all syntax errors and invalid branch names.
    pub fn parse(source: &str, text: &str) -> Result<Self, ConfigErrors> {
        let mut parser = DocumentParser::new(source, text);
        let (table, syntax_errors) = DeTable::parse_recoverable(text);
        for error in syntax_errors {
            let line = error.span().map(|span| parser.line(span.start));
            parser.add_error(line, None, None, ConfigFault::Syntax(error.message().into()));
        }
        parser.parse_sections(table.get_ref());
        parser.finish()
    }

    /// The position of the branch with this path.
    pub fn position(&self, path: &str) -> Option<usize> {
        self.positions.get(path).copied()
    }

    /// The branch with this path.
    pub fn branch(&self, path: &str) -> Option<&BranchNode> {
        self.position(path).map(|position| &self.nodes[position])
    }

    /// The position of the root branch of a section.
    pub fn root(&self, section: ConfigSection) -> usize {
        section as usize
    }

    /// The nearest setting of a key in this branch or its ancestors, with the branch that sets it.
    pub fn find_inherited(&self, position: usize, key: &str) -> Option<(&BranchNode, &Setting)> {
        let mut next = Some(position);
        while let Some(position) = next {
            let node = &self.nodes[position];
            if let Some(setting) = node.setting(key) {
                return Some((node, setting));
            }
            next = node.parent;
        }
        None
    }

    /// Adds a branch after its siblings, with the ancestors that it lacks; settings of a branch that
    /// exists are added to it.
    ///
    /// # Errors
    ///
    /// Fails if the section of the path does not exist, or if the branch has settings already.
    pub fn add_branch(&mut self, draft: BranchDraft) -> Result<(), ConfigErrors> {
        let Some(position) = self.find_or_push(&draft.path) else {
            let allowed = ConfigSection::ALL.map(ConfigSection::name);
            return Err(self.draft_error(&draft, ConfigFault::unknown_key(&draft.path, allowed)));
        };
        if !self.nodes[position].settings.is_empty() {
            let (found, first) = (format!("branch {:?}", &*draft.path), draft.path.clone());
            return Err(self.draft_error(&draft, ConfigFault::Duplicate { found, first }));
        }
        self.nodes[position].settings = draft.settings;
        Ok(())
    }

    fn draft_error(&self, draft: &BranchDraft, fault: ConfigFault) -> ConfigErrors {
        let (source, branch) = (self.source.clone(), Some(draft.path.clone()));
        ConfigErrors(vec![ConfigError { source, line: None, branch, key: None, fault }])
    }

    fn find_or_push(&mut self, path: &BranchPath) -> Option<usize> {
        if let Some(position) = self.position(path) {
            return Some(position);
        }
        let (parent, _) = path.rsplit_once('.')?;
        let parent = self.find_or_push(&parent.into())?;
        let section = self.nodes[parent].section;
        Some(self.push(path.clone(), section, Some(parent), 0))
    }

    pub(crate) fn with_roots(source: Arc<str>) -> Self {
        let mut document = Self { source, nodes: Vec::new(), positions: HashMap::new() };
        for section in ConfigSection::ALL {
            document.push(section.name().into(), section, None, 0);
        }
        document
    }

    pub(crate) fn push(
        &mut self,
        path: BranchPath,
        section: ConfigSection,
        parent: Option<usize>,
        line: usize,
    ) -> usize {
        let position = self.nodes.len();
        self.positions.insert(path.clone(), position);
        let (settings, children) = (Vec::new(), Vec::new());
        self.nodes.push(BranchNode { path, section, parent, line, settings, children });
        if let Some(parent) = parent {
            self.nodes[parent].children.push(position);
        }
        position
    }
}

struct DocumentParser {
    document: BranchDocument,
    line_starts: Vec<usize>,
    errors: Vec<ConfigError>,
}

impl DocumentParser {
    fn new(source: &str, text: &str) -> Self {
        let newlines = text.bytes().enumerate().filter(|(_, byte)| *byte == b'\n');
        let line_starts = newlines.map(|(offset, _)| offset + 1).collect();
        let document = BranchDocument::with_roots(source.into());
        Self { document, line_starts, errors: Vec::new() }
    }

    fn line(&self, offset: usize) -> usize {
        self.line_starts.partition_point(|start| *start <= offset) + 1
    }

    fn add_error(
        &mut self,
        line: Option<usize>,
        branch: Option<&BranchPath>,
        key: Option<&str>,
        fault: ConfigFault,
    ) {
        let source = self.document.source.clone();
        let (branch, key) = (branch.cloned(), key.map(Arc::from));
        self.errors.push(ConfigError { source, line, branch, key, fault });
    }

    fn finish(self) -> Result<BranchDocument, ConfigErrors> {
        if self.errors.is_empty() { Ok(self.document) } else { Err(ConfigErrors(self.errors)) }
    }

    fn parse_sections(&mut self, table: &DeTable<'_>) {
        for (key, value) in table.iter() {
            let line = self.line(key.span().start);
            let name = key.get_ref();
            match (ConfigSection::by_name(name), value.get_ref()) {
                (Some(section), DeValue::Table(branch)) => {
                    let position = self.document.root(section);
                    self.document.nodes[position].line = line;
                    self.parse_branch(position, branch);
                }
                (Some(_), other) => {
                    let found = format!("a {}", other.type_str());
                    let fault = ConfigFault::WrongValue { found, allowed: "a table".into() };
                    self.add_error(Some(line), None, Some(name), fault);
                }
                (None, _) => {
                    let fault =
                        ConfigFault::unknown_key(name, ConfigSection::ALL.map(ConfigSection::name));
                    self.add_error(Some(line), None, Some(name), fault);
                }
            }
        }
    }

    fn parse_branch(&mut self, position: usize, table: &DeTable<'_>) {
        let section = self.document.nodes[position].section;
        for (key, value) in table.iter() {
            let line = self.line(key.span().start);
            let name = key.get_ref();
            match value.get_ref() {
                DeValue::Table(branch) if section.has_branches() && !section.is_table_key(name) => {
                    self.parse_child(position, name, line, branch);
                }
                value => {
                    let value = self.parse_value(value);
                    let setting = Setting { key: name.as_ref().into(), value, line };
                    self.document.nodes[position].settings.push(setting);
                }
            }
        }
    }

    fn parse_child(&mut self, parent: usize, name: &str, line: usize, table: &DeTable<'_>) {
        let parent_node = &self.document.nodes[parent];
        let section = parent_node.section;
        let path: BranchPath = format!("{}.{name}", parent_node.path).into();
        if !is_bare_key(name) || name.len() > BRANCH_NAME_BYTES_MAX {
            let allowed = format!(
                "1 to {BRANCH_NAME_BYTES_MAX} letters, digits, `-` and `_` in a branch name"
            );
            let fault = ConfigFault::Misplaced { found: format!("{name:?}"), allowed };
            self.add_error(Some(line), Some(&path), None, fault);
            return;
        }
        let position = self.document.push(path, section, Some(parent), line);
        self.parse_branch(position, table);
    }

    fn parse_value(&self, value: &DeValue<'_>) -> SettingValue {
        match value {
            DeValue::Boolean(value) => SettingValue::Boolean(*value),
            DeValue::Integer(number) => i64::from_str_radix(number.as_str(), number.radix())
                .map_or_else(
                    |_| SettingValue::Other(number.to_string().into()),
                    SettingValue::Integer,
                ),
            DeValue::Float(number) => number
                .as_str()
                .parse()
                .map_or_else(|_| SettingValue::Other(number.as_str().into()), SettingValue::Number),
            DeValue::String(text) => SettingValue::Text(text.as_ref().into()),
            DeValue::Datetime(date) => SettingValue::Other(date.to_string().into()),
            DeValue::Array(values) => SettingValue::List(
                values.iter().map(|value| self.parse_value(value.get_ref())).collect(),
            ),
            DeValue::Table(table) => SettingValue::Table(self.parse_settings(table)),
        }
    }

    fn parse_settings(&self, table: &DeTable<'_>) -> Vec<Setting> {
        let settings = table.iter().map(|(key, value)| Setting {
            key: key.get_ref().as_ref().into(),
            value: self.parse_value(value.get_ref()),
            line: self.line(key.span().start),
        });
        settings.collect()
    }
}
