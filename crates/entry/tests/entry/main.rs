//! Integration tests of the entry with a scripted owner and an in-memory catalog.

mod close_delimited;
mod common;
mod completions;
mod http;
mod services;
