//! Conversion of day counts to calendar dates, for times in logs and reports.

/// Seconds in a day.
pub const DAY_SECONDS: u64 = 86_400;

/// Converts a number of days since 1970-01-01 to the year, month and day of the Gregorian calendar.
pub fn civil_date(days: u64) -> (u64, u64, u64) {
    // Years start in March here, so that the leap day is the last day of the year.
    let days = days + 719_468;
    let (era, day_of_era) = (days / 146_097, days % 146_097);
    let year_of_era =
        (day_of_era - day_of_era / 1_460 + day_of_era / 36_524 - day_of_era / 146_096) / 365;
    let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let month_from_march = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * month_from_march + 2) / 5 + 1;
    let month = if month_from_march < 10 { month_from_march + 3 } else { month_from_march - 9 };
    let year = year_of_era + era * 400 + u64::from(month <= 2);
    (year, month, day)
}
