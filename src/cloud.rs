//! Client of the cloud's interface.

use std::net::SocketAddr;
use std::sync::Mutex;

use crate::http::{CallError, Client};
use crate::time::{steady, Micros, Steady};
use crate::wire::{Catalog, ListedMachine, MachineList, MachineNames, MachineType, ScaleOutRequest};

/// Why a call to the cloud has no result.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum CloudError {
    /// Nothing of this type, zone and kind is to be had.
    #[error("no capacity")]
    NoCapacity,
    /// Not executed: an outage, the limit, or no connection.
    #[error("not executed ({0})")]
    NotNow(u16),
    /// No answer: it may have been executed, or may yet be.
    #[error("unknown: {0}")]
    Unknown(String),
    /// The answer makes no sense, or the request did not.
    #[error("malformed: {0}")]
    Malformed(String),
}

/// The client.
pub struct CloudClient {
    http: Client,
    gap: Micros,
    next: Mutex<Steady>,
}

/// Most machines in one request for some.
pub const MAX_MACHINES_PER_RENTAL: u32 = 50;

/// Machines in one page of the list, the most that the cloud gives at once.
pub const MACHINES_PER_LIST_PAGE: usize = 500;

/// How long the cloud has to answer.
const CALL: Micros = Micros::from_millis(8000);

impl CloudClient {
    /// A client that keeps to `rps` requests a second.
    pub fn new(addr: SocketAddr, rps: f64) -> CloudClient {
        CloudClient {
            http: Client::new(addr, 2),
            gap: Micros::from_secs(1.0 / rps),
            next: Mutex::new(Steady(0)),
        }
    }

    fn call(&self, method: &str, path: &str, body: Option<Vec<u8>>) -> Result<Vec<u8>, CloudError> {
        let wait = {
            let mut next = self.next.lock().unwrap_or_else(|e| e.into_inner());
            let now = steady();
            let at = (*next).max(now);
            *next = at + self.gap;
            at - now
        };
        if wait.0 > 0 {
            std::thread::sleep(wait.std());
        }
        match self.http.call(method, path, body.as_deref(), CALL) {
            Ok((200, b)) => Ok(b),
            Ok((503, b)) if String::from_utf8_lossy(&b).contains("no capacity") => {
                Err(CloudError::NoCapacity)
            }
            Ok((s @ (429 | 503), _)) => Err(CloudError::NotNow(s)),
            Ok((s, b)) => Err(CloudError::Malformed(format!("{s} {}", String::from_utf8_lossy(&b)))),
            Err(CallError::NotSent(_)) => Err(CloudError::NotNow(0)),
            Err(CallError::NoAnswer(e)) => Err(CloudError::Unknown(e)),
        }
    }

    /// The machine types with their current prices.
    pub fn catalog(&self) -> Result<Vec<MachineType>, CloudError> {
        let b = self.call("GET", "/catalog", None)?;
        let c: Catalog = serde_json::from_slice(&b).map_err(|e| CloudError::Malformed(e.to_string()))?;
        Ok(c.types)
    }

    /// Rents machines. The same request may be repeated until it is answered.
    pub fn rent(&self, r: &ScaleOutRequest) -> Result<Vec<String>, CloudError> {
        let body = serde_json::to_vec(r).map_err(|e| CloudError::Malformed(e.to_string()))?;
        let b = self.call("POST", "/rentals", Some(body))?;
        let m: MachineNames = serde_json::from_slice(&b).map_err(|e| CloudError::Malformed(e.to_string()))?;
        Ok(m.machines)
    }

    /// Returns up to a hundred machines; once it succeeds they are gone with all that was on them.
    pub fn give_back(&self, machines: &[String]) -> Result<(), CloudError> {
        let body = serde_json::to_vec(&MachineNames { machines: machines.to_vec() })
            .map_err(|e| CloudError::Malformed(e.to_string()))?;
        self.call("POST", "/rentals/return", Some(body)).map(|_| ())
    }

    /// The whole machine list.
    pub fn list(&self) -> Result<Vec<ListedMachine>, CloudError> {
        let mut all: Vec<ListedMachine> = Vec::new();
        loop {
            let from = all.last().map(|m| format!("from={}&", m.id)).unwrap_or_default();
            let b = self.call("GET", &format!("/rentals?{from}most={MACHINES_PER_LIST_PAGE}"), None)?;
            let page: MachineList =
                serde_json::from_slice(&b).map_err(|e| CloudError::Malformed(e.to_string()))?;
            let empty = page.machines.is_empty();
            all.extend(page.machines);
            if !page.more || empty {
                return Ok(all);
            }
        }
    }
}
