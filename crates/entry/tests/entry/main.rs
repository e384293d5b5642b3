//! Integration tests of the entry with a scripted owner and an in-memory catalog.

mod common;
mod completions;
mod http;
mod services;
