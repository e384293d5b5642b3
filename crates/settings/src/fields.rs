//! Reads the fields of a JSON object and collects every problem instead of stopping at the first.

use std::cell::RefCell;

use serde::de::DeserializeOwned;
use serde_json::{Map, Value};

use crate::Problem;

/// Length to which an invalid value is cut in a problem, in characters.
const MAX_SHOWN_CHARS: usize = 80;

/// Collects problems through shared references.
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

/// Unread fields of one JSON object.
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
                let display_path = if path.is_empty() { "$" } else { &path };
                problems.add(display_path, Some(&other), "an object");
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

    /// Removes a field and returns its path and raw value.
    pub(crate) fn take(&mut self, name: &str) -> (String, Option<Value>) {
        (self.path_of(name), self.map.remove(name))
    }

    /// Reads a required field.
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

    /// Reads an optional field.
    pub(crate) fn optional<T: DeserializeOwned>(
        &mut self,
        name: &str,
        expected: &str,
    ) -> Option<T> {
        let (path, value) = self.take(name);
        parse(&path, &value?, expected, self.problems)
    }

    /// Reads an optional field and falls back to a default.
    pub(crate) fn optional_or<T: DeserializeOwned>(
        &mut self,
        name: &str,
        expected: &str,
        default: T,
    ) -> T {
        self.optional(name, expected).unwrap_or(default)
    }

    /// Opens a required nested object.
    pub(crate) fn section(&mut self, name: &str) -> Option<Fields<'a>> {
        let (path, value) = self.take(name);
        let Some(value) = value else {
            self.problems.add(&path, None, "an object");
            return None;
        };
        Fields::new(path, value, self.problems)
    }

    /// Opens an optional nested object.
    pub(crate) fn optional_section(&mut self, name: &str) -> Option<Fields<'a>> {
        let (path, value) = self.take(name);
        Fields::new(path, value?, self.problems)
    }

    /// Reports the remaining fields as unknown.
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
