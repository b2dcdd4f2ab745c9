//! What commands print, as text or JSON.

use std::fmt::Display;

use serde::Serialize;

use crate::error::ExitStatus;

/// The result of a command: a human text by `Display`, and JSON by `Serialize`.
pub trait CommandReport: Display + Serialize {
    /// How the tool ends after this report.
    fn exit_status(&self) -> ExitStatus {
        ExitStatus::Success
    }
}

/// Pads the columns of a table to the width of their longest cells.
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
