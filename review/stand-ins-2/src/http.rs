//! HTTP/1.1 as far as the stand-ins need it.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

pub type Headers = Vec<(String, String)>;

pub fn header<'a>(headers: &'a Headers, name: &str) -> Option<&'a str> {
    headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
}

pub struct Incoming {
    pub method: String,
    pub path: String,
    pub headers: Headers,
    pub body: Vec<u8>,
}

/// Answer as far as it arrived.
#[derive(Default)]
pub struct Answer {
    pub status: u16,
    pub headers: Headers,
    pub body: Vec<u8>,
    /// Whether its framing shows that it is whole.
    pub is_complete: bool,
    /// Why it isn't.
    pub error: String,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.headers, name)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

fn line(reader: &mut impl BufRead) -> io::Result<String> {
    let mut text = String::new();
    if reader.read_line(&mut text)? == 0 {
        return Err(io::Error::new(io::ErrorKind::UnexpectedEof, "closed"));
    }
    Ok(text.trim_end().to_owned())
}

fn read_headers(reader: &mut impl BufRead) -> io::Result<Headers> {
    let mut headers = Vec::new();
    loop {
        let text = line(reader)?;
        if text.is_empty() {
            return Ok(headers);
        }
        let (name, value) = text.split_once(':').unwrap_or((&text, ""));
        headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
    }
}

fn read_chunk(reader: &mut impl BufRead) -> io::Result<Vec<u8>> {
    let size = line(reader)?;
    let size = usize::from_str_radix(size.split(';').next().unwrap_or_default().trim(), 16)
        .map_err(|_| io::Error::other("no chunk size"))?;
    let mut data = vec![0; size];
    reader.read_exact(&mut data)?;
    line(reader)?;
    Ok(data)
}

/// Reads a request; an error means that the connection has ended.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Incoming> {
    let first = line(reader)?;
    let mut words = first.split(' ');
    let method = words.next().unwrap_or_default().to_owned();
    let path = words.next().unwrap_or_default().to_owned();
    let headers = read_headers(reader)?;
    let mut body = Vec::new();
    if header(&headers, "transfer-encoding").is_some() {
        loop {
            let chunk = read_chunk(reader)?;
            if chunk.is_empty() {
                break;
            }
            body.extend(chunk);
        }
    } else if let Some(length) = header(&headers, "content-length").and_then(|l| l.parse().ok()) {
        body = vec![0; length];
        reader.read_exact(&mut body)?;
    }
    Ok(Incoming { method, path, headers, body })
}

pub fn connect(addr: &str, limit: Duration) -> io::Result<TcpStream> {
    let addr: SocketAddr = addr.parse().map_err(|_| io::Error::other("no address"))?;
    let stream = TcpStream::connect_timeout(&addr, limit)?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

pub fn write_request(
    stream: &mut TcpStream,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += &format!("Content-Length: {}\r\n\r\n", body.len());
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// Reads an answer until it is whole, its connection ends, or `end` is reached.
pub fn read_answer(
    stream: TcpStream,
    end: Instant,
    on_part: &mut dyn FnMut(&[u8]),
) -> io::Result<(Answer, BufReader<TcpStream>)> {
    let left = end.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
    stream.set_read_timeout(Some(left))?;
    let mut reader = BufReader::new(stream);
    let first = line(&mut reader)?;
    let status = first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
    let headers = read_headers(&mut reader)?;
    let mut answer = Answer { status, headers, ..Answer::default() };
    let read = (|| -> io::Result<()> {
        if answer.header("transfer-encoding").is_some() {
            loop {
                let left = end.saturating_duration_since(Instant::now());
                if left.is_zero() {
                    return Err(io::Error::new(io::ErrorKind::TimedOut, "time is over"));
                }
                reader.get_ref().set_read_timeout(Some(left))?;
                let chunk = read_chunk(&mut reader)?;
                if chunk.is_empty() {
                    return Ok(());
                }
                on_part(&chunk);
                answer.body.extend(chunk);
            }
        }
        match answer.header("content-length").and_then(|l| l.parse::<usize>().ok()) {
            Some(length) => {
                let mut body = vec![0; length];
                reader.read_exact(&mut body)?;
                answer.body = body;
                Ok(())
            }
            None => reader.read_to_end(&mut answer.body).map(|_| ()),
        }
    })();
    match read {
        Ok(()) => answer.is_complete = true,
        Err(error) => answer.error = error.to_string(),
    }
    Ok((answer, reader))
}

/// One call on a new connection.
pub fn call(
    addr: &str,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> io::Result<Answer> {
    let end = Instant::now() + limit;
    let mut stream = connect(addr, limit.min(Duration::from_secs(1)))?;
    let mut all = vec![("Host", addr), ("Connection", "close")];
    if headers.iter().any(|(n, _)| n.eq_ignore_ascii_case("host")) {
        all.remove(0);
    }
    all.extend_from_slice(headers);
    write_request(&mut stream, method, path, &all, body)?;
    Ok(read_answer(stream, end, &mut |_| ())?.0)
}

/// Value of a string or a number in JSON text, by the first occurrence of its name.
pub fn field(json: &str, name: &str) -> Option<String> {
    let at = json.find(&format!("\"{name}\""))? + name.len() + 2;
    let rest = json[at..].trim_start().strip_prefix(':')?.trim_start();
    Some(match rest.strip_prefix('"') {
        Some(text) => text.split('"').next()?.to_owned(),
        None => rest.split([',', '}', ']']).next()?.trim().to_owned(),
    })
}
