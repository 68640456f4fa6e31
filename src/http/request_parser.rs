//! Parsing of request heads.

use super::{header_text, status, Response, MAX_BODY, MAX_HEADERS};

/// Largest request head, in bytes.
const MAX_HEAD: usize = 16 * 1024;

/// Why a request is refused before a handler sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum RequestError {
    #[error("request head too long")]
    HeadTooLong,
    #[error("too many headers")]
    TooManyHeaders,
    #[error("not HTTP")]
    NotHttp,
    #[error("bad Content-Length")]
    BadContentLength,
    #[error("Transfer-Encoding is not taken")]
    TransferEncoding,
    #[error("body over 64 KiB")]
    BodyTooLarge,
}

impl RequestError {
    fn status(self) -> u16 {
        match self {
            RequestError::HeadTooLong | RequestError::TooManyHeaders => {
                status::REQUEST_HEADER_FIELDS_TOO_LARGE
            }
            RequestError::NotHttp | RequestError::BadContentLength => status::BAD_REQUEST,
            RequestError::TransferEncoding => status::NOT_IMPLEMENTED,
            RequestError::BodyTooLarge => status::CONTENT_TOO_LARGE,
        }
    }

    /// What the client is told.
    pub(super) fn response(self) -> Response {
        Response::error(self.status(), &self.to_string())
    }
}

/// A request's head: its request line and the headers that the server acts on.
#[derive(Debug)]
pub(super) struct RequestHead {
    pub method: String,
    pub path: String,
    /// Bytes of the head itself, up to the first byte of the body.
    pub head_length: usize,
    /// `Content-Length`, in bytes.
    pub body_length: usize,
    /// The client wants the connection closed after the response.
    pub close: bool,
    /// The client waits for `100 Continue` before it sends the body.
    pub expects_continue: bool,
}

impl RequestHead {
    /// Parses the head at the start of a buffer; `None` if it is not complete yet.
    pub(super) fn parse(buffer: &[u8]) -> Result<Option<RequestHead>, RequestError> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut parsed = httparse::Request::new(&mut headers);
        let head_length = match parsed.parse(buffer) {
            Ok(httparse::Status::Complete(length)) => length,
            Ok(httparse::Status::Partial) if buffer.len() > MAX_HEAD => {
                return Err(RequestError::HeadTooLong)
            }
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(httparse::Error::TooManyHeaders) => return Err(RequestError::TooManyHeaders),
            Err(_) => return Err(RequestError::NotHttp),
        };
        let mut head = RequestHead {
            method: parsed.method.unwrap_or("").to_string(),
            path: parsed.path.unwrap_or("").to_string(),
            head_length,
            body_length: 0,
            // HTTP/1.0 has no persistent connections.
            close: parsed.version == Some(0),
            expects_continue: false,
        };
        for header in parsed.headers.iter() {
            head.apply_header(header)?;
        }
        // Refused before the body is read: an oversized one never takes memory.
        if head.body_length > MAX_BODY {
            return Err(RequestError::BodyTooLarge);
        }
        Ok(Some(head))
    }

    fn apply_header(&mut self, header: &httparse::Header<'_>) -> Result<(), RequestError> {
        let value = header_text(header);
        if header.name.eq_ignore_ascii_case("content-length") {
            self.body_length = value.parse().map_err(|_| RequestError::BadContentLength)?;
        } else if header.name.eq_ignore_ascii_case("transfer-encoding") {
            return Err(RequestError::TransferEncoding);
        } else if header.name.eq_ignore_ascii_case("connection") {
            self.close |= value.eq_ignore_ascii_case("close");
        } else if header.name.eq_ignore_ascii_case("expect") {
            self.expects_continue = value.eq_ignore_ascii_case("100-continue");
        }
        Ok(())
    }
}
