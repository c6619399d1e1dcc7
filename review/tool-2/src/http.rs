//! Plain HTTP/1.1 over blocking sockets, so that a case decides about every byte.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

/// A request as it was received.
#[derive(Debug, Clone)]
pub(crate) struct Request {
    pub(crate) method: String,
    pub(crate) target: String,
    pub(crate) headers: Vec<(String, String)>,
    pub(crate) body: Vec<u8>,
}

/// A response as it was received.
#[derive(Debug, Clone)]
pub(crate) struct Response {
    pub(crate) status: u16,
    pub(crate) headers: Vec<(String, String)>,
    pub(crate) body: Vec<u8>,
    /// Whether the body came to the end that its head announces.
    pub(crate) whole: bool,
}

fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let found = headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
    found.map(|(_, value)| value.as_str())
}

impl Request {
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }

    pub(crate) fn id(&self) -> &str {
        self.header("x-request-id").unwrap_or_default()
    }

    pub(crate) fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    pub(crate) fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target.split_once('?')?;
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.filter(|(key, _)| *key == name).map(|(_, value)| value).next()
    }
}

impl Response {
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }
}

fn invalid(text: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, text.to_owned())
}

fn read_line(reader: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut line = Vec::new();
    if reader.take(64 * 1024).read_until(b'\n', &mut line)? == 0 {
        return Ok(None);
    }
    let text = String::from_utf8_lossy(&line);
    Ok(Some(text.trim_end_matches(['\r', '\n']).to_owned()))
}

fn read_headers(reader: &mut impl BufRead) -> io::Result<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        if line.is_empty() {
            return Ok(headers);
        }
        let (name, value) = line.split_once(':').ok_or_else(|| invalid("a header has no colon"))?;
        headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
}

/// Reads a body; returns whether it came to its end.
fn read_body(
    reader: &mut impl BufRead,
    headers: &[(String, String)],
    until_close: bool,
) -> (Vec<u8>, bool) {
    let mut body = Vec::new();
    if find(headers, "transfer-encoding").is_some() {
        let whole = read_chunks(reader, &mut body).is_ok();
        return (body, whole);
    }
    if let Some(length) = find(headers, "content-length") {
        let length: u64 = length.parse().unwrap_or_default();
        let read = reader.take(length).read_to_end(&mut body);
        let whole = read.is_ok_and(|read| read as u64 == length);
        return (body, whole);
    }
    let whole = !until_close || reader.read_to_end(&mut body).is_ok();
    (body, whole)
}

fn read_chunks(reader: &mut impl BufRead, body: &mut Vec<u8>) -> io::Result<()> {
    loop {
        let line = read_line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        let size = u64::from_str_radix(line.split(';').next().unwrap_or_default().trim(), 16);
        let size = size.map_err(|_| invalid("a chunk has no size"))?;
        if reader.take(size).read_to_end(body)? as u64 != size {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        if !read_line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?.is_empty() {
            return Err(invalid("a chunk is longer than its size"));
        }
        if size == 0 {
            return Ok(());
        }
    }
}

/// Reads the next request; none if the connection has ended.
pub(crate) fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Request>> {
    let Some(line) = read_line(reader)? else { return Ok(None) };
    let mut words = line.split(' ').map(str::to_owned);
    let (Some(method), Some(target)) = (words.next(), words.next()) else {
        return Err(invalid("no request line"));
    };
    let headers = read_headers(reader)?;
    let (body, whole) = read_body(reader, &headers, false);
    if !whole {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(Some(Request { method, target, headers, body }))
}

/// Reads the next response.
///
/// # Errors
///
/// `InvalidData` if the bytes are no response.
pub(crate) fn read_response(reader: &mut impl BufRead) -> io::Result<Response> {
    let line = read_line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let rest = line.strip_prefix("HTTP/1.").ok_or_else(|| {
        let start: String = line.chars().take(60).collect();
        invalid(&format!("no status line: {start:?}"))
    })?;
    let status = rest.split(' ').nth(1).and_then(|status| status.parse().ok());
    let status = status.ok_or_else(|| invalid("no status"))?;
    let headers = read_headers(reader)?;
    let (body, whole) = read_body(reader, &headers, true);
    Ok(Response { status, headers, body, whole })
}

/// A connection of a client, kept for several requests.
pub(crate) struct Channel {
    reader: BufReader<TcpStream>,
}

impl Channel {
    pub(crate) fn open(address: SocketAddr, limit: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(limit))?;
        Ok(Self { reader: BufReader::new(stream) })
    }

    pub(crate) fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.reader.get_mut().write_all(bytes)
    }

    pub(crate) fn receive(&mut self) -> io::Result<Response> {
        read_response(&mut self.reader)
    }
}

/// Sends one request on a connection of its own.
pub(crate) fn call(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &str,
    body: &[u8],
    limit: Duration,
) -> io::Result<Response> {
    let mut channel = Channel::open(address, limit)?;
    channel.send(&encode(method, target, headers, body))?;
    channel.receive()
}

/// Encodes a request; `headers` are whole lines.
pub(crate) fn encode(method: &str, target: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let length = body.len();
    let head = format!("{method} {target} HTTP/1.1\r\n{headers}Content-Length: {length}\r\n\r\n");
    [head.as_bytes(), body].concat()
}

/// Encodes a response; `headers` are whole lines.
pub(crate) fn answer(status: u16, headers: &str, body: &[u8]) -> Vec<u8> {
    let length = body.len();
    let head = format!("HTTP/1.1 {status} -\r\n{headers}Content-Length: {length}\r\n\r\n");
    [head.as_bytes(), body].concat()
}

/// What a server does with a request; it returns whether the connection goes on.
pub(crate) type Handler = dyn Fn(&Request, &mut TcpStream) -> io::Result<bool> + Send + Sync;

/// Serves connections, one thread for each, until the process ends.
pub(crate) fn serve(listener: TcpListener, handler: Arc<Handler>) {
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(mut writer) = stream.try_clone() else { return };
                let mut reader = BufReader::new(stream);
                while let Ok(Some(request)) = read_request(&mut reader) {
                    if !handler(&request, &mut writer).unwrap_or(false) {
                        return;
                    }
                }
            });
        }
    });
}
