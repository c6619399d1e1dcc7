//! HTTP/1.1 over blocking sockets, for clients, operators and stand-ins.

use std::{
    io::{self, BufRead as _, BufReader, Read as _, Write as _},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

/// The head and body of a request or response.
#[derive(Debug, Clone, Default)]
pub(crate) struct Message {
    /// The first line without its end.
    pub(crate) first: String,
    /// Names in lower case, with their values.
    pub(crate) headers: Vec<(String, String)>,
    pub(crate) body: Vec<u8>,
}

impl Message {
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    /// Returns the status of a response.
    pub(crate) fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }

    /// Returns the method of a request.
    pub(crate) fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or_default()
    }

    /// Returns the path of a request, with its query.
    pub(crate) fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }

    pub(crate) fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// A response of a stand-in.
pub(crate) struct Reply {
    pub(crate) status: u16,
    pub(crate) headers: Vec<(String, String)>,
    pub(crate) body: Vec<u8>,
    /// Additional bytes after it, which arrive where the next response is expected.
    pub(crate) late: Vec<u8>,
}

impl Reply {
    pub(crate) fn new(status: u16, body: impl Into<Vec<u8>>) -> Self {
        Self { status, headers: Vec::new(), body: body.into(), late: Vec::new() }
    }

    pub(crate) fn with(mut self, name: &str, value: impl ToString) -> Self {
        self.headers.push((name.to_owned(), value.to_string()));
        self
    }
}

fn invalid(text: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, text)
}

fn read_line(reader: &mut BufReader<TcpStream>) -> io::Result<String> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    if !line.ends_with('\n') {
        return Err(invalid("a cut line"));
    }
    Ok(line.trim_end().to_owned())
}

/// Reads a message; the body of a response without length or chunks ends with its connection.
fn read_message(reader: &mut BufReader<TcpStream>, is_response: bool) -> io::Result<Message> {
    let mut message = Message { first: read_line(reader)?, ..Message::default() };
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':').ok_or_else(|| invalid("no header"))?;
        message.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
    if message.header("transfer-encoding").is_some() {
        loop {
            let size = read_line(reader)?;
            let size = usize::from_str_radix(&size, 16).map_err(|_| invalid("no chunk size"))?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                break;
            }
            message.body.extend(&chunk[..size]);
        }
    } else if let Some(length) = message.header("content-length") {
        let length = length.parse().map_err(|_| invalid("no length"))?;
        message.body = vec![0; length];
        reader.read_exact(&mut message.body)?;
    } else if is_response {
        reader.read_to_end(&mut message.body)?;
    }
    Ok(message)
}

/// Sends a request on a new connection and returns the whole response.
pub(crate) fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &[u8],
    limit: Duration,
) -> io::Result<Message> {
    let deadline = Instant::now() + limit;
    let mut stream = TcpStream::connect_timeout(&address, limit.min(Duration::from_secs(1)))?;
    stream.set_nodelay(true)?;
    let mut head = format!("{method} {path} HTTP/1.1\r\ncontent-length: {}\r\n", body.len());
    if !headers.iter().any(|(name, _)| name.eq_ignore_ascii_case("host")) {
        head += &format!("host: {address}\r\n");
    }
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    head += "\r\n";
    stream.write_all(&[head.as_bytes(), body].concat())?;
    let left = deadline.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
    stream.set_read_timeout(Some(left))?;
    read_message(&mut BufReader::new(stream), true)
}

/// Returns the first line of a response.
pub(crate) fn first_line(status: u16) -> String {
    let reason = match status {
        200 => "OK",
        202 => "Accepted",
        400 => "Bad Request",
        404 => "Not Found",
        409 => "Conflict",
        421 => "Misdirected Request",
        500 => "Internal Server Error",
        503 => "Service Unavailable",
        _ => "Other",
    };
    format!("HTTP/1.1 {status} {reason}")
}

/// Serves requests until the process ends, one thread for each connection.
pub(crate) fn serve<H>(address: SocketAddr, handler: H) -> io::Result<()>
where
    H: Fn(&Message) -> Reply + Send + Sync + 'static,
{
    let listener = TcpListener::bind(address)?;
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || {
                let _ = serve_connection(stream, &*handler);
            });
        }
    });
    Ok(())
}

fn serve_connection(stream: TcpStream, handler: &dyn Fn(&Message) -> Reply) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    let mut late = Vec::new();
    loop {
        let request = read_message(&mut reader, false)?;
        writer.write_all(&late)?;
        let reply = handler(&request);
        late = reply.late;
        let mut bytes =
            format!("{}\r\ncontent-length: {}\r\n", first_line(reply.status), reply.body.len());
        for (name, value) in &reply.headers {
            bytes += &format!("{name}: {value}\r\n");
        }
        bytes += "\r\n";
        writer.write_all(&[bytes.as_bytes(), reply.body.as_slice()].concat())?;
    }
}
