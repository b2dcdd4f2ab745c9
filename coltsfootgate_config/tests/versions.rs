//! Trees in parts: what two operators change is merged, or the second one gets a conflict.

use coltsfootgate_config::{
    BranchDocument, ConfigTree, HeadObject, PartsError, RootObject, TreeParts, content_digest,
    diff, merge,
};
use rstest::rstest;

const SAMPLE: &str = include_str!("../../samples/samahang.toml");

fn parts(text: &str) -> TreeParts {
    TreeParts::split(&BranchDocument::parse("text", text).unwrap()).unwrap()
}

fn with(edits: &[(&str, &str)]) -> TreeParts {
    let edit = |text: String, (from, to): &(&str, &str)| {
        assert!(text.contains(from), "{from}");
        text.replacen(from, to, 1)
    };
    parts(&edits.iter().fold(SAMPLE.to_owned(), edit))
}

const STOCK_TIER: (&str, &str) = ("tier = 1", "tier = 2");
const STOCK_DEADLINE: (&str, &str) = ("deadline = \"3 s\"", "deadline = \"4 s\"");
const PARTS_TIER: (&str, &str) = ("deadline = \"20 s\"", "deadline = \"25 s\"");
const POOL_SILENCE: (&str, &str) = ("silence = \"2 s\"", "silence = \"3 s\"");
const NEW_CLUB: (&str, &str) = (
    "[customers.workshops]",
    "[customers.guests.one]\nkeys = [\"0000000000000000000000000000000000000000000000000000000000000000\"]\n\n[customers.workshops]",
);

#[rstest]
#[case::different_branches(&[STOCK_TIER], &[PARTS_TIER], &[STOCK_TIER, PARTS_TIER])]
#[case::different_roots(&[STOCK_TIER], &[POOL_SILENCE], &[STOCK_TIER, POOL_SILENCE])]
#[case::same_change(&[STOCK_TIER], &[STOCK_TIER], &[STOCK_TIER])]
#[case::only_theirs(&[STOCK_TIER], &[], &[STOCK_TIER])]
#[case::only_mine(&[], &[NEW_CLUB], &[NEW_CLUB])]
#[case::branch_added(&[STOCK_TIER], &[NEW_CLUB], &[STOCK_TIER, NEW_CLUB])]
fn changes_of_different_branches_merge(
    #[case] theirs: &[(&str, &str)],
    #[case] mine: &[(&str, &str)],
    #[case] expected: &[(&str, &str)],
) {
    let merged = merge(&with(&[]), &with(theirs), &with(mine)).unwrap();
    assert_eq!(merged, with(expected));
    merged.join("merged").unwrap();
}

#[test]
fn changes_of_one_branch_conflict_and_name_what_would_be_lost() {
    let conflict = merge(&with(&[]), &with(&[STOCK_TIER]), &with(&[STOCK_DEADLINE])).unwrap_err();
    assert_eq!(
        conflict.to_string(),
        "classes.registry was changed meanwhile\n  would be lost: ~ classes.registry.stock: tier = 2 (was 1)"
    );
}

#[test]
fn a_branch_that_one_removes_and_the_other_changes_conflicts() {
    let document = with(&[]).document("base").unwrap();
    let removed = TreeParts::split(&document.without_branch("classes.registry").unwrap()).unwrap();
    let conflict = merge(&with(&[]), &with(&[STOCK_TIER]), &removed).unwrap_err();
    assert_eq!(&*conflict.branches[0].branch, "classes.registry");
}

#[test]
fn orders_of_classes_that_differ_conflict() {
    let base = "[classes.a]\nx = 1\n[classes.b]\nx = 2\n[classes.c]\nx = 3\n";
    let theirs = "[classes.b]\nx = 2\n[classes.a]\nx = 1\n[classes.c]\nx = 3\n";
    let mine = "[classes.a]\nx = 1\n[classes.c]\nx = 3\n[classes.b]\nx = 2\n";
    let conflict = merge(&parts(base), &parts(theirs), &parts(mine)).unwrap_err();
    assert_eq!(&*conflict.branches[0].branch, "classes");
    assert_eq!(merge(&parts(base), &parts(base), &parts(mine)), Ok(parts(mine)));
}

#[test]
fn the_difference_names_branch_key_and_both_values() {
    let (before, after) = (with(&[]), with(&[STOCK_TIER, NEW_CLUB]));
    let lines = diff(&before.document("a").unwrap(), &after.document("b").unwrap());
    let lines: Vec<_> = lines.iter().map(ToString::to_string).collect();
    assert_eq!(lines[0], "~ classes.registry.stock: tier = 2 (was 1)");
    assert!(lines[1].starts_with("+ customers.guests.one: keys = "), "{lines:?}");
    assert_eq!(lines.len(), 2);
}

#[test]
fn one_branch_is_replaced_and_nothing_beside_it() {
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
fn texts_from_elsewhere_are_checked() {
    let whole = with(&[]);
    let texts = |digest: &_| whole.iter().find(|p| p.digest == *digest).map(|p| p.text.clone());
    assert_eq!(TreeParts::assemble(&whole.root(), texts), Ok(whole.clone()));
    let missing = TreeParts::assemble(&whole.root(), |_| None);
    assert!(matches!(missing, Err(PartsError::Missing { .. })));
    let wrong = TreeParts::assemble(&whole.root(), |_| Some("".into()));
    assert!(matches!(wrong, Err(PartsError::WrongDigest { .. })));
    let foreign = "[customers.x]\nweight = 2.0\n";
    let mut root = RootObject::default();
    root.branches.push(whole.root().branches[1].clone());
    root.branches[0].digest = content_digest(foreign.as_bytes());
    let foreign = TreeParts::assemble(&root, |_| Some(foreign.into()));
    assert!(matches!(foreign, Err(PartsError::InvalidText { .. })));
}

#[test]
fn a_part_above_a_megabyte_is_refused() {
    let list = vec!["\"0123456789012345678901234567890123456789\""; 25_000].join(",");
    let text = format!("[customers.big]\nkeys = [{list}]\n");
    let document = BranchDocument::parse("text", &text).unwrap();
    let Err(PartsError::TooLarge { branch, .. }) = TreeParts::split(&document) else {
        panic!("the part is too large");
    };
    assert_eq!(&*branch, "customers.big");
}

#[rstest]
#[case::head_of_another_shape("{\"version\":1}")]
#[case::root_outside_its_prefix("{\"version\":1,\"root\":\"../claims/0\",\"nonce\":\"n\"}")]
#[case::root_of_other_length("{\"version\":1,\"root\":\"00\",\"nonce\":\"n\"}")]
#[case::negative_version("{\"version\":-1,\"root\":\"00\",\"nonce\":\"n\"}")]
fn heads_that_name_no_root_are_refused(#[case] text: &str) {
    assert!(HeadObject::from_bytes(text.as_bytes()).is_err());
    let root = format!("{{\"branches\":[{{\"path\":\"classes\",\"digest\":{text:?}}}]}}");
    assert!(RootObject::from_bytes(root.as_bytes()).is_err());
}
