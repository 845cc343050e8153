//! The modules of `ivydrift-measure` that the tests use as well.
#![forbid(unsafe_code)]

pub mod scale;
