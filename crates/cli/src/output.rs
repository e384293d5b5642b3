//! Output as tables for humans or as JSON for scripts.

use std::{fmt, str::FromStr};

use serde::Serialize;
use serde_json::Value;

/// Output format.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Format {
    /// Aligned text columns.
    #[default]
    Table,
    /// One pretty-printed JSON value.
    Json,
}

impl fmt::Display for Format {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Table => "table",
            Self::Json => "json",
        })
    }
}

impl FromStr for Format {
    type Err = UnknownFormat;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        match s {
            "table" => Ok(Self::Table),
            "json" => Ok(Self::Json),
            _ => Err(UnknownFormat(s.to_owned())),
        }
    }
}

/// Error of parsing a `Format`.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("unknown output format `{0}`: expected `table` or `json`")]
pub(crate) struct UnknownFormat(String);

impl Format {
    /// Prints rows; a table shows only the fields in `columns`, JSON all fields.
    pub(crate) fn print_rows<T: Serialize>(
        self,
        columns: &[&str],
        rows: &[T],
    ) -> anyhow::Result<()> {
        if self == Self::Json {
            println!("{}", serde_json::to_string_pretty(rows)?);
            return Ok(());
        }
        let mut table = vec![columns.iter().map(|name| name.to_uppercase()).collect::<Vec<_>>()];
        for row in rows {
            let row = serde_json::to_value(row)?;
            table.push(columns.iter().map(|name| format_cell(&row[*name])).collect());
        }
        let width =
            |i: usize| table.iter().map(|row| row[i].chars().count()).max().unwrap_or_default();
        let widths: Vec<_> = (0..columns.len()).map(width).collect();
        for row in &table {
            let cells: Vec<_> =
                row.iter().zip(&widths).map(|(cell, width)| format!("{cell:width$}")).collect();
            println!("{}", cells.join("  ").trim_end());
        }
        Ok(())
    }

    /// Prints one value; table format shows one field per line.
    pub(crate) fn print_value<T: Serialize>(self, value: &T) -> anyhow::Result<()> {
        let value = serde_json::to_value(value)?;
        match &value {
            Value::Object(fields) if self == Self::Table => {
                for (name, field) in fields {
                    println!("{name}: {}", format_cell(field));
                }
            }
            _ => println!("{}", serde_json::to_string_pretty(&value)?),
        }
        Ok(())
    }
}

fn format_cell(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::String(text) => text.clone(),
        Value::Array(items) => items.iter().map(format_cell).collect::<Vec<_>>().join(","),
        Value::Object(fields) => {
            let fields: Vec<_> = fields
                .iter()
                .map(|(name, value)| format!("{name}={}", format_cell(value)))
                .collect();
            fields.join(" ")
        }
        other => other.to_string(),
    }
}
