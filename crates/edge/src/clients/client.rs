//! State of one client connection that other coroutines share.

use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicU8, Ordering};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use ivydrift_marshal::{Id, Order};
use may::sync::Semphore;

use crate::exchange::Handle;
use ivydrift_sockets::Look;

/// When connections run out, those that have sent no complete message for this long after being accepted are
/// closed first.
const SILENT: Duration = Duration::from_millis(250);

/// During shutdown, a connection that was only just accepted gets this long to deliver its first bytes: it
/// may have waited in the listen backlog, and its client may already have written to it.
const NEWCOMER: Duration = Duration::from_millis(100);

/// One client connection as other coroutines see it.
pub struct Client {
    /// Lets other coroutines check or shut down the connection.
    pub look: Look,
    /// The connection's [`Stand`] as an integer.
    pub(super) stand: AtomicU8,
    /// No byte of a message has arrived since the connection was accepted or last became idle.
    pub(super) quiet: AtomicBool,
    /// When the connection was accepted.
    pub came: Instant,
    /// When the connection last became idle, in milliseconds after `came`.
    rested: AtomicU64,
    mailbox: Mutex<Mailbox>,
    /// Posted for each entry of the mailbox.
    pub(super) wake: Semphore,
    hand: Mutex<Hand>,
    /// The client disconnected while its RPC was in progress.
    pub(super) gone: AtomicBool,
}

/// State of a connection with respect to its messages.
#[derive(Clone, Copy, PartialEq)]
pub enum Stand {
    /// No complete message has arrived yet.
    New,
    /// A message is being read or an RPC is in progress.
    Busy,
    /// Idle: the last answer is complete and no byte of another message has been read.
    Resting,
    /// The connection closes after the answer that was just written.
    Leaving,
    /// The connection was closed to free a slot or for shutdown. Anything still read from it is discarded.
    GivenUp,
}

/// Orders for the RPC in progress that result from events handled by other coroutines.
#[derive(Default)]
struct Mailbox {
    rpc: Option<Id>,
    mail: VecDeque<Mail>,
}

/// Identifies a pick. The RPC id is needed because each RPC of a connection numbers its picks from 0.
type Which = (Id, usize);

/// The pick in progress for this client.
#[derive(Default)]
struct Hand {
    pick: Option<Which>,
    /// Its connection, once established.
    look: Option<Look>,
    /// The last pick ordered to be cancelled. The order may arrive before that pick has begun.
    severed: Option<Which>,
}

impl Hand {
    /// Whether the pick in progress has been cancelled.
    fn cut_off(&self) -> bool {
        self.pick.is_some() && self.pick == self.severed
    }
}

/// An entry of a client's mailbox.
pub enum Mail {
    Order(Order),
    /// The client has disconnected.
    Gone,
}

impl Client {
    /// A connection that was just accepted.
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

    /// Marks the connection as idle.
    pub(crate) fn rest(&self) {
        self.rested.store(self.came.elapsed().as_millis() as u64, Ordering::Relaxed);
        self.quiet.store(true, Ordering::Release);
        self.turn(Stand::Busy, Stand::Resting);
    }

    /// Changes the state. Returns false if the connection was not in state `from`.
    pub(crate) fn turn(&self, from: Stand, to: Stand) -> bool {
        self.stand.compare_exchange(from as u8, to as u8, Ordering::AcqRel, Ordering::Acquire).is_ok()
    }

    /// Whether the connection is in this state.
    pub(crate) fn stands(&self, at: Stand) -> bool {
        self.stand.load(Ordering::Acquire) == at as u8
    }

    /// Records that the first bytes of a message have arrived. Returns false if the connection was given up.
    pub(crate) fn spoken(&self) -> bool {
        self.quiet.store(false, Ordering::Release);
        self.turn(Stand::Resting, Stand::Busy) || !self.stands(Stand::GivenUp)
    }

    /// Records that a complete message has arrived. Returns false if the connection was given up, in which
    /// case the message must not be processed.
    pub(crate) fn asked(&self) -> bool {
        self.turn(Stand::New, Stand::Busy) || self.stands(Stand::Busy)
    }

    /// Rank for closing this connection to free a slot, or `None` if it must stay. Connections that have
    /// their last answer go first, then those that never sent a message, then those idle for longest.
    pub fn spare(&self) -> Option<(u8, Duration)> {
        let rested =
            self.came.elapsed().saturating_sub(Duration::from_millis(self.rested.load(Ordering::Relaxed)));
        let new = self.stands(Stand::New) && rested >= SILENT;
        let ranks = [(self.stands(Stand::Leaving), 2), (new, 1), (self.stands(Stand::Resting), 0)];
        ranks.iter().find(|(may, _)| *may).map(|(_, rank)| (*rank, rested))
    }

    /// Closes the connection if no message is in progress or has arrived. A client that sends a message at
    /// this very moment sends it again elsewhere, so it must not be processed here as well. Unread bytes in
    /// the socket count as an accepted message even if the reader has not run yet; only after the
    /// connection's last answer are they ignored.
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

    /// Whether no byte of a message has arrived although the client had time to send one.
    pub fn quiet(&self) -> bool {
        let newcomer = self.stands(Stand::New) && self.came.elapsed() < NEWCOMER;
        !newcomer && self.quiet.load(Ordering::Acquire)
    }

    /// Delivers an order from another coroutine. Returns false if its RPC is no longer in progress on this
    /// connection: the caller looked the client up earlier, and the RPC may have ended since. Cancelling the
    /// pick in progress bypasses the mailbox because it cannot wait.
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

    /// Records that the client has disconnected.
    pub fn leave(&self) {
        self.gone.store(true, Ordering::Release);
        self.mailbox.lock().unwrap().mail.push_back(Mail::Gone);
        self.wake.post();
    }

    /// Accepts orders for this RPC, and for no other, from now on.
    pub(crate) fn open(&self, id: Id) {
        *self.mailbox.lock().unwrap() = Mailbox { rpc: Some(id), mail: VecDeque::new() };
    }

    /// Stops accepting orders and returns the unread ones.
    pub(crate) fn shut(&self) -> VecDeque<Mail> {
        std::mem::take(&mut *self.mailbox.lock().unwrap()).mail
    }

    /// The next entry of the mailbox, if there is one.
    pub(crate) fn next(&self) -> Option<Mail> {
        self.mailbox.lock().unwrap().mail.pop_front()
    }

    /// Marks a pick as in progress.
    pub(crate) fn begin(&self, id: Id, pick: usize) {
        let mut hand = self.hand.lock().unwrap();
        (hand.pick, hand.look) = (Some((id, pick)), None);
    }

    /// Marks the pick in progress as ended.
    pub(crate) fn end(&self) {
        let mut hand = self.hand.lock().unwrap();
        (hand.pick, hand.look) = (None, None);
    }
}

impl Handle for Client {
    fn hold(&self, look: Look) -> bool {
        let mut hand = self.hand.lock().unwrap();
        hand.look = Some(look);
        // Nothing is started for a client that has left, even if the method does not allow cancelling work
        // that already runs.
        !hand.cut_off() && !self.gone.load(Ordering::Acquire)
    }

    fn severed(&self) -> bool {
        self.hand.lock().unwrap().cut_off()
    }
}
