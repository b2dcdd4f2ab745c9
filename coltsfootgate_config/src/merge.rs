//! Three-way merge of the changes of two operators who started from the same tree.

use std::collections::{HashMap, HashSet};
use std::error::Error;
use std::fmt::{self, Display, Formatter};

use coltsfootgate_core::ids::BranchPath;

use crate::diff::{ChangeLine, diff_parts};
use crate::parts::{BranchPart, TreeParts};
use crate::schema::ConfigSection;

/// The changes of two operators to the same branches cannot be merged.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MergeConflict {
    /// Every branch that both operators changed differently.
    pub branches: Vec<BranchConflict>,
}

/// A branch that two operators changed differently.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BranchConflict {
    /// The branch; for a section root, the conflict may also be in the order of its child branches.
    pub branch: BranchPath,
    /// The changes of the other operator that would be overwritten.
    pub overwritten: Vec<ChangeLine>,
}

impl Display for MergeConflict {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        for (position, conflict) in self.branches.iter().enumerate() {
            let separator = if position > 0 { "\n" } else { "" };
            write!(formatter, "{separator}{} was changed meanwhile", conflict.branch)?;
            for line in &conflict.overwritten {
                write!(formatter, "\n  would be lost: {line}")?;
            }
        }
        Ok(())
    }
}

impl Error for MergeConflict {}

/// Applies the change from `base` to `mine` on top of `theirs`.
///
/// Fails if both sides changed one branch differently, or both reordered the branches of one
/// section differently. The result is not validated.
pub fn merge(
    base: &TreeParts,
    theirs: &TreeParts,
    mine: &TreeParts,
) -> Result<TreeParts, MergeConflict> {
    let (base_parts, their_parts, my_parts) = (by_path(base), by_path(theirs), by_path(mine));
    let mut merged = HashMap::new();
    let mut conflicts = Vec::new();
    for path in all_paths([base, theirs, mine]) {
        let (base_part, their_part, my_part) =
            (base_parts.get(path), their_parts.get(path), my_parts.get(path));
        let resolved = if my_part == base_part || my_part == their_part {
            their_part
        } else if their_part == base_part {
            my_part
        } else {
            conflicts.push(BranchConflict {
                branch: path.clone(),
                overwritten: overwritten_changes(base_part.copied(), their_part.copied()),
            });
            continue;
        };
        if let Some(part) = resolved {
            merged.insert(path.clone(), (*part).clone());
        }
    }
    let mut order = Vec::new();
    for section in ConfigSection::ALL {
        match merged_order(section, base, theirs, mine) {
            Some(paths) => order.extend(paths),
            None => conflicts.push(BranchConflict {
                branch: section.name().into(),
                overwritten: vec![ChangeLine::order(section.name(), &paths_of(section, theirs))],
            }),
        }
    }
    if !conflicts.is_empty() {
        return Err(MergeConflict { branches: conflicts });
    }
    Ok(TreeParts { parts: order.iter().filter_map(|path| merged.remove(path)).collect() })
}

fn by_path(parts: &TreeParts) -> HashMap<&BranchPath, &BranchPart> {
    parts.iter().map(|part| (&part.path, part)).collect()
}

fn all_paths<const N: usize>(trees: [&TreeParts; N]) -> Vec<&BranchPath> {
    let mut seen = HashSet::new();
    let paths = trees.into_iter().flat_map(TreeParts::iter).map(|part| &part.path);
    paths.filter(|path| seen.insert(*path)).collect()
}

/// The changes between two versions of one part.
fn overwritten_changes(
    base_part: Option<&BranchPart>,
    their_part: Option<&BranchPart>,
) -> Vec<ChangeLine> {
    let single =
        |part: Option<&BranchPart>| TreeParts { parts: part.into_iter().cloned().collect() };
    diff_parts(&single(base_part), &single(their_part))
}

/// The paths of one section's parts, in order.
fn paths_of(section: ConfigSection, parts: &TreeParts) -> Vec<BranchPath> {
    let prefix = format!("{}.", section.name());
    let paths = parts.iter().map(|part| &part.path);
    paths.filter(|path| ***path == *section.name() || path.starts_with(&prefix)).cloned().collect()
}

/// The merged order of one section's parts; `None` if both sides changed the order differently.
fn merged_order(
    section: ConfigSection,
    base: &TreeParts,
    theirs: &TreeParts,
    mine: &TreeParts,
) -> Option<Vec<BranchPath>> {
    let (base, theirs, mine) =
        (paths_of(section, base), paths_of(section, theirs), paths_of(section, mine));
    let (mine_reordered, theirs_reordered) =
        (is_reordered(&base, &mine), is_reordered(&base, &theirs));
    if mine_reordered && theirs_reordered && is_reordered(&theirs, &mine) {
        return None;
    }
    let (order, other) = if mine_reordered { (mine, theirs) } else { (theirs, mine) };
    Some(insert_missing(order, &other))
}

/// Whether the paths common to both lists are in a different order.
fn is_reordered(before: &[BranchPath], after: &[BranchPath]) -> bool {
    let shared: HashSet<_> = before.iter().filter(|path| after.contains(path)).collect();
    let restrict = |paths: &[BranchPath]| -> Vec<BranchPath> {
        paths.iter().filter(|path| shared.contains(path)).cloned().collect()
    };
    restrict(before) != restrict(after)
}

/// Inserts the paths of `other` that `order` lacks, each after its predecessor in `other`.
fn insert_missing(mut order: Vec<BranchPath>, other: &[BranchPath]) -> Vec<BranchPath> {
    let mut insert_at = 0;
    for path in other {
        match order.iter().position(|known| known == path) {
            Some(position) => insert_at = position + 1,
            None => {
                order.insert(insert_at, path.clone());
                insert_at += 1;
            }
        }
    }
    order
}
