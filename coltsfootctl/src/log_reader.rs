//! Finds the decision record of a request in log files of instances.

use std::fs::File;
use std::io::{BufRead, BufReader, Read};

use error_stack::Report;
use serde_json::Value;

use crate::error::{ToolError, ToolResult};

/// The value of `part` in the log lines with decision records.
const DECISION_LOG_PART: &str = "decision";
/// The members of a decision record that contain an id of the request.
const ID_MEMBERS: [&str; 2] = ["request_id", "caller_id"];
/// Maximum length of a line, in bytes; a longer line is read in pieces that match no request.
const LINE_BYTES_MAX: u64 = 1 << 20;

/// Finds the last decision record of a request, by the router's id or the caller's, and returns it
/// with its file and line.
///
/// Text before the first brace of a line is ignored, such as a prefix added by a log collector.
///
/// # Errors
///
/// Fails if a file cannot be read or no line contains a decision record of the request.
pub fn find_in_logs(files: &[String], request_id: &str) -> ToolResult<(String, Value)> {
    let mut found = None;
    for path in files {
        let failed = |error: std::io::Error| {
            Report::new(ToolError::File { path: path.clone(), cause: error.to_string() })
        };
        let mut reader = BufReader::new(File::open(path).map_err(failed)?);
        let mut line = Vec::new();
        for number in 1u64.. {
            line.clear();
            let read = (&mut reader).take(LINE_BYTES_MAX).read_until(b'\n', &mut line);
            if read.map_err(failed)? == 0 {
                break;
            }
            if let Some(record) = parse_decision(&line, request_id) {
                found = Some((format!("{path}:{number}"), record));
            }
        }
    }
    found.ok_or_else(|| {
        let message = format!("no decision record of request {request_id} in {}", files.join(", "));
        Report::new(ToolError::NotFound(message))
    })
}

/// Parses the decision record of a line; `None` if the line has none of the request.
fn parse_decision(line: &[u8], request_id: &str) -> Option<Value> {
    let text = std::str::from_utf8(line).ok()?;
    // Most lines belong to other requests and need not be parsed.
    if !text.contains(request_id) {
        return None;
    }
    let record: Value = serde_json::from_str(&text[text.find('{')?..]).ok()?;
    let matches_id = |member: &str| record[member].as_str() == Some(request_id);
    let is_decision = record["part"].as_str() == Some(DECISION_LOG_PART);
    (is_decision && ID_MEMBERS.into_iter().any(matches_id)).then_some(record)
}
