//! What grows with the size of a fleet, measured on the shipped cores and modules in virtual time. A subject is
//! one module with `pub fn run(plan: &Plan) -> Result<Vec<Table>, Error>` and a line in [`SUBJECTS`].
//!
//! Processor time is that of the process by its own clock; memory is what the kernel says of a process of its own
//! for each size. Counts come from one seeded run and are the same every time.

pub mod bursts;
pub mod cold;
pub mod core;
pub mod crowd;
pub mod evidence;
pub mod hollow;
pub mod meeting;
pub mod members;
pub mod methods;
pub mod nodes;
pub mod part;
pub mod real;
pub mod services;
pub mod table;
pub mod tenants;
pub mod tree;

use std::path::PathBuf;

use clap::builder::PossibleValuesParser;
use clap::Args;

pub use table::Table;

pub type Error = Box<dyn std::error::Error + Send + Sync>;

/// The size that is looked at: marshals, nodes, services, methods, tenants, and RPCs a second of all.
pub const MARSHALS: usize = 3_700;
pub const NODES: usize = 44_000;
pub const SERVICES: usize = 2_700;
pub const METHODS: usize = 14_000;
pub const TENANTS: usize = 150_000;
pub const RATE: f64 = 350_000.0;
pub const ZONES: usize = 12;

/// One subject's name, what it measures, and how.
pub struct Subject {
    pub name: &'static str,
    pub about: &'static str,
    pub run: fn(&Plan) -> Result<Vec<Table>, Error>,
}

pub const SUBJECTS: &[Subject] = &[
    Subject {
        name: "nodes",
        about: "one core with its module at 95 RPCs a second, by nodes known",
        run: nodes::run,
    },
    Subject { name: "methods", about: "the same by methods in its terms", run: methods::run },
    Subject { name: "tenants", about: "reading terms and finding a tenant, by tenants", run: tenants::run },
    Subject { name: "services", about: "one core a service, many in one process", run: services::run },
    Subject {
        name: "evidence",
        about: "how long a verdict takes, alone, by zone, by all",
        run: evidence::run,
    },
    Subject {
        name: "meeting",
        about: "who meets which service, and the connections of a node",
        run: meeting::run,
    },
    Subject {
        name: "bursts",
        about: "a zone lost, all restarted, a peak minute, regions apart",
        run: bursts::run,
    },
    Subject { name: "cold", about: "cold budgets and caps divided over ever more marshals", run: cold::run },
    Subject {
        name: "members",
        about: "membership: who is there, what it costs, how old it is, by members",
        run: members::run,
    },
    Subject {
        name: "hollow",
        about: "hollow marshals: the shipped core, what control costs each, by marshals",
        run: hollow::run,
    },
    Subject {
        name: "real",
        about: "real marshals as processes on loopback beside hollow ones by the same script",
        run: real::run,
    },
    Subject { name: "tree", about: "larger state by tree: 16 KiB from one marshal to all", run: tree::run },
];

/// How a subject is to be measured.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    /// The subject's own sizes where this is empty.
    pub sizes: Vec<usize>,
    /// Runs of each size where times or memory are measured.
    pub runs: usize,
    /// This process is one run of one size, and prints what it measured as JSON.
    pub part: bool,
}

impl Plan {
    pub fn sizes_or(&self, own: &[usize]) -> Vec<usize> {
        if self.sizes.is_empty() {
            own.to_vec()
        } else {
            self.sizes.clone()
        }
    }

    pub fn runs(&self) -> usize {
        self.runs.max(1)
    }
}

fn names() -> PossibleValuesParser {
    PossibleValuesParser::new(
        SUBJECTS.iter().map(|s| clap::builder::PossibleValue::new(s.name).help(s.about)),
    )
}

/// `ivydrift-measure scale`
#[derive(Args)]
pub struct Scale {
    /// What is measured
    #[arg(value_parser = names())]
    subject: String,
    /// Sizes in place of the subject's own
    #[arg(long, value_delimiter = ',')]
    sizes: Vec<usize>,
    /// Runs of each size where times or memory are measured
    #[arg(long, default_value_t = 3)]
    runs: usize,
    /// Draws how each column grows
    #[arg(long)]
    svg: Option<PathBuf>,
    #[arg(long)]
    json: bool,
    /// One run of one size, as JSON: a part of a measurement
    #[arg(long, hide = true)]
    part: bool,
}

/// Measures one subject and prints its tables.
///
/// # Errors
/// When it could not be measured.
pub fn scale(asked: &Scale) -> Result<(), Error> {
    let subject = SUBJECTS.iter().find(|s| s.name == asked.subject).ok_or("no such subject")?;
    let plan = Plan { sizes: asked.sizes.clone(), runs: asked.runs, part: asked.part };
    let tables = (subject.run)(&plan)?;
    if asked.json {
        println!("{}", serde_json::Value::Array(tables.iter().map(Table::json).collect()));
    } else if !asked.part {
        let sizes: Vec<String> = asked.sizes.iter().map(usize::to_string).collect();
        let sizes = if sizes.is_empty() { String::new() } else { format!(" --sizes {}", sizes.join(",")) };
        println!("ivydrift-measure scale {}{sizes} --runs {}\n", subject.name, asked.runs);
        let text: Vec<String> = tables.iter().map(Table::to_string).collect();
        print!("{}", text.join("\n"));
    }
    if let Some(file) = &asked.svg {
        table::draw(file, &tables)?;
    }
    Ok(())
}
