//! Consumers of streams that take them up again.

use std::{collections::BTreeSet, thread, time::Duration};

use crate::{
    client::{Request, events},
    world::{Record, unique},
};

#[derive(Default)]
pub struct Stream {
    /// Id, software versions of the servers whose events the consumer got, and their number, by try.
    pub tries: Vec<(String, BTreeSet<String>, usize)>,
}

/// Sends a stream, and takes it up at another machine as long as it breaks off.
pub fn take_up(n: usize, first: &str, retry: &str, record: &Record) -> Stream {
    let mut stream = Stream::default();
    let (mut last, mut began): (u64, Option<String>) = (0, None);
    let prompt = format!("a{n:x}:100,b{n:x}:100");
    for attempt in 0..3 {
        let id = format!("{:016x}", unique());
        let mut request =
            Request::stream("/read/x", &id, "base1", &prompt, Duration::from_secs(12));
        if let Some(began) = &began {
            request.headers.push(("Last-Event-Id", format!("{last}")));
            request.headers.push(("Resumes", began.clone()));
        }
        let front = if attempt == 0 { first } else { retry };
        let Ok(answer) = request.send(front, record) else {
            stream.tries.push((id, BTreeSet::new(), 0));
            continue;
        };
        let got = events(&answer.body);
        let versions =
            got.iter().filter_map(|(_, data)| data.split(' ').next().map(str::to_owned)).collect();
        if let Some((id, _)) = got.last() {
            last = *id;
        }
        if began.is_none() && !got.is_empty() {
            began = Some(id.clone());
        }
        stream.tries.push((id, versions, got.len()));
        if answer.status == 200 && answer.is_complete && !answer.body.is_empty() || began.is_none()
        {
            break;
        }
        // Consumers honour `Retry-After` up to a third of their time.
        let asked = answer.header("retry-after").and_then(|s| s.parse().ok()).unwrap_or(0.05);
        thread::sleep(Duration::from_secs_f64(f64::clamp(asked, 0.05, 4.0)));
    }
    stream
}
