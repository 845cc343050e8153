//! One client connection as the rest of the shell sees it.

use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicU8, Ordering};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use ivydrift_marshal::Order;
use may::sync::Semphore;

use crate::exchange::Handle;
use ivydrift_sockets::Look;

/// Where connections run out, those that have sent no whole message for this long since they came are closed first.
const SILENT: Duration = Duration::from_millis(250);

/// One client connection, as the rest of the shell sees it.
pub struct Client {
    pub look: Look,
    /// Where it stands, see [`Stand`].
    pub(super) stand: AtomicU8,
    /// Nothing of a message has come since it came, or came to rest.
    pub(super) quiet: AtomicBool,
    pub came: Instant,
    /// When it came to rest, in milliseconds since it came.
    rested: AtomicU64,
    /// Orders for the RPC in hand that came out of somebody else's events.
    pub(super) mail: Mutex<VecDeque<Mail>>,
    pub(super) wake: Semphore,
    /// The pick in hand: its number, its connection, and whether it was severed.
    pub(super) pick: Mutex<(usize, Option<Look>, bool)>,
    /// The client has left while its RPC was in hand.
    pub(super) gone: AtomicBool,
}

/// Where a connection stands with the messages on it.
#[derive(Clone, Copy, PartialEq)]
pub enum Stand {
    /// No whole message has come yet.
    New,
    Busy,
    Resting,
    /// It ends with the answer that it has.
    Leaving,
    /// It was closed for another, or for the stop: what is still read of it counts for nothing.
    GivenUp,
}

pub enum Mail {
    Order(Order),
    Gone,
}

impl Client {
    pub(super) fn new(look: Look) -> Self {
        Client {
            look,
            stand: AtomicU8::new(Stand::New as u8),
            quiet: AtomicBool::new(true),
            came: Instant::now(),
            rested: AtomicU64::new(0),
            mail: Mutex::default(),
            wake: Semphore::new(0),
            pick: Mutex::default(),
            gone: AtomicBool::new(false),
        }
    }

    pub(super) fn rest(&self) {
        self.rested.store(self.came.elapsed().as_millis() as u64, Ordering::Relaxed);
        self.quiet.store(true, Ordering::Release);
        self.turn(Stand::Busy, Stand::Resting);
    }

    pub(super) fn turn(&self, from: Stand, to: Stand) -> bool {
        self.stand.compare_exchange(from as u8, to as u8, Ordering::AcqRel, Ordering::Acquire).is_ok()
    }

    pub(super) fn stands(&self, at: Stand) -> bool {
        self.stand.load(Ordering::Acquire) == at as u8
    }

    /// The first bytes of a message are here; false where the connection was given up.
    pub(super) fn spoken(&self) -> bool {
        self.quiet.store(false, Ordering::Release);
        self.turn(Stand::Resting, Stand::Busy) || !self.stands(Stand::GivenUp)
    }

    /// A whole message is here; false where the connection was given up, and nothing of it may be carried out.
    pub(super) fn asked(&self) -> bool {
        self.turn(Stand::New, Stand::Busy) || self.stands(Stand::Busy)
    }

    /// How gladly this connection is given up for another, where it may be: who has its last answer first, then who
    /// never asked anything, then who has rested longest.
    pub fn spare(&self) -> Option<(u8, Duration)> {
        let rested =
            self.came.elapsed().saturating_sub(Duration::from_millis(self.rested.load(Ordering::Relaxed)));
        let new = self.stands(Stand::New) && rested >= SILENT;
        let ranks = [(self.stands(Stand::Leaving), 2), (new, 1), (self.stands(Stand::Resting), 0)];
        ranks.iter().find(|(may, _)| *may).map(|(_, rank)| (*rank, rested))
    }

    /// Closes the connection where no message is in hand: a client that has sent one meanwhile sends it again
    /// elsewhere, so it must not be carried out here as well.
    pub fn give_up(&self) -> bool {
        let may = [Stand::New, Stand::Resting, Stand::Leaving];
        let given = may.into_iter().any(|from| self.turn(from, Stand::GivenUp));
        if given {
            self.look.cut();
        }
        given
    }

    pub fn quiet(&self) -> bool {
        self.quiet.load(Ordering::Acquire)
    }

    /// Takes an order from another coroutine. Cutting off the pick in hand cannot wait for the mail.
    pub fn post(&self, order: Order) {
        if let Order::Sever { pick, .. } = order {
            let mut hand = self.pick.lock().unwrap();
            if hand.0 == pick {
                hand.2 = true;
                if let Some(look) = &hand.1 {
                    look.cut();
                }
            }
            return;
        }
        self.mail.lock().unwrap().push_back(Mail::Order(order));
        self.wake.post();
    }

    /// The client was seen to leave.
    pub fn leave(&self) {
        self.gone.store(true, Ordering::Release);
        self.mail.lock().unwrap().push_back(Mail::Gone);
        self.wake.post();
    }

    pub(super) fn next(&self) -> Option<Mail> {
        self.mail.lock().unwrap().pop_front()
    }
}

impl Handle for Client {
    fn hold(&self, look: Look) -> bool {
        let mut hand = self.pick.lock().unwrap();
        hand.1 = Some(look);
        !hand.2
    }

    fn severed(&self) -> bool {
        self.pick.lock().unwrap().2
    }
}
