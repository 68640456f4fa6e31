//! The command line.

use std::io::Read;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::atomic::AtomicBool;
use std::sync::Arc;

use clap::{Parser, Subcommand};

use crate::config::Config;
use crate::controller::{Controller, STATUS};
use crate::http::{CallError, Client, ClientResponse};
use crate::peer::{self, Call};
use crate::report::RecoveryLog;
use crate::time::Micros;
use crate::wire::WRITE_OFF_PATH;

/// Schedules jobs on rented machines.
#[derive(Parser, Debug)]
#[command(name = "milletlock", version, args_conflicts_with_subcommands = true)]
struct Args {
    /// Run a controller with the platform's settings (JSON)
    #[arg(long, value_name = "FILE")]
    config: Option<PathBuf>,
    /// The operators' own settings (HCL); MILLETLOCK_OPERATOR names them too
    #[arg(long, value_name = "FILE")]
    operator: Option<PathBuf>,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand, Debug)]
enum Command {
    /// Check settings and say what they amount to
    Check {
        /// The platform's settings (JSON)
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
        /// The operators' own settings (HCL)
        #[arg(long, value_name = "FILE")]
        operator: Option<PathBuf>,
    },
    /// Show parts, machines, queue, reservation and A, for people on call
    Status {
        /// A controller's address for the other controllers
        #[arg(long, value_name = "IP:PORT", default_value = "127.0.0.1:8081")]
        internal: SocketAddr,
        /// Only what belongs to this team
        #[arg(long)]
        team: Option<String>,
    },
    /// Make an HTML page of the recoveries in a log that was written with LOG_FORMAT=json
    Report {
        /// The log
        file: PathBuf,
        /// Where to write the page
        #[arg(long, value_name = "FILE", default_value = "recovery.html")]
        output: PathBuf,
    },
    /// Write off what a cell that is lost for good holds: it runs here again
    WriteOff {
        /// The lost cell's name
        cell: String,
        /// The leading controller's address for the other controllers
        #[arg(long, value_name = "IP:PORT", default_value = "127.0.0.1:8081")]
        internal: SocketAddr,
        /// The cell is lost for good; if it is not, its tasks may run twice
        #[arg(long)]
        lost_for_good: bool,
    },
    /// Submit, show or cancel a job on a running service
    Job {
        /// A controller's address for users
        #[arg(long, value_name = "IP:PORT", default_value = "127.0.0.1:8080")]
        server: SocketAddr,
        #[command(subcommand)]
        what: JobCommand,
    },
}

#[derive(Subcommand, Debug)]
enum JobCommand {
    /// Submit a job described in a JSON file
    Submit {
        /// The file; - for standard input
        file: PathBuf,
    },
    /// Show a job
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

fn operator_file(given: Option<PathBuf>) -> Option<PathBuf> {
    given.or_else(|| std::env::var_os("MILLETLOCK_OPERATOR").map(PathBuf::from))
}

fn start_log() {
    let level = match std::env::var("LOG_LEVEL").as_deref() {
        Ok("debug") => tracing::Level::DEBUG,
        Ok("info") => tracing::Level::INFO,
        _ => tracing::Level::WARN,
    };
    // The time is the platform's to add; a line is written whole.
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

fn fail(code: u8, why: impl std::fmt::Display) -> ExitCode {
    eprintln!("milletlock: {why}");
    ExitCode::from(code)
}

/// Runs the program.
pub fn main() -> ExitCode {
    let args = Args::parse();
    match (args.command, args.config) {
        (None, Some(config)) => run(config, args.operator),
        (None, None) => fail(2, "--config FILE is needed to run a controller; see --help"),
        (Some(Command::Check { config, operator }), _) => check(config, operator),
        (Some(Command::Status { internal, team }), _) => status(internal, team),
        (Some(Command::Report { file, output }), _) => make_report(&file, &output),
        (Some(Command::WriteOff { cell, internal, lost_for_good }), _) => {
            write_off(internal, &cell, lost_for_good)
        }
        (Some(Command::Job { server, what }), _) => job(server, what),
    }
}

fn run(config: PathBuf, operator: Option<PathBuf>) -> ExitCode {
    let cfg = match Config::load(&config, operator_file(operator).as_deref()) {
        Ok(c) => c,
        Err(e) => return fail(2, e),
    };
    start_log();
    if let Some(warning) = cfg.size_warning() {
        tracing::warn!("{warning}");
    }
    match Controller::run(cfg, Arc::new(AtomicBool::new(false))) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => fail(1, e),
    }
}

fn check(config: PathBuf, operator: Option<PathBuf>) -> ExitCode {
    match Config::load(&config, operator_file(operator).as_deref()) {
        Ok(c) => {
            let s = &c.platform.settings;
            println!(
                "ok: {} of {} controllers, {} teams, {} zones; renews workers for {:.1} s without the state service; \
                 room for {} connections, {} of them workers', on {} threads",
                c.platform.label,
                c.controller_count(),
                s.teams.len(),
                s.zones.len(),
                c.max_staleness().secs(),
                c.server_limits().connections,
                c.server_limits().background_connections,
                c.operator.max_threads
            );
            if let Some(cells) = &c.operator.cells {
                println!(
                    "cell {}: {} other cells, lends {:?}, borrows {:?} up to {} processors",
                    cells.name,
                    cells.others.len(),
                    cells.lend,
                    cells.borrow,
                    cells.borrow_cpus
                );
            }
            if let Some(warning) = c.size_warning() {
                println!("warning: {warning}");
            }
            ExitCode::SUCCESS
        }
        Err(e) => fail(2, e),
    }
}

fn status(internal: SocketAddr, team: Option<String>) -> ExitCode {
    let path = team.map_or(STATUS.to_string(), |t| format!("{STATUS}/{t}"));
    let call = Call { method: "GET".into(), path, body: Vec::new() };
    match peer::call_once(internal, call, Micros::from_secs(5.0)) {
        Ok(a) => {
            let v: serde_json::Value = serde_json::from_slice(&a.body).unwrap_or_default();
            println!("{v:#}");
            ExitCode::SUCCESS
        }
        Err(e) => fail(1, format!("{internal}: {e}")),
    }
}

fn make_report(file: &Path, output: &Path) -> ExitCode {
    let log = match std::fs::read(file) {
        Ok(log) => log,
        Err(e) => return fail(2, format!("{}: {e}", file.display())),
    };
    let page = RecoveryLog::read(&log).and_then(|log| Ok((log.page()?, log)));
    let (page, log) = match page {
        Ok(page) => page,
        Err(e) => return fail(1, format!("{}: {e}", file.display())),
    };
    if let Err(e) = std::fs::write(output, page) {
        return fail(2, format!("{}: {e}", output.display()));
    }
    println!("{}: {} recoveries{}", output.display(), log.recoveries.len(), log.omissions());
    ExitCode::SUCCESS
}

fn write_off(internal: SocketAddr, cell: &str, lost_for_good: bool) -> ExitCode {
    if !lost_for_good {
        let why = "tasks that the cell still runs would run twice, and their results count twice; \
                   say --lost-for-good if none of its machines runs any more";
        return fail(2, why);
    }
    let call = Call { method: "POST".into(), path: format!("{WRITE_OFF_PATH}{cell}"), body: Vec::new() };
    match peer::call_once(internal, call, Micros::from_secs(30.0)) {
        Ok(answer) => {
            println!("{}", String::from_utf8_lossy(&answer.body));
            if answer.status == 200 {
                ExitCode::SUCCESS
            } else {
                fail(1, format!("the controller answered {}", answer.status))
            }
        }
        Err(e) => fail(1, format!("{internal}: {e}")),
    }
}

fn job(server: SocketAddr, what: JobCommand) -> ExitCode {
    let client = Client::new(server, 1);
    let call = |method: &str, path: &str, body: Option<&[u8]>| {
        client.call(method, path, body, Micros::from_secs(5.0))
    };
    let result: Result<ClientResponse, CallError> = match what {
        JobCommand::Submit { file } => {
            let mut body = Vec::new();
            let read = if file.as_os_str() == "-" {
                std::io::stdin().read_to_end(&mut body).map(|_| ())
            } else {
                std::fs::read(&file).map(|b| body = b)
            };
            if let Err(e) = read {
                return fail(2, format!("{}: {e}", file.display()));
            }
            call("POST", "/api/jobs", Some(&body))
        }
        JobCommand::Show { id } => call("GET", &format!("/api/jobs/{id}"), None),
        JobCommand::Cancel { id } => call("POST", &format!("/api/jobs/{id}/withdraw"), Some(b"{}")),
    };
    match result {
        Ok(ClientResponse { status, body }) => {
            println!("{}", String::from_utf8_lossy(&body));
            if status < 300 {
                ExitCode::SUCCESS
            } else {
                fail(1, format!("the service answered {status}"))
            }
        }
        Err(e) => fail(1, format!("{server}: {e}")),
    }
}
