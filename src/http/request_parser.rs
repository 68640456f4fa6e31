//! Parsing of request heads.

use super::{header_text, status, Response, MAX_BODY, MAX_HEADERS};

/// Maximum size of a request head, in bytes.
const MAX_HEAD: usize = 16 * 1024;

/// Why the server refuses a request without calling the handler.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum RequestError {
    #[error("request head exceeds 16 KiB")]
    HeadTooLong,
    #[error("request has more than 48 headers")]
    TooManyHeaders,
    #[error("request head is not valid HTTP/1.1")]
    NotHttp,
    #[error("Content-Length is not a valid number of bytes")]
    BadContentLength,
    #[error("Transfer-Encoding is not supported, send Content-Length instead")]
    TransferEncoding,
    #[error("request body exceeds 64 KiB")]
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

    /// Returns the error response for the client.
    pub(super) fn response(self) -> Response {
        Response::error(self.status(), &self.to_string())
    }
}

/// The head of a request: the request line and the headers that the server uses.
#[derive(Debug)]
pub(super) struct RequestHead {
    pub method: String,
    pub path: String,
    /// Length of the head in bytes, including the empty line before the body.
    pub head_length: usize,
    /// Length of the body in bytes, from `Content-Length`; 0 without this header.
    pub body_length: usize,
    /// Whether the client asks to close the connection after the response.
    pub close: bool,
    /// Whether the client waits for `100 Continue` before it sends the body.
    pub expects_continue: bool,
}

impl RequestHead {
    /// Parses the head at the start of a buffer. Returns `None` if the head is not complete yet.
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
            // Version 0 is HTTP/1.0, whose connections are not persistent.
            close: parsed.version == Some(0),
            expects_continue: false,
        };
        for header in parsed.headers.iter() {
            head.apply_header(header)?;
        }
        // Checked before the body is read, so that a body above the limit uses no memory.
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
