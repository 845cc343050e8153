//! The part of `ivydrift-measure` that tests use as well.
#![forbid(unsafe_code)]

pub mod scale;
