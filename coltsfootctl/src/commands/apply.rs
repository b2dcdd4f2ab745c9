//! `apply`: stores a tree or one branch, and waits until it is in force on every live instance.

use std::fmt::{self, Display, Formatter};
use std::sync::Arc;

use coltsfootgate::platform::PlatformStore;
use coltsfootgate_config::{BranchDocument, ChangeLine, EditError, TreeParts, diff};
use coltsfootgate_core::ids::ConfigVersion;
use error_stack::Report;
use serde::Serialize;

use crate::arguments::ApplyArguments;
use crate::commands::ToolContext;
use crate::commands::source::{
    VersionedTree, parse_version_line, read_document, read_file, read_tree, split, stored_tree,
};
use crate::commit::{TreeChange, commit, rebase};
use crate::dialect::ToolDialect;
use crate::error::{ExitStatus, ToolError, ToolResult};
use crate::report::CommandReport;
use crate::rollout::{RolloutReport, roll_out};
use crate::settings::parse_duration_flag;
use crate::tree_store::TreeStore;

/// The result of applying a change.
#[derive(Debug)]
#[derive(Serialize)]
pub struct ApplyReport {
    /// The version that contains the change; the current one if nothing was stored.
    pub version: ConfigVersion,
    /// Whether a new version was stored.
    pub stored: bool,
    /// Whether the change was rebased onto a version other than the one it is based on.
    pub rebased: bool,
    /// The differences from the previous version.
    pub changes: Vec<ChangeLine>,
    /// Where the version is in force; `None` for a dry run.
    pub rollout: Option<RolloutReport>,
}

impl CommandReport for ApplyReport {
    fn exit_status(&self) -> ExitStatus {
        match &self.rollout {
            Some(rollout) if !rollout.is_complete() => ExitStatus::NotInForce,
            _ => ExitStatus::Success,
        }
    }
}

impl Display for ApplyReport {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        for change in &self.changes {
            writeln!(formatter, "{change}")?;
        }
        if self.rebased {
            writeln!(
                formatter,
                "rebased onto a version that another operator stored in the meantime"
            )?;
        }
        match (&self.rollout, self.stored) {
            (None, _) => write!(formatter, "changes: {}; nothing stored", self.changes.len()),
            (Some(rollout), true) => {
                write!(formatter, "stored as version {}\n{rollout}", self.version)
            }
            (Some(rollout), false) => {
                write!(
                    formatter,
                    "version {} already contains this change\n{rollout}",
                    self.version
                )
            }
        }
    }
}

pub(crate) async fn run<D: ToolDialect>(
    context: &ToolContext<D>,
    arguments: &ApplyArguments,
) -> ToolResult<ApplyReport> {
    if !D::KEEPS_TREES {
        let message = "apply is not supported: operators' settings are written to the platform \
                       itself, and the base tree is a file of each deployment, which `check` \
                       validates";
        return Err(Report::new(ToolError::Usage(message.into())));
    }
    let store = context.store()?;
    let wait = match &arguments.wait {
        Some(text) => parse_duration_flag("wait", text)?,
        None => context.settings.wait,
    };
    let change = read_change(context, &store, arguments).await?;
    if arguments.dry_run {
        return dry_run(&store, &change).await;
    }
    let committed = commit(&store, &change).await?;
    let platform = context.platform()?;
    let rollout = roll_out(&platform, &context.instance_client(), committed.version, wait).await;
    Ok(ApplyReport {
        version: committed.version,
        stored: committed.changed,
        rebased: committed.rebased,
        changes: changes(&committed.before, &committed.after)?,
        rollout: Some(rollout),
    })
}

async fn dry_run<P: PlatformStore>(
    store: &TreeStore<P>,
    change: &TreeChange,
) -> ToolResult<ApplyReport> {
    let current = stored_or_empty_tree(store, None).await?;
    let after = rebase(change, &current.parts)?;
    Ok(ApplyReport {
        version: current.version,
        stored: false,
        rebased: current.version != change.base_version,
        changes: changes(&current.parts, &after)?,
        rollout: None,
    })
}

/// Builds the operator's change, relative to the version that was edited.
async fn read_change<D: ToolDialect, P: PlatformStore>(
    context: &ToolContext<D>,
    store: &TreeStore<P>,
    arguments: &ApplyArguments,
) -> ToolResult<TreeChange> {
    let text = match (&arguments.file, &arguments.remove) {
        (Some(file), None) => Some((file, read_file(file)?)),
        (None, Some(_)) if arguments.branch.is_none() => None,
        _ => {
            let message = "apply takes either FILE, FILE with --branch, or only --remove";
            return Err(Report::new(ToolError::Usage(message.into())));
        }
    };
    let line_version = text.as_ref().and_then(|(_, text)| parse_version_line(text));
    let base = stored_or_empty_tree(store, arguments.base.or(line_version)).await?;
    let document = match (&text, &arguments.branch, &arguments.remove) {
        (Some((file, text)), None, _) => read_tree(file, text)?.document().clone(),
        (Some((file, text)), Some(branch), _) => {
            let replacement = read_document(file, text)?;
            base.document()?.with_branch(branch, &replacement).map_err(edit_error)?
        }
        (None, _, remove) => {
            let branch = remove.as_deref().unwrap_or_default();
            base.document()?.without_branch(branch).map_err(edit_error)?
        }
    };
    Ok(TreeChange {
        base_version: base.version,
        changed: split(&document)?,
        base: base.parts,
        author: arguments.author.as_deref().map(Arc::from).or(context.settings.author.clone()),
        note: arguments.note.as_deref().map(Arc::from),
    })
}

/// Reads a version of the tree, by default the current one, or an empty tree if none is stored yet.
async fn stored_or_empty_tree<P: PlatformStore>(
    store: &TreeStore<P>,
    version: Option<ConfigVersion>,
) -> ToolResult<VersionedTree> {
    match stored_tree(store, version).await {
        Err(error) if is_not_found(&error) && version.is_none() => {
            Ok(VersionedTree { version: 0, parts: TreeParts::default() })
        }
        result => result,
    }
}

fn is_not_found(error: &Report<ToolError>) -> bool {
    matches!(error.current_context(), ToolError::NotFound(_))
}

fn edit_error(error: EditError) -> Report<ToolError> {
    let message = error.to_string();
    Report::new(match error {
        EditError::UnknownBranch(_) => ToolError::NotFound(message),
        EditError::NotInReplacement(_) | EditError::OtherBranch(_) => ToolError::Usage(message),
    })
}

fn changes(before: &TreeParts, after: &TreeParts) -> ToolResult<Vec<ChangeLine>> {
    let document =
        |parts: &TreeParts| -> ToolResult<BranchDocument> { read_document("tree", &parts.text()) };
    Ok(diff(&document(before)?, &document(after)?))
}
