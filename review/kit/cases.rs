//! The cases.

mod dropped_service;
mod model_list;
mod queued_at_stop;
mod rewound_origins;
mod rolled_records;

use std::io;

use crate::record::Record;

/// Runs a case; returns how the rule was broken.
///
/// # Errors
///
/// Fails if the case could not run.
pub fn run(case: &str, has_trouble: bool, record: &Record) -> io::Result<Vec<String>> {
    match case {
        "dropped-service" => dropped_service::run(has_trouble, record),
        "model-list" => model_list::run(has_trouble, record),
        "queued-at-stop" => queued_at_stop::run(has_trouble, record),
        "rewound-origins" => rewound_origins::run(has_trouble, record),
        "rolled-records" => rolled_records::run(has_trouble, record),
        _ => Err(io::ErrorKind::NotFound.into()),
    }
}
