//! Benchmarks of parsing and merging a tree and of request lookups, by number of customers.

// The macros of criterion make public items without documentation.
#![allow(missing_docs)]

use std::fmt::Write;
use std::hint::black_box;

use coltsfootgate_config::{ConfigTree, RequestAttributes, TreeParts, content_digest, merge};
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};

const CUSTOMERS: [usize; 3] = [10, 100, 1100];
const ENDPOINTS: usize = 600;
const CLASSES: usize = 40;

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

criterion_group!(benches, bench_tree);
criterion_main!(benches);
