//! The command line. Runs a controller, or one of the commands for operators and users.

use std::io::Read;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::atomic::AtomicBool;
use std::sync::Arc;

use clap::{Parser, Subcommand};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::flag;

use crate::config::{Config, ConfigError};
use crate::controller::{Controller, STATUS_PATH};
use crate::http::{self, Client, ClientResponse};
use crate::peer::{self, Call};
use crate::report::RecoveryLog;
use crate::time::Micros;
use crate::wire::WRITE_OFF_PATH;

/// Schedules jobs on cloud machines.
#[derive(Parser, Debug)]
#[command(name = "milletlock", version, args_conflicts_with_subcommands = true)]
struct Args {
    /// Run a controller with the platform's settings (JSON)
    #[arg(long, value_name = "FILE")]
    config: Option<PathBuf>,
    /// The operators' own settings (HCL); the default is the file named by MILLETLOCK_OPERATOR, if it is set
    #[arg(long, value_name = "FILE")]
    operator: Option<PathBuf>,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand, Debug)]
enum Command {
    /// Validate the settings and print a summary of them
    Check {
        /// The platform's settings (JSON)
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
        /// The operators' own settings (HCL)
        #[arg(long, value_name = "FILE")]
        operator: Option<PathBuf>,
    },
    /// Show a controller's shards and, from the leader, machines, jobs, reservation and run-time factors
    Status {
        /// A controller's address for the other controllers
        #[arg(long, value_name = "IP:PORT", default_value = "127.0.0.1:8081")]
        internal: SocketAddr,
        /// Show only this team's jobs, quotas, reservation and run-time factors
        #[arg(long)]
        team: Option<String>,
    },
    /// Write an HTML report of the recoveries in a log that was written with LOG_FORMAT=json
    Report {
        /// The log file
        file: PathBuf,
        /// The HTML file to write
        #[arg(long, value_name = "FILE", default_value = "recovery.html")]
        output: PathBuf,
    },
    /// Write off all loans to a cell that is lost for good; the lent tasks run in this cell again
    WriteOff {
        /// The lost cell's name
        cell: String,
        /// The leader's address for the other controllers
        #[arg(long, value_name = "IP:PORT", default_value = "127.0.0.1:8081")]
        internal: SocketAddr,
        /// Confirm that the cell is lost for good; if it is not, the lent tasks may run twice
        #[arg(long)]
        lost_for_good: bool,
    },
    /// Submit, show or cancel a job through a running controller
    Job {
        /// A controller's address for users
        #[arg(long, value_name = "IP:PORT", default_value = "127.0.0.1:8080")]
        server: SocketAddr,
        #[command(subcommand)]
        action: JobCommand,
    },
}

#[derive(Subcommand, Debug)]
enum JobCommand {
    /// Submit a job described in a JSON file
    Submit {
        /// The file, or - for standard input
        file: PathBuf,
    },
    /// Show the status of a job
    Show {
        /// The job's id
        id: String,
    },
    /// Cancel a job
    #[command(alias = "withdraw")]
    Cancel {
        /// The job's id
        id: String,
    },
}

/// Exit code for mistakes in arguments, files or settings.
const EXIT_USAGE: u8 = 2;
/// Exit code for failures of a running controller or command.
const EXIT_FAILURE: u8 = 1;

/// Timeout of a command's call to a controller.
const CALL_TIMEOUT: Micros = Micros::from_millis(5_000);
/// Timeout of a write-off, for which the leader writes to the state store for each job with loans to the
/// cell.
const WRITE_OFF_TIMEOUT: Micros = Micros::from_millis(30_000);

/// Parses the command line and runs a controller or a command.
pub fn main() -> ExitCode {
    let args = Args::parse();
    match (args.command, args.config) {
        (None, Some(config)) => run(&config, args.operator),
        (None, None) => fail(EXIT_USAGE, "running a controller needs --config FILE; see --help"),
        (Some(Command::Check { config, operator }), _) => check(&config, operator),
        (Some(Command::Status { internal, team }), _) => status(internal, team),
        (Some(Command::Report { file, output }), _) => report(&file, &output),
        (Some(Command::WriteOff { cell, internal, lost_for_good }), _) => {
            write_off(internal, &cell, lost_for_good)
        }
        (Some(Command::Job { server, action }), _) => job(server, action),
    }
}

/// Prints why the program failed and returns its exit code.
fn fail(code: u8, reason: impl std::fmt::Display) -> ExitCode {
    eprintln!("milletlock: {reason}");
    ExitCode::from(code)
}

/// Loads the settings. The operators' file is named by an argument or by `MILLETLOCK_OPERATOR`.
fn load_config(config: &Path, operator: Option<PathBuf>) -> Result<Config, ConfigError> {
    let operator = operator.or_else(|| std::env::var_os("MILLETLOCK_OPERATOR").map(PathBuf::from));
    Config::load(config, operator.as_deref())
}

/// Starts logging to standard error, at the level in `LOG_LEVEL` and in the format in `LOG_FORMAT`.
fn start_log() {
    let level = match std::env::var("LOG_LEVEL").as_deref() {
        Ok("debug") => tracing::Level::DEBUG,
        Ok("info") => tracing::Level::INFO,
        _ => tracing::Level::WARN,
    };
    // Lines carry no timestamps: the log collector adds them.
    let log = tracing_subscriber::fmt()
        .with_max_level(level)
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .with_target(false)
        .without_time();
    let _ = match std::env::var("LOG_FORMAT").as_deref() {
        Ok("json") => log.json().flatten_event(true).try_init(),
        _ => log.try_init(),
    };
}

/// Runs a controller until it is asked to end.
fn run(config: &Path, operator: Option<PathBuf>) -> ExitCode {
    let config = match load_config(config, operator) {
        Ok(config) => config,
        Err(error) => return fail(EXIT_USAGE, error),
    };
    start_log();
    if let Some(warning) = config.fleet_size_warning() {
        tracing::warn!("{warning}");
    }
    let stop = Arc::new(AtomicBool::new(false));
    if let Err(error) = stop_on_signals(&stop) {
        return fail(EXIT_FAILURE, error);
    }
    match Controller::run(config, stop) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(EXIT_FAILURE, error),
    }
}

/// Registers the signal handlers: the first SIGTERM or SIGINT sets `stop`, the second ends the process at
/// once.
fn stop_on_signals(stop: &Arc<AtomicBool>) -> std::io::Result<()> {
    for signal in [SIGTERM, SIGINT] {
        // The order matters. Actions run in the order of registration, so that at the first signal the
        // conditional shutdown finds the flag not yet set.
        flag::register_conditional_shutdown(signal, i32::from(EXIT_FAILURE), stop.clone())?;
        flag::register(signal, stop.clone())?;
    }
    Ok(())
}

/// Validates the settings and prints a summary.
fn check(config: &Path, operator: Option<PathBuf>) -> ExitCode {
    match load_config(config, operator) {
        Ok(config) => {
            print_summary(&config);
            ExitCode::SUCCESS
        }
        Err(error) => fail(EXIT_USAGE, error),
    }
}

/// Prints the main figures that follow from the settings.
fn print_summary(config: &Config) {
    let settings = &config.platform.settings;
    println!(
        "ok: {} of {} controllers, {} teams, {} zones; renews workers' leases for {:.1} s without \
         the state store; up to {} connections, {} of them for workers, and {} threads",
        config.platform.label,
        config.controller_count(),
        settings.teams.len(),
        settings.zones.len(),
        config.max_staleness().secs(),
        config.server_limits().connections,
        config.server_limits().background_connections,
        config.operator.max_threads
    );
    if let Some(cells) = &config.operator.cells {
        println!(
            "cell {}: {} other cells, lends classes {:?}, borrows classes {:?} on up to {} processors",
            cells.name,
            cells.others.len(),
            cells.lend,
            cells.borrow,
            cells.borrow_cpus
        );
    }
    if let Some(warning) = config.fleet_size_warning() {
        println!("warning: {warning}");
    }
}

/// Prints a controller's status as JSON.
fn status(internal: SocketAddr, team: Option<String>) -> ExitCode {
    let path = team.map_or(STATUS_PATH.to_string(), |team| format!("{STATUS_PATH}/{team}"));
    let call = Call { method: "GET".into(), path, body: Vec::new() };
    match peer::call_once(internal, call, CALL_TIMEOUT) {
        Ok(response) => {
            let status: serde_json::Value = serde_json::from_slice(&response.body).unwrap_or_default();
            println!("{status:#}");
            ExitCode::SUCCESS
        }
        Err(error) => fail(EXIT_FAILURE, format!("{internal}: {error}")),
    }
}

/// Writes an HTML report of the recoveries in a log.
fn report(file: &Path, output: &Path) -> ExitCode {
    let log = match std::fs::read(file) {
        Ok(log) => log,
        Err(error) => return fail(EXIT_USAGE, format!("{}: {error}", file.display())),
    };
    let page = RecoveryLog::read(&log).and_then(|log| Ok((log.page()?, log)));
    let (page, log) = match page {
        Ok(page) => page,
        Err(error) => return fail(EXIT_FAILURE, format!("{}: {error}", file.display())),
    };
    if let Err(error) = std::fs::write(output, page) {
        return fail(EXIT_USAGE, format!("{}: {error}", output.display()));
    }
    println!("{}: {} recoveries{}", output.display(), log.recoveries.len(), log.omissions());
    ExitCode::SUCCESS
}

/// Asks the leader to write off all loans to a lost cell.
fn write_off(internal: SocketAddr, cell: &str, lost_for_good: bool) -> ExitCode {
    if !lost_for_good {
        let reason = "lent tasks that the cell still runs would run twice, and their results count twice; \
                      confirm with --lost-for-good that none of its machines runs any more";
        return fail(EXIT_USAGE, reason);
    }
    let call = Call { method: "POST".into(), path: format!("{WRITE_OFF_PATH}{cell}"), body: Vec::new() };
    match peer::call_once(internal, call, WRITE_OFF_TIMEOUT) {
        Ok(response) => {
            println!("{}", String::from_utf8_lossy(&response.body));
            if response.status == u32::from(http::status::OK) {
                ExitCode::SUCCESS
            } else {
                fail(EXIT_FAILURE, format!("the controller answered with status {}", response.status))
            }
        }
        Err(error) => fail(EXIT_FAILURE, format!("{internal}: {error}")),
    }
}

/// Submits, shows or cancels a job and prints the response.
fn job(server: SocketAddr, action: JobCommand) -> ExitCode {
    let client = Client::new(server, 1);
    let call = |method: &str, path: &str, body: Option<&[u8]>| client.call(method, path, body, CALL_TIMEOUT);
    let result = match action {
        JobCommand::Submit { file } => match read_submission(&file) {
            Ok(body) => call("POST", "/api/jobs", Some(&body)),
            Err(error) => return fail(EXIT_USAGE, format!("{}: {error}", file.display())),
        },
        JobCommand::Show { id } => call("GET", &format!("/api/jobs/{id}"), None),
        JobCommand::Cancel { id } => call("POST", &format!("/api/jobs/{id}/withdraw"), Some(b"{}")),
    };
    match result {
        Ok(ClientResponse { status, body }) => {
            println!("{}", String::from_utf8_lossy(&body));
            if status < 300 {
                ExitCode::SUCCESS
            } else {
                fail(EXIT_FAILURE, format!("the controller answered with status {status}"))
            }
        }
        Err(error) => fail(EXIT_FAILURE, format!("{server}: {error}")),
    }
}

/// Reads a job's description from a file, or from standard input for `-`.
fn read_submission(file: &Path) -> std::io::Result<Vec<u8>> {
    if file.as_os_str() != "-" {
        return std::fs::read(file);
    }
    let mut body = Vec::new();
    std::io::stdin().read_to_end(&mut body)?;
    Ok(body)
}
