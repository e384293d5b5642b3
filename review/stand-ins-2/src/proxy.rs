//! Forwards connections, and holds everything back while it is cut, as a link does that loses all packets.

use std::{
    io::{Read, Write},
    net::{Shutdown, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

pub struct Proxy {
    pub addr: String,
    is_cut: Arc<AtomicBool>,
}

impl Proxy {
    pub fn start(listen: &str, to: &str) -> Self {
        let listener = TcpListener::bind(listen).expect("a free port");
        let addr = listener.local_addr().expect("a bound port").to_string();
        let is_cut = Arc::new(AtomicBool::new(false));
        let (to, flag) = (to.to_owned(), is_cut.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (to, flag) = (to.clone(), flag.clone());
                thread::spawn(move || {
                    wait_open(&flag);
                    let Ok(upstream) = TcpStream::connect(&to) else { return };
                    let _ = stream.set_nodelay(true);
                    let _ = upstream.set_nodelay(true);
                    let (a, b) = (stream.try_clone(), upstream.try_clone());
                    let (Ok(a), Ok(b)) = (a, b) else { return };
                    let back = flag.clone();
                    thread::spawn(move || copy(upstream, a, &back));
                    copy(stream, b, &flag);
                });
            }
        });
        Self { addr, is_cut }
    }

    pub fn set_cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::SeqCst);
    }
}

fn wait_open(is_cut: &AtomicBool) {
    while is_cut.load(Ordering::SeqCst) {
        thread::sleep(Duration::from_millis(5));
    }
}

fn copy(mut from: TcpStream, mut to: TcpStream, is_cut: &AtomicBool) {
    let mut buf = [0; 16 * 1024];
    loop {
        let read = from.read(&mut buf);
        wait_open(is_cut);
        match read {
            Ok(0) | Err(_) => break,
            Ok(n) => {
                if to.write_all(&buf[..n]).is_err() {
                    break;
                }
            }
        }
    }
    let _ = to.shutdown(Shutdown::Write);
    let _ = from.shutdown(Shutdown::Read);
}
