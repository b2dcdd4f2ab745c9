//! The manual page of the tree names every key with its default.

use coltsfootgate_config::TreeKind;

const PAGE: &str = include_str!("../../extra/man/coltsfootgate-tree.5");

/// The page from the heading of a tree to the next heading.
fn section(kind: TreeKind) -> &'static str {
    let heading = format!(".SH {}\n", kind.name().to_uppercase());
    let (_, rest) = PAGE.split_once(&heading).unwrap();
    rest.split(".SH ").next().unwrap()
}

#[test]
fn every_key_is_described() {
    for kind in TreeKind::ALL {
        for spec in kind.keys() {
            let is_flat = matches!(kind, TreeKind::Deployment | TreeKind::Connections);
            let entry = match (spec.default, spec.inherited || is_flat) {
                (Some(default), _) => format!(".TP\n.BR {} \" ({default})\"\n", spec.name),
                (None, true) => format!(".TP\n.B {}\n", spec.name),
                (None, false) => format!(".TP\n.BR {} \" (own)\"\n", spec.name),
            };
            assert!(section(kind).contains(&entry), "{entry}");
        }
    }
}

#[test]
fn no_other_key_is_described() {
    for kind in TreeKind::ALL {
        assert_eq!(section(kind).matches(".TP\n").count(), kind.keys().len(), "{kind:?}");
    }
}
