//! The manual page and the completions contain every command and flag.

use coltsfootctl::arguments::{ToolArguments, ToolCommand};
use gumdrop::Options;
use rstest::rstest;

const PAGE: &str = include_str!("../../extra/man/coltsfootctl.1");
const BASH: &str = include_str!("../../extra/completions/coltsfootctl.bash");
const ZSH: &str = include_str!("../../extra/completions/_coltsfootctl");
const FISH: &str = include_str!("../../extra/completions/coltsfootctl.fish");

const COMMANDS: [&str; 7] = ["check", "apply", "get", "diff", "history", "explain", "status"];

/// Extracts the long flags from a usage text, without their dashes.
fn flags(usage: &str) -> Vec<&str> {
    let words = usage.split_whitespace().filter_map(|word| word.strip_prefix("--"));
    words.map(|word| word.trim_end_matches([')', ','])).collect()
}

#[rstest]
#[case::manual(&PAGE.replace('\\', ""), "--")]
#[case::bash(BASH, "--")]
#[case::zsh(ZSH, "--")]
#[case::fish(FISH, "-l ")]
fn every_command_and_flag_is_described(#[case] text: &str, #[case] flag_prefix: &str) {
    let usages = COMMANDS.map(|command| ToolCommand::command_usage(command).unwrap());
    for usage in usages.iter().copied().chain([ToolArguments::usage()]) {
        for flag in flags(usage) {
            assert!(text.contains(&format!("{flag_prefix}{flag}")), "--{flag}");
        }
    }
    for command in COMMANDS {
        assert!(text.contains(command), "{command}");
    }
}

#[test]
fn every_command_is_known() {
    let listed = ToolArguments::command_list().unwrap();
    let listed: Vec<_> = listed.lines().filter_map(|line| line.split_whitespace().next()).collect();
    assert_eq!(listed, COMMANDS);
}
