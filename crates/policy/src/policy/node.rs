//! One node: health, expected latency, and detection of silence.

use super::*;

impl Node {
    /// Handles one message, and publishes the node's status if it has changed.
    pub fn handle(&mut self, message: Message, ctx: &mut Context) {
        let published = self.status;
        match message {
            Message::NodeListed(entry) => {
                if (entry.started, entry.build) != (self.status.entry.started, self.status.entry.build) {
                    // A new process: the earlier one's history does not apply.
                    let picks = std::mem::take(&mut self.picks);
                    *self = Node {
                        picks,
                        latency_secs: INITIAL_LATENCY_PART * ctx.config.min_soft_secs,
                        ..Node::default()
                    };
                }
                (self.status.ready, self.status.entry) = (entry.readiness == Readiness::Ready, entry);
            }
            Message::PickSent { rpc, pick, method } => {
                self.picks.push((rpc, pick, method, ctx.now, self.status.entry))
            }
            Message::Event(Event::PickEnded { rpc, pick, outcome, took, .. }) => {
                if let Some(i) = self.picks.iter().position(|o| (o.0, o.1) == (rpc, pick)) {
                    let ((.., method, at, entry), took) = (self.picks.swap_remove(i), took.as_secs_f64());
                    // A client that gives up early proves nothing about node or build.
                    let cut_short = outcome == Outcome::Timeout
                        && took < CUT_SHORT_PART * ctx.config.methods[method].soft_secs;
                    let outcome = if cut_short { Outcome::Cancelled } else { outcome };
                    self.learn(ctx.now, outcome, took);
                    // Repeats are RPCs that failed elsewhere, so they are a biased sample of a build.
                    if pick == 0 {
                        ctx.post(CANARY_ANALYSIS, Message::PickEnded { entry, method, at, outcome, took });
                    }
                }
            }
            _ => {}
        }
        // Silent: the oldest pick is overdue, and nothing has come from the node since it was sent.
        let soft_secs = ctx.config.min_soft_secs;
        let silence_limit = secs((5.0 * self.latency_secs).clamp(0.3 * soft_secs, 0.6 * soft_secs));
        let oldest = self.picks.iter().map(|o| o.3).min();
        let silent = oldest.is_some_and(|at| ctx.now > at + silence_limit && self.last_response < at);
        self.status.in_flight = self.picks.len();
        self.status.ejected = silent || ctx.now < self.ejected_until;
        self.status.on_probation = self.ejections > 0;
        self.status.expected_secs = self.latency_secs * (1.0 + 4.0 * self.failure_score);
        if self.status != published {
            ctx.publish(self.status);
        }
        ctx.set_active(self.status.entry.node, !self.picks.is_empty() || self.status.ejected);
    }

    /// Outlier ejection by this marshal's own picks: updates the moving averages by an outcome that took
    /// `took` seconds. Failures eject the node for growing periods, and then put it on probation. Guards
    /// against dead, silent and quickly failing nodes; once most nodes are ejected, dispatch ignores
    /// ejections.
    fn learn(&mut self, now: Duration, outcome: Outcome, took: f64) {
        let failure = match outcome {
            Outcome::Ok => 0.0,
            Outcome::Error | Outcome::Malformed | Outcome::Timeout => 1.0,
            Outcome::Reset | Outcome::NoConnection => 3.0,
            Outcome::Full | Outcome::Cancelled | Outcome::NotAttempted => return, // A full node is not failing.
        };
        if outcome != Outcome::Timeout {
            self.last_response = now;
        }
        self.failure_score += 0.2 * (failure - self.failure_score);
        if failure > 0.0 && self.failure_score > 0.4 && now >= self.ejected_until {
            self.ejected_until = now + secs(0.5 * f64::from(1 << self.ejections.min(3)));
            (self.ejections, self.failure_score) = (self.ejections + 1, 0.3);
        } else if self.failure_score < 0.1 {
            self.ejections = 0;
        }
        if outcome == Outcome::Ok {
            self.latency_secs += 0.15 * (took - self.latency_secs);
            self.status.samples = (self.status.samples + 1.0).min(MAX_NODE_LATENCY_WEIGHT);
        }
    }
}
