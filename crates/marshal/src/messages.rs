//! Inputs of the core from the I/O layer, and the commands that the core returns.

use std::net::SocketAddr;
use std::time::Duration;

use ivydrift_policy::port::{Build, DiscoverySignal, Load, Outcome};
use ivydrift_wire::{controller, list, orca};

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
    pub has_idempotency_key: bool,
    /// Time left until the client's deadline; `None` where the client sent none.
    pub time_left: Option<Duration>,
    /// The client reports earlier attempts of this request.
    pub is_retry: bool,
}

/// What the I/O layer observed on the connection of a pick.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Observation {
    /// A complete answer. `never_ran`: the node states that it refused the RPC without running it.
    Answer { status: u16, never_ran: bool, load: orca::Metrics },
    /// The connection was not established in time, or failed before any byte of the RPC was written.
    NotSent,
    /// The I/O layer did not start the attempt: its time was over, or the RPC no longer needed it. The node
    /// was not involved.
    NotAttempted,
    /// The connection broke after at least one byte may have been sent, whatever came back.
    Broken,
    /// The node's reply is not valid HTTP.
    Malformed,
    /// The node did not answer in time.
    TimedOut,
    /// The I/O layer closed the connection on [`Command::Sever`].
    Cancelled,
}

impl Observation {
    /// Outcome of the pick that this observation proves.
    pub fn outcome(self) -> Outcome {
        match self {
            // Only a 503 may state that the RPC never ran; a success with that flag contradicts itself.
            Observation::Answer { status: 503, never_ran: true, .. } => Outcome::Full,
            Observation::Answer { status, .. } if status < 500 => Outcome::Ok,
            Observation::Answer { .. } => Outcome::Error,
            Observation::Malformed => Outcome::Malformed,
            Observation::NotSent => Outcome::NoConnection,
            Observation::NotAttempted => Outcome::NotAttempted,
            Observation::Broken => Outcome::Reset,
            Observation::TimedOut => Outcome::Timeout,
            Observation::Cancelled => Outcome::Cancelled,
        }
    }

    pub(crate) fn load(self) -> Load {
        let Observation::Answer { load, .. } = self else { return Load::default() };
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
    Answered(controller::VoteAnswer),
    /// The controller gave the status of the vote without the stage.
    Refused(controller::Counted),
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
    AnswerBegan { id: Id, pick: usize },
    /// A pick has ended.
    PickEnded { id: Id, pick: usize, observation: Observation },
    /// Body bytes that are not buffered were read from the client for this pick, so the RPC cannot be sent
    /// again. `waited`: time spent waiting for the client since the last such report.
    BodyConsumed { id: Id, pick: usize, waited: Duration },
    /// It is not known whether the client is still there, so no pick may follow the one that was ordered. The RPC
    /// gets its final answer when that one ends.
    AttemptsStopped { id: Id },
    /// The client disconnected.
    ClientLeft { id: Id },
    /// A complete node list from discovery.
    NodeList(&'a [list::ListedNode]),
    /// The node list saved before the restart; it may be out of date.
    CachedNodeList(&'a [list::ListedNode]),
    /// The node list subscription broke, or could not be established.
    NodeListLost,
    /// State of discovery, as seen by a call to it.
    Discovery(DiscoverySignal),
    /// An update from the rollout controller.
    RolloutUpdate(&'a controller::RolloutUpdate),
    /// The rollout controller's answer to this marshal's vote.
    VoteAnswered(Ballot),
    /// A datagram from another marshal.
    PeerDatagram(&'a [u8]),
    /// This marshal is shutting down.
    ShuttingDown,
    /// A timer expired, see [`Core::next_tick`](crate::Core::next_tick).
    Tick,
}

/// Why an RPC did not end with ok.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureReason {
    /// No pick was made, or none that can have run.
    NoRoom,
    /// The last pick ended in an error, or its connection broke.
    Failed,
    /// The last pick was not answered in time.
    TimedOut,
}

impl FailureReason {
    /// The reason as written in the `ivydrift-why` header.
    pub fn as_str(self) -> &'static str {
        match self {
            FailureReason::NoRoom => "no-room",
            FailureReason::Failed => "failed",
            FailureReason::TimedOut => "timed-out",
        }
    }
}

/// A command that the I/O layer must carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Send the RPC to a node and report [`Input::PickEnded`] exactly once, by `by` at the latest even if the
    /// command is carried out late. `careful`: the RPC must not run twice, so do not use an idle connection
    /// that may already be dead.
    Pick { id: Id, pick: usize, node: SocketAddr, by: Duration, careful: bool },
    /// Final answer ok: forward this pick's answer to the client. `picks`: picks of the RPC so far.
    Pass { id: Id, pick: usize, picks: usize, build: Build },
    /// Final answer pushed back: the client may try again later. Either nothing ran, or running twice does no
    /// harm.
    PushBack { id: Id, picks: usize, retry_after: Option<Duration>, why: FailureReason },
    /// Final answer aborted: the RPC failed, and whether it ran is not known.
    Abort { id: Id, picks: usize, why: FailureReason },
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
    Vote(controller::Vote),
    /// Fetch the node list and stay subscribed to it.
    FollowMembership,
    /// Write a log line.
    Log(String),
}

impl Command {
    /// The RPC that the command concerns, if any.
    pub fn rpc(&self) -> Option<Id> {
        match self {
            Command::Pick { id, .. }
            | Command::Pass { id, .. }
            | Command::PushBack { id, .. }
            | Command::Abort { id, .. }
            | Command::Reject { id, .. }
            | Command::BreakOff { id }
            | Command::Sever { id, .. } => Some(*id),
            Command::CloseIdle { .. }
            | Command::Tell { .. }
            | Command::Vote(_)
            | Command::FollowMembership
            | Command::Log(_) => None,
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
