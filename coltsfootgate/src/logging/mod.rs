//! Log output as text or JSON lines, labelled with the module that logged them.

mod writer;

use std::fmt::Arguments;
use std::io::Write;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use fern::{Dispatch, FormatCallback};
use log::{LevelFilter, Record, SetLoggerError};
use serde::Serialize;

use coltsfootgate_core::calendar::{DAY_SECONDS, civil_date};

pub use self::writer::LogDrain;
use self::writer::QueuedWriter;
use crate::options::{LogFormat, LogOutput};

/// Log target of decision records, whose message is a JSON object.
pub const DECISION_TARGET: &str = "decision";

/// One line of the JSON log.
#[derive(Serialize)]
struct LogLine<'a> {
    time: String,
    level: &'static str,
    part: &'a str,
    message: String,
}

/// Installs the logger; the returned drain waits until all lines are written.
///
/// # Errors
///
/// Fails if a logger is already installed.
pub fn start_logging(
    level: LevelFilter,
    format: LogFormat,
    output: LogOutput,
) -> Result<LogDrain, SetLoggerError> {
    let dispatch = Dispatch::new().level(level).filter(|metadata| is_own_target(metadata.target()));
    let dispatch = match format {
        LogFormat::Text => dispatch.format(write_text),
        LogFormat::Json => dispatch.format(write_json),
    };
    let (writer, drain) = match output {
        LogOutput::Stdout => QueuedWriter::start(std::io::stdout()),
        LogOutput::Stderr => QueuedWriter::start(std::io::stderr()),
    };
    let writer: Box<dyn Write + Send> = Box::new(writer);
    dispatch.chain(writer).apply()?;
    Ok(drain)
}

/// Whether a log target belongs to this system rather than to a library.
fn is_own_target(target: &str) -> bool {
    !target.contains("::") || target.starts_with("coltsfoot")
}

/// The name of the part of the system that logs to a target: the module below the crate root.
pub fn part_name(target: &str) -> &str {
    let mut segments = target.split("::");
    match (segments.next(), segments.next()) {
        (Some(_), Some(module)) => module,
        (Some("coltsfootgate"), None) | (None, _) => "daemon",
        (Some(part), None) => part,
    }
}

fn write_text(out: FormatCallback<'_>, message: &Arguments<'_>, record: &Record<'_>) {
    let part = part_name(record.target());
    out.finish(format_args!("{} {:<5} {part}: {message}", time_now(), record.level()));
}

fn write_json(out: FormatCallback<'_>, message: &Arguments<'_>, record: &Record<'_>) {
    if record.target() == DECISION_TARGET {
        let (time, level) = (time_now(), record.level().as_str());
        // Merges the members of the record into the object of the line.
        let members = message.to_string();
        let members = members.strip_prefix('{').unwrap_or(&members);
        let head = format_args!(
            "{{\"time\":\"{time}\",\"level\":\"{level}\",\"part\":\"decision\",{members}"
        );
        return out.finish(head);
    }
    let line = LogLine {
        time: time_now(),
        level: record.level().as_str(),
        part: part_name(record.target()),
        message: message.to_string(),
    };
    let text = serde_json::to_string(&line).unwrap_or_default();
    out.finish(format_args!("{text}"));
}

/// Prints a fatal error to standard error without the logger, which may not have started.
pub fn print_fault(message: &str) {
    // A closed standard error leaves nowhere to report to.
    let _ = writeln!(std::io::stderr(), "coltsfootgate: {message}");
}

fn time_now() -> String {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    format_time(elapsed)
}

/// Formats a time since the Unix epoch as RFC 3339 in UTC with milliseconds.
pub fn format_time(elapsed: Duration) -> String {
    let (days, rest) = (elapsed.as_secs() / DAY_SECONDS, elapsed.as_secs() % DAY_SECONDS);
    let (year, month, day) = civil_date(days);
    let (hour, minute, second) = (rest / 3_600, rest / 60 % 60, rest % 60);
    let milliseconds = elapsed.subsec_millis();
    format!("{year:04}-{month:02}-{day:02}T{hour:02}:{minute:02}:{second:02}.{milliseconds:03}Z")
}
