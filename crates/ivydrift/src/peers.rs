//! `ivydrift peers`: what one marshal knows of the others, asked by datagrams.

use std::io::{self, ErrorKind};
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr, UdpSocket};
use std::process::ExitCode;
use std::time::{Duration, Instant};

use clap::Args;
use ivydrift_wire::peer::{self, Kind, Row, View};
use serde_json::{json, Value};

/// A page unanswered for so long is asked for again.
const PATIENCE: Duration = Duration::from_millis(400);
/// So often.
const TRIES: usize = 4;

#[derive(Args)]
pub struct PeersCommand {
    /// The marshal's own address among `peers` of its terms
    address: SocketAddr,
    /// As JSON, for programs
    #[arg(long)]
    json: bool,
}

impl PeersCommand {
    pub fn run(self) -> ExitCode {
        match ask(self.address) {
            Ok((view, rows)) => {
                let text = if self.json { json(&view, &rows).to_string() } else { table(&view, &rows) };
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

/// The first page's head, and the rows of all pages.
fn ask(address: SocketAddr) -> io::Result<(View, Vec<Row>)> {
    let any: IpAddr =
        if address.is_ipv4() { Ipv4Addr::UNSPECIFIED.into() } else { Ipv6Addr::UNSPECIFIED.into() };
    let socket = UdpSocket::bind((any, 0))?;
    socket.connect(address)?;
    let head = page(&socket, 0)?;
    let mut rows = head.rows.clone();
    // Each page brings a row or ends it, so this ends.
    while rows.len() < usize::from(head.of) {
        let more = page(&socket, rows.len() as u16)?.rows;
        if more.is_empty() {
            break;
        }
        rows.extend(more);
    }
    Ok((head, rows))
}

fn page(socket: &UdpSocket, first: u16) -> io::Result<View> {
    let silent = "no answer: is this a marshal's own address among peers, and does its terms name peers?";
    let mut last = io::Error::new(ErrorKind::TimedOut, silent);
    for _ in 0..TRIES {
        let by = Instant::now() + PATIENCE;
        if let Err(e) = socket.send(&peer::question(first)) {
            last = io::Error::new(e.kind(), format!("nobody listens there ({e})"));
            std::thread::sleep(PATIENCE / 4);
            continue;
        }
        while let Some(left) = by.checked_duration_since(Instant::now()).filter(|left| !left.is_zero()) {
            socket.set_read_timeout(Some(left))?;
            let mut datagram = [0; peer::DATAGRAM_BYTES + 1];
            let n = match socket.recv(&mut datagram) {
                Ok(n) => n,
                Err(e) if e.kind() == ErrorKind::ConnectionRefused => {
                    last = io::Error::new(e.kind(), format!("nobody listens there ({e})"));
                    std::thread::sleep(PATIENCE / 4);
                    break;
                }
                Err(_) => break,
            };
            let read = peer::read(&datagram[..n]).filter(|r| r.0 == Kind::View);
            let view = read.and_then(|r| peer::unpack::<View>(r.2)).filter(|v| v.first == first);
            if let Some(view) = view {
                return Ok(view);
            }
        }
    }
    Err(last)
}

fn seconds(ms: u64) -> String {
    format!("{:.1}", ms as f64 / 1000.0)
}

fn table(view: &View, rows: &[Row]) -> String {
    let mut out = format!(
        "marshal {} of {}; doubts its own links: {} of 8; sends {:.0} bytes/s to others\n\n\
         {:>7}  {:<8} {:>8} {:>9} {:>6} {:>7} {:>9} {:>6} {:>8}  {}\n",
        view.number,
        view.of,
        view.doubt,
        view.sent,
        "marshal",
        "state",
        "since s",
        "heard s",
        "zone",
        "region",
        "RPCs/s",
        "nodes",
        "told s",
        "life",
    );
    for row in rows {
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
            "{:>7}  {:<8} {since:>8} {heard:>9} {zone:>6} {region:>7} {rate:>9} {nodes:>6} {told:>8}  {}\n",
            row.number, row.state, row.life
        );
    }
    out
}

fn json(view: &View, rows: &[Row]) -> Value {
    let row = |r: &Row| {
        json!({
            "marshal": r.number, "state": r.state, "life": r.life, "since_ms": r.since, "heard_ms": r.heard,
            "about": r.about.as_ref().map(|(a, age)| json!({
                "zone": a.zone, "region": a.region, "rate": a.rate, "ready": a.ready, "age_ms": age,
            })),
        })
    };
    let members: Vec<Value> = rows.iter().map(row).collect();
    json!({
        "marshal": view.number, "of": view.of, "doubt": view.doubt, "sent_bytes_a_second": view.sent,
        "members": members,
    })
}
