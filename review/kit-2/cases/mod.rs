//! The cases.

mod forwarded;
mod lost_streams;
mod memory;
mod revoked;
mod versions;

/// Runs a case, and exits with its result.
pub fn run(name: &str, folder: &str, logs: &str) {
    let has_trouble = std::env::var("TROUBLE").map_or(true, |trouble| trouble != "0");
    match name {
        "forwarded" => forwarded::run(folder, logs, has_trouble),
        "lost_streams" => lost_streams::run(folder, logs, has_trouble),
        "memory" => memory::run(folder, logs, has_trouble),
        "revoked" => revoked::run(folder, logs, has_trouble),
        "versions" => versions::run(folder, logs, has_trouble),
        _ => std::process::exit(2),
    }
}
