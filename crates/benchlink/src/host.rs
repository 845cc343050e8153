//! Hosts the simulated instances: translates each batch of records into events for their marshals, and the
//! marshals' actions into a reply.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::mem;
use std::time::Duration;

use ivydrift_facts as facts;
use ivydrift_policy::port::*;
use ivydrift_policy::Marshal;

use crate::codec::{malformed, Reader, Result, Writer};

type Addr = [u8; 6];

/// An entry of a numbered node list, as on the wire.
#[derive(Clone, Copy)]
struct ListEntry {
    kind: u8,
    power: f32,
    cell: u16,
    zone: u16,
    readiness: u8,
    /// Start time in microseconds; 0 means long ago.
    started: u64,
    addr: Addr,
    build: f32,
}

/// All instances of the process, and the node lists that they share.
#[derive(Default)]
pub struct Host {
    /// Node lists by number.
    lists: HashMap<u32, Vec<ListEntry>>,
    /// Instances by id.
    instances: BTreeMap<u32, Instance>,
}

/// One instance: its marshal and its id tables.
struct Instance {
    marshal: Marshal,
    /// Names of the load report's columns, in wire order.
    load_columns: Vec<String>,
    node_by_addr: HashMap<Addr, NodeIx>,
    /// Addresses by node index.
    addrs: Vec<Addr>,
    /// Open RPCs by wire id.
    rpc_by_wire_id: HashMap<u32, RpcIx>,
    open_rpcs: HashMap<RpcIx, OpenRpc>,
    next_rpc: RpcIx,
    /// RPCs that have got their final answer or lost their client since the last reply.
    ended_rpcs: Vec<RpcIx>,
    /// The configuration has tenants, so the tenant field is used.
    has_tenants: bool,
    /// The number of configured methods.
    method_count: usize,
    /// Events of the current batch.
    events: Vec<Event>,
}

/// An RPC that may still appear in records.
struct OpenRpc {
    /// Its id on the wire.
    wire_id: u32,
    /// Picks sent and not yet ended.
    outstanding: usize,
    ended: bool,
}

fn duration_from_micros(us: u32) -> Duration {
    Duration::from_micros(us.into())
}

/// Microseconds as on the wire; longer spans than the field holds become its maximum.
fn wire_micros(span: Duration) -> [u8; 4] {
    u32::try_from(span.as_micros()).unwrap_or(u32::MAX).to_le_bytes()
}

impl Host {
    /// Handles one frame, header included, and returns the reply. An instance's marshal gets all its events
    /// of the frame in one call, after the last record.
    pub fn handle_frame(&mut self, frame: &[u8]) -> Result<Vec<u8>> {
        let mut reader = Reader::new(frame, "the frame");
        let (records, length, now) = (reader.u32()?, reader.u32()?, reader.u64()?);
        if length as usize != frame.len() {
            return malformed(format!("the header states {length} bytes, the frame has {}", frame.len()));
        }
        let mut instance_id = None;
        let mut addressed: BTreeSet<u32> = BTreeSet::new();
        for i in 0..records {
            let (code, payload) = reader.record()?;
            let mut fields = Reader::new(payload, record_name(code));
            match code {
                14 => {
                    let (number, list) = read_catalog(&mut fields)?;
                    self.lists.insert(number, list);
                }
                15 => instance_id = Some(fields.u32()?),
                _ => {
                    let Some(id) = instance_id else {
                        return malformed(format!(
                            "record {i} ({}) precedes any On record",
                            record_name(code)
                        ));
                    };
                    self.handle_record(id, code, &mut fields)?;
                    addressed.insert(id);
                }
            }
        }
        if !reader.is_empty() {
            return malformed(format!(
                "the frame continues after the {records} records that the header states"
            ));
        }
        let mut reply = Writer::default();
        for id in addressed {
            if let Some(instance) = self.instances.get_mut(&id) {
                instance.handle_events(id, Duration::from_micros(now), &mut reply)?;
            }
        }
        Ok(reply.finish())
    }

    /// Handles one record for an instance: starts or stops it, or queues the event.
    fn handle_record(&mut self, id: u32, code: u8, fields: &mut Reader) -> Result<()> {
        match code {
            1 => {
                let salt = fields.u64()?;
                let len = fields.u32()? as usize;
                let settings = facts::parse_lines(salt, fields.take(len)?)?;
                self.instances.insert(id, Instance::new(settings));
                return Ok(());
            }
            10 => {
                self.instances.remove(&id);
                return Ok(());
            }
            _ => {}
        }
        let Some(instance) = self.instances.get_mut(&id) else {
            return malformed(format!("{} is for instance {id}, which has not started", record_name(code)));
        };
        if code == 2 {
            let (scope, _version, list_number) = (fields.u8()?, fields.u64()?, fields.u32()?);
            let scope = match scope {
                0 => ListUpdate::Failed,
                1 => ListUpdate::Cached,
                2 => ListUpdate::Full,
                3 => ListUpdate::Delta,
                other => return malformed(format!("Membership has unknown scope {other}")),
            };
            let entries: &[ListEntry] = match (scope, self.lists.get(&list_number)) {
                (ListUpdate::Failed, _) => &[],
                (_, Some(entries)) => entries,
                _ => return malformed(format!("Membership names list {list_number}, which was never sent")),
            };
            let nodes = entries.iter().map(|entry| instance.node_entry(entry)).collect::<Result<Vec<_>>>()?;
            instance.events.push(Event::Nodes { update: scope, nodes });
            return Ok(());
        }
        if let Some(event) = instance.read_event(code, fields)? {
            instance.events.push(event);
        }
        Ok(())
    }
}

impl Instance {
    fn new(settings: facts::StartSettings) -> Self {
        Instance {
            has_tenants: !settings.rollout.tenants.is_empty(),
            method_count: settings.rollout.methods.len(),
            marshal: Marshal::new(&settings.rollout),
            load_columns: settings.columns,
            node_by_addr: HashMap::new(),
            addrs: Vec::new(),
            rpc_by_wire_id: HashMap::new(),
            open_rpcs: HashMap::new(),
            next_rpc: 0,
            ended_rpcs: Vec::new(),
            events: Vec::new(),
        }
    }

    /// The index of a node; a new address gets the next one.
    fn node_index(&mut self, addr: Addr) -> NodeIx {
        let addrs = &mut self.addrs;
        *self.node_by_addr.entry(addr).or_insert_with(|| {
            addrs.push(addr);
            addrs.len() - 1
        })
    }

    /// A list entry in the decision module's types.
    fn node_entry(&mut self, entry: &ListEntry) -> Result<NodeEntry> {
        let readiness = match entry.readiness {
            0 => Readiness::Gone,
            2 => Readiness::Draining,
            3 => Readiness::Ready,
            other => return malformed(format!("a list entry has unknown readiness {other}")),
        };
        Ok(NodeEntry {
            node: self.node_index(entry.addr),
            address_hash: entry.addr.iter().fold(0, |name, byte| name << 8 | u64::from(*byte)),
            kind: entry.kind.into(),
            power: entry.power.into(),
            cell: entry.cell.into(),
            zone: entry.zone.into(),
            readiness,
            started: (entry.started > 0).then(|| Duration::from_micros(entry.started)),
            build: entry.build as Build,
        })
    }

    /// Reads a load report, whose columns the start settings name; unknown columns are skipped.
    fn read_load(&self, fields: &mut Reader) -> Result<Load> {
        let mut load = Load::default();
        for i in 0..fields.u8()? {
            let value = Some(f64::from(fields.f32()?));
            match self.load_columns.get(usize::from(i)).map(String::as_str) {
                Some("concurrent") => load.in_flight = value,
                Some("depth") => load.queue = value,
                Some("load_share") => load.cpu_utilization = value,
                Some("mean_ms") => load.latency = value,
                Some("tps") => load.rate = value,
                Some("err_ps") => load.errors = value,
                _ => {}
            }
        }
        Ok(load)
    }

    /// Checks a method's index against the start settings.
    fn method_index(&self, class: u8) -> Result<usize> {
        match usize::from(class) {
            method if method < self.method_count => Ok(method),
            _ => malformed(format!(
                "class {class} is out of range: the start settings have {} classes",
                self.method_count
            )),
        }
    }

    /// Marks an RPC as ended; it is forgotten once no pick is outstanding.
    fn mark_ended(&mut self, rpc: RpcIx) {
        if let Some(open) = self.open_rpcs.get_mut(&rpc) {
            open.ended = true;
            self.ended_rpcs.push(rpc);
        }
    }

    /// Translates a record into an event; `None` if it concerns an RPC that is already forgotten.
    fn read_event(&mut self, code: u8, fields: &mut Reader) -> Result<Option<Event>> {
        Ok(Some(match code {
            3 => {
                let (wire_id, method, tenant, key) =
                    (fields.u32()?, self.method_index(fields.u8()?)?, fields.u32()?, fields.u64()?);
                let (left, work, flags) = (fields.u32()?, fields.u32()?, fields.u16()?);
                let rpc = self.next_rpc;
                self.next_rpc = self.next_rpc.wrapping_add(1);
                self.rpc_by_wire_id.insert(wire_id, rpc);
                self.open_rpcs.insert(rpc, OpenRpc { wire_id, outstanding: 0, ended: false });
                Event::Rpc {
                    rpc,
                    method,
                    tenant: self.has_tenants.then_some(tenant as usize),
                    key: (key != 0).then_some(key),
                    time_left: duration_from_micros(left),
                    work: (flags & 1 != 0).then(|| duration_from_micros(work)),
                    is_retry: flags & 2 != 0,
                }
            }
            4 => {
                let (wire_id, pick, addr, took) =
                    (fields.u32()?, fields.u8()?, fields.addr()?, fields.u32()?);
                let node = self.node_index(addr);
                let Some(&rpc) = self.rpc_by_wire_id.get(&wire_id) else { return Ok(None) };
                Event::StreamBegun { rpc, pick: pick.into(), node, took: duration_from_micros(took) }
            }
            5 => {
                let (wire_id, outcome, took, addr) =
                    (fields.u32()?, fields.u16()?, fields.u32()?, fields.addr()?);
                let (done, pick) = (fields.u8()? != 0, fields.u8()?);
                let load = self.read_load(fields)?;
                let node = self.node_index(addr);
                let outcome = read_outcome(outcome)?;
                let Some(&rpc) = self.rpc_by_wire_id.get(&wire_id) else { return Ok(None) };
                if let Some(open) = self.open_rpcs.get_mut(&rpc) {
                    open.outstanding = open.outstanding.saturating_sub(1);
                }
                let event = Event::PickEnded {
                    rpc,
                    pick: pick.into(),
                    node,
                    outcome,
                    took: duration_from_micros(took),
                    done: done || self.open_rpcs.get(&rpc).is_some_and(|open| open.ended),
                    load,
                };
                if done || self.open_rpcs.get(&rpc).is_some_and(|open| open.ended) {
                    self.mark_ended(rpc);
                }
                event
            }
            6 => {
                let Some(&rpc) = self.rpc_by_wire_id.get(&fields.u32()?) else { return Ok(None) };
                self.mark_ended(rpc);
                Event::ClientLeft { rpc }
            }
            7 => Event::Timer { tag: fields.u64()? },
            8 => {
                let (addr, outcome, took) = (fields.addr()?, fields.u16()?, fields.u32()?);
                let load = self.read_load(fields)?;
                let node = self.node_index(addr);
                Event::Probed {
                    node,
                    outcome: read_outcome(outcome)?,
                    took: duration_from_micros(took),
                    load,
                }
            }
            9 => {
                let from = fields.u32()? as usize;
                let len = fields.u16()?;
                Event::Peer { from, payload: fields.take(len.into())?.to_vec() }
            }
            11 => {
                let (build, stage, course, reason) =
                    (fields.u16()?, fields.u8()?, fields.u8()?, fields.u8()?);
                let (result, cap, age) = (fields.u16()?, fields.f32()?, fields.u32()?);
                let course = match course {
                    0 => RolloutState::OnTrial,
                    1 => RolloutState::GoingBack,
                    2 => RolloutState::Released,
                    3 => RolloutState::Withdrawn,
                    other => return malformed(format!("ReleaseState has unknown course {other}")),
                };
                let reply = match (reason, result) {
                    (0, _) => VoteReply::Unsolicited,
                    (_, 10) => VoteReply::Counts,
                    (_, 20) => VoteReply::Error,
                    (_, 30) => VoteReply::Full,
                    (_, 40) => VoteReply::Silent,
                    (_, 80) => VoteReply::Moot,
                    (_, other) => return malformed(format!("ReleaseState has unknown result {other}")),
                };
                Event::Stage {
                    build: build.into(),
                    stage: stage.into(),
                    state: course,
                    reply,
                    cap: cap.into(),
                    age: duration_from_micros(age),
                }
            }
            12 => {
                let (build, method, picks) = (fields.u16()?, self.method_index(fields.u8()?)?, fields.u32()?);
                let (failed, mean, age) = (fields.u32()?, fields.u32()?, fields.u32()?);
                Event::ControllerCounts {
                    build: build.into(),
                    method,
                    picks,
                    failed,
                    mean: duration_from_micros(mean),
                    age: duration_from_micros(age),
                }
            }
            13 => {
                let (addr, age, method) = (fields.addr()?, fields.u32()?, self.method_index(fields.u8()?)?);
                Event::Disputed { node: self.node_index(addr), method, age: duration_from_micros(age) }
            }
            other => return malformed(format!("unknown record code {other}")),
        }))
    }

    /// Hands the queued events to the marshal, writes its actions to the reply and forgets RPCs that are
    /// complete.
    fn handle_events(&mut self, id: u32, now: Duration, reply: &mut Writer) -> Result<()> {
        let actions = self.marshal.handle(now, mem::take(&mut self.events));
        if !actions.is_empty() {
            reply.record(14, &[&id.to_le_bytes()]);
        }
        for action in actions {
            self.write_action(&action, reply);
        }
        for rpc in mem::take(&mut self.ended_rpcs) {
            if self.open_rpcs.get(&rpc).is_some_and(|open| open.outstanding == 0) {
                if let Some(open) = self.open_rpcs.remove(&rpc) {
                    self.rpc_by_wire_id.remove(&open.wire_id);
                }
            }
        }
        Ok(())
    }

    /// An open RPC's id as on the wire.
    fn wire_id(&self, rpc: RpcIx) -> Option<[u8; 4]> {
        self.open_rpcs.get(&rpc).map(|open| open.wire_id.to_le_bytes())
    }

    /// Appends an action to the reply; actions on forgotten RPCs are skipped.
    fn write_action(&mut self, action: &Action, reply: &mut Writer) {
        match action {
            Action::Pick { rpc, node, within } => {
                let Some(wire_id) = self.wire_id(*rpc) else { return };
                reply.record(1, &[&wire_id, &self.addrs[*node], &wire_micros(*within)]);
                if let Some(open) = self.open_rpcs.get_mut(rpc) {
                    open.outstanding += 1;
                }
            }
            Action::PushBack { rpc, retry_after } => {
                let Some(wire_id) = self.wire_id(*rpc) else { return };
                reply.record(2, &[&wire_id, &wire_micros(retry_after.unwrap_or_default())]);
                self.mark_ended(*rpc);
            }
            Action::Abort { rpc } => {
                let Some(wire_id) = self.wire_id(*rpc) else { return };
                reply.record(3, &[&wire_id]);
                self.mark_ended(*rpc);
            }
            Action::Cancel { rpc, pick } => {
                let Some(wire_id) = self.wire_id(*rpc) else { return };
                reply.record(4, &[&wire_id, &[*pick as u8]]);
            }
            Action::Wake { after, tag } => {
                reply.record(5, &[&wire_micros(*after), &tag.to_le_bytes()]);
            }
            Action::Probe { node } => reply.record(6, &[&self.addrs[*node]]),
            Action::CloseIdle { node } => reply.record(7, &[&self.addrs[*node]]),
            Action::Tell { to, text } => {
                let to = to.map_or(u16::MAX, |n| n as u16);
                reply.record(8, &[&to.to_le_bytes(), &(text.len() as u16).to_le_bytes(), text]);
            }
            Action::Log(line) => {
                reply.record(9, &[&(line.len() as u16).to_le_bytes(), line.as_bytes()]);
            }
            Action::Subscribe(on) => reply.record(11, &[&[u8::from(*on)]]),
            Action::FetchList => reply.record(12, &[]),
            Action::Vote { verdict, stage, build } => {
                let reason = match verdict {
                    Verdict::None => 0u8,
                    Verdict::On => 1,
                    Verdict::Hold => 2,
                    Verdict::Back => 3,
                };
                reply.record(13, &[&[reason, *stage as u8], &(*build as u16).to_le_bytes()]);
            }
        }
    }
}

/// Reads a Catalog record: the list's number and its entries.
fn read_catalog(fields: &mut Reader) -> Result<(u32, Vec<ListEntry>)> {
    let (number, length) = (fields.u32()?, fields.u32()?);
    let read_entry = |fields: &mut Reader| -> Result<ListEntry> {
        Ok(ListEntry {
            kind: fields.u8()?,
            power: fields.f32()?,
            cell: fields.u16()?,
            zone: fields.u16()?,
            readiness: fields.u8()?,
            started: fields.u64()?,
            addr: fields.addr()?,
            build: fields.f32()?,
        })
    };
    Ok((number, (0..length).map(|_| read_entry(fields)).collect::<Result<_>>()?))
}

fn read_outcome(code: u16) -> Result<Outcome> {
    Ok(match code {
        10 => Outcome::Ok,
        20 => Outcome::Error,
        30 => Outcome::Full,
        40 => Outcome::Timeout,
        50 => Outcome::NoConnection,
        60 => Outcome::Reset,
        70 => Outcome::Cancelled,
        80 => Outcome::NotAttempted,
        other => return malformed(format!("unknown outcome code {other}")),
    })
}

/// The record's name in the wire protocol, for error messages.
fn record_name(code: u8) -> &'static str {
    match code {
        1 => "Boot",
        2 => "Membership",
        3 => "Query",
        4 => "Flowing",
        5 => "Completed",
        6 => "Vanished",
        7 => "Timer",
        8 => "Pong",
        9 => "PeerData",
        10 => "Halt",
        11 => "ReleaseState",
        12 => "PeriodSums",
        13 => "Disputed",
        14 => "Catalog",
        15 => "On",
        _ => "unknown record",
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn bytes(hex: &str) -> Vec<u8> {
        let digits: Vec<u8> = hex.bytes().filter(u8::is_ascii_hexdigit).collect();
        let byte = |pair: &[u8]| u8::from_str_radix(std::str::from_utf8(pair).unwrap(), 16).unwrap();
        digits.chunks(2).map(byte).collect()
    }

    #[test]
    fn an_empty_batch_gets_an_empty_reply() {
        let reply = Host::default().handle_frame(&bytes("00000000 10000000 5a5c800000000000")).unwrap();
        assert_eq!(reply, bytes("00000000 08000000"));
    }

    #[test]
    fn lists_are_decoded_as_documented() {
        let fields = bytes(
            "00000000 02000000 00 0000803f 0000 0000 03 0000000000000000 0a124a07 8b13 00002442
             00 0000c03f 0000 0100 03 20145d0000000000 0a9011f2 b413 00002842",
        );
        let (number, entries) = read_catalog(&mut Reader::new(&fields, "Catalog")).unwrap();
        assert_eq!((number, entries.len()), (0, 2));
        assert_eq!((entries[0].power, entries[0].build, entries[0].started), (1.0, 41.0, 0));
        assert_eq!((entries[1].power, entries[1].build, entries[1].zone), (1.5, 42.0, 1));
        assert_eq!((entries[1].started, entries[1].addr), (6_100_000, [0x0a, 0x90, 0x11, 0xf2, 0xb4, 0x13]));
    }

    #[test]
    fn actions_are_encoded_as_documented() {
        let mut writer = Writer::default();
        writer.record(13, &[&[1, 2], &42u16.to_le_bytes()]);
        assert_eq!(writer.finish()[8..], bytes("0d 04000000 01 02 2a00"));
        let mut writer = Writer::default();
        writer.record(5, &[&wire_micros(Duration::from_millis(500)), &77u64.to_le_bytes()]);
        assert_eq!(writer.finish()[8..], bytes("05 0c000000 20a10700 4d00000000000000"));
    }

    #[test]
    fn malformed_input_is_described() {
        let error_for = |hex: &str| Host::default().handle_frame(&bytes(hex)).unwrap_err().0;
        let before_on = error_for("01000000 1d000000 0000000000000000 07 08000000 4d00000000000000");
        assert!(before_on.contains("precedes any On"), "{before_on}");
        let not_started =
            error_for("02000000 26000000 0000000000000000 0f 04000000 03000000 07 08000000 4d00000000000000");
        assert!(not_started.contains("instance 3, which has not started"), "{not_started}");
        let truncated = error_for("01000000 17000000 0000000000000000 0f 02000000 0300");
        assert!(truncated.contains("On ends at byte 2"), "{truncated}");
        let error = facts::parse_lines(1, b"siblings=x\nrequest_classes.count=0\n").err().unwrap().0;
        assert!(error.contains("request_classes"), "{error}");
    }
}
