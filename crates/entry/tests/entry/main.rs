//! Tests of the entry with a scripted owner.

mod common;
mod completions;
mod http;
mod services;
