//! Cost of a change of the instances: which records of streams an instance passes on to which others.

// Criterion's macros generate public items without documentation.
#![allow(missing_docs)]

use std::hint::black_box;

use coltsfootgate_core::prelude::InstanceId;
use coltsfootgate_core::rendezvous::OwnerTable;
use coltsfootgate_core::stream::{RecordHolders, STREAM_GROUPS};
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};

const INSTANCE_COUNTS: [usize; 3] = [9, 60, 350];

fn instance(number: usize) -> InstanceId {
    format!("10.0.{}.{}:9001", number / 250, number % 250).into()
}

fn bench_changes(criterion: &mut Criterion) {
    let mut benches = criterion.benchmark_group("stream_holders");
    for count in INSTANCE_COUNTS {
        let all = RecordHolders {
            live: OwnerTable::new((0..count).map(instance)),
            leaving: OwnerTable::default(),
            is_complete: true,
        };
        let one_less = RecordHolders {
            live: OwnerTable::new((1..count).map(instance)),
            leaving: OwnerTable::new([instance(0)]),
            is_complete: true,
        };
        benches.bench_function(BenchmarkId::new("change", count), |bencher| {
            bencher.iter(|| {
                let own = instance(1);
                let successors = |group| black_box(&one_less).successors(&all, group, &own).len();
                (0..STREAM_GROUPS).map(successors).sum::<usize>()
            });
        });
    }
    benches.finish();
}

criterion_group!(benches, bench_changes);
criterion_main!(benches);
