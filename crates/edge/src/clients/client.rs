//! One client connection as the rest of the shell sees it.

use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicU8, Ordering};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use ivydrift_marshal::{Id, Order};
use may::sync::Semphore;

use crate::exchange::Handle;
use ivydrift_sockets::Look;

/// Where connections run out, those that have sent no whole message for this long since they came are closed first.
const SILENT: Duration = Duration::from_millis(250);

/// At a stop, a connection that has only just been made is given this long to bring its first bytes: it may have
/// waited in the listener's queue, and its client has written to it already.
const NEWCOMER: Duration = Duration::from_millis(100);

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
    mailbox: Mutex<Mailbox>,
    pub(super) wake: Semphore,
    hand: Mutex<Hand>,
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

/// Orders for the RPC in hand that came out of somebody else's events.
#[derive(Default)]
struct Mailbox {
    rpc: Option<Id>,
    mail: VecDeque<Mail>,
}

/// A pick of an RPC: both numbers, for the next RPC of the connection counts its picks from 0 again.
type Which = (Id, usize);

/// What is out for this client.
#[derive(Default)]
struct Hand {
    pick: Option<Which>,
    look: Option<Look>,
    /// What was ordered to be cut off last. The order may come before its pick has begun.
    severed: Option<Which>,
}

impl Hand {
    fn cut_off(&self) -> bool {
        self.pick.is_some() && self.pick == self.severed
    }
}

pub enum Mail {
    Order(Order),
    Gone,
}

impl Client {
    pub(crate) fn new(look: Look) -> Self {
        Client {
            look,
            stand: AtomicU8::new(Stand::New as u8),
            quiet: AtomicBool::new(true),
            came: Instant::now(),
            rested: AtomicU64::new(0),
            mailbox: Mutex::default(),
            wake: Semphore::new(0),
            hand: Mutex::default(),
            gone: AtomicBool::new(false),
        }
    }

    pub(crate) fn rest(&self) {
        self.rested.store(self.came.elapsed().as_millis() as u64, Ordering::Relaxed);
        self.quiet.store(true, Ordering::Release);
        self.turn(Stand::Busy, Stand::Resting);
    }

    pub(crate) fn turn(&self, from: Stand, to: Stand) -> bool {
        self.stand.compare_exchange(from as u8, to as u8, Ordering::AcqRel, Ordering::Acquire).is_ok()
    }

    pub(crate) fn stands(&self, at: Stand) -> bool {
        self.stand.load(Ordering::Acquire) == at as u8
    }

    /// The first bytes of a message are here; false where the connection was given up.
    pub(crate) fn spoken(&self) -> bool {
        self.quiet.store(false, Ordering::Release);
        self.turn(Stand::Resting, Stand::Busy) || !self.stands(Stand::GivenUp)
    }

    /// A whole message is here; false where the connection was given up, and nothing of it may be carried out.
    pub(crate) fn asked(&self) -> bool {
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

    /// Closes the connection where no message is in hand or has come: a client that sends one in this very moment
    /// sends it again elsewhere, so it must not be carried out here as well. What waits unread in the socket has
    /// been taken, whether or not its reader has run yet; only after our last answer nothing more is owed.
    pub fn give_up(&self) -> bool {
        if !self.stands(Stand::Leaving) && !self.look.quiet() {
            return false;
        }
        let may = [Stand::New, Stand::Resting, Stand::Leaving];
        let given = may.into_iter().any(|from| self.turn(from, Stand::GivenUp));
        if given {
            self.look.cut();
        }
        given
    }

    /// Nothing of a message has come, though it had the time for it.
    pub fn quiet(&self) -> bool {
        let newcomer = self.stands(Stand::New) && self.came.elapsed() < NEWCOMER;
        !newcomer && self.quiet.load(Ordering::Acquire)
    }

    /// Takes an order from another coroutine; false where its RPC is not in hand here any more. Whoever posts has looked
    /// the client up before, and that RPC may have ended since. Cutting off the pick in hand cannot wait for the mail.
    pub fn post(&self, order: &Order) -> bool {
        if let Order::Sever { id, pick } = order {
            let mut hand = self.hand.lock().unwrap();
            hand.severed = Some((*id, *pick));
            if hand.cut_off() {
                hand.look.iter().for_each(Look::cut);
            }
            return true;
        }
        let mut mailbox = self.mailbox.lock().unwrap();
        let open = mailbox.rpc.is_some() && mailbox.rpc == order.rpc();
        if open {
            mailbox.mail.push_back(Mail::Order(order.clone()));
            self.wake.post();
        }
        open
    }

    /// The client was seen to leave.
    pub fn leave(&self) {
        self.gone.store(true, Ordering::Release);
        self.mailbox.lock().unwrap().mail.push_back(Mail::Gone);
        self.wake.post();
    }

    /// From here on mail for this RPC is taken, and for no other.
    pub(crate) fn open(&self, id: Id) {
        *self.mailbox.lock().unwrap() = Mailbox { rpc: Some(id), mail: VecDeque::new() };
    }

    /// No mail is taken any more; what was not read.
    pub(crate) fn shut(&self) -> VecDeque<Mail> {
        std::mem::take(&mut *self.mailbox.lock().unwrap()).mail
    }

    pub(crate) fn next(&self) -> Option<Mail> {
        self.mailbox.lock().unwrap().mail.pop_front()
    }

    /// A pick begins.
    pub(crate) fn begin(&self, id: Id, pick: usize) {
        let mut hand = self.hand.lock().unwrap();
        (hand.pick, hand.look) = (Some((id, pick)), None);
    }

    /// It has ended.
    pub(crate) fn end(&self) {
        let mut hand = self.hand.lock().unwrap();
        (hand.pick, hand.look) = (None, None);
    }
}

impl Handle for Client {
    fn hold(&self, look: Look) -> bool {
        let mut hand = self.hand.lock().unwrap();
        hand.look = Some(look);
        // Whether or not running work can be cancelled here: for one who has left nothing is begun.
        !hand.cut_off() && !self.gone.load(Ordering::Acquire)
    }

    fn severed(&self) -> bool {
        self.hand.lock().unwrap().cut_off()
    }
}
