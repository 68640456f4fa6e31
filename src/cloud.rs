//! Client of the cloud's interface: machine types, rentals and the machine list.

use std::net::SocketAddr;
use std::sync::Mutex;

use serde::de::DeserializeOwned;
use serde::Serialize;

use crate::http::{status, CallError, Client, ClientResponse};
use crate::time::{steady, Micros, Steady};
use crate::wire::{Catalog, ListedMachine, MachineList, MachineNames, MachineType, ScaleOutRequest};

/// Most machines in one rental request.
pub const MAX_MACHINES_PER_SCALE_OUT: u32 = 50;
/// Machines in one page of the list, the most that the cloud gives at once.
pub const MACHINES_PER_LIST_PAGE: usize = 500;

/// How long the cloud has to answer.
const CALL_TIMEOUT: Micros = Micros::from_millis(8000);
/// Connections that are kept open between calls.
const MAX_IDLE_CONNECTIONS: usize = 2;
/// What the cloud says in the body of a 503 if it has no machine of the type, zone and kind.
const NO_CAPACITY_TEXT: &str = "no capacity";
/// Stands for the status code where no connection could be made.
const NO_STATUS: u16 = 0;

/// Why a call to the cloud has no result.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum CloudError {
    /// The cloud has no machine of this type, zone and kind.
    #[error("no capacity")]
    NoCapacity,
    /// Not executed: an outage (status 503), the rate limit (429), or no connection (0).
    #[error("not executed ({status})")]
    NotExecuted {
        /// The status code.
        status: u16,
    },
    /// No answer: the request may have been executed, or may yet be.
    #[error("unknown: {0}")]
    Unknown(String),
    /// The answer cannot be parsed, or the cloud could not parse the request.
    #[error("malformed: {0}")]
    Malformed(String),
}

/// Client of the cloud's interface, at a limited rate. Calls block the thread.
pub struct CloudClient {
    http: Client,
    /// Least time between the starts of two requests.
    request_interval: Micros,
    next_request_at: Mutex<Steady>,
}

impl CloudClient {
    /// A client that sends at most `requests_per_s` requests a second.
    pub fn new(addr: SocketAddr, requests_per_s: f64) -> CloudClient {
        CloudClient {
            http: Client::new(addr, MAX_IDLE_CONNECTIONS),
            request_interval: Micros::from_secs(1.0 / requests_per_s),
            next_request_at: Mutex::new(Steady(0)),
        }
    }

    /// The machine types with their current prices.
    ///
    /// # Errors
    ///
    /// [`CloudError`], as for all calls.
    pub fn catalog(&self) -> Result<Vec<MachineType>, CloudError> {
        let catalog: Catalog = self.get("/catalog")?;
        Ok(catalog.types)
    }

    /// Rents machines and returns their names, which may be fewer than asked for. The request is
    /// idempotent: it may be repeated until it is answered.
    ///
    /// # Errors
    ///
    /// [`CloudError::NoCapacity`] if there is not a single machine; after [`CloudError::Unknown`]
    /// the machines may have been rented.
    pub fn scale_out(&self, request: &ScaleOutRequest) -> Result<Vec<String>, CloudError> {
        let rented: MachineNames = parse(&self.post("/rentals", request)?)?;
        Ok(rented.machines)
    }

    /// Returns up to a hundred machines. Once it succeeds they are gone with all that ran on them.
    ///
    /// # Errors
    ///
    /// After [`CloudError::Unknown`] the machines may have been returned.
    pub fn scale_in(&self, machines: &[String]) -> Result<(), CloudError> {
        let names = MachineNames { machines: machines.to_vec() };
        self.post("/rentals/return", &names).map(|_| ())
    }

    /// The whole machine list, read page by page.
    ///
    /// # Errors
    ///
    /// [`CloudError`] if any page could not be read.
    pub fn list(&self) -> Result<Vec<ListedMachine>, CloudError> {
        let mut machines: Vec<ListedMachine> = Vec::new();
        loop {
            let from = machines.last().map(|last| format!("from={}&", last.id)).unwrap_or_default();
            let page: MachineList = self.get(&format!("/rentals?{from}most={MACHINES_PER_LIST_PAGE}"))?;
            let is_empty = page.machines.is_empty();
            machines.extend(page.machines);
            if !page.more || is_empty {
                return Ok(machines);
            }
        }
    }

    fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, CloudError> {
        parse(&self.call("GET", path, None)?)
    }

    fn post<T: Serialize>(&self, path: &str, message: &T) -> Result<Vec<u8>, CloudError> {
        let body = serde_json::to_vec(message).map_err(|e| CloudError::Malformed(e.to_string()))?;
        self.call("POST", path, Some(&body))
    }

    /// Waits for its turn, sends a request and returns the body of a successful response.
    fn call(&self, method: &str, path: &str, body: Option<&[u8]>) -> Result<Vec<u8>, CloudError> {
        self.wait_for_turn();
        match self.http.call(method, path, body, CALL_TIMEOUT) {
            Ok(response) => successful_body(response),
            Err(CallError::NotSent(_)) => Err(CloudError::NotExecuted { status: NO_STATUS }),
            Err(CallError::NoAnswer(reason)) => Err(CloudError::Unknown(reason)),
        }
    }

    /// Sleeps until the rate limit allows the next request.
    fn wait_for_turn(&self) {
        let wait = {
            let mut next_request_at = self.next_request_at.lock().unwrap_or_else(|e| e.into_inner());
            let now = steady();
            let turn = (*next_request_at).max(now);
            *next_request_at = turn + self.request_interval;
            turn - now
        };
        if wait > Micros::ZERO {
            std::thread::sleep(wait.to_duration());
        }
    }
}

/// The body of a successful response, or the error that another one stands for.
fn successful_body(response: ClientResponse) -> Result<Vec<u8>, CloudError> {
    let ClientResponse { status: code, body } = response;
    let text = || String::from_utf8_lossy(&body);
    match code {
        status::OK => Ok(body),
        status::SERVICE_UNAVAILABLE if text().contains(NO_CAPACITY_TEXT) => Err(CloudError::NoCapacity),
        status::TOO_MANY_REQUESTS | status::SERVICE_UNAVAILABLE => {
            Err(CloudError::NotExecuted { status: code })
        }
        _ => Err(CloudError::Malformed(format!("{code} {}", text()))),
    }
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, CloudError> {
    serde_json::from_slice(body).map_err(|e| CloudError::Malformed(e.to_string()))
}
