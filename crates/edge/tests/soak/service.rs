//! How much was served while discovery was down, and how soon marshals that were started served again. These are
//! figures to report; no rule depends on them.

use std::fmt;
use std::time::{Duration, Instant};

use crate::clients::{Outcome, Request};
use crate::fleet::Fleet;
use crate::truth::Marshal;

/// A marshal that has been up for so long before an outage has had an answer from discovery.
const UP_BEFORE_OUTAGE: Duration = Duration::from_secs(3);

/// What clients saw of outages and starts.
pub struct Service {
    /// RPCs sent during outages to marshals that were up throughout.
    sent_in_outages: usize,
    /// How many of them were served.
    served_in_outages: usize,
    /// Seconds from each start to the first RPC served, in ascending order.
    seconds_until_back: Vec<f64>,
}

impl Service {
    /// Measures a run that has ended.
    pub fn of(fleet: &Fleet) -> Self {
        let (truth, requests) = (fleet.truth.lock().unwrap(), fleet.requests.lock().unwrap());
        let run_end = Instant::now();
        let mut in_outages: Vec<&Request> = Vec::new();
        let mut seconds_until_back = Vec::new();
        for (number, marshal) in &truth.marshals {
            let own: Vec<&Request> = requests.iter().filter(|request| request.marshal == *number).collect();
            for (start, end) in &truth.outages {
                let end = end.unwrap_or(run_end);
                if was_up_throughout(marshal, *start, end) {
                    in_outages
                        .extend(own.iter().filter(|r| r.sent >= *start && r.ended <= end && is_answered(r)));
                }
            }
            seconds_until_back.extend(
                marshal.starts.iter().filter_map(|start| seconds_until_served(marshal, &own, *start)),
            );
        }
        seconds_until_back.sort_by(f64::total_cmp);
        let served_in_outages = in_outages.iter().filter(|r| r.outcome == Outcome::Served).count();
        Service { sent_in_outages: in_outages.len(), served_in_outages, seconds_until_back }
    }
}

impl fmt::Display for Service {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let quantile = |part: f64| {
            let index = (self.seconds_until_back.len() as f64 * part) as usize;
            self.seconds_until_back.get(index).or(self.seconds_until_back.last()).copied().unwrap_or(f64::NAN)
        };
        write!(
            f,
            "{} of {} served in outages by marshals that stayed up, {} starts back after {:.1} s (median) and {:.1} s (9 in 10)",
            self.served_in_outages,
            self.sent_in_outages,
            self.seconds_until_back.len(),
            quantile(0.5),
            quantile(0.9)
        )
    }
}

/// Whether the client waited for an answer and the marshal was there to give it.
fn is_answered(request: &Request) -> bool {
    !matches!(request.outcome, Outcome::Left | Outcome::Unreachable)
}

fn was_up_throughout(marshal: &Marshal, from: Instant, to: Instant) -> bool {
    let started = marshal.starts.iter().filter(|start| **start + UP_BEFORE_OUTAGE <= from).max();
    started.is_some_and(|started| !marshal.ends_and_stops().any(|end| (*started..=to).contains(end)))
}

/// `None` if the marshal ended before it served an RPC.
fn seconds_until_served(marshal: &Marshal, own: &[&Request], start: Instant) -> Option<f64> {
    let end = marshal.ends_and_stops().filter(|end| **end > start).min()?;
    let served = own.iter().filter(|r| r.sent >= start && r.ended < *end && r.outcome == Outcome::Served);
    let first = served.map(|request| request.ended).min()?;
    Some(first.duration_since(start).as_secs_f64())
}
