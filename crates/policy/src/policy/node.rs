//! One node: health, expected latency, and detection of silence.

use super::*;

impl Node {
    /// Handles one message, and publishes the node's status if it has changed.
    pub fn act(&mut self, note: Message, cx: &mut Context) {
        let shown = self.card;
        match note {
            Message::NodeListed(entry) => {
                if (entry.started, entry.build) != (self.card.entry.started, self.card.entry.build) {
                    // A new process: the earlier one's history does not apply.
                    let out = std::mem::take(&mut self.out);
                    *self = Node { out, took: INITIAL_LATENCY_PART * cx.law.least_soft, ..Node::default() };
                }
                (self.card.ready, self.card.entry) = (entry.readiness == Readiness::Ready, entry);
            }
            Message::PickSent { rpc, pick, method } => {
                self.out.push((rpc, pick, method, cx.now, self.card.entry))
            }
            Message::Event(Event::PickEnded { rpc, pick, outcome, took, .. }) => {
                if let Some(i) = self.out.iter().position(|o| (o.0, o.1) == (rpc, pick)) {
                    let ((.., method, at, entry), took) = (self.out.swap_remove(i), took.as_secs_f64());
                    // A client that gives up early proves nothing about node or build.
                    let early =
                        outcome == Outcome::Timeout && took < CUT_SHORT_PART * cx.law.duties[method].soft;
                    let outcome = if early { Outcome::Cancelled } else { outcome };
                    self.learn(cx.now, outcome, took);
                    // Repeats are RPCs that failed elsewhere, so they are a biased sample of a build.
                    if pick == 0 {
                        cx.put(CANARY_ANALYSIS, Message::PickEnded { entry, method, at, outcome, took });
                    }
                }
            }
            _ => {}
        }
        // Silent: the oldest pick is overdue, and nothing has come from the node since it was sent.
        let soft = cx.law.least_soft;
        let patience = secs((5.0 * self.took).clamp(0.3 * soft, 0.6 * soft));
        let oldest = self.out.iter().map(|o| o.3).min();
        let silent = oldest.is_some_and(|at| cx.now > at + patience && self.heard < at);
        self.card.in_flight = self.out.len();
        self.card.resting = silent || cx.now < self.rest_until;
        self.card.gentle = self.rests > 0;
        self.card.pace = self.took * (1.0 + 4.0 * self.ill);
        if self.card != shown {
            cx.show(self.card);
        }
        cx.rouse(self.card.entry.node, !self.out.is_empty() || self.card.resting);
    }

    /// Outlier ejection by own outcomes: failures eject the node for growing periods, and then put it on
    /// probation. Guards against dead, silent and quickly failing nodes; once most nodes are ejected,
    /// dispatch ignores ejections.
    fn learn(&mut self, now: Duration, outcome: Outcome, took: f64) {
        let failed = match outcome {
            Outcome::Ok => 0.0,
            Outcome::Error | Outcome::Garbled | Outcome::Timeout => 1.0,
            Outcome::Reset | Outcome::NoConnection => 3.0,
            Outcome::Full | Outcome::Cancelled | Outcome::Moot => return, // A full node is not failing.
        };
        if outcome != Outcome::Timeout {
            self.heard = now;
        }
        self.ill += 0.2 * (failed - self.ill);
        if failed > 0.0 && self.ill > 0.4 && now >= self.rest_until {
            self.rest_until = now + secs(0.5 * f64::from(1 << self.rests.min(3)));
            (self.rests, self.ill) = (self.rests + 1, 0.3);
        } else if self.ill < 0.1 {
            self.rests = 0;
        }
        if outcome == Outcome::Ok {
            self.took += 0.15 * (took - self.took);
            self.card.met = (self.card.met + 1.0).min(LATENCY_WEIGHTS[1]);
        }
    }
}
