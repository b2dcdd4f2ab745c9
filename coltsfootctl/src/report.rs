//! The output of commands, as text or JSON.

use std::fmt::Display;

use serde::Serialize;

use crate::error::ExitStatus;

/// The result of a command; `Display` prints it as text and `Serialize` as JSON.
pub trait CommandReport: Display + Serialize {
    /// The exit code of the tool after it printed the report.
    fn exit_status(&self) -> ExitStatus {
        ExitStatus::Success
    }
}

/// Formats rows as a table with columns as wide as their longest cells.
pub fn table(rows: &[Vec<String>]) -> String {
    let columns = rows.iter().map(Vec::len).max().unwrap_or(0);
    let width = |column: usize| {
        rows.iter().filter_map(|row| row.get(column)).map(|cell| cell.chars().count()).max()
    };
    let widths: Vec<_> = (0..columns).map(|column| width(column).unwrap_or(0)).collect();
    let line = |row: &Vec<String>| {
        let cells = row.iter().zip(&widths).map(|(cell, width)| format!("{cell:width$}"));
        cells.collect::<Vec<_>>().join("  ").trim_end().to_owned()
    };
    rows.iter().map(line).collect::<Vec<_>>().join("\n")
}
