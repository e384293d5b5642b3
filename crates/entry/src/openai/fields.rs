//! Typed access to the fields of a JSON request, with errors that name the field.

use serde_json::{Map, Value};
use shallotdrum_types::{RequestError, RequestErrorKind};

/// Remaining fields of a JSON object; `null` counts as absent.
pub(crate) struct Fields(Map<String, Value>);

impl Fields {
    pub(crate) fn parse(body: &[u8]) -> Result<Self, RequestError> {
        let value: Value = serde_json::from_slice(body)
            .map_err(|e| invalid(format!("the body is not valid JSON: {e}")))?;
        match value {
            Value::Object(map) => Ok(Self(map)),
            _ => Err(invalid("the body must be a JSON object")),
        }
    }

    pub(crate) fn new(map: Map<String, Value>) -> Self {
        Self(map)
    }

    pub(crate) fn take(&mut self, name: &str) -> Option<Value> {
        self.0.remove(name).filter(|value| !value.is_null())
    }

    pub(crate) fn string(&mut self, name: &str) -> Result<Option<String>, RequestError> {
        match self.take(name) {
            None => Ok(None),
            Some(Value::String(text)) => Ok(Some(text)),
            Some(_) => Err(invalid_field(name, "a string")),
        }
    }

    pub(crate) fn bool(&mut self, name: &str) -> Result<Option<bool>, RequestError> {
        match self.take(name) {
            None => Ok(None),
            Some(Value::Bool(value)) => Ok(Some(value)),
            Some(_) => Err(invalid_field(name, "true or false")),
        }
    }

    pub(crate) fn number(
        &mut self,
        name: &str,
        min: f64,
        max: f64,
    ) -> Result<Option<f64>, RequestError> {
        let Some(value) = self.take(name) else { return Ok(None) };
        match value.as_f64() {
            Some(number) if (min..=max).contains(&number) => Ok(Some(number)),
            _ => Err(invalid_field(name, &format!("a number from {min} to {max}"))),
        }
    }

    /// Takes a whole number of at least 1.
    pub(crate) fn count(&mut self, name: &str) -> Result<Option<u32>, RequestError> {
        let Some(value) = self.take(name) else { return Ok(None) };
        match value.as_u64().and_then(|count| u32::try_from(count).ok()) {
            Some(count) if count > 0 => Ok(Some(count)),
            _ => Err(invalid_field(name, "a whole number of 1 or more")),
        }
    }

    pub(crate) fn object(&mut self, name: &str) -> Result<Option<Self>, RequestError> {
        match self.take(name) {
            None => Ok(None),
            Some(Value::Object(map)) => Ok(Some(Self(map))),
            Some(_) => Err(invalid_field(name, "an object")),
        }
    }

    /// Rejects any value but `allowed`; for unsupported fields that would change the result.
    pub(crate) fn allow_only(&mut self, name: &str, allowed: &Value) -> Result<(), RequestError> {
        match self.take(name) {
            Some(value) if value != *allowed => Err(invalid_field(
                name,
                &format!("{allowed} or no value; other values are not supported"),
            )),
            _ => Ok(()),
        }
    }
}

pub(crate) fn invalid(detail: impl std::fmt::Display) -> RequestError {
    RequestError::not_run(RequestErrorKind::InvalidRequest, detail)
}

pub(crate) fn invalid_field(field: &str, expected: &str) -> RequestError {
    invalid(format!("{field}: expected {expected}"))
}
