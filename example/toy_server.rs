//! A toy to try the node with: discovery at 127.0.0.1:8500, and two next hops that it lists. Each takes one job
//! at a time on a connection, says 202, and calls the node at 127.0.0.1:8000 back when the job starts and ends.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

const NODE: &str = "127.0.0.1:8000";
const DISCOVERY: &str = "127.0.0.1:8500";
const NEXT_HOPS: [(&str, &str); 2] = [("s-one", "127.0.0.1:8601"), ("s-two", "127.0.0.1:8602")];
const RUN: Duration = Duration::from_millis(300);

/// The first line and the X-Request-Id of the next request.
fn request(reader: &mut impl BufRead) -> io::Result<Option<(String, String)>> {
    let (mut start, mut id, mut length) = (String::new(), String::new(), 0);
    if reader.read_line(&mut start)? == 0 {
        return Ok(None);
    }
    loop {
        let mut line = String::new();
        reader.read_line(&mut line)?;
        let Some((name, value)) = line.trim_end().split_once(": ") else { break };
        match name.to_ascii_lowercase().as_str() {
            "x-request-id" => value.clone_into(&mut id),
            "content-length" => length = value.parse().unwrap_or(0),
            _ => {}
        }
    }
    io::copy(&mut reader.take(length), &mut io::sink())?;
    Ok(Some((start.trim_end().to_owned(), id)))
}

fn discovery(mut stream: TcpStream) -> io::Result<()> {
    request(&mut BufReader::new(stream.try_clone()?))?;
    let line = |(name, at)| {
        format!(
            r#"{{"name":"{name}","address":"{at}","zone":"shed","type":"toy","group":0,"status":"in_service","weight":1.0,"since_ms":0}}"#
        )
    };
    let list = format!(r#"{{"index":1,"snapshot":true,"endpoints":[{}]}}"#, NEXT_HOPS.map(line).join(","));
    write!(
        stream,
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{list}\n\r\n",
        list.len() + 1
    )?;
    loop {
        thread::sleep(Duration::from_secs(2));
        write!(stream, "1\r\n\n\r\n")?;
    }
}

fn call_back(id: &str, from: &str, rest: &str) -> io::Result<()> {
    let body = format!(r#"{{"id":"{id}","from":"{from}",{rest}}}"#);
    let mut node = TcpStream::connect(NODE)?;
    write!(
        node,
        "POST /callback HTTP/1.1\r\nHost: {NODE}\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )?;
    node.read_to_string(&mut String::new()).map(|_| ())
}

fn next_hop(name: &'static str, mut stream: TcpStream) -> io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    while let Some((start, id)) = request(&mut reader)? {
        println!("{name}: {start} ({id})");
        if !start.starts_with("POST") {
            stream.write_all(b"HTTP/1.1 204 No Content\r\n\r\n")?;
            continue;
        }
        stream.write_all(b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n")?;
        thread::spawn(move || -> io::Result<()> {
            call_back(&id, name, r#""state":"started""#)?;
            thread::sleep(RUN);
            call_back(&id, name, &format!(r#""state":"done","result":"{name} has run it\n""#))
        });
    }
    Ok(())
}

fn serve(at: &str, each: impl Fn(TcpStream) -> io::Result<()> + Copy + Send + 'static) -> io::Result<()> {
    for stream in TcpListener::bind(at)?.incoming() {
        let stream = stream?;
        thread::spawn(move || each(stream));
    }
    Ok(())
}

fn main() -> io::Result<()> {
    for (name, at) in NEXT_HOPS {
        thread::spawn(move || serve(at, move |stream| next_hop(name, stream)));
    }
    println!("discovery at {DISCOVERY} lists {} next hops", NEXT_HOPS.len());
    serve(DISCOVERY, discovery)
}
