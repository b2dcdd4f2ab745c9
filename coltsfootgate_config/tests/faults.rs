//! Each fault in a tree is reported with its location, the value found and the values allowed.

use coltsfootgate_config::ConfigTree;

const VALID_TREE: &str = r#"[deployment]
name = "small"
zones = ["east"]

[classes]
tier = 3

[classes.chat]
match = { model = "m", customer = "customers.one" }

[customers.one]
keys = ["0000000000000000000000000000000000000000000000000000000000000000"]

[pools.main]
model = "m"

[pools.main.e1]
address = "127.0.0.1:7101"
zone = "east"
"#;

fn errors(text: &str) -> Vec<String> {
    let errors =
        ConfigTree::parse("tree.toml", text).expect_err("parsing succeeded despite a fault");
    errors.0.iter().map(ToString::to_string).collect()
}

#[test]
fn valid_tree_has_no_fault() {
    ConfigTree::parse("tree.toml", VALID_TREE).unwrap();
}

macro_rules! fault_cases {
    ($($case:ident: $from:literal => $to:literal, [$($expected:literal),+];)*) => {
        $(#[test]
        fn $case() {
            assert!(VALID_TREE.contains($from));
            let found = errors(&VALID_TREE.replacen($from, $to, 1));
            assert_eq!(found, [$($expected),+]);
        })*
    };
}

fault_cases! {
    syntax: "tier = 3" => "tier 3",
        ["tree.toml:6: not valid TOML: key with no value, expected `=`"];
    unknown_key: "tier = 3" => "teir = 3",
        ["tree.toml:6: classes: teir: unknown key; nearest is `tier`; allowed: match, tier, first_token, between_tokens, whole_answer, floor, queue_requests, queue_tokens, repeatable, retry_budget, attempts, deadline, resume, timeout, public, retry_errors, patience, stream, pools"];
    unknown_root: "[classes]" => "[clases.x]\n[classes]",
        ["tree.toml:5: clases: unknown key; nearest is `classes`; allowed: deployment, connections, classes, customers, pools"];
    part_ids: "model = \"m\"\n\n[pools.main.e1]" => "model = \"m\"\nallowed_parts = [\"5c1e07a2\", \"+1\"]\n\n[pools.main.e1]",
        ["tree.toml:16: pools.main: allowed_parts: found [\"5c1e07a2\", \"+1\"]; allowed: a list of ids, each 1 to 16 hexadecimal digits"];
    tier_out_of_bounds: "tier = 3" => "tier = 8",
        ["tree.toml:6: classes: tier: found 8; allowed: a whole number from 1 to 7"];
    every_fault_is_listed: "tier = 3" => "tier = 0\nfloor = 0.9\nresume = \"yes\"",
        [
            "tree.toml:6: classes: tier: found 0; allowed: a whole number from 1 to 7",
            "tree.toml:7: classes: floor: found 0.9; allowed: a number from 0 to 0.5",
            "tree.toml:8: classes: resume: found \"yes\"; allowed: true or false"
        ];
    duration_without_unit: "tier = 3" => "deadline = 30",
        ["tree.toml:6: classes: deadline: found 30; allowed: a duration with its unit (us, ms, s, min, h, d) from 1ms to 86400s, such as \"250 ms\""];
    date: "tier = 3" => "tier = 2026-01-01",
        ["tree.toml:6: classes: tier: found 2026-01-01; allowed: a whole number from 1 to 7"];
    huge_number: "tier = 3" => "tier = 99999999999999999999",
        ["tree.toml:6: classes: tier: found 99999999999999999999; allowed: a whole number from 1 to 7"];
    match_at_the_root: "tier = 3" => "match = { model = \"m\" }",
        ["tree.toml:6: classes: match: found `match` at the root; allowed: no conditions, since the root matches every request"];
    class_without_match: "match = { model = \"m\", customer = \"customers.one\" }" => "tier = 2",
        ["tree.toml:8: classes.chat: match: set neither here nor in a parent branch; allowed: a table of customer, model, method, host, prefix, path and header"];
    unknown_condition: "model = \"m\", cust" => "mode = \"m\", cust",
        ["tree.toml:9: classes.chat: mode: unknown key; nearest is `model`; allowed: customer, model, method, host, prefix, path, header"];
    unknown_model: "{ model = \"m\"" => "{ model = \"n\"",
        ["tree.toml:9: classes.chat: match: found model \"n\"; allowed: a model of a pool: m"];
    unknown_customer: "customers.one\" }" => "customers.two\" }",
        ["tree.toml:9: classes.chat: match: found customer \"customers.two\"; allowed: a branch of `customers`"];
    short_digest: "0000\"]" => "\"]",
        ["tree.toml:12: customers.one: keys: found [\"000000000000000000000000000000000000000000000000000000000000\"]; allowed: a list of SHA-256 digests, each 64 hexadecimal digits"];
    shared_key: "[pools.main]" => "[customers.two]\nkeys = [\"0000000000000000000000000000000000000000000000000000000000000000\"]\n[pools.main]",
        ["tree.toml:15: customers.two: keys: found digest \"0000000000000000000000000000000000000000000000000000000000000000\", already set in customers.one; allowed: in one branch only"];
    endpoint_by_name: "127.0.0.1:7101" => "engine.local:7101",
        ["tree.toml:18: pools.main.e1: address: found \"engine.local:7101\"; allowed: an IP address and port, such as \"10.0.0.7:8000\""];
    unknown_zone: "zone = \"east\"" => "zone = \"west\"",
        ["tree.toml:17: pools.main.e1: found zone \"west\"; allowed: the zones of `deployment`: east"];
    missing_zone: "zone = \"east\"" => "",
        ["tree.toml:17: pools.main.e1: zone: set neither here nor in a parent branch; allowed: the name of an availability zone"];
    shared_address: "zone = \"east\"" => "zone = \"east\"\n[pools.main.e2]\naddress = \"127.0.0.1:7101\"\nzone = \"east\"",
        ["tree.toml:21: pools.main.e2: address: found \"127.0.0.1:7101\", already set in pools.main.e1; allowed: in one branch only"];
    shared_model: "[pools.main]" => "[pools.other]\nmodel = \"m\"\n[pools.main]",
        ["tree.toml:17: pools.main: model: found \"m\", already set in pools.other; allowed: in one branch only"];
    pool_in_pool: "zone = \"east\"" => "zone = \"east\"\n[pools.main.inner]\nmodel = \"n\"",
        ["tree.toml:20: pools.main.inner: found a pool inside a pool; allowed: pools side by side"];
    address_outside_a_pool: "[pools.main]" => "[pools.lone]\naddress = \"127.0.0.1:1\"\n[pools.main]",
        ["tree.toml:14: pools.lone: found an `address` outside a pool; allowed: below a branch with `model`, `service` or `kind`"];
    slots_above_their_bound: "zone = \"east\"\n" => "zone = \"east\"\nslots = 9\nslots_max = 3\n",
        ["tree.toml:17: pools.main.e1: found slots = 9 above slots_max; allowed: 1 to slots_max, here 3"];
    service_of_the_callers_interface: "model = \"m\"\n" => "service = \"/v1/\"\n",
        ["tree.toml:9: classes.chat: match: found model \"m\"; allowed: a model of a pool: ",
         "tree.toml:15: pools.main: service: found \"/v1/\"; allowed: a path prefix that starts and ends with \"/\", outside \"/v1/\""];
    branch_name: "[pools.main]" => "[pools.\"a.b\"]\n[pools.main]",
        ["tree.toml:14: pools.a.b: found \"a.b\"; allowed: 1 to 64 letters, digits, `-` and `_` in a branch name"];
    name_missing: "name = \"small\"" => "",
        ["tree.toml:1: deployment: name: set neither here nor in a parent branch; allowed: the name of the deployment"];
}

#[test]
fn empty_text_lists_the_required_settings() {
    let found = errors("");
    assert_eq!(found.len(), 3, "{found:?}");
}

#[test]
fn floors_of_all_tiers_are_limited_to_one() {
    let class = |name: &str, tier: u8| {
        format!("[classes.{name}]\nmatch = {{ model = \"m\" }}\ntier = {tier}\nfloor = 0.4\n")
    };
    let text = format!("{VALID_TREE}{}{}{}", class("a", 5), class("b", 6), class("c", 7));
    let found = errors(&text);
    assert!(found[0].contains("add up to 1.200"), "{found:?}");
}
