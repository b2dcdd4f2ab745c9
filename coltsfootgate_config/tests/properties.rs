//! Property tests of parsing, splitting and merging.

use std::fmt::Write;

use coltsfootgate_config::{
    BranchDocument, ConfigTree, HeadObject, RootObject, SettingValue, TreeParts, diff, merge,
};
use proptest::prelude::*;

const SAMPLE: &str = include_str!("../../samples/terenuri.toml");

/// Texts that resemble trees: headers, keys and values in any order.
fn tree_like_text() -> impl Strategy<Value = String> {
    let line = prop_oneof![
        "\\[(deployment|classes|customers|pools)(\\.[a-c]){0,3}\\]",
        "(tier|match|keys|model|service|address|zone|slots|floor|name) = (1|0\\.5|true|\"[a-z:/.0-9 ]{0,12}\"|\\[\"x\", 2\\]|\\{ path = \"/\\*\" \\}|1979-05-27)",
        "[ -~]{0,20}",
    ];
    prop::collection::vec(line, 0..24).prop_map(|lines| lines.join("\n"))
}

/// Documents with few branches, so that changes often concern the same one.
fn document_text() -> impl Strategy<Value = String> {
    let branch = (0..4_usize, 0..3_u8, -9..9_i64, any::<String>());
    prop::collection::vec(branch, 0..8).prop_map(|branches| {
        let mut text = String::new();
        let mut seen = Vec::new();
        for (root, name, number, words) in branches {
            let root = ["classes", "classes.q", "customers", "pools"][root];
            let header = format!("{root}.b{name}");
            if !seen.contains(&header) {
                let words = SettingValue::Text(words.into());
                writeln!(
                    text,
                    "[{header}]
number = {number}
text = {words}"
                )
                .unwrap();
                seen.push(header);
            }
        }
        text
    })
}

fn parts(text: &str) -> TreeParts {
    TreeParts::split(&BranchDocument::parse("text", text).unwrap()).unwrap()
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn arbitrary_text_never_panics(text in "\\PC{0,200}") {
        let _ = ConfigTree::parse("any", &text);
    }

    #[test]
    fn tree_like_text_parses_or_lists_errors(text in tree_like_text()) {
        if let Err(errors) = ConfigTree::parse("any", &text) {
            prop_assert!(!errors.0.is_empty());
        }
    }

    #[test]
    fn corrupted_sample_never_panics(at in 0..SAMPLE.len(), replacement in "\\PC{1,3}") {
        let mut text = SAMPLE.to_owned();
        text.replace_range(at..=at, &replacement);
        let _ = ConfigTree::parse("damaged", &text);
    }

    #[test]
    fn arbitrary_stored_bytes_never_panic(bytes in prop::collection::vec(any::<u8>(), 0..64)) {
        let _ = HeadObject::from_bytes(&bytes);
        let _ = RootObject::from_bytes(&bytes);
    }

    #[test]
    fn splitting_and_joining_preserves_the_document(text in document_text()) {
        let document = BranchDocument::parse("text", &text).unwrap();
        let split = TreeParts::split(&document).unwrap();
        prop_assert_eq!(split.text(), document.render());
        let joined = split.document("joined").unwrap();
        prop_assert_eq!(diff(&document, &joined), []);
        prop_assert_eq!(&parts(&joined.render()), &split);
        let root = RootObject::from_bytes(&split.root().to_bytes()).unwrap();
        prop_assert_eq!(root.digest(), split.root().digest());
    }

    #[test]
    fn merging_loses_no_change(
        base in document_text(), theirs in document_text(), mine in document_text(),
    ) {
        let (base, theirs, mine) = (parts(&base), parts(&theirs), parts(&mine));
        prop_assert_eq!(merge(&base, &theirs, &base), Ok(theirs.clone()));
        prop_assert_eq!(merge(&base, &base, &mine), Ok(mine.clone()));
        let Ok(merged) = merge(&base, &theirs, &mine) else {
            return Ok(());
        };
        let paths = base.iter().chain(theirs.iter()).chain(mine.iter());
        for path in paths.map(|part| &part.path) {
            let (old, new) = (base.part(path), merged.part(path));
            for side in [theirs.part(path), mine.part(path)] {
                prop_assert!(side == old || side == new, "{} was lost", path);
            }
        }
    }
}
