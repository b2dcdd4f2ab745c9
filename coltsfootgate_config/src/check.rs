//! Validates each setting of a document against the key specifications of its section.

use std::sync::Arc;

use crate::document::BranchNode;
use crate::error::{ConfigError, ConfigErrors, ConfigFault};
use crate::schema::ValueKind;
use crate::value::{Setting, SettingValue};

/// Collects the faults found while validating one document.
#[derive(Debug)]
pub(crate) struct FaultList {
    source: Arc<str>,
    errors: Vec<ConfigError>,
}

impl FaultList {
    pub(crate) fn new(source: Arc<str>) -> Self {
        Self { source, errors: Vec::new() }
    }

    /// Adds a fault in one setting of a branch.
    pub(crate) fn add_setting(&mut self, node: &BranchNode, setting: &Setting, fault: ConfigFault) {
        self.add(node, setting.line, Some(&setting.key), fault);
    }

    /// Adds a fault that concerns a branch as a whole.
    pub(crate) fn add_branch(&mut self, node: &BranchNode, fault: ConfigFault) {
        self.add(node, node.line, None, fault);
    }

    /// Adds a fault for a required key that is not set.
    pub(crate) fn add_missing(&mut self, node: &BranchNode, key: &str, allowed: impl Into<String>) {
        let fault = ConfigFault::MissingKey { allowed: allowed.into() };
        self.add(node, node.line, Some(key), fault);
    }

    /// Fails with the collected faults, sorted by line, if there are any.
    pub(crate) fn finish(mut self) -> Result<(), ConfigErrors> {
        self.errors.sort_by_key(|error| error.line);
        if self.errors.is_empty() { Ok(()) } else { Err(ConfigErrors(self.errors)) }
    }

    fn add(&mut self, node: &BranchNode, line: usize, key: Option<&str>, fault: ConfigFault) {
        self.errors.push(ConfigError {
            source: self.source.clone(),
            line: (line > 0).then_some(line),
            branch: Some(node.path.clone()),
            key: key.map(Arc::from),
            fault,
        });
    }
}

/// The fault for a value that its key does not allow.
pub(crate) fn wrong_value(value: &SettingValue, allowed: impl Into<String>) -> ConfigFault {
    ConfigFault::WrongValue { found: value.to_string(), allowed: allowed.into() }
}

/// Checks that every key of a branch is known and that every value is allowed.
pub(crate) fn check_settings(node: &BranchNode, faults: &mut FaultList) {
    for setting in &node.settings {
        check_setting(node, setting, faults);
    }
}

fn check_setting(node: &BranchNode, setting: &Setting, faults: &mut FaultList) {
    let Some(spec) = node.section.key(&setting.key) else {
        let known = node.section.keys().iter().map(|spec| spec.name);
        faults.add_setting(node, setting, ConfigFault::unknown_key(&setting.key, known));
        return;
    };
    let is_root_match = node.parent.is_none() && matches!(spec.kind, ValueKind::Match);
    if is_root_match {
        let found = format!("`{}` at the root", spec.name);
        let allowed = "no conditions, since the root matches every request".into();
        faults.add_setting(node, setting, ConfigFault::Misplaced { found, allowed });
    } else if !spec.kind.allows(&setting.value) {
        let fault = wrong_value(&setting.value, spec.kind.description());
        faults.add_setting(node, setting, fault);
    }
}
