//! Tests the choice of the instances that forward requests.

use std::time::{Duration, Instant};

use coltsfootgate_core::forward::ForwarderBook;
use coltsfootgate_core::ids::InstanceId;
use coltsfootgate_core::routing::OwnerLocation;

const OWN: &str = "10.0.0.1:1";

fn locations() -> Vec<OwnerLocation> {
    let location = |(owner, zone): (&str, &str)| OwnerLocation {
        owner: owner.into(),
        zone: zone.into(),
        processor_milli: 250,
    };
    let all = [(OWN, "a"), ("10.0.0.2:1", "b"), ("10.0.0.3:1", "a"), ("10.0.0.4:1", "b")];
    all.into_iter().map(location).collect()
}

fn chosen(book: &ForwarderBook, now: Instant) -> Vec<InstanceId> {
    let mut number = 0;
    let random = || {
        number += 1;
        number
    };
    book.choose(&locations(), &OWN.into(), &"a".into(), now, random)
}

#[test]
fn an_instance_never_forwards_to_itself_and_prefers_its_zone() {
    let chosen = chosen(&ForwarderBook::default(), Instant::now());
    let names: Vec<_> = chosen.iter().map(AsRef::as_ref).collect();
    assert_eq!(names, ["10.0.0.3:1", "10.0.0.2:1", "10.0.0.4:1"]);
}

/// Load: most instances of a zone lose their path and all send through the one that is left.
#[test]
fn the_last_instance_of_a_zone_does_not_forward_for_all_others() {
    let (mut book, now) = (ForwarderBook::default(), Instant::now());
    let mut asked: Vec<InstanceId> = Vec::new();
    for _ in 0..60 {
        let first = chosen(&book, now)[0].clone();
        book.begin(first.clone());
        asked.push(first);
    }
    let count = |instance: &str| asked.iter().filter(|one| ***one == *instance).count();
    let counts = ["10.0.0.3:1", "10.0.0.2:1", "10.0.0.4:1"].map(count);
    assert_eq!(counts.iter().sum::<usize>(), 60);
    assert!(counts[0] >= counts[1] && counts[0] >= counts[2], "{counts:?}");
    assert!(counts[0] <= 30, "{counts:?}");
    asked.iter().for_each(|instance| book.end(instance));
    assert_eq!(&*chosen(&book, now)[0], "10.0.0.3:1");
}

#[test]
fn an_instance_that_refused_comes_last_for_a_time() {
    let (mut book, now) = (ForwarderBook::default(), Instant::now());
    book.record_refusal("10.0.0.3:1".into(), now);
    assert_eq!(&*chosen(&book, now)[2], "10.0.0.3:1");
    assert_eq!(&*chosen(&book, now + Duration::from_secs(2))[0], "10.0.0.3:1");
    book.record_forward(&"10.0.0.3:1".into());
    assert_eq!(&*chosen(&book, now)[0], "10.0.0.3:1");
}
