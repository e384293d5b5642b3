//! Blocking HTTP/1.1: one client call, and a server with one thread per connection.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    thread,
    time::Duration,
};

/// Message without its start line's details; header names are in lower case.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Words of the start line.
    pub start: Vec<String>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, value)| value.as_str())
    }

    /// Status of a response.
    pub fn status(&self) -> u16 {
        self.start.get(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads one message; `None` if the connection ended before it.
pub fn read(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let start = line.split_whitespace().map(str::to_owned).collect();
    let mut message = Message { start, ..Message::default() };
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let Some((name, value)) = line.trim_end().split_once(':') else { break };
        message.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
    if message.header("transfer-encoding").is_some() {
        loop {
            line.clear();
            reader.read_line(&mut line)?;
            let len = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
            let mut chunk = vec![0; len + 2];
            reader.read_exact(&mut chunk)?;
            if len == 0 {
                break;
            }
            message.body.extend_from_slice(&chunk[..len]);
        }
    } else if let Some(len) = message.header("content-length") {
        message.body = vec![0; len.parse().map_err(io::Error::other)?];
        reader.read_exact(&mut message.body)?;
    }
    Ok(Some(message))
}

/// Connection of a client, which carries one request after the other.
pub struct Connection(BufReader<TcpStream>);

impl Connection {
    /// Connects; every later wait for a response ends after `timeout`.
    pub fn open(addr: SocketAddr, timeout: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&addr, timeout.min(Duration::from_secs(1)))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(timeout))?;
        stream.set_write_timeout(Some(timeout))?;
        Ok(Self(BufReader::new(stream)))
    }

    pub fn send(
        &mut self,
        method: &str,
        path: &str,
        headers: &[(&str, String)],
        body: &[u8],
    ) -> io::Result<()> {
        let mut head = format!("{method} {path} HTTP/1.1\r\n");
        for (name, value) in headers {
            head += &format!("{name}: {value}\r\n");
        }
        head += &format!("Content-Length: {}\r\n\r\n", body.len());
        let stream = self.0.get_mut();
        stream.write_all(head.as_bytes())?;
        stream.write_all(body)
    }

    pub fn receive(&mut self) -> io::Result<Message> {
        read(&mut self.0)?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
    }
}

/// Makes one call on a new connection.
pub fn call(
    addr: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &[u8],
    timeout: Duration,
) -> io::Result<Message> {
    let mut connection = Connection::open(addr, timeout)?;
    connection.send(method, path, headers, body)?;
    connection.receive()
}

/// Listens on a free port of `ip` and passes each request to `handler`, which writes the response and
/// returns whether the connection is kept.
pub fn serve<F>(ip: &str, handler: F) -> SocketAddr
where
    F: Fn(&Message, &mut TcpStream) -> bool + Clone + Send + 'static,
{
    let listener = TcpListener::bind((ip, 0)).expect("a free port");
    let addr = listener.local_addr().expect("a bound address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || {
                let Ok(mut writer) = stream.try_clone() else { return };
                let mut reader = BufReader::new(stream);
                while let Ok(Some(request)) = read(&mut reader) {
                    if !handler(&request, &mut writer) {
                        return;
                    }
                }
            });
        }
    });
    addr
}

/// Writes a response with a length.
pub fn respond(
    stream: &mut TcpStream,
    status: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> bool {
    let mut head = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    head += "\r\n";
    stream.write_all(head.as_bytes()).and_then(|()| stream.write_all(body)).is_ok()
}
