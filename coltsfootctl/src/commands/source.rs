//! Reads trees from files and from the store.

use std::io::Read;

use coltsfootgate::platform::PlatformStore;
use coltsfootgate_config::{BranchDocument, ConfigTree, TreeParts};
use coltsfootgate_core::ids::ConfigVersion;
use error_stack::Report;

use crate::error::{ToolError, ToolResult};
use crate::tree_store::TreeStore;

/// The start of the first line that `get` prints, which is followed by the version.
const VERSION_LINE_PREFIX: &str = "# coltsfootgate config version ";
/// The file name that stands for standard input.
const STANDARD_INPUT: &str = "-";

/// One version of the tree.
pub(crate) struct VersionedTree {
    pub(crate) version: ConfigVersion,
    pub(crate) parts: TreeParts,
}

impl VersionedTree {
    /// The name of the tree in errors and reports.
    pub(crate) fn name(&self) -> String {
        format!("version {}", self.version)
    }

    /// The text as `get` prints it, so that its line numbers match those in errors and
    /// explanations.
    pub(crate) fn text(&self) -> String {
        format!("{}\n\n{}", version_line(self.version), self.parts.text())
    }

    pub(crate) fn document(&self) -> ToolResult<BranchDocument> {
        read_document(&self.name(), &self.text())
    }

    pub(crate) fn tree(&self) -> ToolResult<ConfigTree> {
        read_tree(&self.name(), &self.text())
    }
}

/// The line that states the version of a text.
pub(crate) fn version_line(version: ConfigVersion) -> String {
    format!("{VERSION_LINE_PREFIX}{version}")
}

/// The version stated in the first line of a text; `None` if there is none.
pub(crate) fn parse_version_line(text: &str) -> Option<ConfigVersion> {
    text.lines().next()?.strip_prefix(VERSION_LINE_PREFIX)?.trim().parse().ok()
}

/// Reads a file, or standard input for `-`.
pub(crate) fn read_file(path: &str) -> ToolResult<String> {
    let mut text = String::new();
    let read = match path {
        STANDARD_INPUT => std::io::stdin().read_to_string(&mut text).map(drop),
        path => std::fs::read_to_string(path).map(|read| text = read),
    };
    let failed = |error: std::io::Error| {
        Report::new(ToolError::File { path: path.into(), cause: error.to_string() })
    };
    read.map_err(failed)?;
    Ok(text)
}

/// Parses the branches of a text without validating their settings; `name` is used in errors.
pub(crate) fn read_document(name: &str, text: &str) -> ToolResult<BranchDocument> {
    BranchDocument::parse(name, text).map_err(|errors| Report::new(ToolError::InvalidTree(errors)))
}

/// Parses and validates a whole tree; `name` is used in errors.
pub(crate) fn read_tree(name: &str, text: &str) -> ToolResult<ConfigTree> {
    ConfigTree::parse(name, text).map_err(|errors| Report::new(ToolError::InvalidTree(errors)))
}

/// Splits a document into the parts that are stored.
pub(crate) fn split(document: &BranchDocument) -> ToolResult<TreeParts> {
    TreeParts::split(document).map_err(|error| Report::new(ToolError::Unstorable(error)))
}

/// Reads a version from the store, by default the current one.
pub(crate) async fn stored_tree<P: PlatformStore>(
    store: &TreeStore<P>,
    version: Option<ConfigVersion>,
) -> ToolResult<VersionedTree> {
    let head = match version {
        Some(version) => store.head_of_version(version).await?,
        None => store.head().await?.map(|stored| stored.head),
    };
    let Some(head) = head else {
        let message = match version {
            Some(version) => format!("there is no version {version}"),
            None => "no tree is stored yet; use `coltsfootctl apply FILE`".into(),
        };
        return Err(Report::new(ToolError::NotFound(message)));
    };
    let parts = store.read_parts(&head).await?;
    Ok(VersionedTree { version: head.version, parts })
}
