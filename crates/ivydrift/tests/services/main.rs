//! Many services in each of several marshals that run as processes, with faults between them: asserted on answers, on the
//! trace by the checker, and on the marshals' logs.

#[allow(dead_code)] // Each file of tests uses a part.
#[path = "../fleet/mod.rs"]
mod fleet;

mod first_list;
mod invented;
mod renewed;
mod returns;
#[allow(dead_code)] // A part is for the cases that wait for subsets of nodes: one marshal left, and a cut.
mod town;
mod turnover;
mod unheld;
mod zone;
