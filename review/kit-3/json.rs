//! A small JSON reader and writer, so that the kit needs no library.

use std::collections::BTreeMap;
use std::fmt::{self, Display, Formatter};

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(BTreeMap<String, Json>),
}

impl Json {
    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Table(table) => table.get(name).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> u64 {
        match self {
            Json::Number(number) => *number as u64,
            _ => 0,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(list) => list,
            _ => &[],
        }
    }

    pub fn parse(text: &str) -> Option<Json> {
        let mut reader = Reader { bytes: text.as_bytes(), position: 0 };
        let value = reader.value()?;
        reader.space();
        (reader.position == reader.bytes.len()).then_some(value)
    }
}

impl Display for Json {
    fn fmt(&self, out: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Json::Null => write!(out, "null"),
            Json::Bool(value) => write!(out, "{value}"),
            Json::Number(value) => write!(out, "{value}"),
            Json::Text(text) => write_text(out, text),
            Json::List(list) => {
                write!(out, "[")?;
                for (index, value) in list.iter().enumerate() {
                    write!(out, "{}{value}", if index == 0 { "" } else { "," })?;
                }
                write!(out, "]")
            }
            Json::Table(table) => {
                write!(out, "{{")?;
                for (index, (name, value)) in table.iter().enumerate() {
                    write!(out, "{}", if index == 0 { "" } else { "," })?;
                    write_text(out, name)?;
                    write!(out, ":{value}")?;
                }
                write!(out, "}}")
            }
        }
    }
}

fn write_text(out: &mut Formatter<'_>, text: &str) -> fmt::Result {
    write!(out, "\"")?;
    for character in text.chars() {
        match character {
            '"' | '\\' => write!(out, "\\{character}")?,
            '\n' => write!(out, "\\n")?,
            control if control.is_control() => write!(out, "\\u{:04x}", control as u32)?,
            other => write!(out, "{other}")?,
        }
    }
    write!(out, "\"")
}

struct Reader<'a> {
    bytes: &'a [u8],
    position: usize,
}

impl Reader<'_> {
    fn space(&mut self) {
        while self.bytes.get(self.position).is_some_and(u8::is_ascii_whitespace) {
            self.position += 1;
        }
    }

    fn take(&mut self, word: &str) -> Option<()> {
        self.bytes[self.position..].starts_with(word.as_bytes()).then(|| self.position += word.len())
    }

    fn value(&mut self) -> Option<Json> {
        self.space();
        match *self.bytes.get(self.position)? {
            b'{' => self.table(),
            b'[' => self.list(),
            b'"' => self.text().map(Json::Text),
            b't' => self.take("true").map(|()| Json::Bool(true)),
            b'f' => self.take("false").map(|()| Json::Bool(false)),
            b'n' => self.take("null").map(|()| Json::Null),
            _ => self.number(),
        }
    }

    fn number(&mut self) -> Option<Json> {
        let start = self.position;
        let is_part = |byte: &u8| byte.is_ascii_digit() || b"+-.eE".contains(byte);
        while self.bytes.get(self.position).is_some_and(is_part) {
            self.position += 1;
        }
        let text = std::str::from_utf8(&self.bytes[start..self.position]).ok()?;
        text.parse().ok().map(Json::Number)
    }

    fn list(&mut self) -> Option<Json> {
        self.position += 1;
        let mut list = Vec::new();
        loop {
            self.space();
            if self.take("]").is_some() {
                return Some(Json::List(list));
            }
            if !list.is_empty() {
                self.take(",")?;
            }
            list.push(self.value()?);
        }
    }

    fn table(&mut self) -> Option<Json> {
        self.position += 1;
        let mut table = BTreeMap::new();
        loop {
            self.space();
            if self.take("}").is_some() {
                return Some(Json::Table(table));
            }
            if !table.is_empty() {
                self.take(",")?;
                self.space();
            }
            let name = self.text()?;
            self.space();
            self.take(":")?;
            table.insert(name, self.value()?);
        }
    }

    fn text(&mut self) -> Option<String> {
        self.take("\"")?;
        let mut bytes = Vec::new();
        loop {
            let byte = *self.bytes.get(self.position)?;
            self.position += 1;
            match byte {
                b'"' => return String::from_utf8(bytes).ok(),
                b'\\' => {
                    let escaped = *self.bytes.get(self.position)?;
                    self.position += 1;
                    match escaped {
                        b'n' => bytes.push(b'\n'),
                        b'r' => bytes.push(b'\r'),
                        b't' => bytes.push(b'\t'),
                        b'b' => bytes.push(8),
                        b'f' => bytes.push(12),
                        b'u' => {
                            let digits = self.bytes.get(self.position..self.position + 4)?;
                            self.position += 4;
                            let digits = std::str::from_utf8(digits).ok()?;
                            let code = u32::from_str_radix(digits, 16).ok()?;
                            let character = char::from_u32(code).unwrap_or('?');
                            bytes.extend(character.to_string().as_bytes());
                        }
                        other => bytes.push(other),
                    }
                }
                other => bytes.push(other),
            }
        }
    }
}
