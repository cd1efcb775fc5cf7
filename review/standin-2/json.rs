//! A small JSON reader and the escape of strings, enough for the platform's bodies.

use std::collections::BTreeMap;

#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    Null,
    Bool(bool),
    /// The digits as written, since fence tokens need all of their 64 bits.
    Number(String),
    Text(String),
    List(Vec<Value>),
    Object(BTreeMap<String, Value>),
}

impl Value {
    pub fn get(&self, key: &str) -> Option<&Value> {
        match self {
            Value::Object(fields) => fields.get(key),
            _ => None,
        }
    }

    pub fn text(&self, key: &str) -> Option<&str> {
        match self.get(key)? {
            Value::Text(text) => Some(text),
            _ => None,
        }
    }

    pub fn number(&self, key: &str) -> Option<u64> {
        match self.get(key)? {
            Value::Number(digits) => digits.parse().ok(),
            _ => None,
        }
    }

    pub fn list(&self, key: &str) -> &[Value] {
        match self.get(key) {
            Some(Value::List(items)) => items,
            _ => &[],
        }
    }
}

pub fn parse(text: &[u8]) -> Option<Value> {
    let mut reader = Reader { text, at: 0 };
    let value = reader.value()?;
    reader.space();
    (reader.at == text.len()).then_some(value)
}

/// Returns a string literal with its quotes.
pub fn quote(text: &str) -> String {
    let mut out = String::from("\"");
    for c in text.chars() {
        match c {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            c if (c as u32) < 0x20 => out.push_str(&format!("\\u{:04x}", c as u32)),
            c => out.push(c),
        }
    }
    out.push('"');
    out
}

struct Reader<'a> {
    text: &'a [u8],
    at: usize,
}

impl Reader<'_> {
    fn space(&mut self) {
        while matches!(self.text.get(self.at), Some(b' ' | b'\n' | b'\r' | b'\t')) {
            self.at += 1;
        }
    }

    fn take(&mut self, byte: u8) -> Option<()> {
        self.space();
        (*self.text.get(self.at)? == byte).then(|| self.at += 1)
    }

    fn word(&mut self, word: &str, value: Value) -> Option<Value> {
        let end = self.at + word.len();
        (self.text.get(self.at..end)? == word.as_bytes()).then(|| self.at = end)?;
        Some(value)
    }

    fn value(&mut self) -> Option<Value> {
        self.space();
        match *self.text.get(self.at)? {
            b'n' => self.word("null", Value::Null),
            b't' => self.word("true", Value::Bool(true)),
            b'f' => self.word("false", Value::Bool(false)),
            b'"' => Some(Value::Text(self.string()?)),
            b'[' => self.items(),
            b'{' => self.fields(),
            _ => {
                let start = self.at;
                let is_part = |b: &u8| b.is_ascii_digit() || b"+-.eE".contains(b);
                while self.text.get(self.at).is_some_and(is_part) {
                    self.at += 1;
                }
                let digits = std::str::from_utf8(&self.text[start..self.at]).ok()?;
                (!digits.is_empty()).then(|| Value::Number(digits.into()))
            }
        }
    }

    fn items(&mut self) -> Option<Value> {
        self.take(b'[')?;
        let mut items = Vec::new();
        if self.take(b']').is_some() {
            return Some(Value::List(items));
        }
        loop {
            items.push(self.value()?);
            if self.take(b',').is_none() {
                self.take(b']')?;
                return Some(Value::List(items));
            }
        }
    }

    fn fields(&mut self) -> Option<Value> {
        self.take(b'{')?;
        let mut fields = BTreeMap::new();
        if self.take(b'}').is_some() {
            return Some(Value::Object(fields));
        }
        loop {
            self.space();
            let key = self.string()?;
            self.take(b':')?;
            fields.insert(key, self.value()?);
            if self.take(b',').is_none() {
                self.take(b'}')?;
                return Some(Value::Object(fields));
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        self.take(b'"')?;
        let mut bytes = Vec::new();
        loop {
            let byte = *self.text.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(bytes).ok(),
                b'\\' => {
                    let escape = *self.text.get(self.at)?;
                    self.at += 1;
                    let c = match escape {
                        b'n' => '\n',
                        b'r' => '\r',
                        b't' => '\t',
                        b'b' => '\u{8}',
                        b'f' => '\u{c}',
                        b'u' => {
                            let digits = self.text.get(self.at..self.at + 4)?;
                            self.at += 4;
                            let digits = std::str::from_utf8(digits).ok()?;
                            char::from_u32(u32::from_str_radix(digits, 16).ok()?)?
                        }
                        other => other as char,
                    };
                    bytes.extend_from_slice(c.to_string().as_bytes());
                }
                other => bytes.push(other),
            }
        }
    }
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let part = |i: usize| u32::from(chunk.get(i).copied().unwrap_or(0));
        let bits = part(0) << 16 | part(1) << 8 | part(2);
        for i in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * i) & 63) as usize] as char;
            out.push(if i <= chunk.len() { digit } else { '=' });
        }
    }
    out
}
