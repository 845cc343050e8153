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
const FIRST_CALL_WITHIN_SECS: f64 = 2.5;

/// The first retry after a failure is made after a random number of seconds in this range.
const FIRST_RETRY_SECS: [f64; 2] = [0.5, 2.9];

/// Range in seconds of each later retry: at 2 s in the queue, each marshal of a fleet makes a call every 4.25
/// s.
const LATER_RETRY_SECS: [f64; 2] = [0.5, 4.0];

/// Retries where calls are not queued: the first within this many pauses, each later one within this multiple
/// of the one before. Drawn between half and all of that: marshals that started together were also refused
/// together.
const UNQUEUED_RETRY: [f64; 2] = [0.4, 2.0];
/// Failures in a row up to which that delay grows.
const MAX_BACKOFF_FAILURES: u32 = 3;

/// A watch counts as failed this long after its sign of life was due.
const SIGN_GRACE: Duration = ms(1000);

/// A call with neither an answer nor a reported failure is repeated after this many pauses.
const UNANSWERED_CALL_PAUSES: f64 = 4.0;

impl DiscoveryClient {
    /// Handles one message.
    pub fn act(&mut self, note: Message, cx: &mut Context) {
        let Some(pause) = cx.law.ask_pause else { return };
        match note {
            Message::Event(Event::Nodes { scope: Scope::Failed, .. }) => {
                (self.subscribed, self.failures) = (false, self.failures.saturating_add(1));
                self.ask_at = cx.now + self.retry_after(pause, cx);
            }
            Message::Event(Event::Nodes { scope: Scope::Full | Scope::Delta, .. }) => self.answered(),
            Message::Event(Event::Discovery(DiscoverySign::Confirmed { next_within, .. })) => {
                self.answered();
                self.sign_due = Some(cx.now + next_within);
            }
            Message::Tick
                if self.subscribed && self.sign_due.is_some_and(|due| cx.now > due + SIGN_GRACE) =>
            {
                cx.out.push(Action::Log(
                    "node list watch gave no sign of life in time; subscribing again".to_owned(),
                ));
                self.subscribed = false;
            }
            Message::Tick if cx.lease.bounded() && !std::mem::replace(&mut self.begun, true) => {
                self.ask_at = cx.now + Self::draw([0.0, FIRST_CALL_WITHIN_SECS], cx);
            }
            Message::Tick if !self.subscribed && (cx.now >= self.ask_at || self.knows_nothing(cx)) => {
                self.called = true;
                self.ask_at = cx.now + Self::limit(UNANSWERED_CALL_PAUSES * pause, cx);
                cx.out.push(Action::Subscribe(true));
            }
            _ => {}
        }
    }

    /// The delay between a failure and the next call. It is shorter where a refusal comes at once and costs
    /// discovery nothing, as in the simulator, than where calls are queued.
    fn retry_after(&self, pause: f64, cx: &Context) -> Duration {
        if cx.lease.bounded() {
            return Self::draw(if self.failures == 1 { FIRST_RETRY_SECS } else { LATER_RETRY_SECS }, cx);
        }
        let part = 0.5 + 0.5 * lot(cx.law.seed, cx.now.as_nanos() as u64);
        let doubled = self.failures.min(MAX_BACKOFF_FAILURES) as i32 - 1;
        Self::limit(UNQUEUED_RETRY[0] * pause * UNQUEUED_RETRY[1].powi(doubled) * part, cx)
    }

    /// Whether no call has been made and no node is known from before, so that there is nothing to serve with
    /// meanwhile.
    fn knows_nothing(&self, cx: &Context) -> bool {
        !self.called && cx.listed.is_empty()
    }

    /// Discovery has answered.
    fn answered(&mut self) {
        (self.subscribed, self.failures) = (true, 0);
    }

    /// A random delay in this range of seconds.
    fn draw([least, most]: [f64; 2], cx: &Context) -> Duration {
        let part = lot(cx.law.seed, cx.now.as_nanos() as u64);
        Self::limit(least + (most - least) * part, cx)
    }

    /// A delay, limited to half of the longest allowed time without a call.
    fn limit(seconds: f64, cx: &Context) -> Duration {
        secs(seconds).min(cx.law.ask_within / 2)
    }
}
