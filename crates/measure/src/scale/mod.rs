//! Costs that grow with the size of a fleet, measured on the shipped cores and modules in virtual time. A
//! subject is one module with `pub fn run(plan: &Plan) -> Result<Vec<Table>, Error>` and an entry in
//! [`SUBJECTS`].
//!
//! CPU time is read from the process's own clock. Memory is read from the kernel, in a separate process for
//! each size. Counts come from one seeded run and are reproducible.

pub mod bursts;
pub mod cold;
pub mod core_harness;
pub mod evidence;
pub mod hollow;
pub mod meeting;
pub mod members;
pub mod methods;
pub mod nodes;
pub mod policy_fleet;
pub mod real;
pub mod services;
pub mod subprocess;
pub mod table;
pub mod tenants;
pub mod tree;

use std::path::PathBuf;

use clap::builder::PossibleValuesParser;
use clap::Args;

pub use table::Table;

/// Any error of a measurement.
pub type Error = Box<dyn std::error::Error + Send + Sync>;

/// Marshals of the fleet under study. The constants below give its nodes, services, methods, tenants, RPCs
/// per second over all marshals, and zones.
pub const MARSHAL_COUNT: usize = 3_700;
pub const NODES: usize = 44_000;
pub const SERVICE_COUNT: usize = 2_700;
pub const METHODS: usize = 14_000;
pub const TENANT_COUNT: usize = 150_000;
pub const TOTAL_RATE: f64 = 350_000.0;
pub const ZONES: usize = 12;

/// A subject: its name, a description for `--help`, and the function that measures it.
pub struct Subject {
    pub name: &'static str,
    pub about: &'static str,
    pub run: fn(&Plan) -> Result<Vec<Table>, Error>,
}

pub const SUBJECTS: &[Subject] = &[
    Subject {
        name: "nodes",
        about: "one core with its module at 95 RPCs per second, by number of known nodes",
        run: nodes::run,
    },
    Subject { name: "methods", about: "the same, by number of methods in its config", run: methods::run },
    Subject {
        name: "tenants",
        about: "parsing the config and looking up a tenant, by number of tenants",
        run: tenants::run,
    },
    Subject { name: "services", about: "one core per service, many in one process", run: services::run },
    Subject {
        name: "evidence",
        about: "time to a verdict, with counts of one marshal, a zone, all",
        run: evidence::run,
    },
    Subject {
        name: "meeting",
        about: "which marshals serve which service, and the connections of a node",
        run: meeting::run,
    },
    Subject {
        name: "bursts",
        about: "a zone lost, all marshals restarted, a peak minute, regions partitioned",
        run: bursts::run,
    },
    Subject {
        name: "cold",
        about: "slow-start budgets and exposure caps divided over more and more marshals",
        run: cold::run,
    },
    Subject {
        name: "members",
        about: "membership: detection times, cost and age of records, by number of members",
        run: members::run,
    },
    Subject {
        name: "hollow",
        about: "hollow (simulated) marshals: the shipped core, control cost of each, by number of marshals",
        run: hollow::run,
    },
    Subject {
        name: "real",
        about: "real marshals as processes on loopback compared with hollow ones by the same script",
        run: real::run,
    },
    Subject {
        name: "tree",
        about: "a large state along a tree: 16 KiB from one marshal to all",
        run: tree::run,
    },
];

/// Parameters of a measurement.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    /// Sizes to measure; the subject's own if empty.
    pub sizes: Vec<usize>,
    /// Runs of each size if CPU time or memory is measured.
    pub runs: usize,
    /// This process performs one run of one size and prints the result as JSON.
    pub child: bool,
}

impl Plan {
    /// The requested sizes, or the subject's own if none were requested.
    pub fn sizes_or(&self, own: &[usize]) -> Vec<usize> {
        if self.sizes.is_empty() {
            own.to_vec()
        } else {
            self.sizes.clone()
        }
    }

    /// Runs of each size, at least one.
    pub fn runs(&self) -> usize {
        self.runs.max(1)
    }
}

fn subject_names() -> PossibleValuesParser {
    PossibleValuesParser::new(
        SUBJECTS.iter().map(|s| clap::builder::PossibleValue::new(s.name).help(s.about)),
    )
}

/// `ivydrift-measure scale`
#[derive(Args)]
pub struct Scale {
    /// Subject to measure
    #[arg(value_parser = subject_names())]
    subject: String,
    /// Sizes to measure instead of the subject's own
    #[arg(long, value_delimiter = ',')]
    sizes: Vec<usize>,
    /// Runs of each size if CPU time or memory is measured
    #[arg(long, default_value_t = 3)]
    runs: usize,
    /// Draw the growth of each column as SVG
    #[arg(long)]
    svg: Option<PathBuf>,
    #[arg(long)]
    json: bool,
    /// One run of one size, as JSON: child process of a measurement
    #[arg(long, hide = true)]
    part: bool,
}

/// Measures one subject and prints its tables.
///
/// # Errors
/// If the measurement failed.
pub fn scale(args: &Scale) -> Result<(), Error> {
    let subject = SUBJECTS.iter().find(|s| s.name == args.subject).ok_or("unknown subject")?;
    let plan = Plan { sizes: args.sizes.clone(), runs: args.runs, child: args.part };
    let tables = (subject.run)(&plan)?;
    if args.json {
        println!("{}", serde_json::Value::Array(tables.iter().map(Table::json).collect()));
    } else if !args.part {
        let sizes: Vec<String> = args.sizes.iter().map(usize::to_string).collect();
        let sizes = if sizes.is_empty() { String::new() } else { format!(" --sizes {}", sizes.join(",")) };
        println!("ivydrift-measure scale {}{sizes} --runs {}\n", subject.name, args.runs);
        let text: Vec<String> = tables.iter().map(Table::to_string).collect();
        print!("{}", text.join("\n"));
    }
    if let Some(file) = &args.svg {
        table::draw(file, &tables)?;
    }
    Ok(())
}
