//! Reads the fields of a JSON object and collects every problem instead of stopping at the first.

use std::cell::RefCell;

use serde::de::DeserializeOwned;
use serde_json::{Map, Value};

use crate::Problem;

/// Longest part of a wrong value that is shown in a problem, in characters.
const MAX_SHOWN_CHARS: usize = 80;

/// Problems found so far.
#[derive(Default)]
pub(crate) struct Problems(RefCell<Vec<Problem>>);

impl Problems {
    pub(crate) fn add(&self, path: &str, value: Option<&Value>, expected: impl Into<String>) {
        let value = value.map(|value| value.to_string().chars().take(MAX_SHOWN_CHARS).collect());
        let problem = Problem { path: path.to_owned(), value, expected: expected.into() };
        self.0.borrow_mut().push(problem);
    }

    pub(crate) fn into_vec(self) -> Vec<Problem> {
        self.0.into_inner()
    }
}

/// Fields of one JSON object that are still unread.
pub(crate) struct Fields<'a> {
    path: String,
    map: Map<String, Value>,
    problems: &'a Problems,
}

impl<'a> Fields<'a> {
    pub(crate) fn new(path: String, value: Value, problems: &'a Problems) -> Option<Self> {
        match value {
            Value::Object(map) => Some(Self { path, map, problems }),
            other => {
                let shown = if path.is_empty() { "$" } else { &path };
                problems.add(shown, Some(&other), "an object");
                None
            }
        }
    }

    fn path_of(&self, name: &str) -> String {
        match self.path.as_str() {
            "" => name.to_owned(),
            path => format!("{path}.{name}"),
        }
    }

    /// Takes a field's raw value and its path.
    pub(crate) fn take(&mut self, name: &str) -> (String, Option<Value>) {
        (self.path_of(name), self.map.remove(name))
    }

    /// Reads a field that must be present.
    pub(crate) fn required<T: DeserializeOwned>(
        &mut self,
        name: &str,
        expected: &str,
    ) -> Option<T> {
        let (path, value) = self.take(name);
        match value {
            Some(value) => parse(&path, &value, expected, self.problems),
            None => {
                self.problems.add(&path, None, expected);
                None
            }
        }
    }

    /// Reads a field that may be absent.
    pub(crate) fn optional<T: DeserializeOwned>(
        &mut self,
        name: &str,
        expected: &str,
    ) -> Option<T> {
        let (path, value) = self.take(name);
        parse(&path, &value?, expected, self.problems)
    }

    /// Reads a field that may be absent, with a default.
    pub(crate) fn or<T: DeserializeOwned>(&mut self, name: &str, expected: &str, default: T) -> T {
        self.optional(name, expected).unwrap_or(default)
    }

    /// Opens an object that must be present.
    pub(crate) fn section(&mut self, name: &str) -> Option<Fields<'a>> {
        let (path, value) = self.take(name);
        let Some(value) = value else {
            self.problems.add(&path, None, "an object");
            return None;
        };
        Fields::new(path, value, self.problems)
    }

    /// Opens an object that may be absent.
    pub(crate) fn optional_section(&mut self, name: &str) -> Option<Fields<'a>> {
        let (path, value) = self.take(name);
        Fields::new(path, value?, self.problems)
    }

    /// Reports the fields that nothing has read.
    pub(crate) fn finish(self) {
        for (name, value) in &self.map {
            self.problems.add(&self.path_of(name), Some(value), "no field of this name");
        }
    }
}

fn parse<T: DeserializeOwned>(
    path: &str,
    value: &Value,
    expected: &str,
    problems: &Problems,
) -> Option<T> {
    match T::deserialize(value) {
        Ok(parsed) => Some(parsed),
        Err(_) => {
            problems.add(path, Some(value), expected);
            None
        }
    }
}
