//! State of the components and the messages between them: plain data, histograms, and the encoding of the
//! counts that peers exchange. No decisions and no tuned values are here; they are all in `policy/`.

mod canary_analysis;
mod config;
mod discovery_client;
mod dispatcher;
mod memory;
mod messages;
mod outcome_stats;
mod peer_counts;
mod stats_table;
mod util;

use std::time::Duration;

pub use canary_analysis::*;
pub use config::*;
pub use discovery_client::*;
pub use dispatcher::*;
pub use memory::*;
pub use messages::*;
pub use outcome_stats::*;
pub use peer_counts::*;
pub use stats_table::*;
pub use util::*;

use crate::port::*;
