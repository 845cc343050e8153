//! The list of nodes, where it must be asked for.

use super::*;

impl Scout {
    pub fn act(&mut self, note: Note, cx: &mut Cx) {
        let Some(pause) = cx.law.ask_pause else { return };
        let wait = |s: f64| secs(s).min(cx.law.ask_within / 2);
        match note {
            Note::Told(Event::Nodes { scope: Scope::Failed, .. }) => {
                (self.subscribed, self.failures) = (false, (self.failures + 1).min(3));
                self.ask_at = cx.now + wait(0.4 * pause * 2f64.powi(self.failures));
            }
            Note::Told(Event::Nodes { scope, .. }) if scope != Scope::Cached => {
                (self.subscribed, self.failures) = (true, 0);
            }
            Note::Beat if !self.subscribed && cx.now >= self.ask_at => {
                self.ask_at = cx.now + wait(4.0 * pause);
                cx.out.push(Action::Subscribe(true));
            }
            _ => {}
        }
    }
}
