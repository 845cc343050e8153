//! State of the components and the messages between them: plain data, histograms, and the encoding of the
//! counts that peers exchange. No decisions and no tuned values are here; they are all in `policy/`.

mod chance;
mod charter;
mod front;
mod judge;
mod membership;
mod notes;
mod reckon;
mod seen;
mod tally;
mod told;

use std::time::Duration;

pub use chance::*;
pub use charter::*;
pub use front::*;
pub use judge::*;
pub use membership::*;
pub use notes::*;
pub use reckon::*;
pub use seen::*;
pub use tally::*;
pub use told::*;

use crate::port::*;
