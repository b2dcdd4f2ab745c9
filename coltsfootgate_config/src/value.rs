//! Values of settings, their TOML form and duration units.

use std::fmt::{self, Display, Formatter};
use std::sync::Arc;
use std::time::Duration;

/// Units of durations, with their length in seconds.
const DURATION_UNITS: [(&str, f64); 6] =
    [("us", 1e-6), ("ms", 1e-3), ("s", 1.0), ("min", 60.0), ("h", 3600.0), ("d", 86400.0)];

/// A value as it was parsed from TOML.
#[derive(Clone, Debug)]
pub enum SettingValue {
    /// `true` or `false`.
    Boolean(bool),
    /// An integer.
    Integer(i64),
    /// A floating-point number.
    Number(f64),
    /// A text.
    Text(Arc<str>),
    /// A list of values.
    List(Vec<SettingValue>),
    /// A table, as in `match` and the `pools` of a class.
    Table(Vec<Setting>),
    /// A date or a number out of range, kept for error messages; no key allows it.
    Other(Arc<str>),
}

/// A key and the value that a branch sets for it.
#[derive(Clone, Debug)]
pub struct Setting {
    /// The key.
    pub key: Arc<str>,
    /// The value.
    pub value: SettingValue,
    /// The line of the key, counted from 1.
    pub line: usize,
}

impl SettingValue {
    /// The text, if the value is one.
    pub fn as_text(&self) -> Option<&Arc<str>> {
        match self {
            Self::Text(text) => Some(text),
            _ => None,
        }
    }

    /// The number, if the value is an integer or a floating-point number.
    pub fn as_number(&self) -> Option<f64> {
        match self {
            Self::Integer(number) => Some(*number as f64),
            Self::Number(number) => Some(*number),
            _ => None,
        }
    }

    /// The texts, if the value is a single text or a list of texts.
    pub fn as_texts(&self) -> Option<Vec<Arc<str>>> {
        match self {
            Self::Text(text) => Some(vec![text.clone()]),
            Self::List(values) => values.iter().map(|value| value.as_text().cloned()).collect(),
            _ => None,
        }
    }
}

impl Display for SettingValue {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Boolean(value) => value.fmt(formatter),
            Self::Integer(number) => number.fmt(formatter),
            Self::Number(number) => write!(formatter, "{number:?}"),
            Self::Text(text) => write_quoted(formatter, text),
            Self::Other(text) => formatter.write_str(text),
            Self::List(values) => {
                formatter.write_str("[")?;
                for (position, value) in values.iter().enumerate() {
                    formatter.write_str(if position > 0 { ", " } else { "" })?;
                    value.fmt(formatter)?;
                }
                formatter.write_str("]")
            }
            Self::Table(settings) => {
                formatter.write_str("{")?;
                for (position, setting) in settings.iter().enumerate() {
                    formatter.write_str(if position > 0 { ", " } else { " " })?;
                    setting.fmt(formatter)?;
                }
                formatter.write_str(" }")
            }
        }
    }
}

impl Display for Setting {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        if is_bare_key(&self.key) {
            formatter.write_str(&self.key)?;
        } else {
            write_quoted(formatter, &self.key)?;
        }
        write!(formatter, " = {}", self.value)
    }
}

/// Whether a key can be written in TOML without quotes.
pub(crate) fn is_bare_key(key: &str) -> bool {
    !key.is_empty() && key.bytes().all(|byte| byte.is_ascii_alphanumeric() || b"-_".contains(&byte))
}

fn write_quoted(formatter: &mut Formatter<'_>, text: &str) -> fmt::Result {
    formatter.write_str("\"")?;
    for character in text.chars() {
        match character {
            '"' => formatter.write_str("\\\"")?,
            '\\' => formatter.write_str("\\\\")?,
            control if control.is_control() => {
                write!(formatter, "\\U{:08X}", u32::from(control))?;
            }
            other => write!(formatter, "{other}")?,
        }
    }
    formatter.write_str("\"")
}

/// Parses a duration with its unit, such as `250 ms`, `1.5 s` or `24 h`.
///
/// The units are `us`, `ms`, `s`, `min`, `h` and `d`. Returns `None` if the unit is missing or
/// unknown, or if the number is invalid, negative or out of range.
pub fn parse_duration(text: &str) -> Option<Duration> {
    let text = text.trim();
    let unit_start = text.find(|character: char| character.is_ascii_alphabetic())?;
    let (number, unit) = text.split_at(unit_start);
    let number = number.trim_end();
    if !number.starts_with(|character: char| character.is_ascii_digit()) {
        return None;
    }
    let seconds = DURATION_UNITS.iter().find(|(name, _)| *name == unit)?.1;
    let number: f64 = number.parse().ok()?;
    Duration::try_from_secs_f64(number * seconds).ok()
}
