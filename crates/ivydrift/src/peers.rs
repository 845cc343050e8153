//! The subcommand `ivydrift peers`: queries one marshal's view of the others over UDP.

use std::io::{self, ErrorKind};
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr, UdpSocket};
use std::process::ExitCode;
use std::time::{Duration, Instant};

use clap::Args;
use ivydrift_wire::peer::{self, Kind, Row, View, ViewExtension};
use serde_json::{json, Value};

/// Time after which an unanswered request for a page is repeated.
const PAGE_TIMEOUT: Duration = Duration::from_millis(400);
/// Number of requests for a page before giving up.
const MAX_REQUESTS: usize = 4;

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
        match fetch_view(self.address) {
            Ok((view, rows, extension)) => {
                let text = match self.json {
                    true => to_json(&view, &rows, extension.as_ref()).to_string(),
                    false => format_table(&view, &rows, extension.as_ref()),
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
fn fetch_view(address: SocketAddr) -> io::Result<(View, Vec<Row>, Option<ViewExtension>)> {
    let local_addr: IpAddr =
        if address.is_ipv4() { Ipv4Addr::UNSPECIFIED.into() } else { Ipv6Addr::UNSPECIFIED.into() };
    let socket = UdpSocket::bind((local_addr, 0))?;
    socket.connect(address)?;
    let (head, mut extension) = fetch_page(&socket, 0)?;
    let mut rows = head.rows.clone();
    // Terminates, since the loop ends with the first page that adds no row.
    while rows.len() < usize::from(head.of) {
        let (next, page_extension) = fetch_page(&socket, rows.len() as u16)?;
        if next.rows.is_empty() {
            break;
        }
        rows.extend(next.rows);
        extension = extension.zip(page_extension).map(|(mut all, next)| {
            all.rows.extend(next.rows);
            all
        });
    }
    Ok((head, rows, extension))
}

/// Requests the page that starts with row `first`.
fn fetch_page(socket: &UdpSocket, first: u16) -> io::Result<(View, Option<ViewExtension>)> {
    let no_answer =
        "no answer: check that this is the marshal's own address in peers, and that its config lists peers";
    let mut error = io::Error::new(ErrorKind::TimedOut, no_answer);
    for _ in 0..MAX_REQUESTS {
        let deadline = Instant::now() + PAGE_TIMEOUT;
        if let Err(e) = socket.send(&peer::view_query(first)) {
            error = io::Error::new(e.kind(), format!("no process listens on this address ({e})"));
            std::thread::sleep(PAGE_TIMEOUT / 4);
            continue;
        }
        while let Some(time_left) =
            deadline.checked_duration_since(Instant::now()).filter(|time_left| !time_left.is_zero())
        {
            socket.set_read_timeout(Some(time_left))?;
            let mut datagram = [0; peer::MAX_DATAGRAM_BYTES + 1];
            let n = match socket.recv(&mut datagram) {
                Ok(n) => n,
                Err(e) if e.kind() == ErrorKind::ConnectionRefused => {
                    error = io::Error::new(e.kind(), format!("no process listens on this address ({e})"));
                    std::thread::sleep(PAGE_TIMEOUT / 4);
                    break;
                }
                Err(_) => break,
            };
            let message = peer::read(&datagram[..n]).filter(|r| r.0 == Kind::View);
            let view =
                message.and_then(|r| peer::deserialize_prefix::<View>(r.2)).filter(|v| v.0.first == first);
            if let Some((view, rest)) = view {
                return Ok((view, peer::deserialize(rest)));
            }
        }
    }
    Err(error)
}

fn seconds(ms: u64) -> String {
    format!("{:.1}", ms as f64 / 1000.0)
}

/// Formats the view as a table.
fn format_table(view: &View, rows: &[Row], extension: Option<&ViewExtension>) -> String {
    let level_note = extension.map_or(String::new(), |m| {
        let incompatible =
            if m.apart { "; a marshal without a common protocol level is present" } else { "" };
        format!("; protocol level {}{incompatible}", m.level)
    });
    let mut out = format!(
        "marshal {} of {}; suspicion of its own links: {} of 8; sends {:.0} bytes/s to the others{}\n\n\
         {:>7}  {:<8} {:>8} {:>9} {:>6} {:>7} {:>9} {:>6} {:>8}  {:<14} {}\n",
        view.number,
        view.of,
        view.doubt,
        view.sent,
        level_note,
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
        let missing = || "-".to_owned();
        let [zone, region, rate, nodes, age] = match &row.about {
            None => [missing(), missing(), missing(), missing(), missing()],
            Some((about, age)) => [
                about.zone.to_string(),
                about.region.to_string(),
                format!("{:.1}", about.rate),
                about.ready.to_string(),
                seconds(*age),
            ],
        };
        let (since, heard) = (seconds(row.since), row.heard.map_or_else(missing, seconds));
        out += &format!(
            "{:>7}  {:<8} {since:>8} {heard:>9} {zone:>6} {region:>7} {rate:>9} {nodes:>6} {age:>8}  {:<14} {}\n",
            row.number,
            row.state,
            reported(extension, i).map_or("-", |s| &s.1),
            row.life
        );
    }
    out
}

/// Returns the protocol level and the program that the marshal of this row reports.
fn reported(extension: Option<&ViewExtension>, row: usize) -> Option<&(u8, String)> {
    extension?.rows.get(row)?.as_ref()
}

fn to_json(view: &View, rows: &[Row], extension: Option<&ViewExtension>) -> Value {
    let row = |(i, r): (usize, &Row)| {
        json!({
            "speaks": reported(extension, i).map_or(0, |s| s.0), "program": reported(extension, i).map(|s| &s.1),
            "marshal": r.number, "state": r.state, "life": r.life, "since_ms": r.since, "heard_ms": r.heard,
            "about": r.about.as_ref().map(|(about, age)| json!({
                "zone": about.zone, "region": about.region, "rate": about.rate, "ready": about.ready, "age_ms": age,
            })),
        })
    };
    let members: Vec<Value> = rows.iter().enumerate().map(row).collect();
    json!({
        "marshal": view.number, "of": view.of, "doubt": view.doubt, "sent_bytes_a_second": view.sent,
        "level": extension.map_or(0, |m| m.level), "apart": extension.is_some_and(|m| m.apart), "members": members,
    })
}
