//! Parsing of the command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use coltsfootpick_core::names::Stage;
use derive_more::{Display, Error};
use getopts::{Matches, Options};

/// Address of the operators' interface when `--address` is absent.
const DEFAULT_ADDRESS: &str = "127.0.0.1:8081";

/// Command given on the command line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Print the usage.
    Help,
    /// Print the version.
    Version,
    /// Check a document locally, without a request to an instance.
    Check(PathBuf),
    /// Print the SHA-256 of the operator's key in `COLTSFOOTPICK_KEY`.
    HashKey,
    /// Publish a document to the trial stage.
    Trial(PathBuf),
    /// Promote an environment's document in trial to production.
    Promote(String),
    /// List the environments.
    Environments,
    /// Show the state of one or several instances.
    Status,
    /// Add tokens to a budget.
    TopUp(BudgetArgs, u64),
    /// List the budgets.
    Budgets,
    /// List the at-most-once calls.
    Attempts,
    /// Close an incarnation that sends no heartbeats.
    Close(IncarnationArgs),
    /// Return the credit in doubt of a closed incarnation to its budget; the last field is the reason.
    Release(BudgetArgs, IncarnationArgs, String),
    /// Stop the instance after its open requests have ended.
    Drain,
    /// List the differences between a document and the one in force.
    Diff(PathBuf, Stage),
    /// List the changes of an environment, including rejected ones.
    History(String),
    /// Read the ledger from the log and list billing faults and operators' actions.
    Audit,
    /// Make the instance write snapshots of all streams now.
    Snapshot,
    /// Print the completion script of a shell.
    Completions(Shell),
    /// Print the manual page.
    Man,
}

/// Shell that the completions support.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shell {
    /// GNU Bash.
    Bash,
    /// Z shell.
    Zsh,
    /// The fish shell.
    Fish,
}

/// Budget named on the command line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BudgetArgs {
    /// Environment name.
    pub environment: String,
    /// Stage of the budget: trial or production.
    pub stage: Stage,
    /// Name of the client account.
    pub account: String,
}

/// Incarnation named on the command line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IncarnationArgs {
    /// Instance name.
    pub instance: String,
    /// Number of the run, in hexadecimal.
    pub run: String,
}

/// Parsed command line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Args {
    /// Command to execute.
    pub command: Command,
    /// Addresses at which instances serve operators; all commands but `status` use only the first.
    pub addresses: Vec<SocketAddr>,
    /// Name of the operator.
    pub operator: String,
    /// Version that must be in force for an order to take effect.
    pub expected: Option<u64>,
    /// Id of the order; an order repeated with the same id takes effect once.
    pub id: Option<String>,
    /// True to print JSON instead of tables.
    pub json: bool,
}

/// Error in the command line.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{message}; try --help")]
pub struct ArgsError {
    message: String,
}

fn args_error(message: impl Into<String>) -> ArgsError {
    ArgsError { message: message.into() }
}

/// Long options that completions offer; the flag is true when the option takes a value.
pub const LONG_OPTIONS: [(&str, bool); 9] = [
    ("address", true),
    ("operator", true),
    ("expected", true),
    ("id", true),
    ("stage", true),
    ("reason", true),
    ("json", false),
    ("help", false),
    ("version", false),
];

/// Commands that completions offer.
pub const COMMANDS: [&str; 18] = [
    "check",
    "diff",
    "hash-key",
    "trial",
    "promote",
    "environments",
    "history",
    "status",
    "top-up",
    "budgets",
    "attempts",
    "close",
    "release",
    "audit",
    "snapshot",
    "drain",
    "completions",
    "man",
];

fn options() -> Options {
    let mut options = Options::new();
    options.optmulti(
        "a",
        "address",
        "operators' address of an instance (default: 127.0.0.1:8081); status takes several",
        "IP:PORT",
    );
    options.optopt("o", "operator", "name of the operator; its key is read from COLTSFOOTPICK_KEY", "NAME");
    options.optopt("e", "expected", "version that must be in force (default: the one in force now)", "N");
    options.optopt("i", "id", "id of the order; an order repeated with its id takes effect once", "ID");
    options.optopt("s", "stage", "budget's stage: production (default) or trial", "STAGE");
    options.optopt("r", "reason", "reason of a release, kept for the audit", "TEXT");
    options.optflag("j", "json", "print JSON");
    options.optflag("h", "help", "print this help");
    options.optflag("V", "version", "print the version");
    options
}

const USAGE: &str = "Usage: coltsfootpick [options] COMMAND

Commands:
    check FILE                              check an environment document
    diff FILE                               list what a document would change
    hash-key                                print the SHA-256 of COLTSFOOTPICK_KEY
    trial FILE                              publish a document into trial
    promote ENVIRONMENT                     promote the document in trial
    environments                            list the environments in force
    history ENVIRONMENT                     list its changes, including rejected ones
    status                                  show the state of the instance
    top-up ENVIRONMENT ACCOUNT TOKENS       add tokens to a budget
    budgets                                 list the budgets
    attempts                                list the calls that must not repeat
    close INSTANCE RUN                      close an incarnation that sends no heartbeats
    release ENVIRONMENT ACCOUNT INSTANCE RUN  release credit in doubt (needs --reason)
    audit                                   audit the ledger and list the findings
    snapshot                                write snapshots of all streams now
    drain                                   stop the instance after its open requests
    completions bash|zsh|fish               print completions for a shell
    man                                     print the manual page";

/// Returns the text of `--help`.
pub fn usage() -> String {
    options().usage(USAGE)
}

/// Parses the arguments that follow the program's name.
pub fn parse_args(args: impl Iterator<Item = String>) -> Result<Args, ArgsError> {
    let matches = options().parse(args).map_err(|error| args_error(error.to_string()))?;
    let mut addresses = matches.opt_strs("address");
    if addresses.is_empty() {
        addresses.push(DEFAULT_ADDRESS.to_owned());
    }
    let addresses = addresses.iter().map(|address| address.parse()).collect::<Result<_, _>>();
    let addresses = addresses.map_err(|_invalid| args_error("--address must be an IP address and port"))?;
    let expected = match matches.opt_str("expected").map(|text| text.parse()) {
        None => None,
        Some(Ok(version)) => Some(version),
        Some(Err(_)) => return Err(args_error("--expected must be a whole number")),
    };
    Ok(Args {
        command: parse_command(&matches)?,
        addresses,
        operator: matches.opt_str("operator").unwrap_or_default(),
        expected,
        id: matches.opt_str("id"),
        json: matches.opt_present("json"),
    })
}

fn parse_command(matches: &Matches) -> Result<Command, ArgsError> {
    if matches.opt_present("help") {
        return Ok(Command::Help);
    }
    if matches.opt_present("version") {
        return Ok(Command::Version);
    }
    let arguments: Vec<&str> = matches.free.iter().map(String::as_str).collect();
    match arguments.as_slice() {
        [] => Err(args_error("a command is required")),
        ["check", file] => Ok(Command::Check(PathBuf::from(file))),
        ["hash-key"] => Ok(Command::HashKey),
        ["trial", file] => Ok(Command::Trial(PathBuf::from(file))),
        ["promote", environment] => Ok(Command::Promote((*environment).to_owned())),
        ["environments"] => Ok(Command::Environments),
        ["status"] => Ok(Command::Status),
        ["top-up", environment, account, tokens] => {
            let tokens = tokens.parse().map_err(|_invalid| args_error("TOKENS must be a whole number"))?;
            Ok(Command::TopUp(budget_args(matches, environment, account)?, tokens))
        }
        ["budgets"] => Ok(Command::Budgets),
        ["attempts"] => Ok(Command::Attempts),
        ["close", instance, run] => Ok(Command::Close(incarnation_args(instance, run))),
        ["release", environment, account, instance, run] => {
            let reason = matches.opt_str("reason").ok_or_else(|| args_error("release needs --reason"))?;
            Ok(Command::Release(budget_args(matches, environment, account)?, incarnation_args(instance, run), reason))
        }
        ["drain"] => Ok(Command::Drain),
        ["diff", file] => Ok(Command::Diff(PathBuf::from(file), parse_stage(matches)?)),
        ["history", environment] => Ok(Command::History((*environment).to_owned())),
        ["audit"] => Ok(Command::Audit),
        ["snapshot"] => Ok(Command::Snapshot),
        ["completions", "bash"] => Ok(Command::Completions(Shell::Bash)),
        ["completions", "zsh"] => Ok(Command::Completions(Shell::Zsh)),
        ["completions", "fish"] => Ok(Command::Completions(Shell::Fish)),
        ["man"] => Ok(Command::Man),
        [other, ..] => Err(args_error(format!("'{other}' is not a command or has the wrong arguments"))),
    }
}

fn parse_stage(matches: &Matches) -> Result<Stage, ArgsError> {
    match matches.opt_str("stage").as_deref() {
        None | Some("production") => Ok(Stage::Production),
        Some("trial") => Ok(Stage::Trial),
        Some(_) => Err(args_error("--stage must be production or trial")),
    }
}

fn budget_args(matches: &Matches, environment: &str, account: &str) -> Result<BudgetArgs, ArgsError> {
    let stage = parse_stage(matches)?;
    Ok(BudgetArgs { environment: environment.to_owned(), stage, account: account.to_owned() })
}

fn incarnation_args(instance: &str, run: &str) -> IncarnationArgs {
    IncarnationArgs { instance: instance.to_owned(), run: run.to_owned() }
}
