//! Cost of one owner decision: a release that grants a waiting request, followed by a new request.

// Criterion's macros generate public items without documentation.
#![allow(missing_docs)]

use std::collections::VecDeque;
use std::hint::black_box;
use std::time::{Duration, Instant};

use coltsfootgate_core::owner::{
    GrantRequest, OwnerAction, OwnerEvent, OwnerSettings, PoolOwner, ReleaseReport, ReleaseResult,
};
use coltsfootgate_core::prelude::*;
use coltsfootgate_core::prompt::PromptLoad;
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};

const ENDPOINT_COUNT: u32 = 2;
const SLOTS: u32 = 8;
const WAITING_COUNTS: [u64; 3] = [1, 100, 10_000];
const CUSTOMER_COUNTS: [u64; 3] = [10, 100, 1_100];

/// A pool owner whose slots are all occupied and whose queue length stays constant.
struct BusyOwner {
    owner: PoolOwner,
    granted: VecDeque<(GrantId, EndpointId)>,
    customers: Vec<CustomerId>,
    next_grant: GrantId,
    start: Instant,
}

impl BusyOwner {
    fn new(waiting: u64, customers: u64) -> Self {
        let settings = OwnerSettings {
            pool: "pools.model".into(),
            between_tokens: Some(Duration::from_millis(34)),
            kv_cache_tokens: None,
            limit_sharers: 1,
        };
        let mut busy = Self {
            owner: PoolOwner::new(settings),
            granted: VecDeque::new(),
            customers: (0..customers).map(|number| format!("customers.c{number}").into()).collect(),
            next_grant: 0,
            start: Instant::now(),
        };
        let endpoints = (0..ENDPOINT_COUNT).map(endpoint).collect();
        busy.handle(OwnerEvent::Endpoints(endpoints));
        for _ in 0..u64::from(ENDPOINT_COUNT * SLOTS) + waiting {
            busy.submit();
        }
        busy
    }

    fn submit(&mut self) {
        let grant = self.next_grant;
        self.next_grant += 1;
        let tier = RequestTier::new((grant % 7) as u8 + 1).expect("tier in range");
        self.handle(OwnerEvent::RequestGrant(GrantRequest {
            request: RequestId::from_u128(grant.into()),
            requester: "10.0.0.1:9000".into(),
            grant,
            class: "classes.any".into(),
            tier,
            stated_tier: tier,
            customer: self.customers[(grant % self.customers.len() as u64) as usize].clone(),
            weight: 1.0,
            floor: 0.02,
            queue_requests: u32::MAX,
            queue_tokens: u64::MAX,
            tokens: 200,
            prompt: PromptLoad::default(),
            zone: "zone-a".into(),
            arrived: self.start,
            deadline: self.start + Duration::from_secs(86_400),
            prefix: Some(grant % 5_000),
            version: None,
            excluded: Vec::new(),
            wait: true,
        }));
    }

    fn release(&mut self) {
        let Some((grant, endpoint)) = self.granted.pop_front() else { return };
        self.handle(OwnerEvent::Release(ReleaseReport {
            requester: "10.0.0.1:9000".into(),
            grant,
            endpoint,
            tokens: 200,
            first_token: Some(Duration::from_millis(40)),
            between_tokens: Some(Duration::from_millis(33)),
            result: ReleaseResult::Completed,
        }));
    }

    fn handle(&mut self, event: OwnerEvent) {
        for action in self.owner.handle(event, self.start) {
            if let OwnerAction::Grant { grant, endpoint, .. } = black_box(action) {
                self.granted.push_back((grant, endpoint));
            }
        }
    }
}

fn endpoint(number: u32) -> EndpointSettings {
    EndpointSettings {
        replica: None,
        version: None,
        id: format!("pools.model.endpoints.e{number}").into(),
        address: format!("10.0.1.{number}:8000").into(),
        zone: "zone-a".into(),
        slots: SLOTS,
        slots_max: SLOTS,
    }
}

fn bench_decisions(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("release_grant_ask");
    group.measurement_time(Duration::from_secs(2)).warm_up_time(Duration::from_millis(500));
    for waiting in WAITING_COUNTS {
        for customers in CUSTOMER_COUNTS {
            let id = BenchmarkId::new(format!("waiting_{waiting}"), customers);
            let mut busy = BusyOwner::new(waiting, customers);
            group.bench_function(id, |bencher| {
                bencher.iter(|| {
                    busy.release();
                    busy.submit();
                });
            });
        }
    }
    group.finish();
}

criterion_group!(benches, bench_decisions);
criterion_main!(benches);
