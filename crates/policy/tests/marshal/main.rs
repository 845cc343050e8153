//! The decision module from outside: rules under random runs, and plain cases.

mod cases;
mod rules;
mod world;
