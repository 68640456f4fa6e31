//! Client of the cloud's interface: the catalog of machine types, scale-out, scale-in and the machine list.

use std::net::SocketAddr;
use std::sync::Mutex;

use serde::de::DeserializeOwned;
use serde::Serialize;

use crate::http::{status, CallError, Client, ClientResponse};
use crate::time::{steady, Micros, Steady};
use crate::wire::{Catalog, ListedMachine, MachineList, MachineNames, MachineType, ScaleOutRequest};

/// Maximum number of machines in one scale-out request.
pub const MAX_MACHINES_PER_SCALE_OUT: u32 = 50;
/// Machines in one page of the machine list. This is the largest page that the cloud returns.
pub const MACHINES_PER_LIST_PAGE: usize = 500;

/// Timeout of a call to the cloud.
const CALL_TIMEOUT: Micros = Micros::from_millis(8000);
/// Maximum number of connections that are kept open between calls.
const MAX_IDLE_CONNECTIONS: usize = 2;
/// Text in the body of a 503 response if the cloud has no machine of the requested type, zone and kind.
/// The kind is spot or ordinary.
const NO_CAPACITY_TEXT: &str = "no capacity";
/// Used in [`CloudError::NotExecuted`] in place of a status code if no connection could be made.
const NO_STATUS: u16 = 0;

/// Why a call to the cloud failed.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum CloudError {
    /// The cloud has no machine of the requested type, zone and kind (spot or ordinary).
    #[error("the cloud has no capacity")]
    NoCapacity,
    /// The request was not executed: an outage (status 503), the rate limit (429), or no connection (0).
    #[error("request not executed (status {status})")]
    NotExecuted {
        /// Status code of the response, or 0 if no connection could be made.
        status: u16,
    },
    /// There was no response. The request may have been executed, or may still be executed.
    #[error("no response, outcome unknown: {0}")]
    Unknown(String),
    /// The response cannot be parsed, or the cloud could not parse the request.
    #[error("malformed request or response: {0}")]
    Malformed(String),
}

/// Client of the cloud's interface, with a rate limit. Calls block the calling thread.
pub struct CloudClient {
    http: Client,
    /// Minimum time between the starts of two requests.
    request_interval: Micros,
    next_request_at: Mutex<Steady>,
}

impl CloudClient {
    /// Creates a client that starts at most `requests_per_s` requests per second.
    pub fn new(addr: SocketAddr, requests_per_s: f64) -> CloudClient {
        CloudClient {
            http: Client::new(addr, MAX_IDLE_CONNECTIONS),
            request_interval: Micros::from_secs(1.0 / requests_per_s),
            next_request_at: Mutex::new(Steady(0)),
        }
    }

    /// Fetches the machine types with their current prices.
    ///
    /// # Errors
    ///
    /// [`CloudError`] if the catalog could not be read.
    pub fn catalog(&self) -> Result<Vec<MachineType>, CloudError> {
        let catalog: Catalog = self.get("/catalog")?;
        Ok(catalog.types)
    }

    /// Scales out and returns the names of the new machines, which may be fewer than requested. The request
    /// is idempotent: it may be repeated until there is a response.
    ///
    /// # Errors
    ///
    /// [`CloudError::NoCapacity`] if the cloud has not a single such machine. After [`CloudError::Unknown`]
    /// the machines may have been added.
    pub fn scale_out(&self, request: &ScaleOutRequest) -> Result<Vec<String>, CloudError> {
        let added: MachineNames = parse(&self.post("/rentals", request)?)?;
        Ok(added.machines)
    }

    /// Scales in: removes up to a hundred machines and ends all tasks that run on them.
    ///
    /// # Errors
    ///
    /// After [`CloudError::Unknown`] the machines may have been removed.
    pub fn scale_in(&self, machines: &[String]) -> Result<(), CloudError> {
        let names = MachineNames { machines: machines.to_vec() };
        self.post("/rentals/return", &names).map(|_| ())
    }

    /// Fetches the whole machine list, page by page.
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

    /// Waits for the rate limit, sends a request and returns the body of a successful response.
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

/// Returns the body of a successful response, or the error for any other status code.
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
