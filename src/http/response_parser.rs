//! Parsing of responses whose body has a `Content-Length` or is chunked.

use super::{header_text, ClientResponse, MAX_HEADERS};

/// Length of the line break after each chunk, in bytes.
const CHUNK_END: usize = 2;

/// Why a response cannot be parsed.
#[derive(Debug, thiserror::Error)]
pub(super) enum ParseError {
    #[error(transparent)]
    Head(#[from] httparse::Error),
    #[error("Content-Length of the response is not a valid number of bytes")]
    ContentLength,
    #[error("chunked body of the response has an invalid chunk size")]
    Chunk,
}

/// A response, and whether its connection can be used again.
#[derive(Debug)]
pub(super) struct ParsedResponse {
    pub response: ClientResponse,
    /// Whether the server closes the connection after this response.
    pub close: bool,
}

/// The values of the headers that determine where a response ends and whether the connection stays open.
#[derive(Default)]
struct Framing {
    content_length: usize,
    chunked: bool,
    close: bool,
}

/// Parses the response at the start of a buffer. Returns `None` if the response is not complete yet.
pub(super) fn parse_response(buffer: &[u8]) -> Result<Option<ParsedResponse>, ParseError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Response::new(&mut headers);
    let head_length = match parsed.parse(buffer)? {
        httparse::Status::Complete(length) => length,
        httparse::Status::Partial => return Ok(None),
    };
    let framing = parse_framing(parsed.headers)?;
    let body = if framing.chunked {
        decode_chunks(&buffer[head_length..])?
    } else {
        let end = head_length.checked_add(framing.content_length).ok_or(ParseError::ContentLength)?;
        buffer.get(head_length..end).map(<[u8]>::to_vec)
    };
    let status = parsed.code.unwrap_or(0);
    let parsed = |body| ParsedResponse { response: ClientResponse { status, body }, close: framing.close };
    Ok(body.map(parsed))
}

fn parse_framing(headers: &[httparse::Header<'_>]) -> Result<Framing, ParseError> {
    let mut framing = Framing::default();
    for header in headers {
        let value = header_text(header);
        if header.name.eq_ignore_ascii_case("content-length") {
            framing.content_length = value.parse().map_err(|_| ParseError::ContentLength)?;
        } else if header.name.eq_ignore_ascii_case("transfer-encoding") {
            framing.chunked = value.eq_ignore_ascii_case("chunked");
        } else if header.name.eq_ignore_ascii_case("connection") {
            framing.close = value.eq_ignore_ascii_case("close");
        }
    }
    Ok(framing)
}

/// Decodes a chunked body. Returns `None` if its last chunk has not arrived yet.
fn decode_chunks(mut rest: &[u8]) -> Result<Option<Vec<u8>>, ParseError> {
    let mut body = Vec::new();
    loop {
        let (start, size) = match httparse::parse_chunk_size(rest) {
            Ok(httparse::Status::Complete(chunk)) => chunk,
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(_) => return Err(ParseError::Chunk),
        };
        let size = usize::try_from(size).map_err(|_| ParseError::Chunk)?;
        let end =
            start.checked_add(size).and_then(|end| end.checked_add(CHUNK_END)).ok_or(ParseError::Chunk)?;
        if rest.len() < end {
            return Ok(None);
        }
        if size == 0 {
            return Ok(Some(body));
        }
        body.extend_from_slice(&rest[start..start + size]);
        rest = &rest[end..];
    }
}
