//! The manual page of the settings tree lists exactly the known keys, with their defaults.

use coltsfootgate_config::ConfigSection;

const PAGE: &str = include_str!("../../extra/man/coltsfootgate-tree.5");

/// The part of the page from the heading of a section to the next heading.
fn page_section(section: ConfigSection) -> &'static str {
    let heading = format!(".SH {}\n", section.name().to_uppercase());
    let (_, rest) = PAGE.split_once(&heading).unwrap();
    rest.split(".SH ").next().unwrap()
}

#[test]
fn every_key_is_described() {
    for section in ConfigSection::ALL {
        for spec in section.keys() {
            let is_flat = matches!(section, ConfigSection::Deployment | ConfigSection::Connections);
            let entry = match (spec.default, spec.inherited || is_flat) {
                (Some(default), _) => format!(".TP\n.BR {} \" ({default})\"\n", spec.name),
                (None, true) => format!(".TP\n.B {}\n", spec.name),
                (None, false) => format!(".TP\n.BR {} \" (own)\"\n", spec.name),
            };
            assert!(page_section(section).contains(&entry), "{entry}");
        }
    }
}

#[test]
fn no_other_key_is_described() {
    for section in ConfigSection::ALL {
        assert_eq!(
            page_section(section).matches(".TP\n").count(),
            section.keys().len(),
            "{section:?}"
        );
    }
}
