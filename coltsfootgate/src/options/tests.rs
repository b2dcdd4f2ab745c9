//! Tests of the daemon's process settings.

use std::collections::HashMap;

use gumdrop::Options;
use rstest::rstest;

use super::*;

const SECRET: &str = "0123456789abcdef";

fn environment(extra: &[(&str, &str)]) -> HashMap<String, String> {
    let base = [
        ("COLTSFOOTGATE_PEER_SECRET", SECRET),
        ("COLTSFOOTGATE_AVAILABILITY_ZONE", "cluj-a"),
        ("COLTSFOOTGATE_PLATFORM", "127.0.0.1:7000"),
    ];
    base.iter().chain(extra).map(|(name, value)| (name.to_string(), value.to_string())).collect()
}

fn settings(
    arguments: &[&str],
    environment: &HashMap<String, String>,
) -> Result<DaemonSettings, SettingFaults> {
    DaemonSettings::new(DaemonFlags::parse_args_default(arguments).unwrap(), environment)
}

#[test]
fn a_flag_overrides_its_variable() {
    let environment = environment(&[("COLTSFOOTGATE_LISTEN", "127.0.0.1:1")]);
    let settings = settings(&["--listen", "127.0.0.1:2"], &environment).unwrap();
    assert_eq!(settings.listen.port(), 2);
    assert_eq!(&*settings.zone, "cluj-a");
}

#[test]
fn the_instance_id_is_the_peer_address_unless_another_is_advertised() {
    let default = settings(&[], &environment(&[])).unwrap();
    assert_eq!(&*default.instance, "127.0.0.1:9100");
    let advertised = settings(&["--advertise", "127.0.0.9:9"], &environment(&[])).unwrap();
    assert_eq!(&*advertised.instance, "127.0.0.9:9");
}

#[rstest]
#[case::address_without_port(&["--listen", "127.0.0.1"], &[], &["--listen"])]
#[case::duration_without_unit(&["--head-time", "250"], &[], &["--head-time"])]
#[case::duration_of_zero(&["--drain-time", "0 s"], &[], &["--drain-time"])]
#[case::count_of_zero(&["--connections", "0"], &[], &["--connections"])]
#[case::unknown_level(&["--log-level", "loud"], &[], &["--log-level"])]
#[case::unknown_format(&[], &[("COLTSFOOTGATE_LOG_FORMAT", "xml")], &["COLTSFOOTGATE_LOG_FORMAT"])]
#[case::unknown_variable(&[], &[("COLTSFOOTGATE_LISTNE", "x")], &["COLTSFOOTGATE_LISTNE"])]
#[case::unreachable_advertised(&["--advertise", "0.0.0.0:9"], &[], &["--advertise"])]
#[case::all_at_once(
    &["--listen", "x", "--platform", "y"],
    &[("COLTSFOOTGATE_PEER_SECRET", "short"), ("COLTSFOOTGATE_AVAILABILITY_ZONE", "a b")],
    &["--listen", "--platform", "COLTSFOOTGATE_AVAILABILITY_ZONE", "COLTSFOOTGATE_PEER_SECRET"]
)]
fn faults_report_the_names_of_their_settings(
    #[case] arguments: &[&str],
    #[case] extra: &[(&str, &str)],
    #[case] expected: &[&str],
) {
    let faults = settings(arguments, &environment(extra)).unwrap_err();
    let names: Vec<_> = faults.0.iter().map(|fault| fault.setting.as_str()).collect();
    assert_eq!(names, expected);
}

#[test]
fn missing_settings_are_listed() {
    let faults = settings(&[], &HashMap::new()).unwrap_err().to_string();
    for name in ["--platform", "--availability-zone", PEER_SECRET_VARIABLE] {
        assert!(faults.contains(name), "{faults}");
    }
}

#[test]
fn the_secret_is_never_printed() {
    let accepted = settings(&[], &environment(&[])).unwrap();
    assert!(!format!("{accepted:?}").contains(SECRET));
    let short = environment(&[("COLTSFOOTGATE_PEER_SECRET", "hunter2")]);
    let faults = settings(&[], &short).unwrap_err();
    assert!(!format!("{faults} {faults:?}").contains("hunter2"));
}
