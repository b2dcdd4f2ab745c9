//! Split trees: concurrent changes of two operators either merge or conflict, and never get lost.

use coltsfootgate_config::{
    BranchDocument, ConfigTree, HeadObject, PartsError, RootObject, TreeParts, content_digest,
    diff, merge,
};
use rstest::rstest;

const SAMPLE: &str = include_str!("../../samples/samahang.toml");

fn parts(text: &str) -> TreeParts {
    TreeParts::split(&BranchDocument::parse("text", text).unwrap()).unwrap()
}

/// The sample tree after some textual replacements, split into parts.
fn edited_sample(edits: &[(&str, &str)]) -> TreeParts {
    let edit = |text: String, (from, to): &(&str, &str)| {
        assert!(text.contains(from), "{from}");
        text.replacen(from, to, 1)
    };
    parts(&edits.iter().fold(SAMPLE.to_owned(), edit))
}

const STOCK_TIER: (&str, &str) = ("tier = 1", "tier = 2");
const STOCK_DEADLINE: (&str, &str) = ("deadline = \"3 s\"", "deadline = \"4 s\"");
const QUESTION_DEADLINE: (&str, &str) = ("deadline = \"20 s\"", "deadline = \"25 s\"");
const POOL_SILENCE: (&str, &str) = ("silence = \"2 s\"", "silence = \"3 s\"");
const NEW_CUSTOMER: (&str, &str) = (
    "[customers.workshops]",
    "[customers.guests.one]\nkeys = [\"0000000000000000000000000000000000000000000000000000000000000000\"]\n\n[customers.workshops]",
);

#[rstest]
#[case::different_branches(&[STOCK_TIER], &[QUESTION_DEADLINE], &[STOCK_TIER, QUESTION_DEADLINE])]
#[case::different_roots(&[STOCK_TIER], &[POOL_SILENCE], &[STOCK_TIER, POOL_SILENCE])]
#[case::same_change(&[STOCK_TIER], &[STOCK_TIER], &[STOCK_TIER])]
#[case::only_theirs(&[STOCK_TIER], &[], &[STOCK_TIER])]
#[case::only_mine(&[], &[NEW_CUSTOMER], &[NEW_CUSTOMER])]
#[case::branch_added(&[STOCK_TIER], &[NEW_CUSTOMER], &[STOCK_TIER, NEW_CUSTOMER])]
fn changes_to_different_branches_merge(
    #[case] theirs: &[(&str, &str)],
    #[case] mine: &[(&str, &str)],
    #[case] expected: &[(&str, &str)],
) {
    let merged = merge(&edited_sample(&[]), &edited_sample(theirs), &edited_sample(mine)).unwrap();
    assert_eq!(merged, edited_sample(expected));
    merged.join("merged").unwrap();
}

#[test]
fn changes_to_one_branch_conflict_and_list_overwritten_values() {
    let conflict = merge(
        &edited_sample(&[]),
        &edited_sample(&[STOCK_TIER]),
        &edited_sample(&[STOCK_DEADLINE]),
    )
    .unwrap_err();
    assert_eq!(
        conflict.to_string(),
        "classes.registry was changed meanwhile\n  would be lost: ~ classes.registry.stock: tier = 2 (was 1)"
    );
}

#[test]
fn removing_a_branch_conflicts_with_changing_it() {
    let document = edited_sample(&[]).document("base").unwrap();
    let removed = TreeParts::split(&document.without_branch("classes.registry").unwrap()).unwrap();
    let conflict = merge(&edited_sample(&[]), &edited_sample(&[STOCK_TIER]), &removed).unwrap_err();
    assert_eq!(&*conflict.branches[0].branch, "classes.registry");
}

#[test]
fn different_reorderings_of_classes_conflict() {
    let base = "[classes.a]\nx = 1\n[classes.b]\nx = 2\n[classes.c]\nx = 3\n";
    let theirs = "[classes.b]\nx = 2\n[classes.a]\nx = 1\n[classes.c]\nx = 3\n";
    let mine = "[classes.a]\nx = 1\n[classes.c]\nx = 3\n[classes.b]\nx = 2\n";
    let conflict = merge(&parts(base), &parts(theirs), &parts(mine)).unwrap_err();
    assert_eq!(&*conflict.branches[0].branch, "classes");
    assert_eq!(merge(&parts(base), &parts(base), &parts(mine)), Ok(parts(mine)));
}

#[test]
fn diff_lists_branch_key_and_both_values() {
    let (before, after) = (edited_sample(&[]), edited_sample(&[STOCK_TIER, NEW_CUSTOMER]));
    let lines = diff(&before.document("a").unwrap(), &after.document("b").unwrap());
    let lines: Vec<_> = lines.iter().map(ToString::to_string).collect();
    assert_eq!(lines[0], "~ classes.registry.stock: tier = 2 (was 1)");
    assert!(lines[1].starts_with("+ customers.guests.one: keys = "), "{lines:?}");
    assert_eq!(lines.len(), 2);
}

#[test]
fn with_branch_replaces_only_that_branch() {
    let base = BranchDocument::parse("base", SAMPLE).unwrap();
    let fragment = "[classes.registry.stock]\nmatch = { path = \"/registry/stock/*\" }\ntier = 2\n";
    let fragment = BranchDocument::parse("fragment", fragment).unwrap();
    let edited = base.with_branch("classes.registry.stock", &fragment).unwrap();
    let tree = ConfigTree::from_document(edited).unwrap();
    assert_eq!(tree.class("classes.registry.stock").unwrap().tier.number(), 2);
    assert_eq!(tree.class("classes.registry.order-confirmation").unwrap().tier.number(), 2);
    assert!(base.with_branch("classes.parts-question", &fragment).is_err());
    assert!(base.with_branch("classes.registry.stock", &base).is_err());
    assert!(base.without_branch("classes.nothing").is_err());
}

#[test]
fn stored_texts_are_verified() {
    let sample = edited_sample(&[]);
    let texts = |digest: &_| sample.iter().find(|p| p.digest == *digest).map(|p| p.text.clone());
    assert_eq!(TreeParts::assemble(&sample.root(), texts), Ok(sample.clone()));
    let missing = TreeParts::assemble(&sample.root(), |_| None);
    assert!(matches!(missing, Err(PartsError::Missing { .. })));
    let wrong = TreeParts::assemble(&sample.root(), |_| Some("".into()));
    assert!(matches!(wrong, Err(PartsError::WrongDigest { .. })));
    let other_branch = "[customers.x]\nweight = 2.0\n";
    let mut root = RootObject::default();
    root.branches.push(sample.root().branches[1].clone());
    root.branches[0].digest = content_digest(other_branch.as_bytes());
    let invalid = TreeParts::assemble(&root, |_| Some(other_branch.into()));
    assert!(matches!(invalid, Err(PartsError::InvalidText { .. })));
}

#[test]
fn oversized_part_is_rejected() {
    let list = vec!["\"0123456789012345678901234567890123456789\""; 25_000].join(",");
    let text = format!("[customers.big]\nkeys = [{list}]\n");
    let document = BranchDocument::parse("text", &text).unwrap();
    let Err(PartsError::TooLarge { branch, .. }) = TreeParts::split(&document) else {
        panic!("the part is too large");
    };
    assert_eq!(&*branch, "customers.big");
}

#[rstest]
#[case::head_without_root("{\"version\":1}")]
#[case::root_digest_with_path_traversal("{\"version\":1,\"root\":\"../claims/0\",\"nonce\":\"n\"}")]
#[case::root_digest_too_short("{\"version\":1,\"root\":\"00\",\"nonce\":\"n\"}")]
#[case::negative_version("{\"version\":-1,\"root\":\"00\",\"nonce\":\"n\"}")]
fn malformed_heads_and_roots_are_rejected(#[case] text: &str) {
    assert!(HeadObject::from_bytes(text.as_bytes()).is_err());
    let root = format!("{{\"branches\":[{{\"path\":\"classes\",\"digest\":{text:?}}}]}}");
    assert!(RootObject::from_bytes(root.as_bytes()).is_err());
}
