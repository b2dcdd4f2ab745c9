//! The class of a request is the first one, in the order of the text, whose conditions match.

use std::fmt::Write;

use coltsfootgate_config::{ConfigTree, NoHeaders, RequestAttributes};
use proptest::prelude::*;

const FRAME: &str = r#"[deployment]
name = "test"
[customers.one]
keys = ["0000000000000000000000000000000000000000000000000000000000000000"]
[pools.main]
kind = "service"
"#;

const HOSTS: [&str; 4] = ["a.example", "A.example", "b.example", "c.example"];
const PREFIXES: [&str; 7] = ["/", "/x/", "/x/y/", "/x", "/x/y/z/", "/z/", "/x/yy"];
const METHODS: [&str; 2] = ["GET", "POST"];

/// The conditions of one class, as positions in the lists above.
#[derive(Clone, Debug)]
struct Conditions {
    hosts: Vec<usize>,
    prefixes: Vec<usize>,
    method: Option<usize>,
}

fn conditions() -> impl Strategy<Value = Conditions> {
    let hosts = prop::collection::vec(0..HOSTS.len(), 0..3);
    let prefixes = prop::collection::vec(0..PREFIXES.len(), 0..3);
    (hosts, prefixes, prop::option::of(0..METHODS.len()))
        .prop_map(|(hosts, prefixes, method)| Conditions { hosts, prefixes, method })
}

impl Conditions {
    fn render(&self, class: usize) -> String {
        let mut members = Vec::new();
        let list = |all: &[&str], chosen: &[usize]| {
            let texts: Vec<_> = chosen.iter().map(|one| format!("{:?}", all[*one])).collect();
            format!("[{}]", texts.join(", "))
        };
        if !self.hosts.is_empty() {
            members.push(format!("host = {}", list(&HOSTS, &self.hosts)));
        }
        if !self.prefixes.is_empty() {
            members.push(format!("prefix = {}", list(&PREFIXES, &self.prefixes)));
        }
        if let Some(method) = self.method {
            members.push(format!("method = {:?}", METHODS[method]));
        }
        format!("[classes.c{class}]\nmatch = {{ {} }}\n", members.join(", "))
    }

    fn matches(&self, host: &str, path: &str, method: &str) -> bool {
        let host = host.to_lowercase();
        let path = path.split('?').next().unwrap();
        let any = |chosen: &[usize], holds: &dyn Fn(usize) -> bool| {
            chosen.is_empty() || chosen.iter().any(|one| holds(*one))
        };
        any(&self.hosts, &|one| HOSTS[one].to_lowercase() == host)
            && any(&self.prefixes, &|one| path.starts_with(PREFIXES[one]))
            && self.method.is_none_or(|one| METHODS[one] == method)
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn the_first_class_that_matches_is_chosen(
        classes in prop::collection::vec(conditions(), 0..12),
        host in prop::sample::select(&["a.example", "B.Example:80", "d.example"][..]),
        path in prop::sample::select(&["/", "/x", "/x/", "/x/y/z/w", "/x/yy/?/z/", "/z/?q=/x/", ""][..]),
        method in prop::sample::select(&METHODS[..]),
    ) {
        let mut text = FRAME.to_owned();
        for (number, class) in classes.iter().enumerate() {
            write!(text, "{}", class.render(number)).unwrap();
        }
        let tree = ConfigTree::parse("test", &text).unwrap();
        let found = tree.classify(&RequestAttributes {
            customer: "customers.one", method, host: Some(host), path, model: None,
            headers: &NoHeaders,
        });
        let name = host.split(':').next().unwrap();
        let expected = classes.iter().position(|class| class.matches(name, path, method));
        let expected = expected.map_or("classes".to_owned(), |class| format!("classes.c{class}"));
        prop_assert_eq!(&*found.id, expected);
    }
}
