//! Inputs of the core from the I/O layer, and the commands that the core returns.

use std::net::SocketAddr;
use std::time::Duration;

use ivydrift_policy::port::{Build, DiscoverySignal, Load, Outcome};
use ivydrift_wire::{desk, list, orca};

/// Identifies an RPC. The I/O layer assigns it and never reuses one.
pub type Id = u64;

/// A client's request.
#[derive(Clone, Copy, Debug)]
pub struct Call<'a> {
    /// Method name, from the request path.
    pub method: &'a str,
    /// Tenant name as the client gave it.
    pub tenant: Option<&'a str>,
    /// Routing key, as a number.
    pub key: Option<u64>,
    /// The request carries an idempotency key.
    pub tokened: bool,
    /// Time left until the client's deadline; `None` where the client sent none.
    pub left: Option<Duration>,
    /// The client reports earlier attempts of this request.
    pub repeated: bool,
}

/// What the I/O layer observed on the connection of a pick.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Saw {
    /// A complete answer. `never_ran`: the node states that it refused the RPC without running it.
    Answer { status: u16, never_ran: bool, load: orca::Metrics },
    /// The connection was not established in time, or failed before any byte of the RPC was written.
    NotSent,
    /// The I/O layer did not start the attempt: its time was over, or the RPC no longer needed it. The node
    /// was not involved.
    NotBegun,
    /// The connection broke after at least one byte may have been sent, whatever came back.
    Broken,
    /// The node's reply is not valid HTTP.
    Garbled,
    /// The node did not answer in time.
    TimedOut,
    /// The I/O layer closed the connection on [`Order::Sever`].
    Severed,
}

impl Saw {
    /// Outcome of the pick that this observation proves.
    pub fn outcome(self) -> Outcome {
        match self {
            // Only a 503 may state that the RPC never ran; a success with that flag contradicts itself.
            Saw::Answer { status: 503, never_ran: true, .. } => Outcome::Full,
            Saw::Answer { status, .. } if status < 500 => Outcome::Ok,
            Saw::Answer { .. } => Outcome::Error,
            Saw::Garbled => Outcome::Malformed,
            Saw::NotSent => Outcome::NoConnection,
            Saw::NotBegun => Outcome::NotAttempted,
            Saw::Broken => Outcome::Reset,
            Saw::TimedOut => Outcome::Timeout,
            Saw::Severed => Outcome::Cancelled,
        }
    }

    pub(crate) fn load(self) -> Load {
        let Saw::Answer { load, .. } = self else { return Load::default() };
        Load {
            in_flight: load.in_flight,
            queue: load.queue,
            cpu_utilization: load.cpu_utilization,
            latency: load.latency_ms,
            rate: load.rps,
            errors: load.eps,
        }
    }
}

/// How the rollout controller answered a vote.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Ballot {
    /// A complete answer, with the current stage.
    Answered(desk::VoteAnswer),
    /// The controller gave the status of the vote without the stage.
    Refused(desk::Counted),
    /// The controller reported an error.
    Failed,
    /// No answer arrived. The vote may still have been counted.
    Silent,
}

/// An event that the I/O layer reports to the core.
#[derive(Clone, Copy, Debug)]
pub enum Input<'a> {
    /// A new RPC from a client.
    Rpc { id: Id, call: Call<'a> },
    /// The answer of a pick is too long to buffer: its head may be passed on now, the rest is streamed.
    Began { id: Id, pick: usize },
    /// A pick has ended.
    Ended { id: Id, pick: usize, saw: Saw },
    /// Body bytes that are not buffered were read from the client for this pick, so the RPC cannot be sent
    /// again. `waited`: time spent waiting for the client since the last such report.
    Drawn { id: Id, pick: usize, waited: Duration },
    /// The client disconnected.
    ClientLeft { id: Id },
    /// A complete node list from discovery.
    Membership(&'a [list::Listed]),
    /// The node list saved before the restart; it may be out of date.
    Known(&'a [list::Listed]),
    /// The node list subscription broke, or could not be established.
    MembershipLost,
    /// State of discovery, as seen by a call to it.
    Discovery(DiscoverySignal),
    /// An update from the rollout controller.
    News(&'a desk::News),
    /// The rollout controller's answer to this marshal's vote.
    Voted(Ballot),
    /// A datagram from another marshal.
    Peer(&'a [u8]),
    /// This marshal is shutting down.
    Leaving,
    /// A timer expired, see [`Core::due`](crate::Core::due).
    Tick,
}

/// Why an RPC did not end with ok.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Why {
    /// No pick was made, or none that can have run.
    NoRoom,
    /// The last pick ended in an error, or its connection broke.
    Failed,
    /// The last pick was not answered in time.
    TimedOut,
}

impl Why {
    /// The reason as written in the `ivydrift-why` header.
    pub fn word(self) -> &'static str {
        match self {
            Why::NoRoom => "no-room",
            Why::Failed => "failed",
            Why::TimedOut => "timed-out",
        }
    }
}

/// A command that the I/O layer must carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Order {
    /// Send the RPC to a node and report [`Input::Ended`] exactly once, by `by` at the latest even if the
    /// command is carried out late. `careful`: the RPC must not run twice, so do not use an idle connection
    /// that may already be dead.
    Pick { id: Id, pick: usize, node: SocketAddr, by: Duration, careful: bool },
    /// Final answer ok: forward this pick's answer to the client. `picks`: picks of the RPC so far.
    Pass { id: Id, pick: usize, picks: usize, build: Build },
    /// Final answer pushed back: the client may try again later. Either nothing ran, or running twice does no
    /// harm.
    PushBack { id: Id, picks: usize, retry_after: Option<Duration>, why: Why },
    /// Final answer aborted: the RPC failed, and whether it ran is not known.
    Abort { id: Id, picks: usize, why: Why },
    /// Answer to a request that is not a valid RPC: an HTTP status and a message.
    Reject { id: Id, status: u16, why: &'static str },
    /// An answer broke off while it was being forwarded: close the client's connection so that the client
    /// does not take the answer for complete.
    BreakOff { id: Id },
    /// The pick is no longer needed: close its connection and report it ended.
    Sever { id: Id, pick: usize },
    /// Close the idle connections to a node.
    CloseIdle { node: SocketAddr },
    /// Send a datagram to the marshal with number `to`.
    Tell { to: usize, datagram: Vec<u8> },
    /// Send a vote to the rollout controller.
    Vote(desk::Vote),
    /// Fetch the node list and stay subscribed to it.
    FollowMembership,
    /// Write a log line.
    Log(String),
}

impl Order {
    /// The RPC that the command concerns, if any.
    pub fn rpc(&self) -> Option<Id> {
        match self {
            Order::Pick { id, .. }
            | Order::Pass { id, .. }
            | Order::PushBack { id, .. }
            | Order::Abort { id, .. }
            | Order::Reject { id, .. }
            | Order::BreakOff { id }
            | Order::Sever { id, .. } => Some(*id),
            Order::CloseIdle { .. }
            | Order::Tell { .. }
            | Order::Vote(_)
            | Order::FollowMembership
            | Order::Log(_) => None,
        }
    }
}

/// Counters since the start; `held` is a gauge.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// RPCs accepted, rejected ones left out.
    pub rpcs: u64,
    pub ok: u64,
    pub pushed_back: u64,
    pub aborted: u64,
    /// RPCs whose client disconnected before the final answer.
    pub left: u64,
    pub rejected: u64,
    pub picks: u64,
    /// RPCs aborted by the core because the policy had not answered them in time.
    pub overdue: u64,
    /// RPCs in the table now.
    pub held: usize,
}

impl Counts {
    pub(crate) fn plus(self, other: Counts) -> Counts {
        Counts {
            rpcs: self.rpcs + other.rpcs,
            ok: self.ok + other.ok,
            pushed_back: self.pushed_back + other.pushed_back,
            aborted: self.aborted + other.aborted,
            left: self.left + other.left,
            rejected: self.rejected + other.rejected,
            picks: self.picks + other.picks,
            overdue: self.overdue + other.overdue,
            held: self.held + other.held,
        }
    }
}
