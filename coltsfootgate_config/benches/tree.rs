//! Benchmarks of parsing and merging a tree and of request lookups, by number of customers.

// The macros of criterion make public items without documentation.
#![allow(missing_docs)]

use std::fmt::Write;
use std::hint::black_box;

use coltsfootgate_config::{
    ConfigTree, NoHeaders, RequestAttributes, TreeParts, content_digest, merge,
};
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};

const CUSTOMERS: [usize; 3] = [10, 100, 1100];
const ENDPOINTS: usize = 600;
const CLASSES: usize = 40;
const ROUTES: [usize; 3] = [350, 1400, 5600];

/// A tree with one branch per customer, whose classes all match the last customer.
fn tree_text(customers: usize) -> String {
    let mut text = String::from("[deployment]\nname = \"bench\"\n");
    for class in 0..CLASSES {
        let customer = customers - 1;
        writeln!(
            text,
            "[classes.c{class}]\nmatch = {{ customer = \"customers.c{customer}\", header = {{ X-Kind = \"k{class}\" }} }}\ntier = {}",
            class % 7 + 1
        )
        .unwrap();
    }
    for customer in 0..customers {
        let digest = content_digest(format!("key-{customer}").as_bytes());
        writeln!(text, "[customers.c{customer}]\nkeys = [\"{digest}\"]\nrate = 20.0").unwrap();
    }
    text.push_str("[pools.main]\nmodel = \"m\"\nzone = \"z\"\n");
    for endpoint in 0..ENDPOINTS {
        let (high, low) = (endpoint / 250, endpoint % 250);
        writeln!(text, "[pools.main.e{endpoint}]\naddress = \"10.0.{high}.{low}:8000\"").unwrap();
    }
    text
}

fn bench_tree(criterion: &mut Criterion) {
    for customers in CUSTOMERS {
        let text = tree_text(customers);
        let tree = ConfigTree::parse("bench", &text).unwrap();
        let id = |name: &str| BenchmarkId::new(name.to_owned(), customers);
        criterion.bench_with_input(id("parse"), &(), |bencher, ()| {
            bencher.iter(|| ConfigTree::parse("bench", black_box(&text)));
        });
        let parts = TreeParts::split(tree.document()).unwrap();
        let changed_text = text.replacen("rate = 20.0", "rate = 30.0", 1);
        let changed = ConfigTree::parse("bench", &changed_text).unwrap();
        let changed = TreeParts::split(changed.document()).unwrap();
        criterion.bench_with_input(id("merge"), &(), |bencher, ()| {
            bencher.iter(|| merge(black_box(&parts), &parts, &changed));
        });
        let headers = vec![("x-kind".to_owned(), format!("k{}", CLASSES - 1))];
        let customer = format!("customers.c{}", customers - 1);
        criterion.bench_with_input(id("classify, last of 40"), &(), |bencher, ()| {
            bencher.iter(|| {
                tree.classify(&RequestAttributes {
                    host: None,
                    customer: black_box(&customer),
                    method: "POST",
                    path: "/v1/chat/completions",
                    model: Some("m"),
                    headers: &headers,
                })
            });
        });
        let key = format!("key-{}", customers - 1);
        criterion.bench_with_input(id("customer by key"), &(), |bencher, ()| {
            bencher.iter(|| tree.customer_by_key(black_box(&key)));
        });
    }
}

/// A tree with one class per route, all on one host.
fn routes_text(routes: usize) -> String {
    let mut text = tree_text(CUSTOMERS[0]);
    for route in 0..routes {
        writeln!(
            text,
            "[classes.r{route}]\nmatch = {{ host = \"a.example\", prefix = \"/r{route}/\" }}\ntier = 2"
        )
        .unwrap();
    }
    text
}

fn bench_routes(criterion: &mut Criterion) {
    for routes in ROUTES {
        let text = routes_text(routes);
        let tree = ConfigTree::parse("bench", &text).unwrap();
        let path = format!("/r{}/x", routes - 1);
        let id = |name: &str| BenchmarkId::new(name.to_owned(), routes);
        criterion.bench_with_input(id("classify, last route"), &(), |bencher, ()| {
            bencher.iter(|| {
                tree.classify(&RequestAttributes {
                    host: Some("a.example"),
                    customer: "customers.c0",
                    method: "POST",
                    path: black_box(&path),
                    model: None,
                    headers: &NoHeaders,
                })
            });
        });
        let document = tree.document();
        criterion.bench_with_input(id("build"), &(), |bencher, ()| {
            bencher.iter(|| ConfigTree::from_document(black_box(document).clone()));
        });
    }
}

criterion_group!(benches, bench_tree, bench_routes);
criterion_main!(benches);
