//! The subcommand `ivydrift peers`: queries one marshal's view of the others over UDP.

use std::io::{self, ErrorKind};
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr, UdpSocket};
use std::process::ExitCode;
use std::time::{Duration, Instant};

use clap::Args;
use ivydrift_wire::peer::{self, Kind, More, Row, View};
use serde_json::{json, Value};

/// Time after which an unanswered request for a page is repeated.
const PATIENCE: Duration = Duration::from_millis(400);
/// Number of requests for a page before giving up.
const TRIES: usize = 4;

#[derive(Args)]
pub struct PeersCommand {
    /// The marshal's own address in the `peers` list of its config
    address: SocketAddr,
    /// Print JSON instead of a table
    #[arg(long)]
    json: bool,
}

impl PeersCommand {
    pub fn run(self) -> ExitCode {
        match ask(self.address) {
            Ok((view, rows, more)) => {
                let text = match self.json {
                    true => json(&view, &rows, more.as_ref()).to_string(),
                    false => table(&view, &rows, more.as_ref()),
                };
                println!("{}", text.trim_end());
                ExitCode::SUCCESS
            }
            Err(e) => {
                eprintln!("{}: {e}", self.address);
                ExitCode::FAILURE
            }
        }
    }
}

/// Returns the head of the first page, the rows of all pages and, if the marshal sends it, the data on protocol
/// levels and programs that follows the rows.
fn ask(address: SocketAddr) -> io::Result<(View, Vec<Row>, Option<More>)> {
    let any: IpAddr =
        if address.is_ipv4() { Ipv4Addr::UNSPECIFIED.into() } else { Ipv6Addr::UNSPECIFIED.into() };
    let socket = UdpSocket::bind((any, 0))?;
    socket.connect(address)?;
    let (head, mut more) = page(&socket, 0)?;
    let mut rows = head.rows.clone();
    // Terminates, since the loop ends with the first page that adds no row.
    while rows.len() < usize::from(head.of) {
        let (next, behind) = page(&socket, rows.len() as u16)?;
        if next.rows.is_empty() {
            break;
        }
        rows.extend(next.rows);
        more = more.zip(behind).map(|(mut all, next)| {
            all.rows.extend(next.rows);
            all
        });
    }
    Ok((head, rows, more))
}

/// Requests the page that starts with row `first`.
fn page(socket: &UdpSocket, first: u16) -> io::Result<(View, Option<More>)> {
    let silent =
        "no answer: check that this is the marshal's own address in peers, and that its config lists peers";
    let mut last = io::Error::new(ErrorKind::TimedOut, silent);
    for _ in 0..TRIES {
        let by = Instant::now() + PATIENCE;
        if let Err(e) = socket.send(&peer::question(first)) {
            last = io::Error::new(e.kind(), format!("no process listens on this address ({e})"));
            std::thread::sleep(PATIENCE / 4);
            continue;
        }
        while let Some(left) = by.checked_duration_since(Instant::now()).filter(|left| !left.is_zero()) {
            socket.set_read_timeout(Some(left))?;
            let mut datagram = [0; peer::DATAGRAM_BYTES + 1];
            let n = match socket.recv(&mut datagram) {
                Ok(n) => n,
                Err(e) if e.kind() == ErrorKind::ConnectionRefused => {
                    last = io::Error::new(e.kind(), format!("no process listens on this address ({e})"));
                    std::thread::sleep(PATIENCE / 4);
                    break;
                }
                Err(_) => break,
            };
            let read = peer::read(&datagram[..n]).filter(|r| r.0 == Kind::View);
            let view = read.and_then(|r| peer::unpack_first::<View>(r.2)).filter(|v| v.0.first == first);
            if let Some((view, rest)) = view {
                return Ok((view, peer::unpack(rest)));
            }
        }
    }
    Err(last)
}

fn seconds(ms: u64) -> String {
    format!("{:.1}", ms as f64 / 1000.0)
}

/// Formats the view as a table.
fn table(view: &View, rows: &[Row], more: Option<&More>) -> String {
    let spoken = more.map_or(String::new(), |m| {
        let apart = if m.apart { "; a marshal without a common protocol level is present" } else { "" };
        format!("; protocol level {}{apart}", m.level)
    });
    let mut out = format!(
        "marshal {} of {}; suspicion of its own links: {} of 8; sends {:.0} bytes/s to the others{}\n\n\
         {:>7}  {:<8} {:>8} {:>9} {:>6} {:>7} {:>9} {:>6} {:>8}  {:<14} {}\n",
        view.number,
        view.of,
        view.doubt,
        view.sent,
        spoken,
        "marshal",
        "state",
        "since s",
        "heard s",
        "zone",
        "region",
        "RPCs/s",
        "nodes",
        "told s",
        "program",
        "life",
    );
    for (i, row) in rows.iter().enumerate() {
        let none = || "-".to_owned();
        let [zone, region, rate, nodes, told] = match &row.about {
            None => [none(), none(), none(), none(), none()],
            Some((a, age)) => [
                a.zone.to_string(),
                a.region.to_string(),
                format!("{:.1}", a.rate),
                a.ready.to_string(),
                seconds(*age),
            ],
        };
        let (since, heard) = (seconds(row.since), row.heard.map_or_else(none, seconds));
        out += &format!(
            "{:>7}  {:<8} {since:>8} {heard:>9} {zone:>6} {region:>7} {rate:>9} {nodes:>6} {told:>8}  {:<14} {}\n",
            row.number,
            row.state,
            said(more, i).map_or("-", |s| &s.1),
            row.life
        );
    }
    out
}

/// Returns the protocol level and the program that the marshal of this row reports.
fn said(more: Option<&More>, row: usize) -> Option<&(u8, String)> {
    more?.rows.get(row)?.as_ref()
}

fn json(view: &View, rows: &[Row], more: Option<&More>) -> Value {
    let row = |(i, r): (usize, &Row)| {
        json!({
            "speaks": said(more, i).map_or(0, |s| s.0), "program": said(more, i).map(|s| &s.1),
            "marshal": r.number, "state": r.state, "life": r.life, "since_ms": r.since, "heard_ms": r.heard,
            "about": r.about.as_ref().map(|(a, age)| json!({
                "zone": a.zone, "region": a.region, "rate": a.rate, "ready": a.ready, "age_ms": age,
            })),
        })
    };
    let members: Vec<Value> = rows.iter().enumerate().map(row).collect();
    json!({
        "marshal": view.number, "of": view.of, "doubt": view.doubt, "sent_bytes_a_second": view.sent,
        "level": more.map_or(0, |m| m.level), "apart": more.is_some_and(|m| m.apart), "members": members,
    })
}
