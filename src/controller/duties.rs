//! Starts and stops a controller: its listeners, the threads of its duties and its HTTP server.

use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::Receiver;
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;

use super::{Controller, ControllerError};
use crate::config::Config;
use crate::http;
use crate::peer::{InboundMessage, PeerHub};
use crate::time::Clock;

/// Number of threads that answer messages of other controllers.
const PEER_THREADS: usize = 3;
/// Stack size of a duty's thread in bytes.
const DUTY_STACK_BYTES: usize = 512 * 1024;

/// A duty that has a thread of its own in every controller.
struct Duty {
    thread_name: &'static str,
    /// Runs until the controller stops.
    main: fn(&Controller),
}

/// The duties of every controller. The lending duty is not among them: it runs only if the settings have a
/// `cells` block.
const DUTIES: [Duty; 9] = [
    Duty { thread_name: "leadership", main: Controller::maintain_leadership },
    Duty { thread_name: "watcher", main: Controller::watch },
    Duty { thread_name: "writer", main: Controller::write },
    Duty { thread_name: "cloud", main: Controller::scale_out_and_in },
    Duty { thread_name: "list", main: Controller::refresh_cloud },
    Duty { thread_name: "announcer", main: Controller::announce },
    Duty { thread_name: "halts", main: Controller::send_halts },
    Duty { thread_name: "tokens", main: Controller::raise_fencing_tokens },
    Duty { thread_name: "planner", main: Controller::plan },
];

impl Controller {
    /// Listens on the addresses given in the settings and runs until `stop` is set.
    ///
    /// # Errors
    /// [`ControllerError::Listen`], and those of [`Controller::run_on`].
    pub fn run(config: Config, stop: Arc<AtomicBool>) -> Result<(), ControllerError> {
        let listener = bind(config.platform.serve_on)?;
        let internal = bind(config.platform.internal_addr)?;
        Controller::run_on(config, listener, internal, stop)
    }

    /// Runs on listeners that are already open until `stop` is set: `listener` is for users, workers and
    /// the load balancer, `internal` for the other controllers.
    ///
    /// # Errors
    /// Any [`ControllerError`] but [`ControllerError::Listen`].
    pub fn run_on(
        config: Config,
        listener: TcpListener,
        internal: TcpListener,
        stop: Arc<AtomicBool>,
    ) -> Result<(), ControllerError> {
        let members = config.platform.members.iter().map(|member| member.addr).collect();
        let other_cells = config.operator.cells.as_ref().map(|cells| cells.addresses()).unwrap_or_default();
        let (peers, inbound) =
            PeerHub::start(internal, members, &other_cells).map_err(ControllerError::Peers)?;
        let controller = Controller::new(config, peers, Clock::System, stop)?;
        tracing::info!(
            label = %controller.config.platform.label,
            incarnation = controller.incarnation,
            "controller started"
        );
        let duties = controller.start_duties(inbound).map_err(ControllerError::Thread)?;
        let served = controller.serve_http(listener);
        // A controller cannot do its work without its HTTP server, so the duties are stopped as well.
        controller.stop.store(true, Ordering::Relaxed);
        controller.resign();
        controller.wake.notify_all();
        for thread in duties {
            let _ = thread.join();
        }
        served.map_err(ControllerError::Serve)
    }

    /// Serves users, workers and the load balancer until the controller stops.
    fn serve_http(self: &Arc<Controller>, listener: TcpListener) -> std::io::Result<()> {
        let limits = self.config.server_limits();
        tracing::info!(
            connections = limits.connections,
            workers = limits.background_connections,
            threads = limits.interactive_threads + limits.background_threads,
            "connection limits"
        );
        http::serve(listener, limits, self.stop.clone(), self.service())
    }

    /// Starts the threads of all duties, and those that answer the messages in `inbound`.
    fn start_duties(
        self: &Arc<Controller>,
        inbound: Receiver<InboundMessage>,
    ) -> std::io::Result<Vec<JoinHandle<()>>> {
        let mut threads = Vec::new();
        for duty in DUTIES {
            let controller = self.clone();
            threads.push(spawn_duty(duty.thread_name.into(), move || (duty.main)(&controller))?);
        }
        if self.config.operator.cells.is_some() {
            let controller = self.clone();
            threads.push(spawn_duty("lending".into(), move || controller.lend())?);
        }
        let inbound = Arc::new(Mutex::new(inbound));
        for number in 0..PEER_THREADS {
            let (controller, inbound) = (self.clone(), inbound.clone());
            let answer = move || controller.answer_peers(&inbound);
            threads.push(spawn_duty(format!("peer-{number}"), answer)?);
        }
        Ok(threads)
    }
}

/// Binds a listener to an address that the settings give.
fn bind(addr: SocketAddr) -> Result<TcpListener, ControllerError> {
    TcpListener::bind(addr).map_err(|source| ControllerError::Listen { addr, source })
}

/// Starts a duty's thread.
fn spawn_duty(thread_name: String, duty: impl FnOnce() + Send + 'static) -> std::io::Result<JoinHandle<()>> {
    std::thread::Builder::new().name(thread_name).stack_size(DUTY_STACK_BYTES).spawn(duty)
}
