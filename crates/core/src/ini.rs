//! INI parser that collects all faults of a text, each with its line, section and key.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use ini_core::{Item, Parser};

/// Syntax error or invalid value in a settings file or an environment document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Line number, counted from 1, or 0 for a fault of the whole text.
    pub line: usize,
    /// Title of the section as written.
    pub section: String,
    /// Key, or empty when the fault is in the section itself.
    pub key: String,
    /// Text or value found.
    pub found: String,
    /// Description of the allowed values.
    pub allowed: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { line, section, key, found, allowed } = self;
        write!(f, "line {line}: [{section}] {key}: found {found}, allowed: {allowed}")
    }
}

#[derive(Clone, Debug)]
struct Property {
    line: usize,
    value: String,
}

/// Section with its properties; the getters collect faults and the keys that were read.
#[derive(Debug)]
pub struct Section {
    /// First word of the title.
    pub kind: String,
    /// Rest of the title, the name of the described item.
    pub name: String,
    /// Line number of the title, counted from 1.
    pub line: usize,
    properties: BTreeMap<String, Property>,
    known_keys: BTreeSet<&'static str>,
    faults: Vec<Fault>,
}

/// Splits `text` into sections, with a fault for every line that is not valid INI.
pub fn parse(text: &str) -> (Vec<Section>, Vec<Fault>) {
    let mut sections: Vec<Section> = Vec::new();
    let mut faults = Vec::new();
    let mut parser = Parser::new(text).auto_trim(true);
    let mut next_line = 1;
    loop {
        let line = next_line;
        let before = parser.remainder();
        let Some(item) = parser.next() else {
            return (sections, faults);
        };
        next_line += line_breaks(before, parser.remainder());
        match (item, sections.last_mut()) {
            (Item::Section(title), _) => sections.push(Section::new(title, line)),
            (Item::Property(key, Some(value)), Some(section)) => section.insert(key, value, line, &mut faults),
            (Item::Property(key, Some(_)), None) => {
                faults.push(fault(line, "", key, "a key before any section", "keys inside a section"));
            }
            (Item::Property(key, None), _) => faults.push(fault(line, "", "", key, "key = value")),
            (Item::Error(text), _) => faults.push(fault(line, "", "", text, "[section]")),
            (Item::Comment(_) | Item::Blank | Item::SectionEnd, _) => {}
        }
    }
}

/// Number of line breaks in the part of `before` that the parser consumed to leave `after`.
fn line_breaks(before: &str, after: &str) -> usize {
    let read = before.len() - after.len();
    before[..read].matches('\n').count()
}

/// Builds a fault.
pub fn fault(line: usize, section: &str, key: &str, found: &str, allowed: &str) -> Fault {
    Fault {
        line,
        section: section.to_owned(),
        key: key.to_owned(),
        found: found.to_owned(),
        allowed: allowed.to_owned(),
    }
}

impl Section {
    fn new(title: &str, line: usize) -> Self {
        let (kind, name) = title.trim().split_once(' ').unwrap_or((title.trim(), ""));
        Self {
            kind: kind.to_owned(),
            name: name.trim().to_owned(),
            line,
            properties: BTreeMap::new(),
            known_keys: BTreeSet::new(),
            faults: Vec::new(),
        }
    }

    fn insert(&mut self, key: &str, value: &str, line: usize, faults: &mut Vec<Fault>) {
        let property = Property { line, value: value.trim().to_owned() };
        if self.properties.insert(key.trim().to_owned(), property).is_some() {
            faults.push(fault(line, &self.title(), key, "the key a second time", "each key once"));
        }
    }

    /// Kind and name of the section, as in its title.
    pub fn title(&self) -> String {
        format!("{} {}", self.kind, self.name).trim().to_owned()
    }

    /// Adds a fault of `key` at its line, or at the title's line when the key is absent.
    pub fn add_fault(&mut self, key: &str, found: &str, allowed: &str) {
        let line = self.properties.get(key).map_or(self.line, |property| property.line);
        let title = self.title();
        self.faults.push(fault(line, &title, key, found, allowed));
    }

    /// Value of `key`, if present.
    pub fn text(&mut self, key: &'static str) -> Option<String> {
        self.known_keys.insert(key);
        self.properties.get(key).map(|property| property.value.clone())
    }

    /// Value of `key`, which must be present and not empty.
    pub fn required(&mut self, key: &'static str, allowed: &str) -> String {
        let value = self.text(key);
        if value.as_deref().is_none_or(str::is_empty) {
            self.add_fault(key, "nothing", allowed);
        }
        value.unwrap_or_default()
    }

    /// Parsed value of `key`, if present and valid.
    pub fn parsed<T: FromStr>(&mut self, key: &'static str, allowed: &str) -> Option<T> {
        let text = self.text(key)?;
        let value = text.parse().ok();
        if value.is_none() {
            self.add_fault(key, &quoted(&text), allowed);
        }
        value
    }

    /// Parsed value of `key`, which must be present and valid.
    pub fn required_parsed<T: FromStr>(&mut self, key: &'static str, allowed: &str) -> Option<T> {
        let text = self.required(key, allowed);
        let value = text.parse().ok();
        if value.is_none() && !text.is_empty() {
            self.add_fault(key, &quoted(&text), allowed);
        }
        value
    }

    /// Whole number within `range`, or `default` when the key is absent or its value invalid.
    pub fn number(&mut self, key: &'static str, range: std::ops::RangeInclusive<u64>, default: u64) -> u64 {
        let allowed = format!("a whole number from {} to {}", range.start(), range.end());
        match self.parsed::<u64>(key, &allowed) {
            Some(value) if range.contains(&value) => value,
            Some(value) => {
                self.add_fault(key, &value.to_string(), &allowed);
                default
            }
            None => default,
        }
    }

    /// Number within `range`, which may have a fraction, or `default` when the key is absent, empty or invalid.
    pub fn decimal(&mut self, key: &'static str, range: std::ops::RangeInclusive<f64>, default: f64) -> f64 {
        let Some(text) = self.text(key).filter(|text| !text.is_empty()) else { return default };
        match text.parse::<f64>() {
            Ok(value) if range.contains(&value) => value,
            _ => {
                self.add_fault(key, &quoted(&text), &format!("a number from {} to {}", range.start(), range.end()));
                default
            }
        }
    }

    /// Duration from a number of milliseconds within `range`, or `default` milliseconds.
    pub fn millis(&mut self, key: &'static str, range: std::ops::RangeInclusive<u64>, default: u64) -> Duration {
        Duration::from_millis(self.number(key, range, default))
    }

    /// Items of a comma-separated list, without empty ones.
    pub fn list(&mut self, key: &'static str) -> Vec<String> {
        let text = self.text(key).unwrap_or_default();
        text.split(',').map(str::trim).filter(|item| !item.is_empty()).map(str::to_owned).collect()
    }

    /// Moves the section's faults into `faults` and adds one for every key that no getter has read.
    pub fn finish(mut self, faults: &mut Vec<Fault>) {
        faults.append(&mut self.faults);
        let title = self.title();
        for (key, property) in &self.properties {
            if !self.known_keys.contains(key.as_str()) {
                let allowed = self.known_keys.iter().copied().collect::<Vec<_>>().join(", ");
                faults.push(fault(property.line, &title, key, "an unknown key", &allowed));
            }
        }
    }
}

fn quoted(text: &str) -> String {
    format!("\"{text}\"")
}
