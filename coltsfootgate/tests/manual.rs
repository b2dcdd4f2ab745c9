//! Checks that the manual page of the daemon documents every flag.

use coltsfootgate::options::DaemonFlags;
use gumdrop::Options;

const PAGE: &str = include_str!("../../extra/man/coltsfootgate.8");

#[test]
fn every_flag_is_documented() {
    let page = PAGE.replace('\\', "");
    let flags = DaemonFlags::usage().split_whitespace().filter(|word| word.starts_with("--"));
    for flag in flags {
        assert!(page.contains(flag.trim_end_matches([')', ','])), "{flag}");
    }
}
