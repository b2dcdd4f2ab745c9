//! Tests the stored form of the pages that name where streams began.

use std::time::{Duration, SystemTime};

use coltsfootgate_core::stream::{PageEntry, StreamDigest, StreamKey, StreamOrigin, StreamPage};
use coltsfootgate_wire::{WireError, decode_stream_page, encode_stream_page};
use proptest::prelude::*;
use rstest::rstest;

fn origin(version: Option<&str>) -> StreamOrigin {
    StreamOrigin { pool: "pools.lm".into(), version: version.map(Into::into) }
}

fn at(seconds: u64) -> SystemTime {
    SystemTime::UNIX_EPOCH + Duration::from_secs(seconds)
}

/// Two streams of two versions, one at an endpoint without a version, and one that began at several origins.
fn page() -> StreamPage {
    let origins = [Some(origin(Some("1.0"))), Some(origin(Some("1.1"))), Some(origin(None)), None];
    let entry = |(number, origin): (usize, Option<StreamOrigin>)| {
        let expires = at(1_800_000_000 + number as u64 * 7);
        (StreamDigest([number as u8; 10]), PageEntry { origin, expires })
    };
    origins.into_iter().enumerate().map(entry).collect()
}

/// What a build of today writes; later builds must read it.
const PAGE_BYTES: &[u8] = &[
    1, 252, 0, 210, 73, 107, 3, 8, 112, 111, 111, 108, 115, 46, 108, 109, 1, 3, 49, 46, 48, 8, 112,
    111, 111, 108, 115, 46, 108, 109, 1, 3, 49, 46, 49, 8, 112, 111, 111, 108, 115, 46, 108, 109,
    0, 4, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 1, 0, 0, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 7, 2, 2, 2, 2,
    2, 2, 2, 2, 2, 2, 1, 2, 14, 3, 3, 3, 3, 3, 3, 3, 3, 3, 3, 0, 21,
];

#[test]
fn a_stored_page_is_read_by_later_builds() {
    assert_eq!(encode_stream_page(&page()).unwrap(), PAGE_BYTES);
    assert_eq!(decode_stream_page(PAGE_BYTES).unwrap(), page());
}

#[test]
fn the_digest_of_a_stream_is_the_same_in_all_builds() {
    let key = StreamKey::new("shops.a".into(), "c0ffee").unwrap();
    assert_eq!(StreamDigest::from(&key).0, [163, 49, 63, 81, 40, 126, 129, 215, 140, 240]);
}

#[rstest]
#[case::nothing(&[])]
#[case::another_format(&[2, 0, 0, 0])]
#[case::torn(&PAGE_BYTES[..PAGE_BYTES.len() - 1])]
#[case::longer(&[PAGE_BYTES, &[0]].concat())]
#[case::unknown_origin(&[1, 0, 0, 1, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 1, 3, 0])]
#[case::json(b"{\"origins\":[]}")]
fn what_is_no_page_names_nothing(#[case] value: &[u8]) {
    assert!(matches!(
        decode_stream_page(value),
        Err(WireError::Malformed(_) | WireError::WrongValue(_))
    ));
}

/// A page of the largest group at the planned size: 2,200 streams a second, kept for 30 s, in 32 groups.
#[test]
fn a_page_of_the_planned_size_is_a_small_value() {
    let entry = |number: u32| {
        let mut digest = [0; 10];
        digest[..4].copy_from_slice(&number.to_be_bytes());
        let origin = Some(origin(Some(if number.is_multiple_of(2) { "1.0" } else { "1.1" })));
        (StreamDigest(digest), PageEntry { origin, expires: at(1_800_000_000 + 30) })
    };
    let page: StreamPage = (0..2_200 * 30 / 32).map(entry).collect();
    let bytes = encode_stream_page(&page).unwrap().len();
    assert!(bytes < 32 * 1024, "{bytes}");
}

proptest! {
    #[test]
    fn arbitrary_bytes_do_not_panic(value in prop::collection::vec(any::<u8>(), 0..400)) {
        let _ = decode_stream_page(&value);
    }

    #[test]
    fn truncated_pages_are_rejected(length in 0..PAGE_BYTES.len()) {
        prop_assert!(decode_stream_page(&PAGE_BYTES[..length]).is_err());
    }
}
