//! When to call discovery for the node list, where calls are needed.
//!
//! A failed call is retried until discovery itself has answered: only [`Scope::Full`] and [`Scope::Delta`]
//! are its answers. Updates made by the marshal ([`Scope::Local`], [`Scope::Cached`]) never end the retries.
//! Where the watch gives signs of life, one that gives none in time counts as failed, whatever its connection
//! looks like.
//!
//! Discovery handles calls one after another. If marshals lose their watches together and retry quickly, its
//! queue grows so long that every call times out before its turn: each still costs a turn, and none is
//! answered. Retries are therefore spread widely.

use super::*;

/// The first call after the start, where a list is known from before, is made within this many seconds.
const FIRST_CALL: f64 = 2.5;

/// The first retry after a failure is made after a random number of seconds in this range.
const FIRST_RETRY: [f64; 2] = [0.5, 2.9];

/// Range in seconds of each later retry: at 2 s in the queue, each marshal of a fleet makes a call every 4.25
/// s.
const LATER_RETRY: [f64; 2] = [0.5, 4.0];

/// Retries where calls are not queued: the first within this many pauses, each later one within this multiple
/// of the one before. Drawn between half and all of that: marshals that started together were also refused
/// together.
const UNQUEUED: [f64; 2] = [0.4, 2.0];
/// Failures in a row up to which that delay grows.
const MOST_DOUBLED: u32 = 3;

/// A watch counts as failed this long after its sign of life was due.
const OVERDUE: Duration = ms(1000);

/// A call with neither an answer nor a reported failure is repeated after this many pauses.
const UNHEARD: f64 = 4.0;

impl Membership {
    /// Handles one message.
    pub fn act(&mut self, note: Note, cx: &mut Cx) {
        let Some(pause) = cx.law.ask_pause else { return };
        match note {
            Note::Told(Event::Nodes { scope: Scope::Failed, .. }) => {
                (self.subscribed, self.failures) = (false, self.failures.saturating_add(1));
                self.ask_at = cx.now + self.retry_after(pause, cx);
            }
            Note::Told(Event::Nodes { scope: Scope::Full | Scope::Delta, .. }) => self.answered(),
            Note::Told(Event::Discovery(DiscoverySign::Confirmed { next_within, .. })) => {
                self.answered();
                self.sign_due = Some(cx.now + next_within);
            }
            Note::Beat if self.subscribed && self.sign_due.is_some_and(|due| cx.now > due + OVERDUE) => {
                cx.out.push(Action::Log(
                    "node list watch gave no sign of life in time; subscribing again".to_owned(),
                ));
                self.subscribed = false;
            }
            Note::Beat if cx.lease.bounded() && !std::mem::replace(&mut self.begun, true) => {
                self.ask_at = cx.now + Self::draw([0.0, FIRST_CALL], cx);
            }
            Note::Beat if !self.subscribed && (cx.now >= self.ask_at || self.knows_nothing(cx)) => {
                self.called = true;
                self.ask_at = cx.now + Self::limit(UNHEARD * pause, cx);
                cx.out.push(Action::Subscribe(true));
            }
            _ => {}
        }
    }

    /// The delay between a failure and the next call. It is shorter where a refusal comes at once and costs
    /// discovery nothing, as in the simulator, than where calls are queued.
    fn retry_after(&self, pause: f64, cx: &Cx) -> Duration {
        if cx.lease.bounded() {
            return Self::draw(if self.failures == 1 { FIRST_RETRY } else { LATER_RETRY }, cx);
        }
        let part = 0.5 + 0.5 * lot(cx.law.seed, cx.now.as_nanos() as u64);
        let doubled = self.failures.min(MOST_DOUBLED) as i32 - 1;
        Self::limit(UNQUEUED[0] * pause * UNQUEUED[1].powi(doubled) * part, cx)
    }

    /// Whether no call has been made and no node is known from before, so that there is nothing to serve with
    /// meanwhile.
    fn knows_nothing(&self, cx: &Cx) -> bool {
        !self.called && cx.listed.is_empty()
    }

    /// Discovery has answered.
    fn answered(&mut self) {
        (self.subscribed, self.failures) = (true, 0);
    }

    /// A random delay in this range of seconds.
    fn draw([least, most]: [f64; 2], cx: &Cx) -> Duration {
        let part = lot(cx.law.seed, cx.now.as_nanos() as u64);
        Self::limit(least + (most - least) * part, cx)
    }

    /// A delay, limited to half of the longest allowed time without a call.
    fn limit(seconds: f64, cx: &Cx) -> Duration {
        secs(seconds).min(cx.law.ask_within / 2)
    }
}
