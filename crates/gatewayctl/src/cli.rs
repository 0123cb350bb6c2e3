//! The arguments of the command line.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use clap::{Args, Parser, Subcommand, ValueEnum};
use dns_sd::Name as DnsName;
use fleet::{Name, OrderId, Subject};
use operator_config::Address;

use crate::error::EXIT_CODES_HELP;

/// Oversees a fleet of admission gateways.
#[derive(Debug, Parser)]
#[command(name = "gatewayctl", version, after_help = EXIT_CODES_HELP, propagate_version = true)]
pub struct Cli {
    /// Where the agent listens
    #[arg(long, global = true, env = "BEECHRUDDER_AGENT", value_name = "unix:PATH")]
    #[arg(default_value = "unix:/run/beechrudder/agent.sock")]
    pub agent: Address,
    /// For people or for programs
    #[arg(long, short, global = true, value_enum, default_value_t = Output::Table)]
    pub output: Output,
    #[command(subcommand)]
    pub command: Command,
}

/// How results are printed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Output {
    /// Tables
    Table,
    /// JSON, one object a line
    Json,
}

/// A command.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Start stand-ins, gateways and an agent on this machine, until Ctrl-C
    Up(Up),
    /// Say what is wrong with configurations: NAME.toml of operators, NAME.json of a gateway
    Check {
        #[arg(required = true, value_name = "FILE")]
        files: Vec<PathBuf>,
    },
    /// Show all gateways, and what is ordered
    Status(Status),
    /// Send nothing new to a backend, a group, a type, or through a gateway
    Drain(Order),
    /// Take a drain back
    Undrain(Order),
    /// Set a backend's share of new work against others of weight 1
    Weight(Weight),
    /// Show the orders, newest first
    Orders {
        /// How many
        #[arg(long = "most", short = 'n', value_name = "MOST", default_value_t = 20)]
        limit: usize,
    },
    /// Show every change from now on, until Ctrl-C
    Watch,
    /// Show the server list that the agent makes from its sources, and what is wrong with it
    Sources {
        /// Each record as well, with what is left of its life
        #[arg(long)]
        records: bool,
    },
    /// Ask for a service by DNS-SD as the agent would, and explain the list that it comes to
    Resolve(Resolve),
    /// Look at a catalogue of plans: what is wrong with it, who has which plan, what a change does
    Plans {
        #[command(subcommand)]
        command: Plans,
    },
    /// Say which gateways the agent oversees
    Gateways {
        #[command(subcommand)]
        command: Gateways,
    },
    /// Run the agent
    Agent {
        /// The operator's file
        #[arg(long, value_name = "FILE")]
        operator: PathBuf,
        /// End when standard input ends
        #[arg(long, hide = true)]
        until_closed: bool,
    },
    /// Run a gateway by the configuration that GW_CONFIG names; or call one at its second address
    #[command(args_conflicts_with_subcommands = true)]
    Gateway {
        #[command(subcommand)]
        command: Option<GatewayCommand>,
        /// The operator's file; without it there is no admin listener
        #[arg(long, value_name = "FILE")]
        operator: Option<PathBuf>,
        /// End when standard input ends
        #[arg(long, hide = true)]
        until_closed: bool,
    },
    /// Print completions for a shell
    Completions { shell: clap_complete::Shell },
    /// Print the man page
    Man,
}

/// The gateways that a command goes to.
#[derive(Debug, Args)]
pub struct GatewayTargets {
    /// Second address of a gateway, its `management`; may be given several times
    #[arg(long = "at", required = true, value_name = "ADDRESS:PORT")]
    pub addresses: Vec<SocketAddr>,
    /// How long each may take to answer
    #[arg(long, default_value = "2s", value_parser = parse_duration, value_name = "TIME")]
    pub deadline: Duration,
}

/// A command at the management address of gateways.
#[derive(Debug, Subcommand)]
pub enum GatewayCommand {
    /// Ask whether it is ready to serve
    Ready(GatewayTargets),
    /// Send nothing more to a backend, whatever discovery says, until the call back
    Disable {
        /// The backend's name on the list
        id: String,
        #[command(flatten)]
        targets: GatewayTargets,
    },
    /// Use a backend again, as one that has just started
    Enable {
        /// The backend's name on the list
        id: String,
        #[command(flatten)]
        targets: GatewayTargets,
    },
    /// Empty it: no new clients, and connections close as they fall quiet
    Drain(GatewayTargets),
    /// Take clients again
    Undrain(GatewayTargets),
}

/// A command on catalogues of plans.
#[derive(Debug, Subcommand)]
pub enum Plans {
    /// Say what is wrong with catalogues, by line and key
    Check {
        #[arg(required = true, value_name = "FILE")]
        files: Vec<PathBuf>,
    },
    /// Show the plans, or a customer's plans over time
    Show {
        #[arg(value_name = "FILE")]
        file: PathBuf,
        /// This customer, 16 hex digits
        #[arg(long, value_name = "ID", value_parser = parse_customer_id)]
        customer: Option<u64>,
    },
    /// Say what each coming change does to a customer's level, and to a gateway that hears of it late
    Change {
        #[arg(value_name = "FILE")]
        file: PathBuf,
        /// Whose, 16 hex digits
        #[arg(long, value_name = "ID", value_parser = parse_customer_id)]
        customer: u64,
        /// Its level just before the first change, units; else full
        #[arg(long, value_name = "UNITS")]
        level: Option<f64>,
        /// How late a gateway hears, as in 10s or 500ms
        #[arg(long, value_name = "TIME", default_value = "1s", value_parser = parse_duration)]
        late: Duration,
    },
}

/// Parses a customer id as requests carry it: 16 hex digits, below 2^33.
fn parse_customer_id(text: &str) -> Result<u64, String> {
    let is_hex = text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit());
    let number = u64::from_str_radix(text, 16).ok().filter(|n| is_hex && *n < 1 << 33);
    number.ok_or_else(|| "16 hex digits, a number below 2^33, are wanted".to_string())
}

/// The arguments of `up`.
#[derive(Debug, Args)]
pub struct Up {
    /// Gateways, 1 to 1000; each takes some 5 MB
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u16).range(1..=1000))]
    pub gateways: u16,
    /// Backends, 1 to 1000
    #[arg(long, default_value_t = 6, value_parser = clap::value_parser!(u16).range(1..=1000))]
    pub backends: u16,
    /// End after this, as in 10s or 500ms; else at Ctrl-C
    #[arg(long = "for", value_name = "TIME", value_parser = parse_duration)]
    pub duration: Option<Duration>,
    /// Requests a second over all gateways, 0 to 20000
    #[arg(long = "load", value_name = "RATE", default_value_t = 100.0, value_parser = parse_request_rate)]
    pub requests_per_s: f64,
    /// Port of the first gateway, the next has the next; else the system's choice
    #[arg(long)]
    pub port: Option<u16>,
    /// Seed of the load
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
}

/// The arguments of `resolve`.
#[derive(Debug, Args)]
pub struct Resolve {
    /// The service, as in _till._tcp.ub-room.example.org
    #[arg(required = true, value_parser = parse_service_name)]
    pub services: Vec<DnsName>,
    /// A resolver, ADDRESS:PORT; more than one may be named, and each is asked where those before it fail
    #[arg(long = "server", required = true, value_name = "ADDRESS:PORT")]
    pub servers: Vec<std::net::SocketAddr>,
    /// How long each resolver may take for a question
    #[arg(long = "each", value_name = "TIME", default_value = "1s", value_parser = parse_duration)]
    pub query_timeout: Duration,
    /// How long to go on
    #[arg(long, value_name = "TIME", default_value = "15s", value_parser = parse_duration)]
    pub deadline: Duration,
    /// Each record as well, with what is left of its life
    #[arg(long)]
    pub records: bool,
}

/// The arguments of `status`.
#[derive(Debug, Args)]
pub struct Status {
    /// Each backend as well, by gateway
    #[arg(long)]
    pub backends: bool,
}

/// The arguments of `drain` and `undrain`.
#[derive(Debug, Args)]
pub struct Order {
    /// NAME or backend/NAME, group/NUMBER, type/NAME, gateway/NAME
    pub subject: Subject,
    #[command(flatten)]
    pub options: OrderOptions,
}

/// The arguments of `weight`.
#[derive(Debug, Args)]
pub struct Weight {
    /// NAME or backend/NAME
    pub subject: Subject,
    /// 0.01 to 100; 1 is as others
    pub weight: f64,
    #[command(flatten)]
    pub options: OrderOptions,
}

/// Options of all orders.
#[derive(Debug, Args)]
pub struct OrderOptions {
    /// Name of the order: the same again gives the first result and does nothing. Else a new one
    #[arg(long)]
    pub id: Option<OrderId>,
    /// Also where too few would be left, or nobody knows the subject
    #[arg(long)]
    pub force: bool,
    /// How long to wait for the gateways
    #[arg(long, value_name = "TIME", default_value = "5s", value_parser = parse_duration)]
    pub deadline: Duration,
    /// Then wait until nothing is in flight at the subject on any gateway that can be reached
    #[arg(long)]
    pub wait: bool,
    /// How long to wait for that
    #[arg(long = "wait-most", value_name = "TIME", default_value = "60s", value_parser = parse_duration)]
    pub wait_timeout: Duration,
}

/// A command on the gateways that the agent controls.
#[derive(Debug, Subcommand)]
pub enum Gateways {
    /// Oversee a gateway from now on
    Add {
        /// Its name, as in its configuration
        name: Name,
        /// Its admin listener: unix:PATH or tcp:ADDRESS:PORT
        address: Address,
    },
    /// Oversee a gateway no more
    Remove {
        /// Its name
        name: Name,
    },
}

/// Parses a duration of at most a day, such as `10s`, `500ms`, `2m` or `1h`; without a unit, seconds.
fn parse_duration(text: &str) -> Result<Duration, String> {
    let (number, unit) = match text.find(|c: char| c.is_ascii_alphabetic()) {
        Some(at) => text.split_at(at),
        None => (text, "s"),
    };
    let unit_s = match unit {
        "ms" => 0.001,
        "s" => 1.0,
        "m" => 60.0,
        "h" => 3_600.0,
        _ => return Err("a time is wanted, as in 500ms, 10s or 2m".to_string()),
    };
    match number.parse::<f64>() {
        Ok(n) if n >= 0.0 && n * unit_s <= 86_400.0 => Ok(Duration::from_secs_f64(n * unit_s)),
        _ => Err("a time is wanted, as in 500ms, 10s or 2m, of a day at most".to_string()),
    }
}

/// Parses a DNS-SD service name: at least three labels, the first of which begins with an underscore.
fn parse_service_name(text: &str) -> Result<DnsName, String> {
    let name = DnsName::from_ascii(text).map_err(|e| e.to_string())?;
    if name.num_labels() < 3 || !text.starts_with('_') {
        return Err("a service is wanted, as in _till._tcp.ub-room.example.org".to_string());
    }
    Ok(name)
}

/// Parses a rate from 0 to 20,000 requests per second.
fn parse_request_rate(text: &str) -> Result<f64, String> {
    let rate = text.parse::<f64>().ok().filter(|r| (0.0..=20_000.0).contains(r));
    rate.ok_or_else(|| "0 to 20000 requests a second are wanted".to_string())
}

#[cfg(test)]
mod tests;
