//! Conversion of day counts to dates of the Gregorian calendar.

use coltsfootgate_core::calendar::civil_date;
use rstest::rstest;

#[rstest]
#[case::first_day(0, (1970, 1, 1))]
#[case::end_of_a_year(10_956, (1999, 12, 31))]
#[case::leap_day_of_a_century(11_016, (2000, 2, 29))]
#[case::leap_day(19_782, (2024, 2, 29))]
#[case::day_after_a_leap_day(19_783, (2024, 3, 1))]
#[case::century_without_a_leap_day(47_541, (2100, 3, 1))]
fn day_counts_convert_to_dates(#[case] days: u64, #[case] date: (u64, u64, u64)) {
    assert_eq!(civil_date(days), date);
}
